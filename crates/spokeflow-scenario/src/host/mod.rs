//! One host: cores, a queue, cold start, falling over, and what its build does wrong. No I/O; time is handed in.

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

/// Work that has reached a host.
struct ReachedWork {
    at: Micros,
    /// Seconds of one core.
    work: f64,
}

/// What faults and the build's defect do to one job.
struct JobConditions {
    /// Factor on the work.
    slowdown: f64,
    /// Probability of an error.
    failure: f64,
    /// Whether the answer is wrong.
    wrong: bool,
}

/// Jobs that wait for each core at most.
const QUEUE_PER_CORE: usize = 24;
/// Of its budget, how much a cold host may have been sent and still have room for a few more.
const HEADROOM: f64 = 0.6;
/// Work of a repeat that is dropped, in microseconds.
const DROPPED_REPEAT_WORK: f64 = 1000.0;
/// The longest that a job which fails fast takes, in microseconds.
const FAST_FAILURE: f64 = 5_000.0;
/// Waiting jobs from which on a build that fails under load does so.
const LOADED_QUEUE: usize = 2;
/// How long after its host's start a build with a late defect shows it.
const LATE_DEFECT_AFTER: Micros = 5 * SECOND;

/// A host of a run.
pub struct Host {
    /// What is wrong with its build.
    pub defect: BuildDefect,
    /// Its speed, 1 for that of the first build.
    pub speed: f64,
    /// What faults do to it.
    pub fault: HostFault,
    /// It was sent more than it can bear while it was cold, and is down.
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
    /// Work that has reached it lately, for the budget of a cold start.
    reached: VecDeque<ReachedWork>,
    /// Keys whose data is at hand, the longest unused first; of a host with room for all of them, none.
    cached_keys: VecDeque<u64>,
    cache_keys: usize,
    miss_cost: f64,
    thrash: f64,
    cancel: CancelPolicy,
    rng: StdRng,
}

