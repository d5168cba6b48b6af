//! How loaded the hosts are, and how much slowness that explains.

use super::timers::Elapsed;
use super::{Router, SECOND};
use crate::{HostId, Micros};

/// Weight of the newest load report in the mean.
const UTILIZATION_LEARN_RATE: f64 = 0.05;
/// Weights of the newest answer rate a host where it is above, or below, what is known. A fleet
/// that answers little for a while can still do what it did.
const RISING_RATE_WEIGHT: f64 = 0.02;
const FALLING_RATE_WEIGHT: f64 = 0.001;
/// Weight of the present load in the baseline; the first one counts in full.
const BASELINE_WEIGHT: f64 = 0.01;
/// Part of a second's fading that the flow fades by: it covers about four seconds.
const FLOW_FADE_EXPONENT: f64 = 0.25;
/// Seconds over which the flow is remembered.
const FLOW_SPAN: Micros = 4 * SECOND;
/// After a start, for how long one answer is assumed, and how long no baseline is learned.
const ASSUMED_ANSWER_SPAN: Micros = 5 * SECOND;
const NO_BASELINE_SPAN: Micros = 2 * SECOND;
/// Slowness that one unit of load explains, both as logarithms, and the most that load explains.
pub(super) const SLOWNESS_PER_LOAD: f64 = 1.5;
const MAX_EXPLAINED_SLOWNESS: f64 = 1.5;
/// Most that commands received, retries among them, explain.
const MAX_EXPLAINED_BY_RETRIES: f64 = 1.0;
/// A fleet is full where it sheds more than the first part of what comes and answers more than the
/// second part of what it did before.
const FULL_SHED_FRACTION: f64 = 0.05;
const FULL_ANSWER_FRACTION: f64 = 0.95;

/// Commands of about the last four seconds, fading.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flow {
    pub(super) received: f64,
    pub(super) answered: f64,
    /// Given up because all hosts were full.
    pub(super) shed: f64,
}

/// Commands of late for each warm host's worth of fit capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    received: f64,
    pub(super) answered: f64,
    /// One over the capacity in warm hosts.
    pub(super) inverse_capacity: f64,
}

/// What the hosts had to do, now and before the canary.
#[derive(Debug)]
pub(super) struct LoadHistory {
    pub(super) flow: Flow,
    /// Answers a second that a warm host gives this router.
    pub(super) answers_per_host: f64,
    /// Sum of the seconds that warm hosts have been ready, fading as the flow does.
    host_seconds: f64,
    started_at: Micros,
    /// Load while no build was a canary.
    pub(super) baseline: Load,
    /// Mean of the reported utilization of late.
    pub(super) mean_utilization: f64,
}

impl LoadHistory {
    pub(super) fn new(now: Micros) -> Self {
        LoadHistory {
            flow: Flow::default(),
            answers_per_host: 0.0,
            host_seconds: 0.0,
            started_at: now,
            baseline: Load::default(),
            mean_utilization: 0.0,
        }
    }

    pub(super) fn fade_flow(&mut self, fade: f64) {
        let factor = fade.powf(FLOW_FADE_EXPONENT);
        self.flow.received *= factor;
        self.flow.answered *= factor;
        self.flow.shed *= factor;
    }

    fn learn_baseline(&mut self, load: Load) {
        let weight = if self.baseline.answered > 0.0 {
            BASELINE_WEIGHT
        } else {
            1.0
        };
        let baseline = &mut self.baseline;
        baseline.received += weight * (load.received - baseline.received);
        baseline.answered += weight * (load.answered - baseline.answered);
        baseline.inverse_capacity += weight * (load.inverse_capacity - baseline.inverse_capacity);
    }
}

impl Router {
    /// A host has reported how busy its cores are, 0 to 1.
    pub fn on_load_report(&mut self, host: HostId, utilization: f64) {
        let Some(&host) = self.host_index.get(&host) else {
            return;
        };
        let utilization = utilization.clamp(0.0, 1.0);
        self.hosts.set_utilization(host, utilization);
        let mean = &mut self.load.mean_utilization;
        *mean += UTILIZATION_LEARN_RATE * (utilization - *mean);
    }

