//! The release controller: its rollout of builds, the status that it sends to routers, and the votes that it takes.

use rand::RngExt;
use spokeflow_engine::Input;
use spokeflow_proto::{FromController, RolloutPhase, RolloutUpdate, VoteResult};
use spokeflow_scenario::observation::{Observation, Process, RolloutState};
use spokeflow_scenario::release_controller::{ControllerVote, RolloutStatus, VoteOutcome};

use super::event::Event;
use super::{World, CONTROLLER_TICK_INTERVAL};

impl World {
    pub(super) fn on_controller_tick(&mut self) {
        self.schedule(CONTROLLER_TICK_INTERVAL, Event::ControllerTick);
        if self.faults.stalled_controller {
            return;
        }
        let mut orders = Vec::new();
        let before = self.controller.state;
        if let Some(next) = self
            .unoffered_builds
            .first()
            .filter(|b| self.now - self.start >= b.offered)
        {
            if self.controller.offer(self.now, next.number, &mut orders) {
                self.unoffered_builds.remove(0);
            }
        }
        self.controller.tick(self.now, &mut orders);
        let status = self.controller.state;
        if status != before {
            let RolloutStatus {
                build,
                stage,
                rollout: state,
                ..
            } = status;
            self.observe(Observation::ReleaseController {
                build,
                stage,
                state,
            });
        }
        self.apply_orders(orders);
        for router in 0..self.routers.len() {
            let slot = &self.routers[router];
            if slot.strategy.is_none()
                || slot.sent_status == Some(status)
                    && self.now - slot.status_sent_at < self.scenario.rollout_interval
            {
                continue;
            }
            // A router that has just connected receives the status at once, changes arrive with a delay.
            let is_first = slot.sent_status.is_none();
            let [least, most] = self.scenario.rollout_delay;
            let delay = if is_first {
                0
            } else {
                self.rng.random_range(least..most)
            };
            let slot = &mut self.routers[router];
            let at = (self.now + delay + self.faults.controller_delay).max(slot.last_rollout_at);
            (slot.sent_status, slot.status_sent_at, slot.last_rollout_at) =
                (Some(status), self.now, at);
            let process = slot.process;
            self.schedule_at(at, Event::RolloutAtRouter { process, status });
        }
    }

    pub(super) fn on_rollout_at_router(&mut self, process: Process, status: RolloutStatus) {
        if self.routers[process.router as usize].process != process {
            return;
        }
        if self.faults.stalled_controller || self.is_cut_from_control_site(process) {
            return self
                .blocked
                .push(Event::RolloutAtRouter { process, status });
        }
        let RolloutStatus {
            build,
            stage,
            rollout: state,
            cap,
            since,
        } = status;
        self.observe(Observation::News {
            to: process,
            build,
            stage,
            state,
            cap,
        });
        let phase = match state {
            RolloutState::Canary => RolloutPhase::Canary,
            RolloutState::RollingBack => RolloutPhase::RollingBack,
            RolloutState::Released => RolloutPhase::Released,
            RolloutState::Withdrawn => RolloutPhase::Withdrawn,
        };
        let age_us = (self.now - since).max(0) as u64;
        let update = RolloutUpdate {
            build,
            stage,
            phase,
            exposure_cap: cap as f32,
            age_us,
        };
        self.dispatch_input(
            process,
            Input::FromController(FromController::RolloutUpdate(update)),
        );
    }

    pub(super) fn on_vote(
        &mut self,
        process: Process,
        ballot: u64,
        build: u16,
        stage: u8,
        vote: ControllerVote,
    ) {
        if self.is_cut_from_control_site(process) {
            return self.blocked.push(Event::VoteAtController {
                process,
                ballot,
                build,
                stage,
                vote,
            });
        }
        self.observe(Observation::Voted {
            from: process,
            build,
            stage,
            vote: format!("{vote:?}"),
        });
        let result = if self.faults.refusing_controller {
            VoteResult::Refused
        } else {
            // A stalled controller loses half of the votes and answers none.
            let is_received = !self.faults.stalled_controller || self.rng.random_bool(0.5);
            if !is_received {
                return;
            }
            let outcome = self
                .controller
                .vote(self.now, process.router, build, stage, vote);
            if self.faults.stalled_controller {
                return;
            }
            match outcome {
                VoteOutcome::Counted => VoteResult::Counted,
                VoteOutcome::Stale => VoteResult::Stale,
                VoteOutcome::RateLimited => VoteResult::RateLimited,
            }
        };
        self.send_from_control_site(process, |process| Event::VoteResultAtRouter {
            process,
            ballot,
            result,
        });
    }
}
