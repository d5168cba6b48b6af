//! Times and limits that follow from the configuration.

use std::time::Duration;

use spokeflow_core::{Micros, ServiceConfig};

use crate::configuration::Configuration;
use crate::limits::ConnectionLimits;

/// Where the settings name no time for a connection to a host: "some connections to hosts come up late (up to 1 s)"
/// (standing test).
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// In microseconds, and far enough from the largest number that sums of a few do not overflow.
pub(crate) fn to_micros(duration: Duration) -> Micros {
    duration.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

/// A time of the engine; none is negative.
pub(crate) fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}

/// Times and loads that follow from the settings.
pub(crate) struct Derived {
    pub(crate) longest_timeout: Duration,
    pub(crate) connect_timeout: Duration,
    /// Connections to hosts that rested for longer are closed.
    pub(crate) idle_timeout: Duration,
    pub(crate) limits: ConnectionLimits,
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
        // Hosts close at the latest after their own time: well before it, nothing can cross their closing. Where the
        // settings have none, it is learned from what breaks (`idle_lifetime.rs`).
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
        }
    }
}

/// Commands that a router of mean traffic has in flight where each takes the longest objective.
fn mean_in_flight(service: &ServiceConfig) -> f64 {
    let objectives = service.ops.iter().map(|op| op.latency_objective);
    let objective = to_duration(objectives.max().unwrap_or(0));
    let fleet = f64::from(service.fleet_size.max(1));
    let mean_rate = service.tenant_quotas.iter().sum::<f64>() / fleet;
    mean_rate * objective.as_secs_f64()
}
