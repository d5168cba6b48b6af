//! Which host of a build a command is sent to.

use super::exposure::Exposed;
use super::outliers::UNRESPONSIVE_AFTER;
use super::{Out, Router, SECOND};
use crate::state::{CandidateSet, Command, Delivery, OperationState};
use crate::{
    hash_to_unit_interval, BuildId, CommandId, DeduplicationScope, Endpoint, Micros, Repeat,
};

/// Least routers that send to each host, so that uneven traffic evens out.
pub const ROUTERS_PER_HOST: f64 = 60.0;
/// Part of what the configured overload multiple allows a cold host that is sent to it; the rest is
/// for chance.
pub(super) const SLOW_START_FRACTION: f64 = 0.9;
/// Part of the latency objective that deliveries spend at hosts before these count as full.
pub(super) const CONCURRENCY_OBJECTIVE_FRACTION: f64 = 0.4;
/// How far above what lately came back the deliveries in flight may be, so that the limit can rise.
const CONCURRENCY_HEADROOM: f64 = 1.1;
/// Deliveries in flight that are allowed without any answer, and as many again for each host the
/// router has to itself.
const BASE_CONCURRENCY: f64 = 2.0;
/// Share of deliveries without a connection from which a router keeps to hosts that it has one to.
const MAX_REFUSED_FRACTION: f64 = 0.15;
/// How long a connection is taken to last after an answer.
const CONNECTION_LIFETIME: Micros = 10 * SECOND;
/// Seconds in which a load report loses most of its worth.
const LOAD_REPORT_FADE_SECONDS: f64 = 6.0;
/// Utilization at which a host's score would be infinite: a little above what can be reported.
const UTILIZATION_LIMIT: f64 = 1.05;
/// Largest slowdown, as a logarithm, that the score of a host goes by.
const MAX_SCORED_SLOWDOWN: f64 = 2.0;
/// Part of the received commands, one host each, that the own subset is made for.
const SUBSET_PER_COMMAND: f64 = 0.75;
/// Least hosts of the own subset: a choice of two needs two.
const MIN_SUBSET: usize = 2;
/// Part of what cold hosts may be sent that applies when the subset is left for want of hosts in
/// it.
const OUTSIDE_SUBSET_TRAFFIC: f64 = 0.2;
/// One over the part of the hosts that have to be fit; where fewer are, the router's own view is at
/// fault.
const FIT_DIVISOR: usize = 3;

/// The hosts of a build that this router keeps to.
#[derive(Debug)]
struct Subset {
    candidates: CandidateSet,
    /// How much more traffic from this router they get than without a subset.
    traffic_multiple: f64,
}

