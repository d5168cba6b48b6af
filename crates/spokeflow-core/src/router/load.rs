//! The load on the hosts, and the slowness that it explains.

use super::timers::Elapsed;
use super::{Router, SECOND};
use crate::{HostId, Micros};

/// Weight of the newest load report in the mean utilization.
const UTILIZATION_LEARN_RATE: f64 = 0.05;
/// Weights of the newest ack rate per host where it is above, and below, the estimate. The estimate
/// falls slowly, because a fleet that acks few commands for a while keeps its capacity.
const RISING_RATE_WEIGHT: f64 = 0.02;
const FALLING_RATE_WEIGHT: f64 = 0.001;
/// Weight of the present load in the baseline; the first one has weight 1.
const BASELINE_WEIGHT: f64 = 0.01;
/// Decay rate of the flow, per second; its time constant is [`FLOW_SPAN`].
const FLOW_DECAY_RATE: f64 = 0.25;
/// Time constant of the flow's decay.
const FLOW_SPAN: Micros = 4 * SECOND;
/// Time after the router's start in which at least one ack is assumed, and time in which no
/// baseline is learned.
const ASSUMED_ACK_SPAN: Micros = 5 * SECOND;
const NO_BASELINE_SPAN: Micros = 2 * SECOND;
/// Slowness that one unit of additional load explains, both as logarithms, and the most slowness
/// that load explains.
pub(super) const SLOWNESS_PER_LOAD: f64 = 1.5;
const MAX_EXPLAINED_SLOWNESS: f64 = 1.5;
/// Most slowness, as a logarithm, that commands received explain: some of them are clients'
/// retries, which a slow build may itself cause.
const MAX_EXPLAINED_BY_RETRIES: f64 = 1.0;
/// A fleet is full where it sheds more than the first part of the commands received and acks more
/// than the second part of the baseline.
const FULL_SHED_FRACTION: f64 = 0.05;
const FULL_ACK_FRACTION: f64 = 0.95;
/// Lower bound of the part of its span that the flow covers, so that the first counts after the
/// start are not scaled up without limit.
const MIN_COVERED_FRACTION: f64 = 0.1;
/// Lower bound of divisors, against division by 0.
pub(super) const MIN_DIVISOR: f64 = 1e-9;

/// Commands received and their outcomes, decaying with a time constant of four seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flow {
    pub(super) received: f64,
    pub(super) acked: f64,
    /// Commands ended because they could not be routed in time or their key's build was at its
    /// exposure cap, without those shed at admission.
    pub(super) shed: f64,
}

/// Recent commands per unit of healthy capacity, where a warm host has one unit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    received: f64,
    pub(super) acked: f64,
    /// Reciprocal of the healthy capacity.
    pub(super) inverse_capacity: f64,
}

/// The recent load on the hosts, and the baseline from before the canary.
#[derive(Debug)]
pub(super) struct LoadHistory {
    pub(super) flow: Flow,
    /// Acks per second that this router gets from a warm host.
    pub(super) acks_per_host: f64,
    /// Seconds that hosts have been ready, summed over the hosts, weighted by their capacity and
    /// decaying as the flow does.
    host_seconds: f64,
    started_at: Micros,
    /// Moving average of the load while no build was a canary.
    pub(super) baseline: Load,
    /// Moving average of the reported utilization.
    pub(super) mean_utilization: f64,
}

impl LoadHistory {
    pub(super) fn new(now: Micros) -> Self {
        LoadHistory {
            flow: Flow::default(),
            acks_per_host: 0.0,
            host_seconds: 0.0,
            started_at: now,
            baseline: Load::default(),
            mean_utilization: 0.0,
        }
    }

    pub(super) fn decay_flow(&mut self, decay: f64) {
        let factor = decay.powf(FLOW_DECAY_RATE);
        self.flow.received *= factor;
        self.flow.acked *= factor;
        self.flow.shed *= factor;
    }

    fn learn_baseline(&mut self, load: Load) {
        let weight = if self.baseline.acked > 0.0 {
            BASELINE_WEIGHT
        } else {
            1.0
        };
        let baseline = &mut self.baseline;
        baseline.received += weight * (load.received - baseline.received);
        baseline.acked += weight * (load.acked - baseline.acked);
        baseline.inverse_capacity += weight * (load.inverse_capacity - baseline.inverse_capacity);
    }
}

