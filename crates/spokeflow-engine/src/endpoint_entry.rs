//! What the engine knows of each endpoint beside the decision module's state: its address and its process.

use std::collections::BTreeMap;

use spokeflow_core::{BuildId, Endpoint, EndpointState, HostId, Micros, ZoneId};
use spokeflow_proto::{EndpointPhase, EndpointRecord};

use crate::time::bounded_micros;

/// One endpoint that a list has named.
pub(crate) struct EndpointEntry {
    /// Address and port, as text.
    pub(crate) address: String,
    /// The newest process known, by the list or by the host itself.
    pub(crate) incarnation: u64,
    /// As the decision module was given it last.
    pub(crate) endpoint: Endpoint,
}

impl EndpointEntry {
    /// The entry of an endpoint that is listed for the first time.
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

    /// Takes over what a list says. Of an earlier process than the host itself has announced only the placement and
    /// the state are taken: these are the list's to say.
    pub(crate) fn update(&mut self, listed: &EndpointRecord, now: Micros) {
        if listed.incarnation > self.incarnation {
            // Computed once for each process: each message would shift it by its own delay.
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

    /// The entry as a list would name it in this phase.
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

    /// The build that runs there; the lowest where it is not known.
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

fn endpoint_state(phase: EndpointPhase) -> EndpointState {
    match phase {
        EndpointPhase::Gone => EndpointState::Gone,
        EndpointPhase::Ready => EndpointState::Ready,
        EndpointPhase::Draining => EndpointState::Draining,
    }
}

/// The endpoint list of the control plane, together with the endpoints that the router's own list has removed.
#[derive(Default)]
pub(crate) struct ReplicatedEndpoints {
    /// As the control plane listed them last.
    pub(crate) listed: BTreeMap<u32, EndpointRecord>,
    /// Removed by the router's own list, which may be ahead of the control plane's.
    pub(crate) removed: BTreeMap<u32, Removal>,
}

/// Up to which process an endpoint was removed, and into which phase.
pub(crate) struct Removal {
    pub(crate) incarnation: u64,
    pub(crate) phase: EndpointPhase,
}
