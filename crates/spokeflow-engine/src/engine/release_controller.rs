//! The release controller: the state of the rollout, votes on it, and its statistics.

use spokeflow_core::{
    BuildId, ControllerStats, Micros, OpType, RolloutState, RolloutStatus, VoteOutcome,
};
use spokeflow_proto::{DeliveryStats, FromController, RolloutPhase, RolloutUpdate, VoteResult};

use super::Engine;
use crate::egress::EgressAdapter;
use crate::time::bounded_micros;
use crate::Transport;

/// A message on the rollout, and when it came.
pub(super) struct ReceivedStatus {
    message: RolloutUpdate,
    at: Micros,
}

impl Engine {
    pub(super) fn on_controller_message(
        &mut self,
        message: FromController,
        transport: &mut dyn Transport,
    ) {
        match message {
            FromController::RolloutUpdate(message) => self.on_rollout_message(message, transport),
            FromController::Voted { ballot, result } => self.on_vote_result(ballot, result),
            FromController::Stats(stats) => {
                self.router.on_controller_stats(controller_stats(stats))
            }
            FromController::Welcome | FromController::Refused(_) => {}
        }
    }

    fn on_rollout_message(&mut self, message: RolloutUpdate, transport: &mut dyn Transport) {
        let received = ReceivedStatus {
            message,
            at: self.in_flight.now,
        };
        let before = self.rollout.replace(received);
        self.forward_rollout_status(transport);
        self.recall_capped(before.map(|status| status.message), message, transport);
    }

    /// Passes the release controller's latest message on to the decision module. Under a control plane no exposure
    /// cap is higher than the configured one of its stage.
    pub(super) fn forward_rollout_status(&mut self, transport: &mut dyn Transport) {
        let Some(received) = &self.rollout else {
            return;
        };
        let mut message = received.message;
        message.age_us += (self.in_flight.now - received.at) as u64;
        if self.lease.is_some() {
            let released = message.phase == RolloutPhase::Released;
            if !released {
                message.exposure_cap = message.exposure_cap.min(self.stage_cap(message.stage));
            }
            let first_build = BuildId(message.build.saturating_add(released.into()));
            self.limit_canary(first_build);
        }
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router
            .on_rollout_status(rollout_status(message), egress);
    }

    /// The configured exposure cap of a stage.
    fn stage_cap(&self, stage: u8) -> f32 {
        let caps = &self.config.service.stage_caps;
        caps.get(usize::from(stage)).copied().unwrap_or(0.0) as f32
    }

    /// A lower cap binds what leaves, whenever it was delivered: what has not left for a build whose cap fell is
    /// recalled.
    fn recall_capped(
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
        // The result of a vote that has been given up says nothing of the present one.
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

    pub(super) fn on_controller_unavailable(&mut self) {
        if self.in_flight.open_vote.take().is_some() {
            self.router.on_vote_outcome(VoteOutcome::NoResponse);
        }
    }

    /// The vote could not be sent.
    pub(super) fn on_vote_refused(&mut self) {
        self.router.on_vote_outcome(VoteOutcome::Refused);
    }
}

/// The share of traffic that a build may get by a message on the rollout; `unannounced` for a build that it says
/// nothing of.
fn exposure_cap(message: Option<RolloutUpdate>, build: u16, unannounced: f32) -> f32 {
    match message {
        Some(update) if build < update.build => f32::INFINITY,
        Some(update) if build == update.build && update.phase == RolloutPhase::Released => {
            f32::INFINITY
        }
        Some(update) if build == update.build => update.exposure_cap,
        _ => unannounced,
    }
}

fn rollout_status(message: RolloutUpdate) -> RolloutStatus {
    RolloutStatus {
        build: BuildId(message.build),
        stage: message.stage,
        state: match message.phase {
            RolloutPhase::Canary => RolloutState::Canary,
            RolloutPhase::RollingBack => RolloutState::RollingBack,
            RolloutPhase::Released => RolloutState::Released,
            RolloutPhase::Withdrawn => RolloutState::Withdrawn,
        },
        exposure_cap: f64::from(message.exposure_cap.clamp(0.0, 1.0)),
        age: bounded_micros(message.age_us),
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
