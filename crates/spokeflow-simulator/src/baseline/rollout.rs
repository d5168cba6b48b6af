//! The rollout state of a baseline, and its votes.

use spokeflow_core::{BuildId, Micros};
use spokeflow_proto::{RolloutPhase, RolloutUpdate, ToController, VoteChoice};

use super::BaselineStrategy;
use crate::strategy::{OracleTransport, StrategyKind};

/// The least time between two votes of a router in the same stage.
const VOTE_INTERVAL: Micros = 2_000_000;
/// How long after the bake time a baseline votes to promote.
const PROMOTE_MARGIN: Micros = 1_000_000;

impl BaselineStrategy {
    /// Returns whether the build is in its rollout; before the first rollout state, whether an older one is ready.
    pub(super) fn is_canary(&self, build: u16) -> bool {
        match &self.rollout {
            None => self
                .hosts
                .values()
                .any(|host| host.is_ready && host.build < build),
            Some(rollout) => {
                build > rollout.build
                    || build == rollout.build && rollout.phase != RolloutPhase::Released
            }
        }
    }

    pub(super) fn was_rolled_back(&self, build: u16) -> bool {
        let is_rolled_back = |rollout: &RolloutUpdate| {
            matches!(
                rollout.phase,
                RolloutPhase::RollingBack | RolloutPhase::Withdrawn
            )
        };
        self.rollout
            .as_ref()
            .is_some_and(|rollout| rollout.build == build && is_rolled_back(rollout))
    }

    pub(super) fn on_rollout(&mut self, update: RolloutUpdate) {
        let same_stage = self
            .rollout
            .is_some_and(|known| (known.build, known.stage) == (update.build, update.stage));
        if !same_stage {
            self.stage_began_at = self.now - update.age_us as Micros;
            self.voted_at = Micros::MIN / 2;
        }
        if matches!(
            update.phase,
            RolloutPhase::RollingBack | RolloutPhase::Withdrawn
        ) {
            self.answered_by.retain(|_, build| *build != update.build);
        }
        self.rollout = Some(update);
    }

    /// Votes on the current stage: to roll back a build known as defective, to promote any other after its bake time.
    pub(super) fn vote(&mut self, transport: &mut dyn OracleTransport) {
        let Some(rollout) = self.rollout else { return };
        let is_defective =
            self.kind == StrategyKind::FullSight && transport.is_defective(BuildId(rollout.build));
        let is_canary = rollout.phase == RolloutPhase::Canary;
        let has_baked =
            self.now - self.stage_began_at > self.config.service.stage_bake + PROMOTE_MARGIN;
        let choice = match (is_defective, is_canary) {
            (true, _) if is_canary || rollout.phase == RolloutPhase::Released => {
                VoteChoice::RollBack
            }
            (false, true) if has_baked => VoteChoice::Promote,
            _ => return,
        };
        if self.now - self.voted_at > VOTE_INTERVAL {
            self.voted_at = self.now;
            let (build, stage) = (rollout.build, rollout.stage);
            transport.to_controller(ToController::Vote {
                ballot: self.next_delivery,
                build,
                stage,
                choice,
            });
            self.next_delivery += 1;
        }
    }
}
