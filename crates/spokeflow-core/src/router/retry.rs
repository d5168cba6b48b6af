//! Handling of a delivery's outcome: a retry, or the final answer to the command.

use super::timers::TICK;
use super::{Out, Router};
use crate::state::{Command, Delivery};
use crate::{AttemptOutcome, CommandId, DeduplicationScope, Micros, Repeat};

/// Retries after a delivery that may have run that each command adds to the budget: enough for
/// isolated failures, too few to double the load.
const RETRIES_PER_COMMAND: f64 = 0.1;
/// Upper bound of the retry budget.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Time before the deadline from which a command is not retried, because no answer would arrive in
/// time.
const RETRY_MARGIN: Micros = 2 * TICK;
/// Divides the latency objective into the retry hint of a nack, to which a random time of up to the
/// same length is added.
const RETRY_AFTER_DIVISOR: f64 = 4.0;
/// Step by which each ack or time-out moves the estimate of the median latency over its objective,
/// and the bounds of the estimate, as logarithms.
const OVERLOAD_STEP: f64 = 0.2;
const MIN_OVERLOAD: f64 = -2.0;
const MAX_OVERLOAD: f64 = 1.0;

/// The retries that the router may still make where the delivery before may have run.
#[derive(Debug)]
pub(super) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// Creates a budget that is half full.
    pub(super) fn new() -> Self {
        RetryBudget {
            available: MAX_RETRY_BUDGET / 2.0,
        }
    }

    /// Adds to the budget for a received command.
    pub(super) fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_COMMAND).min(MAX_RETRY_BUDGET);
    }

    /// Takes one retry off the budget.
    pub(super) fn spend(&mut self) {
        self.available -= 1.0;
    }

    pub(super) fn allows_one(&self) -> bool {
        self.available >= 1.0
    }

    /// Returns the number of retries that the budget allows.
    pub(super) fn allowed(&self) -> usize {
        self.available as usize
    }
}

impl Router {
    /// Handles the outcome of a delivery, numbered from 0 in the order of the command's deliveries,
    /// that ended `took` after it was sent. `answered` is set if the client thereby has its final
    /// answer.
    pub fn on_attempt_outcome(
        &mut self,
        id: CommandId,
        delivery: u8,
        outcome: AttemptOutcome,
        took: Micros,
        answered: bool,
        out: Out,
    ) {
        let index = usize::from(delivery);
        let Some(delivery) = self.close_delivery(id, index, outcome) else {
            return;
        };
        let operation = self.commands[&id].operation;
        if outcome == AttemptOutcome::Error && index == 0 {
            // A command that fails with an error hardly loads the hosts, so it must not explain
            // slowness.
            let received = &mut self.load.flow.received;
            *received = (*received - 1.0).max(0.0);
        }
        self.record_latency(operation, outcome, took);
        if !matches!(outcome, AttemptOutcome::Acked | AttemptOutcome::NotSent) {
            self.unacked.count_unacked();
        }
        if self.hosts.build(delivery.host) == delivery.build {
            let tenant = self.commands[&id].tenant;
            self.analyze(delivery.host, operation, tenant, outcome, took);
            self.record_host_outcome(delivery.host, outcome);
        }
        if outcome == AttemptOutcome::Acked {
            self.operations[operation].acks += 1.0;
            self.load.flow.acked += 1.0;
        }
        self.release_key(id, &delivery, outcome);
        if answered || self.commands[&id].answered {
            self.finish(id, out);
        } else {
            self.retry_or_abort(id, outcome.may_have_run(), out);
        }
        self.route_waiting(out);
    }

    /// Closes an open delivery and returns it, or `None` if no open delivery has this index.
    fn close_delivery(
        &mut self,
        id: CommandId,
        index: usize,
        outcome: AttemptOutcome,
    ) -> Option<Delivery> {
        let command = self.commands.get_mut(&id)?;
        let delivery = command
            .deliveries
            .get_mut(index)
            .filter(|delivery| delivery.open)?;
        delivery.open = false;
        delivery.may_have_run = outcome.may_have_run();
        self.hosts.remove_in_flight(delivery.host);
        self.operations[command.operation].in_flight -= 1;
        Some(*delivery)
    }