impl Router {
    /// Two random choices among the fit hosts of a build, by least load score.
    pub(super) fn choose_host(&mut self, id: CommandId, build: BuildId) -> Option<usize> {
        let command = &self.commands[&id];
        if self.at_concurrency_limit(command.operation) {
            return None;
        }
        let candidates = self.fit_hosts(command, build);
        if candidates.is_empty() {
            return None;
        }
        let largest = self.hosts.largest_size(&candidates);
        let first = self.draw(&candidates, largest);
        let second = self.draw(&candidates, largest);
        if self.load_score(second) < self.load_score(first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    /// The hosts of a build that a command may be sent to, less the suspects where there are
    /// others.
    fn fit_hosts(&self, command: &Command, build: BuildId) -> CandidateSet {
        let operation = &self.operations[command.operation];
        let subset = self.subset(build);
        let mut untried = self.usable_hosts(command, subset.candidates, subset.traffic_multiple);
        if untried.is_empty() {
            let all = self.hosts.candidates(build);
            untried = self.usable_hosts(command, all, OUTSIDE_SUBSET_TRAFFIC);
        }
        let mut fit = untried.clone();
        fit.retain(|host| {
            self.now >= self.hosts.ejected_until(host) && !self.is_unresponsive(host)
        });
        if fit.len() * FIT_DIVISOR < untried.len() {
            // Most hosts seem unfit at once: that is this router's view or its zone's links, not
            // the hosts.
            fit = untried;
        }
        // Hosts that take no new connection go on serving over the existing ones.
        let connected = |host: usize| {
            self.now.saturating_sub(self.hosts.connected_at(host)) < CONNECTION_LIFETIME
        };
        if self.refused_fraction > MAX_REFUSED_FRACTION && fit.any(connected) {
            fit.retain(connected);
        }
        // What runs at most once goes where answers come back; others try a suspect host.
        let proven = |host: usize| self.hosts.consecutive_failures(host) == 0;
        let needs_proof = operation.repeat == Repeat::AtMostOnce || !self.retry_budget.allows_one();
        if needs_proof && fit.any(proven) {
            fit.retain(proven);
        }
        fit
    }

    /// Those candidates that have not had the command, would drop its repeat and may take one more
    /// delivery.
    fn usable_hosts(
        &self,
        command: &Command,
        mut candidates: CandidateSet,
        traffic_multiple: f64,
    ) -> CandidateSet {
        let operation = &self.operations[command.operation];
        let bound_to = command
            .deliveries
            .iter()
            .find(|delivery| delivery.may_have_run)
            .map(|delivery| self.hosts.endpoint(delivery.host))
            .filter(|_| !repeats_anywhere(operation));
        let check_all = bound_to.is_some() || self.refused_fraction > MAX_REFUSED_FRACTION;
        let tried = command.deliveries.iter().map(|delivery| delivery.host);
        let quiet_since = self.now - UNRESPONSIVE_AFTER;
        self.hosts
            .mark_suspects(&mut candidates, check_all, quiet_since, tried);
        candidates.retain(|host| {
            drops_repeat(operation, bound_to, self.hosts.endpoint(host))
                && self.may_take(host, traffic_multiple)
                && !command.tried(host)
        });
        candidates
    }

    /// One host of a set, by chance, each as often as its size says.
    fn draw(&mut self, candidates: &CandidateSet, largest: f64) -> usize {
        loop {
            let host = candidates.nth(self.rng.below(candidates.len()));
            let part = self.hosts.endpoint(host).size / largest;
            if part >= 1.0 || self.rng.fraction() < part {
                return host;
            }
        }
    }

    /// Own deliveries in flight, weighed by how slowly the host answers and, where it reports, by
    /// how long others' commands make one wait. A report says less the older it is.
    fn load_score(&self, host: usize) -> f64 {
        let slowness = self
            .hosts
            .slowdown(host)
            .clamp(0.0, MAX_SCORED_SLOWDOWN)
            .exp();
        let report_age = self.now.saturating_sub(self.hosts.utilization_at(host)) as f64;
        let mean = self.load.mean_utilization;
        let above_mean = self.hosts.utilization(host) - mean;
        let utilization = mean
            + if above_mean.is_nan() {
                0.0
            } else {
                above_mean * (-(report_age / SECOND as f64) / LOAD_REPORT_FADE_SECONDS).exp()
            };
        f64::from(self.hosts.in_flight(host) + 1) * slowness / (UTILIZATION_LIMIT - utilization)
    }

    /// Guards against a new connection for nearly every command: of a build's hosts in zones that
    /// are not slow, a router with little traffic keeps to a few, its own by hash.
    fn subset(&self, build: BuildId) -> Subset {
        let zones = &self.slowdowns.zones;
        let mut candidates = self.hosts.candidates(build);
        if zones.any_excess() {
            candidates.mark_all_unverified();
            candidates.retain(|host| zones.excess(self.zone_index(host)) == 0.0);
        }
        let by_fleet = ROUTERS_PER_HOST / self.config.fleet_size;
        let by_traffic =
            SUBSET_PER_COMMAND * self.load.flow.received / self.hosts.ready_count() as f64;
        let target = (candidates.len() as f64 * by_fleet.max(by_traffic)).ceil() as usize;
        let own = target.max(MIN_SUBSET);
        let others = candidates.len().saturating_sub(own);
        Subset {
            candidates: self.hosts.first_by_rank(candidates, own),
            traffic_multiple: 1.0 + others as f64 / own as f64,
        }
    }

    /// Guards against queues at the hosts: no more is in flight than lately came back within a part
    /// of the latency objective. It could harm where answers return after a gap. An operation that
    /// waits everywhere is counted by itself.
    pub(super) fn at_concurrency_limit(&self, operation: usize) -> bool {
        let excess = |index: usize| self.slowdowns.operations.excess(index);
        let hosts = self.hosts.ready_count() as f64;
        let base = BASE_CONCURRENCY + BASE_CONCURRENCY * hosts / self.config.fleet_size;
        let alone = excess(operation) > 0.0;
        let mut in_flight = 0;
        let mut returns = 0.0;
        for (index, other) in self.operations.iter().enumerate() {
            let counts = if alone {
                index == operation
            } else {
                excess(index) == 0.0
            };
            if counts {
                in_flight += other.in_flight;
                returns += other.acks * other.latency_objective / SECOND as f64;
            }
        }
        f64::from(in_flight)
            >= base + CONCURRENCY_HEADROOM * CONCURRENCY_OBJECTIVE_FRACTION * returns
    }

    /// Whether a host may be sent one more. A fresh one gets no more in flight than its answers
    /// have earned, and in each slot of its age this router's own part of what the fleet may send
    /// it, drawn by hash where that is below one. What is sent counts, for hosts that err fast. One
    /// that has failed gets one command at a time.
    fn may_take(&self, host: usize, traffic_multiple: f64) -> bool {
        let age = self.hosts.age(host);
        if age < self.config.start_spans.bounded
            && !self.slow_start_allows(host, age, traffic_multiple)
        {
            return false;
        }
        self.hosts.consecutive_failures(host) == 0 || self.hosts.in_flight(host) == 0
    }

    fn slow_start_allows(&self, host: usize, age: Micros, traffic_multiple: f64) -> bool {
        let slot = age / self.config.overload_window;
        let started_at = self.now - age;
        let sent = self.hosts.sent_in_slot(host, slot);
        // The first slot follows no other.
        let part = self.config.slow_start_allowance
            * self.warm_up_fraction(age)
            * self.load.answers_per_host
            * traffic_multiple
            / (1 + slot.min(1)) as f64;
        let id = self.hosts.endpoint(host).host.0;
        let drawn = hash_to_unit_interval(
            u64::from(id) << 32 ^ u64::from(self.own_index) << 12 ^ (started_at + slot) as u64,
        );
        let in_slot = f64::from(sent + 1) <= part + drawn;
        in_slot && self.hosts.in_flight(host) <= 1 + self.hosts.answers(host)
    }

    /// Sends a command to a host and counts it everywhere.
    pub(super) fn dispatch(&mut self, id: CommandId, host: usize, out: Out) {
        let build = self.hosts.build(host);
        let on_trial = self.is_on_trial(build);
        let age_slot = self.hosts.age(host) / self.config.overload_window;
        let Some(command) = self.commands.get_mut(&id) else {
            return;
        };
        if on_trial {
            let slot = self.config.exposure_slot(command.operation);
            self.exposure
                .count_exposed(self.now, Exposed { slot, build });
        }
        command
            .deliveries
            .push(Delivery::new(host, build, self.now));
        self.sticky.entry(command.key).claim(build);
        self.hosts.add_in_flight(host);
        self.operations[command.operation].in_flight += 1;
        self.hosts.count_sent(host, age_slot);
        self.waiting.count_served(command.tenant);
        out.deliver(id, self.hosts.endpoint(host).host, None);
    }
}

/// Whether a repeat is harmless at any host.
fn repeats_anywhere(operation: &OperationState) -> bool {
    operation.repeat == Repeat::Idempotent || operation.scope == DeduplicationScope::All
}

/// Whether a host would drop the repeat of a command that may have run at `bound_to`.
fn drops_repeat(
    operation: &OperationState,
    bound_to: Option<&Endpoint>,
    endpoint: &Endpoint,
) -> bool {
    let Some(bound_to) = bound_to else {
        return true;
    };
    match operation.scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => bound_to.zone == endpoint.zone,
        DeduplicationScope::Cell => bound_to.cell == endpoint.cell,
        DeduplicationScope::Unknown => bound_to.host == endpoint.host,
    }
}
