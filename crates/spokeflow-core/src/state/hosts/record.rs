//! The state of one host.

use crate::{BuildId, Endpoint, EndpointState, Micros};

/// The last list entry of a host and the statistics of its present process.
#[derive(Clone, Debug)]
pub(super) struct HostRecord {
    /// The last entry in the host list.
    pub(super) endpoint: Endpoint,
    /// The build that the host list last named.
    pub(super) build: BuildId,
    /// Number of open deliveries.
    pub(super) in_flight: u32,
    /// Acks of the present process, reduced by its errors and resets.
    pub(super) acks: u32,
    /// Failures since the last success.
    pub(super) consecutive_failures: u32,
    /// End of the last ejection.
    pub(super) ejected_until: Micros,
    /// When an outcome last restarted the quiet time, or when the first of the open deliveries was
    /// sent if that is later.
    pub(super) quiet_since: Micros,
    /// Evidence against its build that the host has contributed.
    pub(super) evidence: f64,
    /// Number of deliveries sent in `interval`.
    pub(super) sent_in_interval: u32,
    /// The numbered interval of the process's age in which deliveries were last counted.
    pub(super) interval: Micros,
    /// Smoothed logarithm of the ratio of the latency to the baseline.
    pub(super) slowdown: f64,
    /// Utilization of the host's cores by its last load report, 0 to 1; NaN before the first report
    /// of the process.
    pub(super) utilization: f64,
    /// When the last load report arrived.
    pub(super) utilization_at: Micros,
    /// When the host last responded over a connection; [`Micros::MIN`] if it has refused one since,
    /// or has not responded yet.
    pub(super) connected_at: Micros,
}

impl HostRecord {
    /// Creates the record of a host that has not been listed before, as gone.
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        HostRecord {
            endpoint: Endpoint {
                state: EndpointState::Gone,
                ..*endpoint
            },
            build: endpoint.build.unwrap_or_default(),
            in_flight: 0,
            acks: 0,
            consecutive_failures: 0,
            ejected_until: Micros::MIN,
            quiet_since: Micros::MIN,
            evidence: 0.0,
            sent_in_interval: 0,
            interval: Micros::MIN,
            slowdown: 0.0,
            utilization: f64::NAN,
            utilization_at: Micros::MIN,
            connected_at: Micros::MIN,
        }
    }

    /// Resets the statistics that were learned of the previous process.
    pub(super) fn forget_process(&mut self) {
        self.sent_in_interval = 0;
        self.acks = 0;
        self.consecutive_failures = 0;
        self.slowdown = 0.0;
        self.evidence = 0.0;
        self.ejected_until = Micros::MIN;
        self.connected_at = Micros::MIN;
        self.utilization = f64::NAN;
    }

    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Whether the host has acked a delivery, or has contributed evidence against its build.
    pub(super) fn is_observed(&self) -> bool {
        self.acks > 0 || self.evidence > 0.0
    }

    /// Whether the host is a *suspect*: it has failed since its last success, or is ejected.
    pub(super) fn is_suspect(&self, now: Micros) -> bool {
        self.consecutive_failures > 0 || self.ejected_until > now
    }
}
