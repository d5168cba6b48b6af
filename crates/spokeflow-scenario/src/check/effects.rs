//! Rule 2: a command takes effect at most once, and is redelivered or nacked only with proof that it has not run.

use super::state::{Attempt, CommandEffects, Delivery};
use super::{attempt_name, Checker};
use crate::scenario::Repeat;
use crate::Micros;

impl Checker {
    /// Records that a command took effect at a host, and checks that it is the first time.
    pub(super) fn on_effect(&mut self, at: Micros, attempt: u64, command: u64, operation: usize) {
        if self.config.repeats[operation] == Repeat::Redeliverable {
            return;
        }
        let effects = self.effects.entry(command).or_insert(CommandEffects {
            count: 0,
            attempts: Vec::new(),
            last: at,
        });
        effects.count += 1;
        effects.last = at;
        if !effects.attempts.contains(&attempt) {
            effects.attempts.push(attempt);
        }
        let count = effects.count;
        let concerned = effects.attempts.iter().copied().map(attempt_name).collect();
        self.effects_to_forget.push_back((at, command));
        if count > 1 {
            let what = format!("command {command} took effect {count} times");
            self.report(2, at, what, concerned);
        }
    }

    /// Records that a host refused a delivery, which proves that the delivery has not run.
    pub(super) fn on_refusal(&mut self, attempt: u64, delivery: u64) {
        let Some(attempt) = self.attempts.get_mut(&attempt) else {
            return;
        };
        for known in &mut attempt.deliveries {
            if known.number == delivery {
                known.refused = true;
            }
        }
    }

    pub(super) fn check_redelivery(&mut self, at: Micros, number: u64, delivery: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        let open = attempt.deliveries.iter().find(|known| !known.refused);
        let first_open = open.map(|known| known.at);
        attempt.deliveries.push(Delivery {
            at,
            number: delivery,
            refused: false,
        });
        let violation = match (self.config.repeats[attempt.operation], first_open) {
            (Repeat::AtMostOnce, Some(_)) => "redelivered without proof that it had not run",
            (Repeat::Deduplicated(memory), Some(first))
                if at - first > memory + self.config.slack =>
            {
                "redelivered after its deduplication window"
            }
            _ => return,
        };
        let what = format!("{violation}: attempt {number}");
        self.report(2, at, what, vec![attempt_name(number)]);
    }

    /// Checks the nack of an attempt, if it got one, once no more messages of it are expected.
    pub(super) fn check_nack(&mut self, number: u64, attempt: &Attempt) {
        let Some(at) = attempt.nacked else {
            return;
        };
        let at_most_once = self.config.repeats[attempt.operation] == Repeat::AtMostOnce;
        let may_have_run = attempt.deliveries.iter().any(|known| !known.refused);
        if at_most_once && may_have_run {
            let what = format!("nacked although it may have run: attempt {number}");
            self.report(2, at, what, vec![attempt_name(number)]);
        }
    }
}
