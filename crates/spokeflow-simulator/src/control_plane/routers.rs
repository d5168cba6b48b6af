//! Routers: they ask for leases, and act. Event must hold is checked at each act.

use spokeflow_coordination::wire::{Request, Response};
use spokeflow_coordination::{LeaseHolder, LeaseRequest};
use spokeflow_core::Micros;

use super::event::{router_conn, Event};
use super::{World, MS};

const RESPONSE_TIMEOUT: Micros = 500 * MS;

pub(super) struct Router {
    pub(super) lease_holder: LeaseHolder,
    pub(super) start: u32,
    pub(super) stopped: bool,
    pub(super) postponed: Vec<Event>,
    pub(super) clock_rate: f64,
    pub(super) node: usize,
    pub(super) last_response: Micros,
}

impl Router {
    fn try_next_node(&mut self, nodes: usize, now: Micros) {
        self.node = (self.node + 1) % nodes;
        self.last_response = now;
    }
}

impl World {
    pub(super) fn router_asks(&mut self, router: usize) {
        let now = self.clock(self.routers[router].clock_rate);
        let waited = self.now - self.routers[router].last_response;
        let many = self.nodes.len();
        let r = &mut self.routers[router];
        if waited > r.lease_holder.renewal_interval() + RESPONSE_TIMEOUT {
            r.try_next_node(many, self.now);
        }
        let (number, asked): (u64, LeaseRequest) = r.lease_holder.request(now);
        let to = r.node;
        let start = r.start;
        let every = (r.lease_holder.renewal_interval() as f64 / r.clock_rate) as Micros;
        let conn = router_conn(router, start);
        self.send(many + router, to, || Event::RequestArrives {
            to,
            conn,
            number,
            ask: Request::Lease(asked.clone()),
        });
        self.plan(every, Event::LeaseRenewal { router, start });
    }

    pub(super) fn answered(&mut self, conn: u64, number: u64, answer: Response) {
        let router = (conn as u32 >> 1) as usize;
        let many = self.nodes.len();
        let r = &mut self.routers[router];
        if r.start != (conn >> 32) as u32 {
            return;
        }
        match answer {
            Response::Granted(grant) => {
                self.played.grants += 1;
                r.last_response = self.now;
                if r.lease_holder.on_grant(number, *grant) {
                    let newest = r.lease_holder.newest();
                    r.lease_holder.set_applied_revision(newest);
                }
            }
            _ => r.try_next_node(many, self.now),
        }
    }

    /// Event must hold at each act under a lease.
    pub(super) fn acts(&mut self, router: usize) {
        let r = &self.routers[router];
        let now = self.clock(r.clock_rate);
        if r.lease_holder.expires_at().is_none_or(|until| now >= until) {
            self.played.unleased += 1;
            return;
        }
        self.played.leased += 1;
        let in_force = r.lease_holder.in_force().number.0;
        let newest = r.lease_holder.newest().0;
        let unknown = self
            .first_known
            .range(newest + 1..)
            .next()
            .map(|(n, at)| (*n, *at, "is known of"));
        let unforced = self
            .first_in_force
            .range(in_force + 1..)
            .next()
            .map(|(n, at)| (*n, *at, "is in force"));
        for (revision, at, how) in unknown.into_iter().chain(unforced) {
            let since = self.now - at;
            self.played.longest_contradiction = self.played.longest_contradiction.max(since);
            if since > self.scenario.lease {
                let what = format!(
                    "router {router} acts on {in_force}/{newest}, and revision {revision} {how} for {since} us"
                );
                self.played.broken.get_or_insert(what);
            }
        }
        if self.first_in_force.range(newest + 1..).next().is_some() {
            let what = format!(
                "router {router} acts on {newest} and has not heard of one that is in force"
            );
            self.played.broken.get_or_insert(what);
        }
    }
}
