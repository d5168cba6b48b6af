//! What became of each build of a run.

use super::recorder::RunRecorder;
use super::{seconds, BuildSummary};
use crate::observation::RolloutState;
use crate::scenario::{Build, BuildDefect};
use crate::Micros;

/// How a summary begins whose build was rolled back by votes.
const ROLLED_BACK: &str = "sent back";
/// The summary of a build whose time did not come.
const NOT_OFFERED: &str = "not offered";

/// The release controller's own state from a time on.
pub(super) struct ControllerState {
    pub(super) at: Micros,
    pub(super) build: u16,
    pub(super) standing: RolloutState,
    pub(super) stage: u8,
}

/// The first vote to roll a build back.
pub(super) struct RollbackVote {
    pub(super) at: Micros,
    pub(super) build: u16,
}

impl BuildSummary {
    fn rolled_back(&self) -> bool {
        self.end.starts_with(ROLLED_BACK)
    }

    fn offered(&self) -> bool {
        self.end != NOT_OFFERED
    }
}

impl RunRecorder {
    /// All builds but the first, which is there from the start.
    pub(super) fn build_summaries(&self) -> Vec<BuildSummary> {
        let later = self.day.builds.iter().filter(|build| build.number > 1);
        later.map(|build| self.build_summary(build)).collect()
    }

    fn build_summary(&self, build: &Build) -> BuildSummary {
        let states: Vec<_> = self
            .controller
            .iter()
            .filter(|state| state.build == build.number)
            .collect();
        let offered = states.first().map(|state| state.at);
        let first = |standing| states.iter().find(|state| state.standing == standing);
        let (end, ended) = match (
            first(RolloutState::RollingBack),
            first(RolloutState::Released),
            states.last(),
        ) {
            (Some(back), _, _) => {
                let why = if self.voted_back(build.number, back.at) {
                    ROLLED_BACK
                } else {
                    "taken off for the next"
                };
                let end = format!("{why} in stage {}", back.stage + 1);
                (end, Some(back.at))
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
            after_s: ended.zip(offered).map(|(end, offer)| seconds(end - offer)),
        }
    }

    fn voted_back(&self, build: u16, by: Micros) -> bool {
        let mut votes = self.rollback_votes.iter();
        votes.any(|vote| vote.build == build && vote.at <= by)
    }

    fn defective(&self, number: u16) -> bool {
        let mut builds = self.day.builds.iter();
        builds.any(|build| build.number == number && build.defect != BuildDefect::None)
    }

    /// Good builds that were rolled back by votes.
    pub(super) fn false_rollbacks(&self, builds: &[BuildSummary]) -> u32 {
        let good = builds.iter().filter(|build| !self.defective(build.build));
        good.filter(|build| build.rolled_back()).count() as u32
    }

    /// Defective builds that were offered and not rolled back by votes.
    pub(super) fn missed_defects(&self, builds: &[BuildSummary]) -> u32 {
        let defective = builds.iter().filter(|build| self.defective(build.build));
        defective
            .filter(|build| build.offered() && !build.rolled_back())
            .count() as u32
    }
}
