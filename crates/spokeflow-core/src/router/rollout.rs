//! The rollout status of the newest build, as received from the release controller.

use super::{Out, Router};
use crate::{BuildId, Micros, RolloutState, RolloutStatus};

/// The last rollout status from the release controller.
#[derive(Debug, Default)]
pub(super) struct RolloutView {
    /// `None` before the first status.
    pub(super) status: Option<RolloutStatus>,
    /// When the present stage or state started.
    pub(super) stage_started_at: Micros,
}

impl RolloutView {
    /// Returns the status if the newest build is a canary.
    pub(super) fn canary(&self) -> Option<RolloutStatus> {
        self.status
            .filter(|status| status.state == RolloutState::Canary)
    }

    pub(super) fn is_canary(&self) -> bool {
        self.canary().is_some()
    }

    /// Whether a build is being, or has been, rolled back.
    pub(super) fn is_rolled_back(&self, build: BuildId) -> bool {
        self.status.is_some_and(|status| {
            let rolled_back = matches!(
                status.state,
                RolloutState::RollingBack | RolloutState::Withdrawn
            );
            status.build == build && rolled_back
        })
    }

    /// Returns the stage of a build, 0 for one that the release controller has not named.
    pub(super) fn stage_of(&self, build: BuildId) -> u8 {
        self.status
            .filter(|status| status.build == build)
            .map_or(0, |status| status.stage)
    }
}

impl Router {
    /// Handles a rollout status from the release controller.
    pub fn on_rollout_status(&mut self, status: RolloutStatus, out: Out) {
        let before = self.rollout.status.replace(status);
        let same_build = before.is_some_and(|before| before.build == status.build);
        let same_stage = before
            .is_some_and(|before| before.stage == status.stage && before.state == status.state);
        if !same_build {
            self.evidence.clear();
            self.hosts.clear_evidence();
        }
        if !same_build || !same_stage {
            self.rollout.stage_started_at = self.now - status.age;
            self.evidence.start_stage();
            self.voting.start_stage(self.now);
            self.voting.promote_jitter = (self.rng.fraction() * self.config.vote_spread) as Micros;
        }
        if self.rollout.is_rolled_back(status.build) {
            // A rollback returns keys to the earlier build, which forward-only rules otherwise
            // forbid.
            self.sticky.forget_build(status.build);
        }
        self.tick(out);
    }

    /// Whether a build is on trial: newer than the released one. Before the first status, the
    /// oldest listed build counts as released.
    pub(super) fn is_on_trial(&self, build: BuildId) -> bool {
        match &self.rollout.status {
            None => self
                .hosts
                .oldest_build()
                .is_some_and(|oldest| oldest < build),
            Some(status) => {
                build > status.build
                    || (build == status.build && status.state != RolloutState::Released)
            }
        }
    }

    /// Returns the part of the commands that a build on trial may be sent.
    pub(super) fn exposure_cap(&self, build: BuildId) -> f64 {
        self.rollout
            .status
            .filter(|status| status.build == build)
            .map_or(self.config.first_stage_cap, |status| status.exposure_cap)
    }
}
