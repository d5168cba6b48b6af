//! The periodic work of each tick.

use super::{Out, Router, MILLISECOND, SECOND};
use crate::Micros;

/// Interval of the ticks: short compared with any latency objective, long compared with the work of
/// one tick.
pub(super) const TICK: Micros = 20 * MILLISECOND;
/// Interval of the sweeps of the sticky assignments. A sweep visits all of them, so it is done less
/// often than at each tick.
const SWEEP_INTERVAL: Micros = SECOND / 2;

/// The times of the last tick and the last sweep.
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
    /// The factor for statistics that decay with a time constant of one second.
    pub(super) decay: f64,
}

impl Router {
    /// Handles the timer set by [`crate::Egress::wake`]: does the periodic work and sets the next
    /// timer.
    pub fn on_timer(&mut self, out: Out) {
        self.tick(out);
        out.wake(self.now + TICK);
    }

    pub(super) fn tick(&mut self, out: Out) {
        let time = self.now - self.ticks.ticked_at;
        let decay = (-time as f64 / SECOND as f64).exp();
        let elapsed = Elapsed { time, decay };
        for operation in &mut self.operations {
            operation.acks *= decay;
        }
        self.slowdowns.decay(decay);
        self.waiting.decay(decay);
        self.load.decay_flow(decay);
        self.grow_canary();
        self.forget_exposure();
        self.learn_ack_rate(elapsed);
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
