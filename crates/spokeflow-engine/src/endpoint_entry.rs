//! The engine's record of each endpoint: the address and the incarnation, which the decision module does not hold, and
//! the endpoint as last passed to the decision module.

use std::collections::BTreeMap;

use spokeflow_core::{BuildId, Endpoint, EndpointState, HostId, Micros, ZoneId};
use spokeflow_proto::{EndpointPhase, EndpointRecord};

use crate::time::bounded_micros;

/// An endpoint that has appeared in an endpoint list.
pub(crate) struct EndpointEntry {
    /// Address and port, as text.
    pub(crate) address: String,
    /// The newest incarnation of the host's process, as known from a list or from the host's own welcome.
    pub(crate) incarnation: u64,
    /// The endpoint as last passed to the decision module.
    pub(crate) endpoint: Endpoint,
}

impl EndpointEntry {
    /// Creates the entry of an endpoint that is listed for the first time.
    pub(crate) fn new(listed: &EndpointRecord, now: Micros) -> Self {
        EndpointEntry {
            address: listed.address.clone(),
            incarnation: listed.incarnation,
            endpoint: Endpoint {
                host: HostId(listed.host),
                build: listed.build.map(BuildId),
                cell: listed.cell,
                zone: ZoneId(listed.zone),
                state: endpoint_state(listed.phase),
                size: 1.0,
                started_at: started_at(listed, now),
            },
        }
    }

    /// Applies a list's record. If the host itself has announced a newer incarnation than the record's, only the cell,
    /// the zone and the state are taken over: only the list determines these.
    pub(crate) fn update(&mut self, listed: &EndpointRecord, now: Micros) {
        if listed.incarnation > self.incarnation {
            // Computed once for each incarnation: computing it again would shift it by the delay of each message.
            self.endpoint.started_at = started_at(listed, now);
        }
        if listed.incarnation >= self.incarnation {
            self.endpoint.build = listed.build.map(BuildId).or(self.endpoint.build);
            self.incarnation = listed.incarnation;
            self.address.clone_from(&listed.address);
        }
        self.endpoint.cell = listed.cell;
        self.endpoint.zone = ZoneId(listed.zone);
        self.endpoint.state = endpoint_state(listed.phase);
    }

    /// Returns the record that a list would hold for this endpoint in `phase`.
    pub(crate) fn listed_as(&self, phase: EndpointPhase) -> EndpointRecord {
        EndpointRecord {
            host: self.endpoint.host.0,
            address: self.address.clone(),
            build: self.endpoint.build.map(|build| build.0),
            cell: self.endpoint.cell,
            zone: self.endpoint.zone.0,
            phase,
            incarnation: self.incarnation,
            up_us: None,
        }
    }

    /// Returns the build that the endpoint runs, or the lowest build if it is not known.
    pub(crate) fn build(&self) -> BuildId {
        self.endpoint.build.unwrap_or_default()
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.endpoint.state == EndpointState::Gone
    }
}

fn started_at(listed: &EndpointRecord, now: Micros) -> Option<Micros> {
    listed.up_us.map(|uptime| now - bounded_micros(uptime))
}

/// Converts an endpoint's phase, the wire form, into its state, the decision module's form.
fn endpoint_state(phase: EndpointPhase) -> EndpointState {
    match phase {
        EndpointPhase::Gone => EndpointState::Gone,
        EndpointPhase::Ready => EndpointState::Ready,
        EndpointPhase::Draining => EndpointState::Draining,
    }
}

/// The replicated endpoint list, which comes from the control plane, and the endpoints that the router's own list has
/// removed from it.
#[derive(Default)]
pub(crate) struct ReplicatedEndpoints {
    /// The records of the replicated list, by host.
    pub(crate) listed: BTreeMap<u32, EndpointRecord>,
    /// Endpoints that the router's own list has removed, by host: that list may be ahead of the replicated one.
    pub(crate) removed: BTreeMap<u32, Removal>,
}

/// The removal of an endpoint by the router's own list.
pub(crate) struct Removal {
    /// The newest incarnation that the removal applies to.
    pub(crate) incarnation: u64,
    /// The phase in the router's own list.
    pub(crate) phase: EndpointPhase,
}
