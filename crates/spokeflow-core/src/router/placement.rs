//! Placement: the choice of a host, among those of a build, for a command.

use super::exposure::Exposed;
use super::outliers::UNRESPONSIVE_AFTER;
use super::{Out, Router, SECOND};
use crate::state::{CandidateSet, Command, Delivery, OperationState};
use crate::{
    hash_to_unit_interval, BuildId, CommandId, DeduplicationScope, Endpoint, Micros, Repeat,
};

/// Minimum number of routers that send to each host in a fleet of more than this many routers, so
/// that differences between the routers' traffic average out. Such a fleet is also what the
/// analysis and the votes treat as large; see `DerivedConfig::is_large_fleet`.
pub const ROUTERS_PER_HOST: f64 = 60.0;
/// Part of the configured overload multiple that deliveries to a cold host may use; the rest is a
/// margin for random variation.
pub(super) const SLOW_START_FRACTION: f64 = 0.9;
/// Part of the latency objective that deliveries may spend at the hosts before these count as full.
pub(super) const CONCURRENCY_OBJECTIVE_FRACTION: f64 = 0.4;
/// Factor by which the deliveries in flight may exceed those that the ack rate explains, so that
/// the concurrency limit can rise.
const CONCURRENCY_HEADROOM: f64 = 1.1;
/// Base of the concurrency limit, which holds before any ack: this many deliveries, plus this many
/// for each ready host per router of the fleet.
const BASE_CONCURRENCY: f64 = 2.0;
/// Share of deliveries without a connection above which a router prefers hosts that it has a
/// connection to.
const MAX_REFUSED_FRACTION: f64 = 0.15;
/// Time after a response in which the connection to the host is assumed to be open.
const CONNECTION_LIFETIME: Micros = 10 * SECOND;
/// Time constant, in seconds, of the decay of a load report's weight.
const LOAD_REPORT_DECAY_SECONDS: f64 = 6.0;
/// Utilization at which a host's score would be infinite: a little above what can be reported.
const UTILIZATION_LIMIT: f64 = 1.05;
/// Upper bound of the slowdown, as a logarithm, in a host's load score.
const MAX_SCORED_SLOWDOWN: f64 = 2.0;
/// Hosts in the subset for each recently received command, scaled by the build's part of the ready
/// hosts.
const SUBSET_PER_COMMAND: f64 = 0.75;
/// Least hosts in the subset, because the choice compares two.
const MIN_SUBSET: usize = 2;
/// Traffic multiple for cold hosts outside the subset, which are used when no host in it is usable.
const OUTSIDE_SUBSET_TRAFFIC: f64 = 0.2;
/// Reciprocal of the part of the usable hosts that must seem healthy; where fewer do, the cause is
/// assumed to be the router's own view, and none is excluded.
const MIN_HEALTHY_DIVISOR: usize = 3;

/// The hosts of a build that this router sends to.
#[derive(Debug)]
struct Subset {
    candidates: CandidateSet,
    /// Factor by which they get more traffic from this router than without a subset.
    traffic_multiple: f64,
}

impl Router {
    /// Draws two of the preferred hosts of a build and returns the one with the lower load score,
    /// or `None` at the concurrency limit or without a preferred host.
    pub(super) fn choose_host(&mut self, id: CommandId, build: BuildId) -> Option<usize> {
        let command = &self.commands[&id];
        if self.at_concurrency_limit(command.operation) {
            return None;
        }
        let candidates = self.preferred_hosts(command, build);
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

    /// Returns the hosts of a build that a command may be sent to, without those that are ejected
    /// or unresponsive unless fewer than a third would be left, and without hosts that suit the
    /// command less where others are left.
    fn preferred_hosts(&self, command: &Command, build: BuildId) -> CandidateSet {
        let operation = &self.operations[command.operation];
        let subset = self.subset(build);
        let mut usable = self.usable_hosts(command, subset.candidates, subset.traffic_multiple);
        if usable.is_empty() {
            let all = self.hosts.candidates(build);
            usable = self.usable_hosts(command, all, OUTSIDE_SUBSET_TRAFFIC);
        }
        let mut preferred = usable.clone();
        preferred.retain(|host| {
            self.now >= self.hosts.ejected_until(host) && !self.is_unresponsive(host)
        });
        if preferred.len() * MIN_HEALTHY_DIVISOR < usable.len() {
            // Most hosts seem unhealthy at once: the likely cause is this router or the network of
            // its zone, not the hosts.
            preferred = usable;
        }
        // Hosts that refuse new connections still serve over the existing ones.
        let connected = |host: usize| {
            self.now.saturating_sub(self.hosts.connected_at(host)) < CONNECTION_LIFETIME
        };
        if self.refused_fraction > MAX_REFUSED_FRACTION && preferred.any(connected) {
            preferred.retain(connected);
        }
        // A command that cannot be retried after it may have run goes to a host without failures;
        // other commands also try hosts that have failed before.
        let without_failures = |host: usize| self.hosts.consecutive_failures(host) == 0;
        let cannot_retry =
            operation.repeat == Repeat::AtMostOnce || !self.retry_budget.allows_one();
        if cannot_retry && preferred.any(without_failures) {
            preferred.retain(without_failures);
        }
        preferred
    }

    /// Returns the candidates that have not been sent the command, would drop its repeat where it
    /// may have run, and may take one more delivery.
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
            .mark_unverified(&mut candidates, check_all, quiet_since, tried);
        candidates.retain(|host| {
            drops_repeat(operation, bound_to, self.hosts.endpoint(host))
                && self.may_take(host, traffic_multiple)
                && !command.tried(host)
        });
        candidates
    }

