//! A model of a host: cores, queue, slow start, crash by overload, and the defect of its build. No I/O; the caller
//! passes the time in.

mod job;

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};

pub use job::{DeduplicationTable, HostFault, Job, JobOutcome, StartedJob};

use crate::scenario::{BuildDefect, CancelPolicy, Op, Repeat, Scenario};
use crate::{Micros, SECOND};

/// A job on a core.
struct RunningJob {
    ends: Micros,
    outcome: JobOutcome,
    job: Job,
}

/// Work of a command that a host was sent.
struct SentWork {
    at: Micros,
    /// Seconds of work of one core.
    work: f64,
}

/// The effects of faults and of the build's defect on one job.
struct JobConditions {
    /// Factor on the work.
    slowdown: f64,
    /// Probability of an error.
    failure: f64,
    /// Whether the answer is wrong.
    wrong: bool,
}

/// Maximum number of waiting jobs per core.
const QUEUE_PER_CORE: usize = 24;
/// Fraction of its budget up to which a cold host has room for a few more commands.
const HEADROOM_FRACTION: f64 = 0.6;
/// Work of a repeat that is dropped, in microseconds.
const DROPPED_REPEAT_WORK_US: f64 = 1000.0;
/// Longest duration of a job that fails at once, in microseconds.
const MAX_FAST_FAILURE_US: f64 = 5_000.0;
/// Number of waiting jobs from which a build that fails under load fails.
const LOADED_QUEUE_LENGTH: usize = 2;
/// Time between the start of a host and the onset of a late defect of its build.
const LATE_DEFECT_ONSET: Micros = 5 * SECOND;

/// A host.
pub struct Host {
    /// Defect of its build.
    pub defect: BuildDefect,
    /// Speed of its build relative to the first build, which has 1.
    pub speed: f64,
    /// Effects of the active faults.
    pub fault: HostFault,
    /// Whether the host has crashed because it was sent more than it can process while cold.
    pub crashed: bool,
    cores: usize,
    queue_limit: usize,
    started: Option<Micros>,
    cold_from: f64,
    warm_within: Micros,
    overload_multiple: f64,
    overload_window: Micros,
    ops: Vec<Op>,
    waiting: VecDeque<Job>,
    running: Vec<RunningJob>,
    /// Work sent to it within the last `overload_window`, while it is cold.
    recent_work: VecDeque<SentWork>,
    /// Keys whose data is cached, least recently used first; empty if the host has room for all keys.
    cached_keys: VecDeque<u64>,
    cache_keys: usize,
    miss_cost: f64,
    thrash: f64,
    cancel: CancelPolicy,
    rng: StdRng,
}

