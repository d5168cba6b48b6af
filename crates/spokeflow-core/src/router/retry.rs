//! What follows the end of a delivery.

use super::timers::BEAT;
use super::{Out, Router};
use crate::state::{Command, Delivery};
use crate::{AttemptOutcome, CommandId, DeduplicationScope, Micros, Repeat};

/// Share of the commands that may be delivered again at a guess, and the most saved up.
pub(super) const SPARE_PER_COMMAND: f64 = 0.1;
pub(super) const SPARE_AT_MOST: f64 = 10.0;

impl Router {
    pub fn on_attempt_outcome(
        &mut self,
        cmd: CommandId,
        nth: u8,
        end: AttemptOutcome,
        took: Micros,
        done: bool,
        out: Out,
    ) {
        let Some(c) = self.cmds.get_mut(&cmd) else {
            return;
        };
        let Some(d) = c.deliveries.get_mut(usize::from(nth)).filter(|d| d.open) else {
            return;
        };
        (d.open, d.may_have_run) = (false, end.may_have_run());
        let (h, build, op, key, share) = (d.host, d.build, c.operation, c.key, c.tenant);
        self.hosts.remove_in_flight(h);
        self.ops[op].in_flight -= 1;
        // What errs at once is no load: it must not excuse slowness.
        let at_once = end == AttemptOutcome::Error && nth == 0;
        self.flow[0] = (self.flow[0] - f64::from(u8::from(at_once))).max(0.0);
        if matches!(end, AttemptOutcome::Acked | AttemptOutcome::TimedOut) {
            let rules = &mut self.ops[op];
            let step = if took as f64 > rules.latency_objective * rules.overload.exp() {
                0.2
            } else {
                -0.2
            };
            rules.overload = (rules.overload + step).clamp(-2.0, 1.0);
        }
        if !matches!(end, AttemptOutcome::Acked | AttemptOutcome::NotSent) {
            self.losses = [0.95 * self.losses[0] + 1.0, 0.95 * self.losses[1]];
        }
        if self.hosts.build(h) == build {
            self.judge(h, op, share, end, took);
            self.health(h, end);
        }
        let acked = f64::from(u8::from(end == AttemptOutcome::Acked));
        self.ops[op].acks += acked;
        self.flow[1] += acked;
        let newest = build.max(self.hosts.build(h));
        // An answer may have been written that nobody could read: it binds the key as well.
        let binds = key.0 != 0
            && !self.sent_back(newest)
            && end.may_have_run()
            && end != AttemptOutcome::Error;
        let pin = self.pins.entry(key).or_default();
        pin.release(build);
        pin.answered_by = pin.answered_by.max(Some(newest).filter(|_| binds));
        if done || self.cmds[&cmd].answered {
            self.finish(cmd, out);
        } else {
            self.settle(cmd, end.may_have_run(), out);
        }
        self.place_held(out);
    }

    /// After a delivery without an ack: another one where the op type allows it, else the final answer.
    fn settle(&mut self, cmd: CommandId, guess: bool, out: Out) {
        let Some(c) = self.cmds.get(&cmd) else { return };
        let open = c.deliveries.iter().any(|d| d.open);
        if !open
            && (c.deadline - self.now < 2 * BEAT
                || !self.may_redeliver(c)
                || guess && self.spare < 1.0)
        {
            self.abort(cmd, out);
        } else if !open {
            self.spare -= f64::from(u8::from(guess));
            self.route(cmd, out);
        }
    }

    /// The memory counts from the first delivery, whether or not it ran: it was out when the next was sent.
    pub(super) fn may_redeliver(&self, c: &Command) -> bool {
        let rules = &self.ops[c.operation];
        let ran = c.deliveries.iter().any(|d| d.may_have_run);
        let allowed = match rules.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => {
                !ran || self.now + BEAT < c.deliveries[0].sent_at + rules.deduplication_window
            }
            Repeat::AtMostOnce => !ran,
        };
        allowed && c.deliveries.len() < self.fig.delivery_cap
    }

    /// The final answer where nothing more can be done: a nack wherever trying again is harmless.
    pub fn abort(&mut self, cmd: CommandId, out: Out) {
        let Some(c) = self.cmds.get(&cmd) else { return };
        let rules = &self.ops[c.operation];
        let any_drops =
            rules.repeat == Repeat::Deduplicated && rules.scope == DeduplicationScope::All;
        let never_ran = c.deliveries.iter().all(|d| !d.may_have_run);
        if never_ran || any_drops || rules.repeat == Repeat::Idempotent {
            let come_back = rules.latency_objective / 4.0 * (1.0 + self.chance.fraction());
            out.nack(
                cmd,
                self.fig
                    .longest_return
                    .map(|most| most.min(come_back as Micros)),
            );
        } else {
            out.fail(cmd);
        }
        self.finish(cmd, out);
    }

    /// Ends a command that is answered, or that its client has left.
    pub fn finish(&mut self, cmd: CommandId, out: Out) {
        let Some(c) = self.cmds.get_mut(&cmd) else {
            return;
        };
        let open =
            |d: &Delivery| self.fig.may_cancel && !c.answered && d.open && !d.response_started;
        let open = c.deliveries.iter().enumerate().filter(|(_, d)| open(d));
        open.for_each(|(n, _)| out.cancel(cmd, n as u8));
        c.answered = true;
        if c.deliveries.iter().all(|d| !d.open) {
            self.cmds.remove(&cmd);
        }
    }
}