impl Host {
    /// `started` is `None` for a host that has been up long.
    pub fn new(
        day: &Scenario,
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
            cores: day.cores as usize,
            queue_limit: QUEUE_PER_CORE * day.cores as usize,
            started,
            cold_from: day.cold_from,
            warm_within: day.warm_within,
            overload_multiple: day.overload_multiple,
            overload_window: day.overload_window,
            ops: day.ops.clone(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            reached: VecDeque::new(),
            cached_keys: VecDeque::new(),
            cache_keys: day.cache_keys as usize,
            miss_cost: day.miss_cost,
            thrash: day.thrash,
            cancel: day.cancel,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// The part of its capacity that it has by now.
    pub fn warm_up_fraction(&self, now: Micros) -> f64 {
        let age = self
            .started
            .map_or(self.warm_within, |at| (now - at).clamp(0, self.warm_within));
        self.cold_from + (1.0 - self.cold_from) * age as f64 / self.warm_within as f64
    }

    /// Jobs that it has, waiting and running.
    pub fn queued(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// A delivery has arrived. Returns false where it was not looked at, since the queue is full.
    pub fn arrive(&mut self, now: Micros, job: Job) -> bool {
        self.bear(now, job.op);
        if self.waiting.len() >= self.queue_limit {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    /// All work that reaches a cold host counts, also what it refuses.
    fn bear(&mut self, now: Micros, op: usize) {
        if !self.is_cold(now) {
            return self.reached.clear();
        }
        let horizon = now - self.overload_window;
        while self
            .reached
            .pop_front_if(|work| work.at <= horizon)
            .is_some()
        {}
        self.reached.push_back(ReachedWork {
            at: now,
            work: self.ops[op].work as f64 / SECOND as f64,
        });
        let sent: f64 = self.reached.iter().map(|work| work.work).sum();
        self.crashed |= sent > self.budget(now) + self.chance_beyond(now);
    }

    fn is_cold(&self, now: Micros) -> bool {
        self.started.is_some_and(|at| now - at < self.warm_within)
    }

    /// Whether it would bear a few more now without falling over.
    pub fn has_headroom(&self, now: Micros) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let horizon = now - self.overload_window;
        let recent = self.reached.iter().filter(|work| work.at > horizon);
        let sent: f64 = recent.map(|work| work.work).sum();
        sent < HEADROOM * self.budget(now)
    }

    /// Seconds of work that the multiple of its capacity allows over the span.
    fn budget(&self, now: Micros) -> f64 {
        let can = self.warm_up_fraction(now) * self.cores as f64 * self.speed;
        self.overload_multiple * can * self.overload_window as f64 / SECOND as f64
    }

    /// What chance brings beyond that before the host falls, as the operators' page on the fleet has it: with room for N
    /// commands of mean work, 3 times the root of N and 3 more. Routers that draw their parts keep to N in the mean;
    /// without this, the luckiest of some thousand cold hosts fell on drawn days (58, 252, 794 and others).
    fn chance_beyond(&self, now: Micros) -> f64 {
        let all: f64 = self.ops.iter().map(|op| op.share).sum();
        let mean: f64 = self
            .ops
            .iter()
            .map(|op| op.share * op.work as f64)
            .sum::<f64>()
            / all
            / SECOND as f64;
        (3.0 * (self.budget(now) / mean).sqrt() + 3.0) * mean
    }

    /// Begins what a core is free for. Returns what was begun.
    pub fn start_jobs(&mut self, now: Micros, marks: &mut DeduplicationTable) -> Vec<StartedJob> {
        let mut begun = Vec::new();
        while self.running.len() < self.cores {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            // Nobody waits any more for what has expired.
            if now < job.expires {
                begun.push(self.run(now, job, marks));
            }
        }
        begun
    }

    fn run(&mut self, now: Micros, job: Job, marks: &mut DeduplicationTable) -> StartedJob {
        let conditions = self.conditions(&job, now);
        let effect = match self.ops[job.op].repeat {
            Repeat::Deduplicated(memory) if job.idempotency_key != 0 => {
                marks.first(job.idempotency_key, memory, now)
            }
            _ => true,
        };
        let failed = self.rng.random_bool(conditions.failure.clamp(0.0, 1.0));
        let work = if effect {
            self.draw_work(job.op)
        } else {
            DROPPED_REPEAT_WORK
        };
        let beyond = self.waiting.len().saturating_sub(2 * self.cores) as f64;
        let slowdown = conditions.slowdown * self.fetch(job.key) * (1.0 + self.thrash * beyond);
        let mut took = work * slowdown / (self.speed * self.warm_up_fraction(now));
        // What fails fast fails at once, and may have had its effect all the same.
        if failed && self.fault.fails > 0.0 {
            took = took.min(FAST_FAILURE);
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

    /// Microseconds of work, bounded, so that a single draw does not hold a core for the rest of a short run.
    fn draw_work(&mut self, op: usize) -> f64 {
        let mean = self.ops[op].work as f64;
        let drawn = Exp::new(1.0 / mean).map_or(mean, |work| work.sample(&mut self.rng));
        (0.4 * mean + 0.6 * drawn).min(6.0 * mean)
    }

    /// Uses the key's data. Returns by how much the work grows where it is not at hand.
    pub fn fetch(&mut self, key: u64) -> f64 {
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

    /// Cores that work now, as a part of all.
    pub fn busy(&self) -> f64 {
        self.running.len() as f64 / self.cores as f64
    }

    /// Work that is before a command which arrives now, in microseconds of one core that is warm and well.
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
        let mut slowdown = fault.slower * fault.shared_slowdown * fault.neighbours;
        if job.op == slow_operation {
            slowdown *= slow_factor;
        }
        let mut failure = fault.fails;
        let mut wrong = false;
        let last_operation = job.op == self.ops.len() - 1;
        let loaded = self.waiting.len() >= LOADED_QUEUE;
        let late = self.started.is_some_and(|at| now - at > LATE_DEFECT_AFTER);
        match self.defect {
            BuildDefect::Errors(part) => failure = failure.max(part),
            BuildDefect::OneOp(part) if last_operation => failure = failure.max(part),
            BuildDefect::Slow(factor) => slowdown *= factor,
            BuildDefect::UnderLoad(part) if loaded => {
                slowdown *= 2.0;
                failure = failure.max(part);
            }
            BuildDefect::Late(part) if late => {
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

    /// When the next job ends.
    pub fn next_completion(&self) -> Option<Micros> {
        self.running.iter().map(|running| running.ends).min()
    }

    /// What has ended by now, in the order of its ends.
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

    /// The router `from` no longer wants this delivery.
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
