//! The votes on the newest build.

use super::analysis::{MAX_SLOWNESS, SLOWNESS_MARGIN, SLOWNESS_WEIGHT};
use super::evidence::ROLLBACK_EVIDENCE;
use super::{Out, Router, MILLISECOND, ROUTERS_PER_HOST, SECOND};
use crate::{BuildId, Gate, Micros, RolloutState, RolloutStatus, RolloutVote, VoteOutcome};

/// Evidence above which a router votes to hold, where stages go on by the clock.
const HOLD_EVIDENCE: f64 = 2.0;
/// Evidence below which a router votes to promote.
const PROMOTE_BELOW_EVIDENCE: f64 = 1.0;
/// How many times the proof rolls back a released build: that means a cold start of all hosts.
const RELEASED_PROOF: f64 = 2.0;
/// Answers that a router needs from a build before it votes on it: fewer may all be chance.
const MIN_ANSWERS_TO_VOTE: u32 = 3;
/// How many answers that the release controller counted weigh as much as one of the router's own.
const CONTROLLER_ANSWERS_PER_OWN: u32 = 3;
/// Answers that convict a slow build at the least, of which a router of mean traffic gets so many
/// before all follow.
const MIN_ANSWERS_TO_CONVICT: f64 =
    ROLLBACK_EVIDENCE / (SLOWNESS_WEIGHT * (MAX_SLOWNESS - SLOWNESS_MARGIN));
/// How many times the usual wait a router takes where it knows too little.
const UNKNOWN_WAIT_MULTIPLE: Micros = 3;
/// How many times the usual wait a release side by side takes: its vote waits until all traffic has
/// gone to the build.
const RELEASE_WAIT_MULTIPLE: Micros = 4;
/// What is taken off the wait while a stage's hosts are not listed.
const UNLISTED_PENALTY: Micros = 8 * SECOND;
/// Pause after a vote that is stale, and after one that was not taken for another reason; chance is
/// added to both.
const STALE_VOTE_BACKOFF: Micros = SECOND;
const REFUSED_VOTE_BACKOFF: Micros = 200 * MILLISECOND;
const VOTE_BACKOFF_JITTER: usize = 200_000;
/// What is allowed beyond the time in which the release controller should answer a vote.
const OUTCOME_SLACK: Micros = SECOND / 2;

/// A vote of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Vote {
    build: BuildId,
    stage: u8,
    vote: RolloutVote,
}

/// The last vote and when to cast another.
#[derive(Debug, Default)]
pub(super) struct VoteState {
    last: Option<Vote>,
    valid_until: Micros,
    again_at: Micros,
    awaits_outcome: bool,
    /// Wait before this router's promote vote, so that the fleet's do not come at once.
    pub(super) own_turn: Micros,
}

impl VoteState {
    /// The votes cast so far no longer count.
    pub(super) fn start_stage(&mut self, now: Micros) {
        self.last = None;
        self.again_at = now;
    }

    /// Forgets a vote that the release controller never answered: it may count or not, so it is
    /// cast anew.
    fn expire(&mut self, now: Micros) {
        if self.awaits_outcome && now >= self.again_at {
            self.awaits_outcome = false;
            self.last = None;
        }
    }
}

/// How far the hosts of a stage are.
#[derive(Clone, Copy, Debug)]
struct StageProgress {
    /// Share of the hosts that run the build in this stage.
    hosts_fraction: f64,
    is_last: bool,
    /// All hosts of the stage are ready.
    is_complete: bool,
    /// Since the stage began and its last host started.
    waited: Micros,
}

impl Router {
    /// The release controller has answered the last vote.
    pub fn on_vote_outcome(&mut self, outcome: VoteOutcome) {
        self.voting.awaits_outcome = false;
        if outcome == VoteOutcome::Counted {
            self.voting.again_at = self.now;
            self.voting.valid_until = self.now + self.config.vote_lifetime * 7 / 10;
            return;
        }
        let backoff = if outcome == VoteOutcome::Stale {
            STALE_VOTE_BACKOFF
        } else {
            REFUSED_VOTE_BACKOFF
        };
        let jitter = self.rng.below(VOTE_BACKOFF_JITTER) as Micros;
        self.voting.again_at = self.now + backoff + jitter;
        self.voting.last = None;
    }

    /// Casts the vote that the evidence calls for, where it is not the one that counts already.
    pub(super) fn send_vote(&mut self, out: Out) {
        self.voting.expire(self.now);
        let next = self.next_vote();
        let valid = self.now < self.voting.valid_until;
        let repeats = next == self.voting.last && valid;
        if self.voting.awaits_outcome || self.now < self.voting.again_at || repeats {
            return;
        }
        // A vote to promote must not count while there is evidence.
        let taken_back = self
            .voting
            .last
            .filter(|last| last.vote != RolloutVote::RollBack && valid)
            .map(|last| Vote {
                vote: RolloutVote::Abstain,
                ..last
            });
        let Some(vote) = next.or(taken_back) else {
            return;
        };
        out.vote(vote.build, vote.stage, vote.vote);
        self.voting.last = next;
        self.voting.awaits_outcome = true;
        self.voting.again_at = self.now + self.config.vote_timeout + OUTCOME_SLACK;
        self.voting.valid_until = self.now + self.config.vote_timeout;
    }