    /// Updates the estimate of an operation's median latency over its objective.
    fn record_latency(&mut self, operation: usize, outcome: AttemptOutcome, took: Micros) {
        if !matches!(outcome, AttemptOutcome::Acked | AttemptOutcome::TimedOut) {
            return;
        }
        let state = &mut self.operations[operation];
        let above = took as f64 > state.latency_objective * state.overload.exp();
        let step = if above { OVERLOAD_STEP } else { -OVERLOAD_STEP };
        state.overload = (state.overload + step).clamp(MIN_OVERLOAD, MAX_OVERLOAD);
    }

    /// Releases a delivery's claim on its key. The key is bound to the build that may have answered
    /// it, even if the answer was written but not received.
    fn release_key(&mut self, id: CommandId, delivery: &Delivery, outcome: AttemptOutcome) {
        let key = self.commands[&id].key;
        let newest = delivery.build.max(self.hosts.build(delivery.host));
        let binds = key.0 != 0
            && !self.rollout.is_rolled_back(newest)
            && outcome.may_have_run()
            && outcome != AttemptOutcome::Error;
        if let Some(assignment) = self.sticky.entry(key) {
            assignment.remove_open_delivery(delivery.build);
            if binds {
                assignment.answered_by = assignment.answered_by.max(Some(newest));
            }
        } else if binds && self.binds_keys(newest) {
            self.sticky.raise_default_floor(newest);
        }
    }

    /// Retries a command after a delivery without an ack, where the operation, the time left and
    /// the budget allow it, otherwise aborts it. Only retries of a delivery that may have run
    /// use the budget.
    fn retry_or_abort(&mut self, id: CommandId, may_have_run: bool, out: Out) {
        let Some(command) = self.commands.get(&id) else {
            return;
        };
        if command.has_open_delivery() {
            return;
        }
        let too_late = command.deadline - self.now < RETRY_MARGIN;
        let over_budget = may_have_run && !self.retry_budget.allows_one();
        if too_late || over_budget || !self.may_redeliver(command) {
            self.abort(id, out);
            return;
        }
        if may_have_run {
            self.retry_budget.spend();
        }
        self.route(id, out);
    }

    /// Whether the rules of the operation allow one more delivery of a command. The deduplication
    /// window counts from the first delivery, even if that turned out not to have run: its outcome
    /// may not have been known when the next one was sent.
    pub(super) fn may_redeliver(&self, command: &Command) -> bool {
        let operation = &self.operations[command.operation];
        let allowed = match operation.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => {
                let window_end = || command.deliveries[0].sent_at + operation.deduplication_window;
                !command.may_have_run() || self.now + TICK < window_end()
            }
            Repeat::AtMostOnce => !command.may_have_run(),
        };
        allowed && command.deliveries.len() < self.config.delivery_cap
    }

    /// Ends an unanswered command with a nack if its client can safely retry it, otherwise with a
    /// failure. The router calls it for a command that is shed, and for one whose last delivery
    /// ended without an ack and is not retried; the caller may do so to end a command early.
    pub fn abort(&mut self, id: CommandId, out: Out) {
        let Some(command) = self.commands.get(&id) else {
            return;
        };
        let operation = &self.operations[command.operation];
        let deduplicated_by_all =
            operation.repeat == Repeat::Deduplicated && operation.scope == DeduplicationScope::All;
        let can_retry_safely = !command.may_have_run()
            || deduplicated_by_all
            || operation.repeat == Repeat::Idempotent;
        if can_retry_safely {
            let spread = 1.0 + self.rng.fraction();
            let retry_after = operation.latency_objective / RETRY_AFTER_DIVISOR * spread;
            let hint = self
                .config
                .longest_retry_after
                .map(|longest| longest.min(retry_after as Micros));
            out.nack(id, hint);
        } else {
            out.fail(id);
        }
        self.finish(id, out);
    }

    /// Ends a command without giving an answer itself, and cancels its open deliveries where
    /// allowed. Called once the command has its answer, by `abort` or by a delivery's outcome, and
    /// by the caller where the client has abandoned the command or the caller itself has answered
    /// it.
    pub fn finish(&mut self, id: CommandId, out: Out) {
        let Some(command) = self.commands.get_mut(&id) else {
            return;
        };
        let cancels = self.config.may_cancel && !command.answered;
        for (index, delivery) in command.deliveries.iter().enumerate() {
            if cancels && delivery.open && !delivery.response_started {
                out.cancel(id, index as u8);
            }
        }
        command.answered = true;
        if !command.has_open_delivery() {
            self.commands.remove(&id);
        }
    }
}