    /// The least part of its capacity that a host of an age can have.
    pub(super) fn warm_up_fraction(&self, age: Micros) -> f64 {
        let warm_up_time = self.config.warm_up_time;
        let part = age.min(warm_up_time) as f64 / warm_up_time as f64;
        self.config.slow_start_from + (1.0 - self.config.slow_start_from) * part
    }

    /// The present load of the hosts that take deliveries.
    pub(super) fn present_load(&self) -> Load {
        let takes = |host| {
            self.hosts.consecutive_failures(host) == 0 && self.now >= self.hosts.ejected_until(host)
        };
        let capacity = self
            .hosts
            .sum_ready(|age| self.warm_up_fraction(age), takes)
            .max(1.0);
        let lifetime = (self.now - self.load.started_at) as f64;
        // Soon after the start the flow covers only a part of its span.
        let covered = (1.0 - (-lifetime / FLOW_SPAN as f64).exp()).max(0.1);
        Load {
            received: self.load.flow.received / covered / capacity,
            answered: self.load.flow.answered / covered / capacity,
            inverse_capacity: 1.0 / capacity,
        }
    }

    /// The slowness, as a logarithm, that more load or less capacity than before the canary
    /// explains; retries, up to a bound.
    pub(super) fn slowness_by_load(&self) -> f64 {
        let now = self.present_load();
        let baseline = self.load.baseline;
        let explains = |now: f64, before: f64| SLOWNESS_PER_LOAD * (now / before.max(1e-9)).ln();
        let slowness = explains(now.received, baseline.received)
            .min(MAX_EXPLAINED_BY_RETRIES)
            .max(explains(now.answered, baseline.answered))
            .max(explains(now.inverse_capacity, baseline.inverse_capacity))
            .clamp(0.0, MAX_EXPLAINED_SLOWNESS);
        // A fleet that sheds and yet answers as much as before is full: that is load, whatever was
        // received. One that has just been replaced was cold, and has the queue of that time to
        // work off.
        let flow = self.load.flow;
        let full = flow.shed > FULL_SHED_FRACTION * flow.received
            && now.answered > FULL_ANSWER_FRACTION * baseline.answered;
        if full || 2 * self.hosts.recently_started() > self.hosts.ready_count() {
            MAX_EXPLAINED_SLOWNESS
        } else if baseline.answered > 0.0 {
            slowness
        } else {
            0.0
        }
    }

    /// Learns what a warm host answers. Guards against a storm, a fleet most of which has died, a
    /// start beside few cold hosts: only answers count, those of dead hosts while they were ready,
    /// over the time in which a warm host may answer one router once.
    pub(super) fn learn_answer_rate(&mut self, elapsed: Elapsed) {
        let capacity = self
            .hosts
            .sum_ready(|age| self.warm_up_fraction(age), |_| true);
        let load = &mut self.load;
        load.host_seconds = load.host_seconds * elapsed.fade.powf(FLOW_FADE_EXPONENT)
            + capacity * elapsed.time as f64 / SECOND as f64;
        let longest_objective = self
            .operations
            .iter()
            .map(|operation| operation.latency_objective)
            .fold(0.0, f64::max);
        let once = self.config.fleet_size * longest_objective / SECOND as f64;
        let assumed = u8::from(self.now < load.started_at + ASSUMED_ANSWER_SPAN);
        let rate = load.flow.answered.max(assumed.into()) / load.host_seconds.max(once);
        let weight = if rate > load.answers_per_host {
            RISING_RATE_WEIGHT
        } else {
            FALLING_RATE_WEIGHT
        };
        load.answers_per_host += (rate - load.answers_per_host) * weight;
    }

    /// Learns the baseline of the load while no build is a canary.
    pub(super) fn learn_baseline_load(&mut self) {
        if !self.rollout.is_canary() && self.now > self.load.started_at + NO_BASELINE_SPAN {
            let load = self.present_load();
            self.load.learn_baseline(load);
        }
    }
}
