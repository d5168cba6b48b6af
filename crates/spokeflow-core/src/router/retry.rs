//! What follows the end of a delivery: another one, or the final answer.

use super::timers::TICK;
use super::{Out, Router};
use crate::state::{Command, Delivery};
use crate::{AttemptOutcome, CommandId, DeduplicationScope, Micros, Repeat};

/// Deliveries again, at a guess, that each command earns: enough for single failures, too few to
/// double a load.
const RETRIES_PER_COMMAND: f64 = 0.1;
/// Most of them that are saved up.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Time left before the deadline below which nothing is sent again: no answer would come in time.
const RETRY_MARGIN: Micros = 2 * TICK;
/// Part of the latency objective after which a refused client does best to come again, and as much
/// again by chance.
const RETRY_AFTER_DIVISOR: f64 = 4.0;
/// How far the estimate of the median latency moves with each answer, and its bounds, as
/// logarithms.
const OVERLOAD_STEP: f64 = 0.2;
const MIN_OVERLOAD: f64 = -2.0;
const MAX_OVERLOAD: f64 = 1.0;

/// Deliveries again that the router may still make where it does not know whether the one before
/// ran.
#[derive(Debug)]
pub(super) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    /// Half full.
    pub(super) fn new() -> Self {
        RetryBudget {
            available: MAX_RETRY_BUDGET / 2.0,
        }
    }

    /// A command has come.
    pub(super) fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_COMMAND).min(MAX_RETRY_BUDGET);
    }

    /// A command is delivered again.
    pub(super) fn spend(&mut self) {
        self.available -= 1.0;
    }

    pub(super) fn allows_one(&self) -> bool {
        self.available >= 1.0
    }

    /// How many deliveries it allows.
    pub(super) fn allowed(&self) -> usize {
        self.available as usize
    }
}

impl Router {
    /// A delivery, numbered from 0 in the order of the command's deliveries, has ended after
    /// `took`; `answered` where the client has its final answer by that.
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
            // What errs at once is no load: it must not excuse slowness.
            let received = &mut self.load.flow.received;
            *received = (*received - 1.0).max(0.0);
        }
        self.note_latency(operation, outcome, took);
        if !matches!(outcome, AttemptOutcome::Acked | AttemptOutcome::NotSent) {
            self.losses.count_lost();
        }
        if self.hosts.build(delivery.host) == delivery.build {
            let tenant = self.commands[&id].tenant;
            self.analyze(delivery.host, operation, tenant, outcome, took);
            self.note_host_outcome(delivery.host, outcome);
        }
        if outcome == AttemptOutcome::Acked {
            self.operations[operation].acks += 1.0;
            self.load.flow.answered += 1.0;
        }
        self.release_key(id, &delivery, outcome);
        if answered || self.commands[&id].answered {
            self.finish(id, out);
        } else {
            self.retry_or_abort(id, outcome.may_have_run(), out);
        }
        self.route_waiting(out);
    }

    /// Ends an open delivery and returns it; `None` where there is none of this number.
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

    /// Moves the estimate of an operation's median latency over its objective.
    fn note_latency(&mut self, operation: usize, outcome: AttemptOutcome, took: Micros) {
        if !matches!(outcome, AttemptOutcome::Acked | AttemptOutcome::TimedOut) {
            return;
        }
        let state = &mut self.operations[operation];
        let above = took as f64 > state.latency_objective * state.overload.exp();
        let step = if above { OVERLOAD_STEP } else { -OVERLOAD_STEP };
        state.overload = (state.overload + step).clamp(MIN_OVERLOAD, MAX_OVERLOAD);
    }

    /// Ends a delivery's claim on its key. An answer may have been written that nobody could read:
    /// it binds the key as well.
    fn release_key(&mut self, id: CommandId, delivery: &Delivery, outcome: AttemptOutcome) {
        let key = self.commands[&id].key;
        let newest = delivery.build.max(self.hosts.build(delivery.host));
        let binds = key.0 != 0
            && !self.rollout.is_rolled_back(newest)
            && outcome.may_have_run()
            && outcome != AttemptOutcome::Error;
        let assignment = self.sticky.entry(key);
        assignment.release(delivery.build);
        if binds {
            assignment.answered_by = assignment.answered_by.max(Some(newest));
        }
    }

    /// After a delivery without an ack: another one where the operation allows it, else the final
    /// answer. `guess` says that it may have run.
    fn retry_or_abort(&mut self, id: CommandId, guess: bool, out: Out) {
        let Some(command) = self.commands.get(&id) else {
            return;
        };
        if command.has_open_delivery() {
            return;
        }
        let too_late = command.deadline - self.now < RETRY_MARGIN;
        let over_budget = guess && !self.retry_budget.allows_one();
        if too_late || over_budget || !self.may_redeliver(command) {
            self.abort(id, out);
            return;
        }
        if guess {
            self.retry_budget.spend();
        }
        self.route(id, out);
    }

    /// Whether a command may be delivered once more. The deduplication window counts from the first
    /// delivery, whether or not it ran: it was open when the next was sent.
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

    /// The final answer where nothing more can be done: a nack wherever trying again is harmless.
    pub fn abort(&mut self, id: CommandId, out: Out) {
        let Some(command) = self.commands.get(&id) else {
            return;
        };
        let operation = &self.operations[command.operation];
        let any_host_drops =
            operation.repeat == Repeat::Deduplicated && operation.scope == DeduplicationScope::All;
        let harmless =
            !command.may_have_run() || any_host_drops || operation.repeat == Repeat::Idempotent;
        if harmless {
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

    /// Ends a command that is answered, or that its client has left.
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
