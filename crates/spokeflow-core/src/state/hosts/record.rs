//! What is remembered of one host.

use crate::{BuildId, Endpoint, EndpointState, Micros};

/// One host's last listing and the figures learned of its present process.
#[derive(Clone, Debug)]
pub(super) struct HostRecord {
    /// What the list last said.
    pub(super) endpoint: Endpoint,
    /// The build that the list last named.
    pub(super) build: BuildId,
    /// Open deliveries.
    pub(super) in_flight: u32,
    /// Acks of the present process; errors take them away again.
    pub(super) answers: u32,
    pub(super) consecutive_failures: u32,
    pub(super) ejected_until: Micros,
    /// When something last came back, or when the first of the open deliveries was sent.
    pub(super) quiet_since: Micros,
    /// The host's part of the evidence against its build.
    pub(super) evidence: f64,
    /// Deliveries sent in `slot`, a numbered interval of the process's age.
    pub(super) sent_in_slot: u32,
    pub(super) slot: Micros,
    /// Latency over the baseline, as a logarithm.
    pub(super) slowdown: f64,
    /// How busy its cores are, 0 to 1, as its last report said; NaN before the first.
    pub(super) utilization: f64,
    pub(super) utilization_at: Micros,
    /// When it last answered over a connection that has not been refused since.
    pub(super) connected_at: Micros,
}

impl HostRecord {
    /// A host that has not been ready yet.
    pub(super) fn new(endpoint: &Endpoint) -> Self {
        HostRecord {
            endpoint: Endpoint {
                state: EndpointState::Gone,
                ..*endpoint
            },
            build: endpoint.build.unwrap_or_default(),
            in_flight: 0,
            answers: 0,
            consecutive_failures: 0,
            ejected_until: Micros::MIN,
            quiet_since: Micros::MIN,
            evidence: 0.0,
            sent_in_slot: 0,
            slot: Micros::MIN,
            slowdown: 0.0,
            utilization: f64::NAN,
            utilization_at: Micros::MIN,
            connected_at: Micros::MIN,
        }
    }

    /// Forgets what was learned of the process before this one.
    pub(super) fn forget_process(&mut self) {
        self.sent_in_slot = 0;
        self.answers = 0;
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

    pub(super) fn is_observed(&self) -> bool {
        self.answers > 0 || self.evidence > 0.0
    }

    /// Whether it has failed in a row or is ejected.
    pub(super) fn is_suspect(&self, now: Micros) -> bool {
        self.consecutive_failures > 0 || self.ejected_until > now
    }
}
