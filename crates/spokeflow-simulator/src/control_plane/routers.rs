//! Routers: they request leases and act under them. The invariants are checked at each action.

use spokeflow_coordination::wire::{Request, Response};
use spokeflow_coordination::{LeaseHolder, LeaseRequest};
use spokeflow_core::Micros;

use super::event::{router_connection, Event};
use super::{World, MS};

/// A router tries the next node when a lease request has had no response for this time.
const RESPONSE_TIMEOUT: Micros = 500 * MS;

/// A router, with its current process.
pub(super) struct Router {
    pub(super) lease_holder: LeaseHolder,
    /// How often the router was restarted.
    pub(super) start: u32,
    pub(super) is_paused: bool,
    /// Events that arrived while the process was paused.
    pub(super) postponed: Vec<Event>,
    /// Time on the router's clock per simulated time.
    pub(super) clock_rate: f64,
    /// The node that it sends its requests to.
    pub(super) node: usize,
    /// When it last received a grant, or last changed the node.
    pub(super) last_response_at: Micros,
}

impl Router {
    fn try_next_node(&mut self, nodes: usize, now: Micros) {
        self.node = (self.node + 1) % nodes;
        self.last_response_at = now;
    }
}

impl World {
    pub(super) fn request_lease(&mut self, router: usize) {
        let now = self.clock(self.routers[router].clock_rate);
        let waited = self.now - self.routers[router].last_response_at;
        let node_count = self.nodes.len();
        let state = &mut self.routers[router];
        if waited > state.lease_holder.renewal_interval() + RESPONSE_TIMEOUT {
            state.try_next_node(node_count, self.now);
        }
        let (number, lease_request): (u64, LeaseRequest) = state.lease_holder.request(now);
        let to = state.node;
        let start = state.start;
        let renewal_interval =
            (state.lease_holder.renewal_interval() as f64 / state.clock_rate) as Micros;
        let connection = router_connection(router, start);
        self.send(node_count + router, to, || Event::RequestArrives {
            to,
            connection,
            number,
            request: Request::Lease(lease_request.clone()),
        });
        self.schedule(renewal_interval, Event::LeaseRenewal { router, start });
    }

    pub(super) fn on_lease_response(&mut self, connection: u64, number: u64, response: Response) {
        let router = (connection as u32 >> 1) as usize;
        let node_count = self.nodes.len();
        let state = &mut self.routers[router];
        if state.start != (connection >> 32) as u32 {
            return;
        }
        match response {
            Response::Granted(grant) => {
                self.result.grants += 1;
                state.last_response_at = self.now;
                if state.lease_holder.on_grant(number, *grant) {
                    let newest = state.lease_holder.newest();
                    state.lease_holder.set_applied_revision(newest);
                }
            }
            _ => state.try_next_node(node_count, self.now),
        }
    }

    /// Checks at an action under a lease that the router contradicts no revision that has been known or in force
    /// for longer than a lease, and that it knows of every revision in force.
    pub(super) fn act(&mut self, router: usize) {
        let state = &self.routers[router];
        let now = self.clock(state.clock_rate);
        if state
            .lease_holder
            .expires_at()
            .is_none_or(|until| now >= until)
        {
            self.result.unleased += 1;
            return;
        }
        self.result.leased += 1;
        let in_force = state.lease_holder.in_force().number.0;
        let newest = state.lease_holder.newest().0;
        let unknown = self
            .first_known
            .range(newest + 1..)
            .next()
            .map(|(revision, at)| (*revision, *at, "has been known"));
        let unapplied = self
            .first_in_force
            .range(in_force + 1..)
            .next()
            .map(|(revision, at)| (*revision, *at, "has been in force"));
        for (revision, at, status) in unknown.into_iter().chain(unapplied) {
            let since = self.now - at;
            self.result.longest_contradiction = self.result.longest_contradiction.max(since);
            if since > self.scenario.lease {
                let violation = format!(
                    "router {router} acts with revision {in_force} in force and {newest} as the newest known, but \
                     revision {revision} {status} for {since} us"
                );
                self.result.broken.get_or_insert(violation);
            }
        }
        if self.first_in_force.range(newest + 1..).next().is_some() {
            let violation = format!(
                "router {router} acts with revision {newest} as the newest known, but a later one is in force"
            );
            self.result.broken.get_or_insert(violation);
        }
    }
}
