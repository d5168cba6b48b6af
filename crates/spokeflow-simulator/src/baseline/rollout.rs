//! What a baseline knows of the rollout, and its votes.

use spokeflow_core::{BuildId, Micros};
use spokeflow_proto::{RolloutPhase, RolloutUpdate, ToController, VoteChoice};

use super::BaselineStrategy;
use crate::strategy::{StrategyKind, Wiring};

/// How long after a vote the next one of the same stage may follow.
const VOTE_INTERVAL: Micros = 2_000_000;

impl BaselineStrategy {
    pub(super) fn on_trial(&self, build: u16) -> bool {
        match &self.rollout {
            None => self.hosts.values().any(|h| h.ready && h.build < build),
            Some(n) => build > n.build || build == n.build && n.phase != RolloutPhase::Released,
        }
    }

    pub(super) fn sent_back(&self, build: u16) -> bool {
        let back = |n: &RolloutUpdate| {
            matches!(n.phase, RolloutPhase::RollingBack | RolloutPhase::Withdrawn)
        };
        self.rollout
            .as_ref()
            .is_some_and(|n| n.build == build && back(n))
    }

    pub(super) fn on_rollout(&mut self, update: RolloutUpdate) {
        let same_stage = self
            .rollout
            .is_some_and(|known| (known.build, known.stage) == (update.build, update.stage));
        if !same_stage {
            self.stage_began = self.now - update.age_us as Micros;
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

    pub(super) fn vote(&mut self, wiring: &mut dyn Wiring) {
        let Some(news) = self.rollout else { return };
        let bad = self.kind == StrategyKind::FullSight && wiring.is_bad(BuildId(news.build));
        let on = news.phase == RolloutPhase::Canary;
        let baked = self.now - self.stage_began > self.config.service.stage_bake + 1_000_000;
        let verdict = match (bad, on) {
            (true, _) if on || news.phase == RolloutPhase::Released => VoteChoice::RollBack,
            (false, true) if baked => VoteChoice::Promote,
            _ => return,
        };
        if self.now - self.voted_at > VOTE_INTERVAL {
            self.voted_at = self.now;
            let (build, stage) = (news.build, news.stage);
            wiring.to_controller(ToController::Vote {
                ballot: self.next_delivery,
                build,
                stage,
                choice: verdict,
            });
            self.next_delivery += 1;
        }
    }
}
