//! The outcome of each build of a run.

use super::recorder::RunRecorder;
use super::{seconds, BuildSummary};
use crate::observation::RolloutState;
use crate::scenario::{Build, BuildDefect};
use crate::Micros;

/// Beginning of the outcome of a build that was rolled back by votes.
const ROLLED_BACK: &str = "sent back";
/// Outcome of a build that was not offered before the end of the run.
const NOT_OFFERED: &str = "not offered";

/// A state of the release controller and the time of the change to it.
pub(super) struct ControllerState {
    pub(super) at: Micros,
    pub(super) build: u16,
    pub(super) rollout: RolloutState,
    pub(super) stage: u8,
}

/// The first vote to roll back a build.
pub(super) struct RollbackVote {
    pub(super) at: Micros,
    pub(super) build: u16,
}

impl BuildSummary {
    /// Returns whether the build was rolled back by votes.
    fn was_rolled_back(&self) -> bool {
        self.end.starts_with(ROLLED_BACK)
    }

    fn was_offered(&self) -> bool {
        self.end != NOT_OFFERED
    }
}

impl RunRecorder {
    /// Returns the summaries of all builds except the first, which all hosts run from the start.
    pub(super) fn build_summaries(&self) -> Vec<BuildSummary> {
        let later = self.scenario.builds.iter().filter(|build| build.number > 1);
        later.map(|build| self.build_summary(build)).collect()
    }

    fn build_summary(&self, build: &Build) -> BuildSummary {
        let states: Vec<_> = self
            .controller
            .iter()
            .filter(|state| state.build == build.number)
            .collect();
        let offered = states.first().map(|state| state.at);
        let first = |rollout| states.iter().find(|state| state.rollout == rollout);
        let (end, ended) = match (
            first(RolloutState::RollingBack),
            first(RolloutState::Released),
            states.last(),
        ) {
            (Some(rollback), _, _) => {
                let cause = if self.has_rollback_vote(build.number, rollback.at) {
                    ROLLED_BACK
                } else {
                    "taken off for the next"
                };
                let end = format!("{cause} in stage {}", rollback.stage + 1);
                (end, Some(rollback.at))
            }
            (None, Some(released), _) => ("released".into(), Some(released.at)),
            (None, None, Some(last)) => (format!("on trial, stage {}", last.stage + 1), None),
            (None, None, None) => (NOT_OFFERED.into(), None),
        };
        BuildSummary {
            build: build.number,
            flaw: format!("{:?}", build.defect),
            offered_s: seconds(offered.map_or(0, |at| at - self.start)),
            end,
            after_s: ended
                .zip(offered)
                .map(|(ended, offered)| seconds(ended - offered)),
        }
    }

    /// Returns whether a router has voted to roll the build back by the time `by`.
    fn has_rollback_vote(&self, build: u16, by: Micros) -> bool {
        let mut votes = self.rollback_votes.iter();
        votes.any(|vote| vote.build == build && vote.at <= by)
    }

    fn is_defective(&self, number: u16) -> bool {
        let mut builds = self.scenario.builds.iter();
        builds.any(|build| build.number == number && build.defect != BuildDefect::None)
    }

    /// Counts the builds without a defect that were rolled back by votes.
    pub(super) fn false_rollbacks(&self, builds: &[BuildSummary]) -> u32 {
        let good = builds
            .iter()
            .filter(|build| !self.is_defective(build.build));
        good.filter(|build| build.was_rolled_back()).count() as u32
    }

    /// Counts the defective builds that were offered and not rolled back by votes.
    pub(super) fn missed_defects(&self, builds: &[BuildSummary]) -> u32 {
        let defective = builds.iter().filter(|build| self.is_defective(build.build));
        defective
            .filter(|build| build.was_offered() && !build.was_rolled_back())
            .count() as u32
    }
}
