//! What is done at each tick.

use super::canary::PIN_IDLE;
use super::{Out, Router};
use super::{MS, SECOND};
use crate::state::StickyAssignment;
use crate::{Micros, RolloutState};

pub(super) const BEAT: Micros = 20 * MS;

impl Router {
    pub fn on_timer(&mut self, out: Out) {
        self.beat(out);
        out.wake(self.now + BEAT);
    }

    pub(super) fn beat(&mut self, out: Out) {
        let fade = (-(self.now - self.beaten) as f64 / SECOND as f64).exp();
        self.ops.iter_mut().for_each(|o| o.acks *= fade);
        // Forgotten in time, so that a way that has been mended is tried again.
        self.ways
            .iter_mut()
            .flatten()
            .for_each(|way| *way *= fade.powf(0.1));
        self.served.iter_mut().for_each(|s| *s *= fade);
        self.flow = self.flow.map(|f| f * fade.powf(0.25));
        self.grow_lane();
        self.forget_window();
        // Guards against a storm, a fleet most of which has died, a start beside few cold hosts: only answers
        // count, the dead's while they lived, over the time in which a whole host may answer one router once.
        let whole = self.hosts.sum_ready(|age| self.warmth(age), |_| true);
        self.lived =
            self.lived * fade.powf(0.25) + whole * (self.now - self.beaten) as f64 / SECOND as f64;
        let once = self.fig.fleet
            * self
                .ops
                .iter()
                .map(|o| o.latency_objective)
                .fold(0.0, f64::max)
            / SECOND as f64;
        let young = u8::from(self.now < self.born + 5 * SECOND);
        let pace = self.flow[1].max(young.into()) / self.lived.max(once);
        // A fleet that answers little for a while can still do what it did.
        self.pace += (pace - self.pace) * if pace > self.pace { 0.02 } else { 0.001 };
        if self.news.is_none_or(|n| n.state != RolloutState::Canary)
            && self.now > self.born + 2 * SECOND
        {
            let (load, pace) = (
                self.load(),
                if self.usual_load[1] > 0.0 { 0.01 } else { 1.0 },
            );
            self.usual_load
                .iter_mut()
                .zip(load)
                .for_each(|(usual, load)| *usual += pace * (load - *usual));
        }
        self.beaten = self.now;
        self.hosts.forget_suspects();
        self.place_held(out);
        self.lapse(out);
        self.hurry(out);
        self.cast(out);
        if self.ask_list_at.is_some_and(|at| self.now >= at) {
            self.ask_list_at = Some(self.now + 5 * SECOND);
            out.watch_list();
        }
        if self.now - self.swept >= SECOND / 2 {
            self.swept = self.now;
            // Earlier builds bind no key, and once one is released all keys are taken for answered by it.
            let from = self.news.map(|n| {
                n.build
                    .0
                    .saturating_add((n.state == RolloutState::Released).into())
            });
            // A delivery may stay out for longer than a pin without use: its answer binds the key as well.
            let kept = |p: &StickyAssignment| {
                p.claims > 0 || p.answered_by.is_some_and(|b| Some(b.0) >= from)
            };
            self.pins.retain(|_, p| {
                let stays = self.now - p.used_at < PIN_IDLE || self.fig.one_way && kept(p);
                self.all_bound = self.all_bound.max(p.answered_by.filter(|_| !stays));
                stays
            });
        }
    }
}
