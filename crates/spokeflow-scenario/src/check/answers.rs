//! Rule 1: each attempt gets exactly one final answer before its deadline.

use super::state::{Attempt, Deadline};
use super::{attempt_name, Checker};
use crate::observation::{AnswerKind, Observation};
use crate::Micros;

/// Number of the newest violations that are searched for the missed deadline of a late answer.
const RECENT_VIOLATIONS: usize = 64;

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
            needs_no_answer: router.shutdown.is_some(),
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

    /// Checks an attempt whose deadline has passed.
    pub(super) fn check_answered(&mut self, deadline: Micros, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        // A killed router cannot answer, and one that is shutting down accepts no new attempts.
        let router_was_killed = self
            .routers
            .get(&attempt.router)
            .and_then(|router| router.killed)
            .is_some_and(|at| at <= deadline);
        if !attempt.answered
            && !attempt.client_left
            && !attempt.needs_no_answer
            && !router_was_killed
        {
            let command = attempt.command;
            let what =
                format!("no final answer by the deadline: attempt {number} of command {command}");
            self.report(1, deadline, what, vec![attempt_name(number)]);
        }
    }

    /// Checks an answer. Returns the sticky key of an acked attempt that has one.
    pub(super) fn on_answer(&mut self, at: Micros, number: u64, kind: AnswerKind) -> Option<u64> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            let what = format!(
                "answer to unknown attempt {number}: long past its deadline, or never sent"
            );
            self.report(1, at, what, vec![attempt_name(number)]);
            return None;
        };
        let is_repeated = std::mem::replace(&mut attempt.answered, true);
        let is_late = at > attempt.deadline;
        let command = attempt.command;
        let key = attempt.key;
        if kind == AnswerKind::Nacked {
            attempt.nacked.get_or_insert(at);
        }
        if is_repeated {
            let what = format!("second final answer: attempt {number} of command {command}");
            self.report(1, at, what, vec![attempt_name(number)]);
        } else if is_late && !self.is_reported(number) {
            let what =
                format!("final answer after the deadline: attempt {number} of command {command}");
            self.report(1, at, what, vec![attempt_name(number)]);
        }
        (kind == AnswerKind::Acked && key != 0).then_some(key)
    }

    /// Returns whether a violation by this attempt, such as its missed deadline, is among the newest reported ones.
    fn is_reported(&self, attempt: u64) -> bool {
        let concerned = [attempt_name(attempt)];
        let mut recent = self.violations.iter().rev().take(RECENT_VIOLATIONS);
        recent.any(|violation| violation.messages == concerned)
    }
}
