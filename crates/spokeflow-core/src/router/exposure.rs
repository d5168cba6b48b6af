//! The exposure cap: the bound on the commands that a build on trial is sent.

use super::Router;
use crate::state::Window;
use crate::{BuildId, Micros, Repeat};

/// A delivery to a build on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Exposed {
    /// Index under which the operation is counted; see [`super::DerivedConfig::exposure_index`].
    pub(super) index: usize,
    pub(super) build: BuildId,
}

/// The commands received, and the deliveries to builds on trial, within the exposure window.
#[derive(Debug, Default)]
pub(super) struct ExposureWindows {
    /// Commands received, by index.
    received: Window<usize>,
    /// Deliveries to builds on trial.
    exposed: Window<Exposed>,
}

impl ExposureWindows {
    pub(super) fn count_received(&mut self, now: Micros, index: usize) {
        self.received.push(now, index);
    }

    pub(super) fn count_exposed(&mut self, now: Micros, exposed: Exposed) {
        self.exposed.push(now, exposed);
    }

    /// Returns the number of commands received, over all indices.
    pub(super) fn received(&self) -> usize {
        self.received.len()
    }

    /// Returns the number of deliveries to a build on trial, over all indices.
    pub(super) fn exposed_to(&self, build: BuildId) -> usize {
        self.exposed.count(|exposed| exposed.build == build)
    }

    /// Drops the events before `from`. Of those at exactly `from`, the commands received are
    /// dropped too but the deliveries stay: an event on the edge counts only where it lowers what
    /// the cap allows, so that the cap holds whether or not the window includes its edge.
    fn forget(&mut self, from: Micros) {
        self.received.forget_before(from + 1);
        self.exposed.forget_before(from);
    }
}

impl Router {
    /// Whether the cap allows one more command of an operation at a build.
    pub(super) fn has_exposure(&mut self, build: BuildId, operation: usize) -> bool {
        if !self.is_on_trial(build) {
            return true;
        }
        let cap = self.exposure_cap(build);
        let guarded = self.rollout.stage_of(build) < self.config.guarded_stages;
        let idempotent = self.operations[operation].repeat == Repeat::Idempotent;
        if cap <= 0.0 || (guarded && !idempotent) {
            return false;
        }
        self.forget_exposure();
        let index = self.config.exposure_index(operation);
        let received = self.exposure.received.count(|other| other == index) as f64;
        let exposed = Exposed { index, build };
        let sent = self.exposure.exposed.count(|other| other == exposed) as f64;
        sent + 1.0 <= self.config.exposure_allowance + cap * received
    }

    /// Drops the entries from before the exposure window.
    pub(super) fn forget_exposure(&mut self) {
        self.exposure.forget(self.now - self.config.exposure_window);
    }
}