    /// The vote that the evidence calls for.
    fn next_vote(&self) -> Option<Vote> {
        let status = self.rollout.status?;
        let canary = match status.state {
            RolloutState::Canary => true,
            RolloutState::Released => false,
            RolloutState::RollingBack | RolloutState::Withdrawn => return None,
        };
        let vote = if self.is_convicted(canary) {
            RolloutVote::RollBack
        } else if !canary {
            return None;
        } else if self.config.gate == Gate::Clocked {
            if self.evidence.total() <= HOLD_EVIDENCE {
                return None;
            }
            RolloutVote::Hold
        } else if self.may_promote(&status) {
            RolloutVote::Promote
        } else {
            return None;
        };
        Some(Vote {
            build: status.build,
            stage: status.stage,
            vote,
        })
    }

    fn is_convicted(&self, canary: bool) -> bool {
        let answers = f64::from(self.evidence.answers) + self.evidence.controller_answers_in_stage;
        let proof = if canary {
            ROLLBACK_EVIDENCE
        } else {
            ROLLBACK_EVIDENCE * RELEASED_PROOF
        };
        answers >= f64::from(MIN_ANSWERS_TO_VOTE) && self.evidence.total() >= proof
    }

    /// Whether the stage has been watched for long enough without evidence.
    fn may_promote(&self, status: &RolloutStatus) -> bool {
        let progress = self.stage_progress(status);
        let promote_after = self.config.promote_after;
        let due = if self.config.rolling {
            let multiple = if self.knows_enough(status, &progress) {
                1
            } else {
                UNKNOWN_WAIT_MULTIPLE
            };
            progress.waited >= multiple * promote_after + self.voting.own_turn
        } else {
            // Side by side a stage is cheaply taken back and a release is not: its vote waits until
            // all traffic has gone to the build.
            let settled = progress.waited >= RELEASE_WAIT_MULTIPLE * promote_after;
            !progress.is_last || progress.is_complete && settled
        };
        due && self.evidence.total() < PROMOTE_BELOW_EVIDENCE
    }

    fn stage_progress(&self, status: &RolloutStatus) -> StageProgress {
        let stage = usize::from(status.stage);
        let fractions = &self.config.stage_shares;
        let hosts_fraction = fractions.get(stage).copied().unwrap_or(1.0);
        let ready = self.hosts.ready_with(status.build);
        let latest_start = ready.latest_start().unwrap_or(0);
        let earlier: usize = self
            .hosts
            .ready_builds()
            .filter(|(build, _)| self.config.rolling || *build < status.build)
            .map(|(_, ready)| ready.len())
            .sum();
        let is_complete =
            !ready.is_empty() && ready.len() as f64 >= (hosts_fraction * earlier as f64).floor();
        let stage_began = self.rollout.stage_began;
        let penalty = if !is_complete && latest_start <= stage_began {
            UNLISTED_PENALTY
        } else {
            0
        };
        StageProgress {
            hosts_fraction,
            is_last: stage + 1 >= fractions.len(),
            is_complete,
            waited: self.now - latest_start.max(stage_began) - penalty,
        }
    }

    /// Whether the router has seen enough of the stage to vote after the usual wait. Where one vote
    /// is enough, the fleet has seen many times what a quiet router has; but the one that votes
    /// against a build has to see enough of it alone, the more so the more hosts follow.
    fn knows_enough(&self, status: &RolloutStatus, progress: &StageProgress) -> bool {
        let majority = self.config.gate == Gate::Majority;
        let routers_alike = if majority {
            1
        } else {
            self.config.fleet_size as u32
        };
        let enough = (MIN_ANSWERS_TO_VOTE * MIN_ANSWERS_TO_VOTE / routers_alike)
            .clamp(1, MIN_ANSWERS_TO_VOTE);
        let controller_answers = self.evidence.controller_answers_in_stage;
        let answered = self.evidence.answers_in_stage >= enough
            || controller_answers >= f64::from(CONTROLLER_ANSWERS_PER_OWN * enough);
        // A release takes twice the proof to undo and may wait: all hosts run the build by then.
        let waits_for_release = progress.is_last
            && self.config.gate == Gate::Single
            && self.config.fleet_size > ROUTERS_PER_HOST;
        let following = if majority {
            0.0
        } else {
            let next = self.config.stage_shares.get(usize::from(status.stage) + 1);
            next.map_or(0.0, |next| next - progress.hosts_fraction)
        };
        let expected_answers =
            self.config.mean_command_rate * progress.hosts_fraction * progress.waited as f64
                / SECOND as f64;
        // Without quotas the rate is infinite, and its product with no wait is no number: that is
        // not too few.
        let too_few = expected_answers < MIN_ANSWERS_TO_CONVICT * following;
        answered && !waits_for_release && !too_few
    }
}
