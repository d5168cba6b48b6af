//! What is done at each tick.

use super::{Out, Router, MILLISECOND, SECOND};
use crate::Micros;

/// Time from one tick to the next: short against any latency objective, long against the work of
/// one tick.
pub(super) const TICK: Micros = 20 * MILLISECOND;
/// Time from one sweep of the sticky assignments, which walks over all, to the next.
const SWEEP_INTERVAL: Micros = SECOND / 2;

/// When the periodic work was last done.
#[derive(Debug)]
pub(super) struct TickTimes {
    pub(super) ticked_at: Micros,
    swept_at: Micros,
}

impl TickTimes {
    pub(super) fn new(now: Micros) -> Self {
        TickTimes {
            ticked_at: now,
            swept_at: 0,
        }
    }
}

/// The time since the last tick.
#[derive(Clone, Copy, Debug)]
pub(super) struct Elapsed {
    pub(super) time: Micros,
    /// What remains of a figure that fades within about a second.
    pub(super) fade: f64,
}

impl Router {
    /// The time that [`crate::Egress::wake`] was called with has come.
    pub fn on_timer(&mut self, out: Out) {
        self.tick(out);
        out.wake(self.now + TICK);
    }

    pub(super) fn tick(&mut self, out: Out) {
        let time = self.now - self.ticks.ticked_at;
        let fade = (-time as f64 / SECOND as f64).exp();
        let elapsed = Elapsed { time, fade };
        for operation in &mut self.operations {
            operation.acks *= fade;
        }
        self.slowdowns.fade(fade);
        self.waiting.fade(fade);
        self.load.fade_flow(fade);
        self.grow_canary();
        self.forget_exposure();
        self.learn_answer_rate(elapsed);
        self.learn_baseline_load();
        self.ticks.ticked_at = self.now;
        self.hosts.forget_suspects();
        self.route_waiting(out);
        self.expire_waiting(out);
        self.hedge(out);
        self.send_vote(out);
        if self.subscription.take_due(self.now) {
            out.watch_list();
        }
        if self.now - self.ticks.swept_at >= SWEEP_INTERVAL {
            self.ticks.swept_at = self.now;
            self.sweep_sticky();
        }
    }
}
