//! The leader's handling of requests from routers and operators.

use std::net::SocketAddr;

use spokeflow_core::Micros;
use spokeflow_raft::{NodeId, Output};

use super::leadership::Leadership;
use super::{Coordinator, Effects, RequestOrigin};
use crate::wire::{ClusterStatus, Request, Response};
use crate::{LeaseRequest, LogCommand, Proposal};

/// Maximum number of forwarded requests that wait for a response, and of requests that wait for one proposal. Beyond
/// that, a request to be forwarded is answered with [`Response::NoLeader`], and a request for the same proposal is not
/// answered.
pub(super) const MAX_WAITING_REQUESTS: usize = 4096;
/// Longest time that a request waits, in microseconds: four times the default election timeout. After that, a proposal
/// or a forwarded request is answered with [`Response::Indeterminate`].
const REQUEST_TIMEOUT: Micros = 2_000_000;

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) origin: RequestOrigin,
    pub(super) times_out_at: Micros,
}

impl WaitingRequest {
    pub(super) fn new(origin: RequestOrigin, now: Micros) -> Self {
        WaitingRequest {
            origin,
            times_out_at: now + REQUEST_TIMEOUT,
        }
    }
}

impl Coordinator {
    /// Handles a request. The response to a proposal that is not decided yet, or to a forwarded request, is among the
    /// effects of a later call, at the latest when the request times out after two seconds. All other responses are
    /// among these effects. A request beyond `MAX_WAITING_REQUESTS` for the same proposal is not answered.
    pub fn on_request(
        &mut self,
        now: Micros,
        origin: RequestOrigin,
        request: Request,
        effects: &mut Effects,
    ) {
        let mut out = Output::default();
        // Checked before each action: the process may have been paused since the last one, and the lease expired.
        let response = if self.raft.has_leader_lease(now) {
            self.answer(now, origin, request, &mut out)
        } else {
            self.forward(now, origin, request, effects)
        };
        if let Some(response) = response {
            effects.respond(origin, response);
        }
        self.apply_output(now, out, effects);
    }

    /// Returns the leader's response; `None` if it follows later, or never (see [`Coordinator::propose`]).
    fn answer(
        &mut self,
        now: Micros,
        origin: RequestOrigin,
        request: Request,
        out: &mut Output,
    ) -> Option<Response> {
        match request {
            Request::Lease(request) => Some(self.grant_lease(now, &request)),
            Request::Propose(proposal) => self.propose(now, origin, proposal, out),
            Request::Status => Some(Response::Status(Box::new(self.status(now)))),
            Request::TrustList => Some(self.log_command(now, &LogCommand::TrustList, out)),
            Request::SetAddress { node, address } => {
                Some(self.set_address(now, node, address, out))
            }
            Request::ChangeVoters(voters) => Some(self.change_voters(now, voters, out)),
        }
    }

    fn grant_lease(&mut self, now: Micros, request: &LeaseRequest) -> Response {
        let term = self.raft.term();
        let lease = self.settings.lease;
        let granter = Leadership::granter_of(&mut self.leadership, term, lease, now);
        let mut grant = granter.grant(now, request, &self.config, &self.voter_addresses);
        if let Some(update) = &mut grant.list {
            self.add_elapsed_uptime(now, update);
        }
        Response::Granted(Box::new(grant))
    }

