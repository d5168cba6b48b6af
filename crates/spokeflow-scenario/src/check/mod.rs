//! Decides the five rules of `docs/rules.md` from the trace of a run: messages and effects at the hosts, nothing
//! else. It shares no code with the router's own accounting. This file holds the checker and hands each
//! observation to the module of the rules it concerns.
//!
//! A message is noted when a fake peer writes or reads it, which is up to `slack` from when the router handled
//! it. Each rule is judged in the router's favour by that much, so that a busy machine breaks none. Observations
//! are taken one by one and forgotten when they can decide nothing more: runs of any length fit into memory.

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

/// One break of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// 1 to 5, as the rules are numbered in `docs/rules.md`.
    pub rule: u8,
    /// When the rule was broken.
    pub at: Micros,
    /// What happened, for people.
    pub what: String,
    /// Until [`explain`] has run, the attempts, hosts and routers concerned; then their messages, with times in
    /// seconds.
    pub messages: Vec<String>,
}

/// What was observed in a run, in the order of the times.
type Trace = [(Micros, Observation)];

/// All breaks, in the order of their times, with the messages that concern the first ones.
pub fn check(config: &RuleConfig, trace: &Trace) -> Vec<Broken> {
    let mut checker = Checker::new(config.clone());
    for (at, observation) in trace {
        checker.observe(*at, observation);
    }
    let mut broken = checker.finish();
    explain(&mut broken, trace);
    broken
}

/// Judges a run while it goes on.
pub struct Checker {
    config: RuleConfig,
    now: Micros,
    attempts: HashMap<u64, Attempt>,
    /// Attempts that are still to be answered, by their deadlines.
    answers_due: BTreeSet<Deadline>,
    /// Attempts past their deadlines, by when they are forgotten.
    attempts_to_forget: VecDeque<Deadline>,
    /// By command.
    effects: HashMap<u64, CommandEffects>,
    /// Each effect's time and command, the oldest first.
    effects_to_forget: VecDeque<(Micros, u64)>,
    routers: BTreeMap<Process, RouterView>,
    broken: Vec<Broken>,
    last_sweep: Micros,
}

impl Checker {
    /// A checker at the start of a run.
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
            broken: Vec::new(),
            last_sweep: 0,
        }
    }

    /// Breaks found so far.
    pub fn broken(&self) -> &[Broken] {
        &self.broken
    }

    fn report(&mut self, rule: u8, at: Micros, what: String, concerned: Vec<String>) {
        self.broken.push(Broken {
            rule,
            at,
            what,
            messages: concerned,
        });
    }

    /// Takes in the next observation. Times never go back.
    pub fn observe(&mut self, at: Micros, observation: &Observation) {
        self.advance(at);
        match observation {
            Observation::Taken { .. } => self.on_accepted(at, observation),
            Observation::Answered {
                by,
                attempt: tried,
                kind,
                build,
            } => {
                let first_key_answer = self.on_answer(at, *tried, *kind);
                if let Some(key) = first_key_answer {
                    self.bind_key(at, *by, key, *build);
                }
            }
            Observation::Left { attempt: tried } => {
                if let Some(attempt) = self.attempts.get_mut(tried) {
                    attempt.client_left = true;
                }
            }
            Observation::Delivered {
                host,
                build,
                from,
                attempt: tried,
                delivery,
            } => {
                self.check_redelivery(at, *tried, *delivery);
                self.check_draining(at, *from, *host, *tried);
                self.check_exposure(at, *from, *host, *build, *tried);
            }
            Observation::Replied {
                attempt: tried,
                delivery,
                kind: ReplyKind::Full,
                ..
            } => self.on_refusal(*tried, *delivery),
            Observation::Ran {
                attempt: tried,
                command,
                op,
                ..
            } => self.on_effect(at, *tried, *command, usize::from(*op)),
            Observation::Listed { to, whole, lines } => {
                self.router(*to).on_list(at, *whole, lines);
            }
            Observation::News {
                to,
                build,
                state: standing,
                cap,
                ..
            } => self.router(*to).on_rollout(at, *build, *standing, *cap),
            Observation::RouterKilled(process) => self.router(*process).killed = Some(at),
            Observation::RouterShutdown(process) => self.router(*process).shutdown = Some(at),
            Observation::Fell { host } => self.on_overrun(at, *host),
            _ => {}
        }
    }

    fn router(&mut self, process: Process) -> &mut RouterView {
        self.routers.entry(process).or_default()
    }

    /// The run is over: what is not due yet was not owed yet. All breaks, in the order of their times.
    pub fn finish(mut self) -> Vec<Broken> {
        let mut remaining: Vec<u64> = self.attempts.keys().copied().collect();
        remaining.sort_unstable();
        for attempt in remaining {
            self.forget_attempt(attempt);
        }
        self.broken.sort_by_key(|broken| broken.at);
        self.broken
    }
}

/// How an attempt is named among those a break concerns.
fn attempt_name(attempt: u64) -> String {
    format!("try {attempt}")
}

/// How a host is named among those a break concerns.
fn host_name(host: u32) -> String {
    format!("host {host}")
}

/// How a router is named among those a break concerns.
fn router_name(router: u32) -> String {
    format!("router {router}")
}
