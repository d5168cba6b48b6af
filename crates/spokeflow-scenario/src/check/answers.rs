//! Rule 1: each attempt gets one final answer, in time.

use super::state::{Attempt, Deadline};
use super::{attempt_name, Checker};
use crate::observation::{AnswerKind, Observation};
use crate::Micros;

/// How many of the newest breaks are searched for one that an answer that came late belongs to.
const RECENT_BREAKS: usize = 64;

impl Checker {
    pub(super) fn on_accepted(&mut self, at: Micros, observation: &Observation) {
        let Observation::Taken {
            by,
            attempt: number,
            command,
            op,
            key,
            timeout,
        } = observation
        else {
            return;
        };
        let deadline = at + timeout + self.config.slack;
        let router = self.router(*by);
        router.accepted.push_back(at);
        let attempt = Attempt {
            router: *by,
            command: *command,
            operation: usize::from(*op),
            key: *key,
            deadline,
            excused: router.shutdown.is_some(),
            client_left: false,
            answered: false,
            nacked: None,
            deliveries: Vec::new(),
        };
        self.attempts.insert(*number, attempt);
        self.answers_due.insert(Deadline {
            at: deadline,
            attempt: *number,
        });
    }

    /// An attempt's deadline has passed.
    pub(super) fn check_answered(&mut self, deadline: Micros, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        // A killed router owes nothing more; one that is ending takes nothing new.
        let killed = self
            .routers
            .get(&attempt.router)
            .and_then(|router| router.killed)
            .is_some_and(|at| at <= deadline);
        if !attempt.answered && !attempt.client_left && !attempt.excused && !killed {
            let command = attempt.command;
            let what = format!("no final answer in time: try {number} of command {command}");
            self.report(1, deadline, what, vec![attempt_name(number)]);
        }
    }

    /// Judges an answer. Returns the attempt's key where the answer binds one.
    pub(super) fn on_answer(&mut self, at: Micros, number: u64, kind: AnswerKind) -> Option<u64> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            let what = format!("an answer long after its time, or to nothing: try {number}");
            self.report(1, at, what, vec![attempt_name(number)]);
            return None;
        };
        let again = std::mem::replace(&mut attempt.answered, true);
        let late = at > attempt.deadline;
        let command = attempt.command;
        let key = attempt.key;
        if kind == AnswerKind::Nacked {
            attempt.nacked.get_or_insert(at);
        }
        if again {
            let what = format!("a second final answer: try {number} of command {command}");
            self.report(1, at, what, vec![attempt_name(number)]);
        } else if late && !self.reported_lately(number) {
            let what = format!("the final answer came too late: try {number} of command {command}");
            self.report(1, at, what, vec![attempt_name(number)]);
        }
        (kind == AnswerKind::Acked && key != 0).then_some(key)
    }

    /// What was owed and came late has been reported at its deadline.
    fn reported_lately(&self, attempt: u64) -> bool {
        let concerned = [attempt_name(attempt)];
        let mut recent = self.broken.iter().rev().take(RECENT_BREAKS);
        recent.any(|broken| broken.messages == concerned)
    }
}
