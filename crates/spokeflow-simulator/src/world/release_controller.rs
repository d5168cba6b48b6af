//! The release controller: which build is on trial, what routers hear of it, and their votes.

use rand::RngExt;
use spokeflow_engine::Input;
use spokeflow_proto::{FromController, RolloutPhase, RolloutUpdate, VoteResult};
use spokeflow_scenario::observation::{Observation, Process, RolloutState};
use spokeflow_scenario::release_controller::{ControllerVote, RolloutStatus, VoteOutcome};

use super::event::Event;
use super::{World, CONTROLLER_TICK};

impl World {
    pub(super) fn desk_tick(&mut self) {
        self.plan(CONTROLLER_TICK, Event::ControllerTick);
        if self.faults.stalled_controller {
            return;
        }
        let mut orders = Vec::new();
        let before = self.controller.state;
        if let Some(next) = self
            .offers
            .first()
            .filter(|b| self.now - self.start >= b.offered)
        {
            if self.controller.offer(self.now, next.number, &mut orders) {
                self.offers.remove(0);
            }
        }
        self.controller.tick(self.now, &mut orders);
        let state = self.controller.state;
        if state != before {
            let RolloutStatus {
                build,
                stage,
                rollout: standing,
                ..
            } = state;
            self.note(Observation::ReleaseController {
                build,
                stage,
                state: standing,
            });
        }
        self.carry_out(orders);
        for router in 0..self.routers.len() {
            let seat = &self.routers[router];
            if seat.brain.is_none()
                || seat.told == Some(state) && self.now - seat.told_at < self.day.rollout_interval
            {
                continue;
            }
            // A router that has just connected is told at once, changes some time after.
            let first = seat.told.is_none();
            let [least, most] = self.day.rollout_delay;
            let late = if first {
                0
            } else {
                self.rng.random_range(least..most)
            };
            let seat = &mut self.routers[router];
            let at = (self.now + late + self.faults.controller_delay).max(seat.news_last);
            (seat.told, seat.told_at, seat.news_last) = (Some(state), self.now, at);
            let by = seat.process;
            self.plan_at(at, Event::RolloutAtRouter { by, state });
        }
    }

    pub(super) fn news_to(&mut self, by: Process, state: RolloutStatus) {
        if self.routers[by.router as usize].process != by {
            return;
        }
        if self.faults.stalled_controller || self.office_cut(by) {
            return self.blocked.push(Event::RolloutAtRouter { by, state });
        }
        let RolloutStatus {
            build,
            stage,
            rollout: standing,
            cap,
            since,
        } = state;
        self.note(Observation::News {
            to: by,
            build,
            stage,
            state: standing,
            cap,
        });
        let standing = match standing {
            RolloutState::Canary => RolloutPhase::Canary,
            RolloutState::RollingBack => RolloutPhase::RollingBack,
            RolloutState::Released => RolloutPhase::Released,
            RolloutState::Withdrawn => RolloutPhase::Withdrawn,
        };
        let age_us = (self.now - since).max(0) as u64;
        let news = RolloutUpdate {
            build,
            stage,
            phase: standing,
            exposure_cap: cap as f32,
            age_us,
        };
        self.give(
            by,
            Input::FromController(FromController::RolloutUpdate(news)),
        );
    }

    pub(super) fn vote_at(
        &mut self,
        by: Process,
        ballot: u64,
        build: u16,
        stage: u8,
        verdict: ControllerVote,
    ) {
        if self.office_cut(by) {
            return self.blocked.push(Event::VoteAtController {
                by,
                ballot,
                build,
                stage,
                verdict,
            });
        }
        self.note(Observation::Voted {
            from: by,
            build,
            stage,
            vote: format!("{verdict:?}"),
        });
        let result = if self.faults.refusing_controller {
            VoteResult::Refused
        } else {
            // A desk that stands still loses some votes and answers none.
            let counts = !self.faults.stalled_controller || self.rng.random_bool(0.5);
            if !counts {
                return;
            }
            let counted = self
                .controller
                .vote(self.now, by.router, build, stage, verdict);
            if self.faults.stalled_controller {
                return;
            }
            match counted {
                VoteOutcome::Counted => VoteResult::Counted,
                VoteOutcome::Stale => VoteResult::Stale,
                VoteOutcome::RateLimited => VoteResult::RateLimited,
            }
        };
        self.tell_router(by, |by| Event::VoteResultAtRouter { by, ballot, result });
    }
}