impl Router {
    /// Handles a host's report of its CPU utilization, 0 to 1.
    pub fn on_load_report(&mut self, host: HostId, utilization: f64) {
        let Some(&host) = self.host_index.get(&host) else {
            return;
        };
        let utilization = utilization.clamp(0.0, 1.0);
        self.hosts.set_utilization(host, utilization);
        let mean = &mut self.load.mean_utilization;
        *mean += UTILIZATION_LEARN_RATE * (utilization - *mean);
    }

    /// Returns the lower bound of the fraction of its full capacity that a host of the given age
    /// has.
    pub(super) fn capacity_fraction(&self, age: Micros) -> f64 {
        let warm_up_time = self.config.warm_up_time;
        let part = age.min(warm_up_time) as f64 / warm_up_time as f64;
        self.config.slow_start_from + (1.0 - self.config.slow_start_from) * part
    }

    /// Returns the present load on the hosts that are neither ejected nor failing.
    pub(super) fn present_load(&self) -> Load {
        let is_healthy = |host| {
            self.hosts.consecutive_failures(host) == 0 && self.now >= self.hosts.ejected_until(host)
        };
        let capacity = self
            .hosts
            .sum_ready(|age| self.capacity_fraction(age), is_healthy)
            .max(1.0);
        let lifetime = (self.now - self.load.started_at) as f64;
        // Shortly after the start the flow covers only a part of its span.
        let covered = (1.0 - (-lifetime / FLOW_SPAN as f64).exp()).max(MIN_COVERED_FRACTION);
        Load {
            received: self.load.flow.received / covered / capacity,
            acked: self.load.flow.acked / covered / capacity,
            inverse_capacity: 1.0 / capacity,
        }
    }

    /// Returns the slowness, as a logarithm, that more load or less capacity than before the canary
    /// explains.
    pub(super) fn slowness_by_load(&self) -> f64 {
        let now = self.present_load();
        let baseline = self.load.baseline;
        let explains =
            |now: f64, before: f64| SLOWNESS_PER_LOAD * (now / before.max(MIN_DIVISOR)).ln();
        let slowness = explains(now.received, baseline.received)
            .min(MAX_EXPLAINED_BY_RETRIES)
            .max(explains(now.acked, baseline.acked))
            .max(explains(now.inverse_capacity, baseline.inverse_capacity))
            .clamp(0.0, MAX_EXPLAINED_SLOWNESS);
        // A fleet that sheds commands but acks as many as before is full: then load explains the
        // slowness, whatever was received. A fleet most of which has just started was cold, and
        // still has to work off the queue from that time.
        let flow = self.load.flow;
        let full = flow.shed > FULL_SHED_FRACTION * flow.received
            && now.acked > FULL_ACK_FRACTION * baseline.acked;
        if full || 2 * self.hosts.recently_started() > self.hosts.ready_count() {
            MAX_EXPLAINED_SLOWNESS
        } else if baseline.acked > 0.0 {
            slowness
        } else {
            0.0
        }
    }

    /// Updates the acks per second of a warm host, which bound the deliveries to cold hosts.
    ///
    /// Guards against an estimate that is too high in a burst of commands, after the loss of most
    /// hosts, or at a start with few cold hosts: only acks count, lost hosts count for the time
    /// they were ready, and the time is at least that in which a warm host acks one command of each
    /// router of the fleet.
    pub(super) fn learn_ack_rate(&mut self, elapsed: Elapsed) {
        let capacity = self
            .hosts
            .sum_ready(|age| self.capacity_fraction(age), |_| true);
        let load = &mut self.load;
        load.host_seconds = load.host_seconds * elapsed.decay.powf(FLOW_DECAY_RATE)
            + capacity * elapsed.time as f64 / SECOND as f64;
        let longest_objective = self
            .operations
            .iter()
            .map(|operation| operation.latency_objective)
            .fold(0.0, f64::max);
        let min_host_seconds = self.config.fleet_size * longest_objective / SECOND as f64;
        let assumed = u8::from(self.now < load.started_at + ASSUMED_ACK_SPAN);
        let rate = load.flow.acked.max(assumed.into()) / load.host_seconds.max(min_host_seconds);
        let weight = if rate > load.acks_per_host {
            RISING_RATE_WEIGHT
        } else {
            FALLING_RATE_WEIGHT
        };
        load.acks_per_host += (rate - load.acks_per_host) * weight;
    }

    /// Updates the baseline of the load while no build is a canary.
    pub(super) fn learn_baseline_load(&mut self) {
        if !self.rollout.is_canary() && self.now > self.load.started_at + NO_BASELINE_SPAN {
            let load = self.present_load();
            self.load.learn_baseline(load);
        }
    }
}