    /// Appends a proposal to the log, unless it is there already. Returns the response if the proposal is decided
    /// already or cannot be appended. Otherwise the response follows once the proposal is committed or the request
    /// times out; none follows if [`MAX_WAITING_REQUESTS`] wait for the proposal already.
    fn propose(
        &mut self,
        now: Micros,
        origin: RequestOrigin,
        proposal: Proposal,
        out: &mut Output,
    ) -> Option<Response> {
        if let Some(outcome) = self.config.outcome(proposal.token) {
            return Some(Response::Proposed(outcome));
        }
        if let Err(errors) = (self.settings.check)(&proposal.values) {
            return Some(Response::Invalid(errors.to_string()));
        }
        let token = proposal.token;
        if !self.pending_proposals.contains_key(&token) {
            let command = LogCommand::Propose(Proposal {
                at_s: self.wall_clock_s,
                ..proposal
            });
            if self.raft.propose(now, command.encode(), out).is_err() {
                return Some(Response::NoLeader);
            }
        }
        let waiting = self.pending_proposals.entry(token).or_default();
        if waiting.len() < MAX_WAITING_REQUESTS {
            waiting.push(WaitingRequest::new(origin, now));
        }
        None
    }

    /// Answers the requests for proposals whose outcome is now known.
    pub(super) fn answer_decided_proposals(&mut self, effects: &mut Effects) {
        let config = &self.config;
        self.pending_proposals.retain(|token, waiting| {
            let Some(outcome) = config.outcome(*token) else {
                return true;
            };
            for request in waiting.drain(..) {
                effects.respond(request.origin, Response::Proposed(outcome));
            }
            false
        });
    }

    pub(super) fn time_out_proposals(&mut self, now: Micros, effects: &mut Effects) {
        self.pending_proposals.retain(|_, waiting| {
            for timed_out in waiting.extract_if(.., |request| request.times_out_at <= now) {
                effects.respond(timed_out.origin, Response::Indeterminate);
            }
            !waiting.is_empty()
        });
    }

    /// Appends the address of a node to the log. The text of [`Response::Invalid`] goes over the wire to the operator's
    /// program.
    fn set_address(
        &mut self,
        now: Micros,
        node: NodeId,
        address: String,
        out: &mut Output,
    ) -> Response {
        if address.parse::<SocketAddr>().is_err() {
            return Response::Invalid(format!("'{address}' is not an address with a port"));
        }
        self.log_command(now, &LogCommand::SetAddress { node, address }, out)
    }

    /// Appends a change of the voters to the log. The text of [`Response::Invalid`] goes over the wire to the
    /// operator's program.
    fn change_voters(&mut self, now: Micros, voters: Vec<NodeId>, out: &mut Output) -> Response {
        if let Some(unknown) = voters.iter().find(|id| self.address(**id).is_none()) {
            return Response::Invalid(format!(
                "no address of node {} is known yet: register it first",
                unknown.0
            ));
        }
        match self.raft.propose_membership(now, voters, out) {
            Ok(_) => Response::Accepted,
            Err(_) => Response::Invalid(
                "another change is under way, or it is not one node's difference".into(),
            ),
        }
    }

    /// Appends a command to the log. Whether it is committed can be seen in the status.
    fn log_command(&mut self, now: Micros, command: &LogCommand, out: &mut Output) -> Response {
        match self.raft.propose(now, command.encode(), out) {
            Ok(_) => Response::Accepted,
            Err(_) => Response::NoLeader,
        }
    }

    fn status(&self, now: Micros) -> ClusterStatus {
        let leases = self
            .leadership
            .as_ref()
            .map(|leadership| leadership.granter.lease_counts(now, &self.config))
            .unwrap_or_default();
        let addresses = self.config.addresses.iter();
        ClusterStatus {
            leader: self.settings.id,
            term: self.raft.term(),
            committed: self.raft.commit_index(),
            in_force: self.config.in_force.clone(),
            pending: self.config.pending.clone(),
            history: self.config.history.iter().cloned().collect(),
            voters: self.raft.voters().to_vec(),
            addresses: addresses
                .map(|(id, address)| (*id, address.clone()))
                .collect(),
            leases: leases.live as u64,
            list: self.config.list.version.0,
            list_source: self.config.list.source_version,
            hosts: self.config.list.present_hosts().count() as u64,
            list_rejection: self.rejection,
            up_to_date_leases: leases.up_to_date as u64,
        }
    }
}
