//! Checks the five rules of `docs/rules.md` on the trace of a run, which consists of messages and of effects at the
//! hosts. The checker shares no code with the router's own accounting. This module passes each observation to the
//! modules of the rules that it concerns.
//!
//! A message is recorded when a test peer writes or reads it, up to `slack` before or after the router handles it. Each
//! rule allows the router this much tolerance, so that a busy machine causes no violation. The checker forgets
//! observations that no longer matter, so that runs of any length are checked in bounded memory.

mod answers;
mod config;
mod draining;
mod effects;
mod explain;
mod exposure;
mod retention;
mod slow_start;
mod state;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use serde::Serialize;

pub use config::RuleConfig;
pub use explain::explain;
pub use retention::Retained;

use crate::observation::{Observation, Process, ReplyKind};
use crate::Micros;
use state::{Attempt, CommandEffects, Deadline, RouterView};

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct RuleViolation {
    /// Number of the rule, 1 to 5, as in `docs/rules.md`.
    pub rule: u8,
    /// Time of the violation.
    pub at: Micros,
    /// Description of the violation.
    pub what: String,
    /// Names of the attempts, hosts and routers concerned; [`explain`] replaces them by the messages about these, with
    /// times in seconds.
    pub messages: Vec<String>,
}

/// The observations of a run, in the order of their times.
type Trace = [(Micros, Observation)];

/// Checks a trace. Returns all violations in the order of their times, the first ones with the related messages.
pub fn check(config: &RuleConfig, trace: &Trace) -> Vec<RuleViolation> {
    let mut checker = Checker::new(config.clone());
    for (at, observation) in trace {
        checker.observe(*at, observation);
    }
    let mut violations = checker.finish();
    explain(&mut violations, trace);
    violations
}

/// Checks the rules while a run goes on.
pub struct Checker {
    config: RuleConfig,
    now: Micros,
    attempts: HashMap<u64, Attempt>,
    /// Deadlines of the attempts whose deadline has not passed.
    answers_due: BTreeSet<Deadline>,
    /// Attempts whose deadline has passed, with the times at which they are forgotten.
    attempts_to_forget: VecDeque<Deadline>,
    /// By command, its effects.
    effects: HashMap<u64, CommandEffects>,
    /// Time and command of each effect, the oldest first.
    effects_to_forget: VecDeque<(Micros, u64)>,
    routers: BTreeMap<Process, RouterView>,
    violations: Vec<RuleViolation>,
    last_sweep: Micros,
}

impl Checker {
    /// Creates a checker for a run that has not started.
    pub fn new(config: RuleConfig) -> Checker {
        Checker {
            config,
            now: 0,
            attempts: HashMap::new(),
            answers_due: BTreeSet::new(),
            attempts_to_forget: VecDeque::new(),
            effects: HashMap::new(),
            effects_to_forget: VecDeque::new(),
            routers: BTreeMap::new(),
            violations: Vec::new(),
            last_sweep: 0,
        }
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[RuleViolation] {
        &self.violations
    }

    fn report(&mut self, rule: u8, at: Micros, what: String, concerned: Vec<String>) {
        self.violations.push(RuleViolation {
            rule,
            at,
            what,
            messages: concerned,
        });
    }

    /// Checks the next observation. Times must not decrease.
    pub fn observe(&mut self, at: Micros, observation: &Observation) {
        self.advance(at);
        match observation {
            Observation::Taken { .. } => self.on_accepted(at, observation),
            Observation::Answered {
                by,
                attempt,
                kind,
                build,
            } => {
                let acked_key = self.on_answer(at, *attempt, *kind);
                if let Some(key) = acked_key {
                    self.bind_key(at, *by, key, *build);
                }
            }
            Observation::Left { attempt } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.client_left = true;
                }
            }
            Observation::Delivered {
                host,
                build,
                from,
                attempt,
                delivery,
            } => {
                self.check_redelivery(at, *attempt, *delivery);
                self.check_draining(at, *from, *host, *attempt);
                self.check_exposure(at, *from, *host, *build, *attempt);
            }
            Observation::Replied {
                attempt,
                delivery,
                kind: ReplyKind::Full,
                ..
            } => self.on_refusal(*attempt, *delivery),
            Observation::Ran {
                attempt,
                command,
                op,
                ..
            } => self.on_effect(at, *attempt, *command, usize::from(*op)),
            Observation::Listed { to, whole, lines } => {
                self.router(*to).on_list(at, *whole, lines);
            }
            Observation::News {
                to,
                build,
                state,
                cap,
                ..
            } => self.router(*to).on_rollout(at, *build, *state, *cap),
            Observation::RouterKilled(process) => self.router(*process).killed = Some(at),
            Observation::RouterShutdown(process) => self.router(*process).shutdown = Some(at),
            Observation::Fell { host } => self.on_overload(at, *host),
            _ => {}
        }
    }

    fn router(&mut self, process: Process) -> &mut RouterView {
        self.routers.entry(process).or_default()
    }

    /// Returns all violations in the order of their times at the end of the run. Attempts whose deadline has not passed
    /// do not have to be answered.
    pub fn finish(mut self) -> Vec<RuleViolation> {
        let mut remaining: Vec<u64> = self.attempts.keys().copied().collect();
        remaining.sort_unstable();
        for attempt in remaining {
            self.forget_attempt(attempt);
        }
        self.violations.sort_by_key(|violation| violation.at);
        self.violations
    }
}

/// Returns the name of an attempt in [`RuleViolation::messages`].
fn attempt_name(attempt: u64) -> String {
    format!("attempt {attempt}")
}

/// Returns the name of a host in [`RuleViolation::messages`].
fn host_name(host: u32) -> String {
    format!("host {host}")
}

/// Returns the name of a router in [`RuleViolation::messages`].
fn router_name(router: u32) -> String {
    format!("router {router}")
}
