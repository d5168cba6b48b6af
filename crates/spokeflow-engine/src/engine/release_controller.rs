//! Messages from the release controller: rollout updates, results of votes, and delivery statistics.

use spokeflow_core::{
    BuildId, ControllerStats, Micros, OpType, RolloutState, RolloutStatus, VoteOutcome,
};
use spokeflow_proto::{DeliveryStats, FromController, RolloutPhase, RolloutUpdate, VoteResult};

use super::Engine;
use crate::egress::EgressAdapter;
use crate::time::bounded_micros;
use crate::Transport;

/// A rollout update and when it was received.
pub(super) struct ReceivedUpdate {
    update: RolloutUpdate,
    received_at: Micros,
}

impl Engine {
    pub(super) fn on_controller_message(
        &mut self,
        message: FromController,
        transport: &mut dyn Transport,
    ) {
        match message {
            FromController::RolloutUpdate(update) => self.on_rollout_update(update, transport),
            FromController::Voted { ballot, result } => self.on_vote_result(ballot, result),
            FromController::Stats(stats) => {
                self.router.on_controller_stats(controller_stats(stats))
            }
            FromController::Welcome | FromController::Refused(_) => {}
        }
    }

    fn on_rollout_update(&mut self, update: RolloutUpdate, transport: &mut dyn Transport) {
        let received = ReceivedUpdate {
            update,
            received_at: self.in_flight.now,
        };
        let before = self.rollout.replace(received);
        self.forward_rollout_status(transport);
        self.recall_where_cap_fell(before.map(|received| received.update), update, transport);
    }

    /// Passes the latest rollout update on to the decision module. If the router follows a control plane, the exposure
    /// cap is limited to the configured cap of the stage.
    pub(super) fn forward_rollout_status(&mut self, transport: &mut dyn Transport) {
        let Some(received) = &self.rollout else {
            return;
        };
        let mut update = received.update;
        update.age_us += (self.in_flight.now - received.received_at) as u64;
        if self.lease.is_some() {
            let is_released = update.phase == RolloutPhase::Released;
            if !is_released {
                update.exposure_cap = update.exposure_cap.min(self.stage_cap(update.stage));
            }
            let first_unreleased = BuildId(update.build.saturating_add(is_released.into()));
            self.limit_canary(first_unreleased);
        }
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router
            .on_rollout_status(rollout_status(update), egress);
    }

    /// Returns the configured exposure cap of a stage, or 0 if there is no such stage.
    fn stage_cap(&self, stage: u8) -> f32 {
        let caps = &self.config.service.stage_caps;
        caps.get(usize::from(stage)).copied().unwrap_or(0.0) as f32
    }

    /// Recalls the unsent deliveries to builds whose exposure cap fell: the lower cap applies to everything sent from
    /// now on, also to deliveries that were queued earlier.
    fn recall_where_cap_fell(
        &self,
        before: Option<RolloutUpdate>,
        after: RolloutUpdate,
        transport: &mut dyn Transport,
    ) {
        let unannounced = self.stage_cap(0);
        for (host, entry) in &self.in_flight.endpoints {
            let build = entry.build().0;
            let cap_after = exposure_cap(Some(after), build, unannounced);
            if cap_after < exposure_cap(before, build, unannounced) {
                transport.recall(*host, None);
            }
        }
    }

    fn on_vote_result(&mut self, ballot: u64, result: VoteResult) {
        // A result of an earlier vote, which counts as unanswered, does not apply to the open one.
        let vote = self.in_flight.open_vote;
        if vote.is_none_or(|vote| vote.ballot != ballot) {
            return;
        }
        self.in_flight.open_vote = None;
        self.router.on_vote_outcome(match result {
            VoteResult::Counted => VoteOutcome::Counted,
            VoteResult::Stale => VoteOutcome::Stale,
            VoteResult::RateLimited => VoteOutcome::RateLimited,
            VoteResult::Refused => VoteOutcome::Refused,
        });
    }

    /// Ends the open vote, if there is one, as unanswered.
    pub(super) fn end_unanswered_vote(&mut self) {
        if self.in_flight.open_vote.take().is_some() {
            self.router.on_vote_outcome(VoteOutcome::NoResponse);
        }
    }

    /// Ends a vote that could not be sent.
    pub(super) fn on_vote_not_sent(&mut self) {
        self.router.on_vote_outcome(VoteOutcome::Refused);
    }
}

/// Returns the share of traffic that a build may get under a rollout update: no limit for released builds, and
/// `unannounced` for builds that the update does not cover.
fn exposure_cap(update: Option<RolloutUpdate>, build: u16, unannounced: f32) -> f32 {
    match update {
        Some(update) if build < update.build => f32::INFINITY,
        Some(update) if build == update.build && update.phase == RolloutPhase::Released => {
            f32::INFINITY
        }
        Some(update) if build == update.build => update.exposure_cap,
        _ => unannounced,
    }
}

/// Converts the wire form of a rollout's state, [`RolloutUpdate`], into [`RolloutStatus`], the decision module's form.
fn rollout_status(update: RolloutUpdate) -> RolloutStatus {
    RolloutStatus {
        build: BuildId(update.build),
        stage: update.stage,
        state: match update.phase {
            RolloutPhase::Canary => RolloutState::Canary,
            RolloutPhase::RollingBack => RolloutState::RollingBack,
            RolloutPhase::Released => RolloutState::Released,
            RolloutPhase::Withdrawn => RolloutState::Withdrawn,
        },
        exposure_cap: f64::from(update.exposure_cap.clamp(0.0, 1.0)),
        age: bounded_micros(update.age_us),
    }
}

fn controller_stats(stats: DeliveryStats) -> ControllerStats {
    ControllerStats {
        build: BuildId(stats.build),
        op: OpType(stats.op),
        sampled: stats.sampled,
        failed: stats.failed,
        mean_latency: bounded_micros(stats.mean_us),
        age: bounded_micros(stats.age_us),
    }
}
