//! The cap on what a build on trial is sent.

use super::Router;
use crate::{BuildId, Repeat};

impl Router {
    pub(super) fn room(&mut self, build: BuildId, op: usize) -> bool {
        if !self.on_trial(build) {
            return true;
        }
        let cap = self.cap(build);
        let stage = self
            .news
            .filter(|n| n.build == build)
            .map_or(0, |n| n.stage);
        if cap <= 0.0
            || (stage < self.fig.guarded_stages && self.ops[op].repeat != Repeat::Idempotent)
        {
            return false;
        }
        self.forget_window();
        let slot = op * usize::from(self.fig.by_op);
        let taken = self.taken.count(|s| s == slot) as f64;
        let sent = self.exposed.count(|kind| kind == (slot, build)) as f64;
        sent + 1.0 <= self.fig.free + cap * taken
    }

    pub(super) fn forget_window(&mut self) {
        let from = self.now - self.fig.span;
        self.taken.forget_before(from + 1);
        self.exposed.forget_before(from);
    }
}