impl Host {
    /// Creates a host. `started` is `None` for a host that has been warm from the start of the run.
    pub fn new(
        scenario: &Scenario,
        defect: BuildDefect,
        speed: f64,
        started: Option<Micros>,
        seed: u64,
    ) -> Host {
        Host {
            defect,
            speed,
            fault: HostFault::default(),
            crashed: false,
            cores: scenario.cores as usize,
            queue_limit: QUEUE_PER_CORE * scenario.cores as usize,
            started,
            cold_from: scenario.cold_from,
            warm_within: scenario.warm_within,
            overload_multiple: scenario.overload_multiple,
            overload_window: scenario.overload_window,
            ops: scenario.ops.clone(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            recent_work: VecDeque::new(),
            cached_keys: VecDeque::new(),
            cache_keys: scenario.cache_keys as usize,
            miss_cost: scenario.miss_cost,
            thrash: scenario.thrash,
            cancel: scenario.cancel,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the fraction of its full capacity that the host has reached.
    pub fn warm_up_fraction(&self, now: Micros) -> f64 {
        let age = self
            .started
            .map_or(self.warm_within, |at| (now - at).clamp(0, self.warm_within));
        self.cold_from + (1.0 - self.cold_from) * age as f64 / self.warm_within as f64
    }

    /// Returns the number of waiting and running jobs.
    pub fn queued(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Handles the arrival of a delivery. Returns false if it was not accepted because the queue is full.
    pub fn arrive(&mut self, now: Micros, job: Job) -> bool {
        self.record_sent_work(now, job.op);
        if self.waiting.len() >= self.queue_limit {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    /// Records the work sent to a cold host, including that of refused deliveries, and crashes the host if it exceeds
    /// the budget.
    fn record_sent_work(&mut self, now: Micros, op: usize) {
        if !self.is_cold(now) {
            return self.recent_work.clear();
        }
        let horizon = now - self.overload_window;
        while self
            .recent_work
            .pop_front_if(|work| work.at <= horizon)
            .is_some()
        {}
        self.recent_work.push_back(SentWork {
            at: now,
            work: self.ops[op].work as f64 / SECOND as f64,
        });
        let sent: f64 = self.recent_work.iter().map(|work| work.work).sum();
        self.crashed |= sent > self.budget(now) + self.random_allowance(now);
    }

    fn is_cold(&self, now: Micros) -> bool {
        self.started.is_some_and(|at| now - at < self.warm_within)
    }

    /// Returns whether the host can be sent a few more commands without crashing.
    pub fn has_headroom(&self, now: Micros) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let horizon = now - self.overload_window;
        let recent = self.recent_work.iter().filter(|work| work.at > horizon);
        let sent: f64 = recent.map(|work| work.work).sum();
        sent < HEADROOM_FRACTION * self.budget(now)
    }

    /// Returns the seconds of work that the host may be sent within `overload_window`: a multiple of its capacity.
    fn budget(&self, now: Micros) -> f64 {
        let capacity = self.warm_up_fraction(now) * self.cores as f64 * self.speed;
        self.overload_multiple * capacity * self.overload_window as f64 / SECOND as f64
    }

    /// Returns the seconds of work that the host survives beyond its budget: with a budget of N commands of mean work,
    /// another 3 times the square root of N and 3 commands, as the operators specify. Routers that choose hosts at
    /// random keep to N only in the mean. Without this allowance, single hosts among about a thousand cold ones crashed
    /// by chance in drawn scenarios (seeds 58, 252, 794 and others).
    fn random_allowance(&self, now: Micros) -> f64 {
        let total_share: f64 = self.ops.iter().map(|op| op.share).sum();
        let mean_work: f64 = self
            .ops
            .iter()
            .map(|op| op.share * op.work as f64)
            .sum::<f64>()
            / total_share
            / SECOND as f64;
        (3.0 * (self.budget(now) / mean_work).sqrt() + 3.0) * mean_work
    }

    /// Starts waiting jobs on the free cores and drops expired ones. Returns the started jobs.
    pub fn start_jobs(
        &mut self,
        now: Micros,
        deduplication: &mut DeduplicationTable,
    ) -> Vec<StartedJob> {
        let mut started = Vec::new();
        while self.running.len() < self.cores {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            // Nobody waits for the answer of an expired job.
            if now < job.expires {
                started.push(self.run(now, job, deduplication));
            }
        }
        started
    }

    fn run(&mut self, now: Micros, job: Job, deduplication: &mut DeduplicationTable) -> StartedJob {
        let conditions = self.conditions(&job, now);
        let effect = match self.ops[job.op].repeat {
            Repeat::Deduplicated(memory) if job.idempotency_key != 0 => {
                deduplication.insert(job.idempotency_key, memory, now)
            }
            _ => true,
        };
        let failed = self.rng.random_bool(conditions.failure.clamp(0.0, 1.0));
        let work = if effect {
            self.draw_work(job.op)
        } else {
            DROPPED_REPEAT_WORK_US
        };
        let excess_waiting = self.waiting.len().saturating_sub(2 * self.cores) as f64;
        let slowdown =
            conditions.slowdown * self.access_key(job.key) * (1.0 + self.thrash * excess_waiting);
        let mut took = work * slowdown / (self.speed * self.warm_up_fraction(now));
        // A job that fails at once may nevertheless have taken effect.
        if failed && self.fault.failure_probability > 0.0 {
            took = took.min(MAX_FAST_FAILURE_US);
        }
        let outcome = if failed {
            JobOutcome::Error
        } else {
            JobOutcome::Acked {
                wrong: conditions.wrong,
            }
        };
        let started = StartedJob {
            attempt: job.attempt,
            command: job.command,
            op: job.op,
            effect,
        };
        self.running.push(RunningJob {
            ends: now + took.max(1.0) as Micros,
            outcome,
            job,
        });
        started
    }

    /// Draws the work of a command in microseconds. It is bounded, so that a single draw does not occupy a core for the
    /// rest of a short run.
    fn draw_work(&mut self, op: usize) -> f64 {
        let mean = self.ops[op].work as f64;
        let drawn = Exp::new(1.0 / mean).map_or(mean, |work| work.sample(&mut self.rng));
        (0.4 * mean + 0.6 * drawn).min(6.0 * mean)
    }

    /// Accesses the data of a key through the cache. Returns the factor on the work: 1 if the key was cached.
    pub fn access_key(&mut self, key: u64) -> f64 {
        if self.cache_keys == 0 || key == 0 {
            return 1.0;
        }
        let cached = self.cached_keys.iter().position(|known| *known == key);
        if let Some(index) = cached {
            self.cached_keys.remove(index);
        }
        self.cached_keys.push_back(key);
        if self.cached_keys.len() > self.cache_keys {
            self.cached_keys.pop_front();
        }
        if cached.is_some() {
            1.0
        } else {
            self.miss_cost
        }
    }

    /// Returns the fraction of the cores that are busy.
    pub fn busy(&self) -> f64 {
        self.running.len() as f64 / self.cores as f64
    }

    /// Returns the work ahead of a command that arrives now, in microseconds per core of a warm host without faults.
    pub fn work_before(&self, now: Micros) -> f64 {
        let waiting: f64 = self
            .waiting
            .iter()
            .map(|job| self.ops[job.op].work as f64)
            .sum();
        let running: f64 = self
            .running
            .iter()
            .map(|running| (running.ends - now).max(0) as f64)
            .sum();
        (waiting + running) / self.cores as f64
    }

    fn conditions(&mut self, job: &Job, now: Micros) -> JobConditions {
        let fault = self.fault;
        let (slow_operation, slow_factor) = fault.slow_op;
        let mut slowdown = fault.slowdown * fault.shared_slowdown * fault.neighbours;
        if job.op == slow_operation {
            slowdown *= slow_factor;
        }
        let mut failure = fault.failure_probability;
        let mut wrong = false;
        let is_last_operation = job.op == self.ops.len() - 1;
        let is_loaded = self.waiting.len() >= LOADED_QUEUE_LENGTH;
        let is_late = self.started.is_some_and(|at| now - at > LATE_DEFECT_ONSET);
        match self.defect {
            BuildDefect::Errors(part) => failure = failure.max(part),
            BuildDefect::OneOp(part) if is_last_operation => failure = failure.max(part),
            BuildDefect::Slow(factor) => slowdown *= factor,
            BuildDefect::UnderLoad(part) if is_loaded => {
                slowdown *= 2.0;
                failure = failure.max(part);
            }
            BuildDefect::Late(part) if is_late => {
                slowdown *= 1.8;
                failure = failure.max(part);
            }
            BuildDefect::Wrong(part) => wrong = self.rng.random_bool(part),
            BuildDefect::None
            | BuildDefect::OneOp(_)
            | BuildDefect::UnderLoad(_)
            | BuildDefect::Late(_)
            | BuildDefect::Shared(_) => {}
        }
        JobConditions {
            slowdown,
            failure,
            wrong,
        }
    }

    /// Returns the time at which the next running job is completed; `None` if none is running.
    pub fn next_completion(&self) -> Option<Micros> {
        self.running.iter().map(|running| running.ends).min()
    }

    /// Removes and returns the jobs that are completed by `now`, in the order of completion.
    pub fn take_completed(&mut self, now: Micros) -> Vec<(Job, JobOutcome)> {
        let mut ended: Vec<_> = self
            .running
            .extract_if(.., |running| running.ends <= now)
            .collect();
        ended.sort_by_key(|running| (running.ends, running.job.delivery));
        let hangs = self.fault.hangs;
        let outcome = |outcome| if hangs { JobOutcome::Silent } else { outcome };
        ended
            .into_iter()
            .map(|running| (running.job, outcome(running.outcome)))
            .collect()
    }

    /// Handles the cancellation of a delivery from connection `from`.
    pub fn cancel(&mut self, from: u64, delivery: u64) {
        let same = |job: &Job| job.from == from && job.delivery == delivery;
        if self.cancel != CancelPolicy::Ignored {
            self.waiting.retain(|job| !same(job));
        }
        if self.cancel == CancelPolicy::Stops {
            self.running.retain(|running| !same(&running.job));
        }
    }
}
