//! Endpoint lists: the router's own and the replicated one, which comes from the control plane. The own list removes
//! endpoints from the replicated one. Operators know the endpoint list as the host list.

use std::collections::BTreeSet;

use spokeflow_core::{Endpoint, EndpointState, HostId, ListKind};
use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList, HostSize};

use super::Engine;
use crate::egress::EgressAdapter;
use crate::endpoint_entry::{EndpointEntry, Removal};
use crate::Transport;

impl Engine {
    pub(super) fn on_list_message(&mut self, message: FromList, transport: &mut dyn Transport) {
        match message {
            FromList::Complete { version, endpoints } => {
                self.on_own_list(ListKind::Complete, version, &endpoints, transport);
            }
            FromList::Changes { version, endpoints } => {
                self.on_own_list(ListKind::Changes, version, &endpoints, transport);
            }
            FromList::Failed => self.on_list_failure(),
            FromList::Sizes { sizes } => self.on_sizes(&sizes, transport),
            FromList::Welcome | FromList::Refused(_) => {}
        }
    }

    /// Notifies the decision module that the endpoint list has failed, if it has to subscribe to the list.
    pub(super) fn on_list_failure(&mut self) {
        if self.config.service.list_requires_subscription {
            self.router.on_list_failure();
        }
    }

    pub(super) fn on_cached_list(
        &mut self,
        listed: &[EndpointRecord],
        transport: &mut dyn Transport,
    ) {
        self.apply_list(ListKind::Cached, listed, transport);
    }

    fn on_own_list(
        &mut self,
        kind: ListKind,
        version: u64,
        listed: &[EndpointRecord],
        transport: &mut dyn Transport,
    ) {
        self.in_flight.list_version = Some(version);
        if self.in_flight.replicated.is_none() {
            return self.apply_list(kind, listed, transport);
        }
        let mut changed = self.apply_removals(listed);
        if kind == ListKind::Complete {
            changed.extend(self.remove_unlisted(listed));
        }
        self.apply_list(ListKind::Changes, &changed, transport);
    }

    /// Applies the router's own list to the replicated one and returns the records that change: endpoints that are not
    /// ready are removed at once, those that are ready again are restored from the replicated list, and none is added.
    fn apply_removals(&mut self, listed: &[EndpointRecord]) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        let Some(replicated) = &mut self.in_flight.replicated else {
            return changed;
        };
        for own in listed {
            let Some(entry) = self.in_flight.endpoints.get(&HostId(own.host)) else {
                continue;
            };
            if own.incarnation < entry.incarnation {
                continue;
            }
            if own.phase != EndpointPhase::Ready {
                replicated.removed.insert(
                    own.host,
                    Removal {
                        incarnation: entry.incarnation,
                        phase: own.phase,
                    },
                );
                changed.push(entry.listed_as(own.phase));
            } else if replicated.removed.remove(&own.host).is_some() {
                changed.extend(replicated.listed.get(&own.host).cloned());
            }
        }
        changed
    }

    /// Removes the endpoints that are missing from a complete own list, and so are gone; returns their records.
    fn remove_unlisted(&mut self, listed: &[EndpointRecord]) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        let Some(replicated) = &mut self.in_flight.replicated else {
            return changed;
        };
        let listed_hosts: BTreeSet<u32> = listed.iter().map(|own| own.host).collect();
        for (host, entry) in &self.in_flight.endpoints {
            if entry.is_gone() || listed_hosts.contains(&host.0) {
                continue;
            }
            let phase = EndpointPhase::Gone;
            let incarnation = entry.incarnation;
            replicated
                .removed
                .insert(host.0, Removal { incarnation, phase });
            changed.push(entry.listed_as(phase));
        }
        changed
    }

    pub(super) fn on_replicated_list(
        &mut self,
        complete: bool,
        mut listed: Vec<EndpointRecord>,
        transport: &mut dyn Transport,
    ) {
        let replicated = self.in_flight.replicated.get_or_insert_default();
        if complete {
            replicated.listed.clear();
        }
        for record in &mut listed {
            replicated.listed.insert(record.host, record.clone());
            let Some(removal) = replicated.removed.get(&record.host) else {
                continue;
            };
            if record.incarnation <= removal.incarnation {
                // The router's own list may be ahead: an endpoint that it has removed stays removed until a newer
                // incarnation is listed.
                record.phase = removal.phase;
            } else {
                replicated.removed.remove(&record.host);
            }
        }
        replicated
            .listed
            .retain(|_, record| record.phase != EndpointPhase::Gone);
        if complete {
            self.apply_list(ListKind::Complete, &listed, transport);
        } else if !listed.is_empty() {
            self.apply_list(ListKind::Changes, &listed, transport);
        }
    }

    /// Applies a list to the entries, opens and closes hosts on the transport, and passes the list on to the decision
    /// module.
    fn apply_list(
        &mut self,
        kind: ListKind,
        listed: &[EndpointRecord],
        transport: &mut dyn Transport,
    ) {
        let endpoints: Vec<Endpoint> = listed
            .iter()
            .map(|record| self.update_entry(record))
            .collect();
        if kind != ListKind::Changes {
            self.close_unlisted(&endpoints, transport);
        }
        for endpoint in &endpoints {
            if endpoint.state == EndpointState::Ready {
                let entry = &self.in_flight.endpoints[&endpoint.host];
                transport.host_open(endpoint.host, &entry.address, entry.incarnation);
            } else {
                transport.host_closed(endpoint.host, endpoint.state == EndpointState::Gone);
            }
        }
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router.on_endpoints(kind, &endpoints, egress);
    }

    /// Closes the hosts that are missing from a complete or cached list.
    fn close_unlisted(&mut self, listed: &[Endpoint], transport: &mut dyn Transport) {
        let listed_hosts: BTreeSet<HostId> = listed.iter().map(|endpoint| endpoint.host).collect();
        for (&host, entry) in &mut self.in_flight.endpoints {
            if !entry.is_gone() && !listed_hosts.contains(&host) {
                entry.endpoint.state = EndpointState::Gone;
                transport.host_closed(host, true);
            }
        }
    }

    fn update_entry(&mut self, listed: &EndpointRecord) -> Endpoint {
        let now = self.in_flight.now;
        let entry = self
            .in_flight
            .endpoints
            .entry(HostId(listed.host))
            .or_insert_with(|| EndpointEntry::new(listed, now));
        entry.update(listed, now);
        entry.endpoint
    }

    /// Applies the relative capacities of hosts. Sizes that are not positive numbers, and sizes of hosts that have not
    /// been listed, are ignored.
    fn on_sizes(&mut self, sizes: &[HostSize], transport: &mut dyn Transport) {
        let mut changed = Vec::new();
        for &HostSize { host, size } in sizes {
            if !size.is_finite() || size <= 0.0 {
                continue;
            }
            if let Some(entry) = self.in_flight.endpoints.get_mut(&HostId(host)) {
                entry.endpoint.size = f64::from(size);
                changed.push(entry.endpoint);
            }
        }
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router
            .on_endpoints(ListKind::Changes, &changed, egress);
    }
}
