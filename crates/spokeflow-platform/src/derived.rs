//! Times and limits that are computed from the configuration.

use std::time::Duration;

use spokeflow_core::{Micros, ServiceConfig};

use crate::configuration::Configuration;
use crate::limits::ConnectionLimits;
use crate::memory_limits::MemoryLimits;

/// Timeout of opening a connection to a host if the settings set none. On the platform, opening a connection to a host
/// can take up to 1 s.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Converts a duration to microseconds, limited to a quarter of the largest value so that sums of a few do not
/// overflow.
pub(crate) fn to_micros(duration: Duration) -> Micros {
    duration.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

/// Converts a span of the engine to a duration; a negative one becomes zero.
pub(crate) fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}

/// Times and limits that are computed from the configuration.
pub(crate) struct Derived {
    /// The longest command timeout of all operations.
    pub(crate) longest_timeout: Duration,
    /// Timeout of opening a connection to a host.
    pub(crate) connect_timeout: Duration,
    /// Connections to hosts that have been idle for longer are closed.
    pub(crate) idle_timeout: Duration,
    pub(crate) limits: ConnectionLimits,
    pub(crate) memory: MemoryLimits,
    /// Value of `Retry-After` for a request that finds no room, in seconds; `None` if the deployment names no times.
    pub(crate) retry_after: Option<f64>,
}

impl Derived {
    pub(crate) fn new(configuration: &Configuration) -> Self {
        let settings = &configuration.settings;
        let operations = &settings.config.ops;
        let longest = operations.iter().map(|operation| operation.command_timeout);
        let longest_timeout = to_duration(longest.max().unwrap_or(0));
        let connect_timeout = match settings.connect_timeout {
            0 => DEFAULT_CONNECT_TIMEOUT.min(longest_timeout),
            limit => to_duration(limit),
        };
        // Hosts close a connection that has been idle for the time in the settings. Half of that time leaves a margin,
        // so that no request is sent while the host closes. If the settings have no such time, it is learned from
        // connections that break (`idle_lifetime.rs`).
        let idle_timeout = match settings.connection_idle {
            0 => Duration::MAX,
            limit => to_duration(limit) / 2,
        };
        let known = configuration.known.as_ref();
        let hosts = known.map_or(0, |known| known.members.len());
        let fleet = settings.config.fleet_size;
        let in_flight = mean_in_flight(&settings.config);
        Derived {
            longest_timeout,
            connect_timeout,
            idle_timeout,
            limits: ConnectionLimits::new(&configuration.limits, fleet, hosts, in_flight),
            memory: MemoryLimits::new(configuration.limits.memory_mb),
            retry_after: settings
                .config
                .may_name_retry_after
                .then(|| to_duration(settings.config.longest_retry_after).as_secs_f64()),
        }
    }

    /// Returns the maximum length of a message that needs no room in a pool, in bytes.
    pub(crate) fn short_message(&self) -> usize {
        self.memory
            .short_message(self.limits.clients + self.limits.hosts)
    }
}

/// Estimates the number of commands in flight at a router: an even share of the tenants' quotas, each command taking
/// the longest latency objective.
fn mean_in_flight(service: &ServiceConfig) -> f64 {
    let objectives = service.ops.iter().map(|op| op.latency_objective);
    let objective = to_duration(objectives.max().unwrap_or(0));
    let fleet = f64::from(service.fleet_size.max(1));
    let mean_rate = service.tenant_quotas.iter().sum::<f64>() / fleet;
    mean_rate * objective.as_secs_f64()
}