    /// Draws a random host of a set, weighted by size.
    fn draw(&mut self, candidates: &CandidateSet, largest: f64) -> usize {
        loop {
            let host = candidates.nth(self.rng.below(candidates.len()));
            let part = self.hosts.endpoint(host).size / largest;
            if part >= 1.0 || self.rng.fraction() < part {
                return host;
            }
        }
    }

    /// Returns a host's load: this router's deliveries in flight there, weighted by the host's
    /// slowdown and, where it reports its utilization, by the wait behind other routers' commands.
    /// The weight of a report decays with its age.
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
                above_mean * (-(report_age / SECOND as f64) / LOAD_REPORT_DECAY_SECONDS).exp()
            };
        f64::from(self.hosts.in_flight(host) + 1) * slowness / (UTILIZATION_LIMIT - utilization)
    }

    /// Returns the hosts of a build that this router sends to: those in zones that are not slow,
    /// and for a router with little traffic only a few of them, chosen by hash.
    ///
    /// Guards against a new connection for nearly every command.
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
        let size = target.max(MIN_SUBSET);
        let others = candidates.len().saturating_sub(size);
        Subset {
            candidates: self.hosts.first_by_rank(candidates, size),
            traffic_multiple: 1.0 + others as f64 / size as f64,
        }
    }

    /// Whether as many deliveries are in flight as allowed. By Little's law the ack rate times a
    /// latency is the number of deliveries in flight at that latency, so the limit grows with the
    /// ack rate times a part of the latency objective. An operation that is slow at every host has
    /// a limit of its own.
    ///
    /// Guards against queues at the hosts. Limitation: after a gap without acks the limit is low
    /// although the hosts may be idle.
    pub(super) fn at_concurrency_limit(&self, operation: usize) -> bool {
        let excess = |index: usize| self.slowdowns.operations.excess(index);
        let hosts = self.hosts.ready_count() as f64;
        let base = BASE_CONCURRENCY + BASE_CONCURRENCY * hosts / self.config.fleet_size;
        let alone = excess(operation) > 0.0;
        let mut in_flight = 0;
        let mut acks_within_objective = 0.0;
        for (index, other) in self.operations.iter().enumerate() {
            let counts = if alone {
                index == operation
            } else {
                excess(index) == 0.0
            };
            if counts {
                in_flight += other.in_flight;
                acks_within_objective += other.acks * other.latency_objective / SECOND as f64;
            }
        }
        f64::from(in_flight)
            >= base + CONCURRENCY_HEADROOM * CONCURRENCY_OBJECTIVE_FRACTION * acks_within_objective
    }

    /// Whether a host may be sent one more delivery. A cold host is bounded by
    /// [`Router::slow_start_allows`]; a host that has failed gets one delivery at a time.
    fn may_take(&self, host: usize, traffic_multiple: f64) -> bool {
        let age = self.hosts.age(host);
        if age < self.config.start_spans.bounded
            && !self.slow_start_allows(host, age, traffic_multiple)
        {
            return false;
        }
        self.hosts.consecutive_failures(host) == 0 || self.hosts.in_flight(host) == 0
    }

    /// Whether slow start allows one more delivery to a cold host. It may have no more in flight
    /// than its acks allow, and in each interval of its age no more deliveries than this router's
    /// part of the fleet's allowance. The fraction of a delivery is rounded up or down by a hash,
    /// so that the routers together keep to the allowance. Deliveries are counted when they are
    /// sent, so that a host that fails fast does not get more.
    fn slow_start_allows(&self, host: usize, age: Micros, traffic_multiple: f64) -> bool {
        let interval = age / self.config.overload_window;
        let started_at = self.now - age;
        let sent = self.hosts.sent_in_interval(host, interval);
        // From the second interval on the allowance is halved, because an overload window may
        // overlap two intervals; the first one follows no other.
        let allowance = self.config.slow_start_allowance
            * self.capacity_fraction(age)
            * self.load.acks_per_host
            * traffic_multiple
            / (1 + interval.min(1)) as f64;
        let id = self.hosts.endpoint(host).host.0;
        let rounding = hash_to_unit_interval(
            u64::from(id) << 32 ^ u64::from(self.own_index) << 12 ^ (started_at + interval) as u64,
        );
        let in_allowance = f64::from(sent + 1) <= allowance + rounding;
        in_allowance && self.hosts.in_flight(host) <= 1 + self.hosts.acks(host)
    }

    /// Sends a command to a host and counts the delivery in all statistics.
    pub(super) fn dispatch(&mut self, id: CommandId, host: usize, out: Out) {
        let build = self.hosts.build(host);
        let on_trial = self.is_on_trial(build);
        let age_interval = self.hosts.age(host) / self.config.overload_window;
        let Some(command) = self.commands.get_mut(&id) else {
            return;
        };
        if on_trial {
            let index = self.config.exposure_index(command.operation);
            self.exposure
                .count_exposed(self.now, Exposed { index, build });
        }
        command
            .deliveries
            .push(Delivery::new(host, build, self.now));
        let key = command.key;
        let operation = command.operation;
        let tenant = command.tenant;
        self.claim_key(key, build);
        self.hosts.add_in_flight(host);
        self.operations[operation].in_flight += 1;
        self.hosts.count_sent(host, age_interval);
        self.waiting.count_served(tenant);
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
