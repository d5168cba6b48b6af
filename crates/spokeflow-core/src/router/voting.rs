//! Votes on the newest build: which vote the evidence supports, and when it is cast.

use super::analysis::{MAX_SLOWNESS, SLOWNESS_MARGIN, SLOWNESS_WEIGHT};
use super::evidence::ROLLBACK_EVIDENCE;
use super::{Out, Router, MILLISECOND, SECOND};
use crate::{BuildId, Gate, Micros, RolloutState, RolloutStatus, RolloutVote, VoteOutcome};

/// Evidence above which a router votes to hold, where the stages are promoted by the clock.
const HOLD_EVIDENCE: f64 = 2.0;
/// Evidence below which a router votes to promote.
const PROMOTE_BELOW_EVIDENCE: f64 = 1.0;
/// Factor on the evidence needed to roll back a released build, because that restarts all hosts
/// cold.
const RELEASED_EVIDENCE_MULTIPLE: f64 = 2.0;
/// Deliveries to a build, analyzed or sampled by the release controller, that a router must have
/// seen before it votes to roll the build back: fewer may be misleading by chance. Where hosts are
/// replaced in place, a router that has seen fewer (see `Router::has_enough_deliveries`) votes to
/// promote later. A vote to hold needs none.
const MIN_DELIVERIES_TO_JUDGE: u32 = 3;
/// Number of deliveries sampled by the release controller that weigh as much as one that the router
/// has analyzed itself, in the wait before a promote vote. Before a vote to roll back, each counts
/// as one.
const CONTROLLER_DELIVERIES_PER_OWN: u32 = 3;
/// Least number of own deliveries with which a slow build can be rolled back, all of them with the
/// maximum slowness. Where hosts are replaced in place and one vote is enough, a router votes to
/// promote after the usual wait only if, at the mean traffic of a router, at least this number of
/// deliveries to the build is expected in that time, times the part of the hosts that follow in the
/// next stage. Otherwise it waits longer, up to `FEW_DELIVERIES_WAIT_MULTIPLE` times the usual
/// wait.
const MIN_SLOW_DELIVERIES_FOR_ROLLBACK: f64 =
    ROLLBACK_EVIDENCE / (SLOWNESS_WEIGHT * (MAX_SLOWNESS - SLOWNESS_MARGIN));
/// Factor on the usual wait before a promote vote where the router has seen too few deliveries.
const FEW_DELIVERIES_WAIT_MULTIPLE: Micros = 3;
/// Factor on the usual wait before the vote for a release where the trial hosts run beside the
/// earlier ones: all traffic must have moved to the build first.
const RELEASE_WAIT_MULTIPLE: Micros = 4;
/// Time by which the wait is extended while the hosts that start in a stage are not listed yet.
const UNLISTED_PENALTY: Micros = 8 * SECOND;
/// Back-off after a stale vote, and after one that was rate-limited, refused or not answered by the
/// release controller. A random time below the jitter, in microseconds, is added to both.
const STALE_VOTE_BACKOFF: Micros = SECOND;
const UNCOUNTED_VOTE_BACKOFF: Micros = 200 * MILLISECOND;
const VOTE_BACKOFF_JITTER: usize = 200_000;
/// Tenths of its lifetime in which a counted vote is assumed to count; the rest is the margin in
/// which the router casts the vote again.
const VOTE_VALID_TENTHS: Micros = 7;
/// Time added to the configured time-out for the release controller's answer to a vote.
const OUTCOME_SLACK: Micros = SECOND / 2;

/// A vote of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Vote {
    build: BuildId,
    stage: u8,
    vote: RolloutVote,
}

/// The last vote, and when the next one may be cast.
#[derive(Debug, Default)]
pub(super) struct VoteState {
    /// The vote that counts or awaits its outcome; `None` if there is none.
    last: Option<Vote>,
    /// Until when the last vote is assumed to count, with a margin before the end of its lifetime.
    /// The router casts the vote again after this.
    valid_until: Micros,
    /// When the next vote may be cast.
    next_vote_at: Micros,
    awaits_outcome: bool,
    /// Random delay of this router's promote votes, so that those of the fleet are spread.
    pub(super) promote_jitter: Micros,
}

impl VoteState {
    /// Forgets the last vote, which no longer counts in a new stage.
    pub(super) fn start_stage(&mut self, now: Micros) {
        self.last = None;
        self.next_vote_at = now;
    }

    /// Forgets a vote that the release controller has not answered in time. The router does not
    /// know whether the vote counts, so it casts the vote again.
    fn expire(&mut self, now: Micros) {
        if self.awaits_outcome && now >= self.next_vote_at {
            self.awaits_outcome = false;
            self.last = None;
        }
    }
}

/// The progress of the hosts in a stage.
#[derive(Clone, Copy, Debug)]
struct StageProgress {
    /// Share of the hosts that run the build in this stage.
    hosts_fraction: f64,
    is_last: bool,
    /// All hosts of the stage are ready.
    is_complete: bool,
    /// Time since the stage started or its last host started, whichever is later, less
    /// `UNLISTED_PENALTY` where it applies.
    waited: Micros,
}

impl Router {
    /// Handles the release controller's answer to the last vote.
    pub fn on_vote_outcome(&mut self, outcome: VoteOutcome) {
        self.voting.awaits_outcome = false;
        if outcome == VoteOutcome::Counted {
            self.voting.next_vote_at = self.now;
            self.voting.valid_until = self.now + self.config.vote_lifetime * VOTE_VALID_TENTHS / 10;
            return;
        }
        let backoff = if outcome == VoteOutcome::Stale {
            STALE_VOTE_BACKOFF
        } else {
            UNCOUNTED_VOTE_BACKOFF
        };
        let jitter = self.rng.below(VOTE_BACKOFF_JITTER) as Micros;
        self.voting.next_vote_at = self.now + backoff + jitter;
        self.voting.last = None;
    }

    /// Casts the vote that the evidence supports, unless that vote counts already.
    pub(super) fn send_vote(&mut self, out: Out) {
        self.voting.expire(self.now);
        let next = self.next_vote();
        let valid = self.now < self.voting.valid_until;
        let is_repeated = next == self.voting.last && valid;
        if self.voting.awaits_outcome || self.now < self.voting.next_vote_at || is_repeated {
            return;
        }
        // A vote to promote or hold that the evidence no longer supports must not go on counting.
        let withdrawal = self
            .voting
            .last
            .filter(|last| last.vote != RolloutVote::RollBack && valid)
            .map(|last| Vote {
                vote: RolloutVote::Abstain,
                ..last
            });
        let Some(vote) = next.or(withdrawal) else {
            return;
        };
        out.vote(vote.build, vote.stage, vote.vote);
        self.voting.last = next;
        self.voting.awaits_outcome = true;
        self.voting.next_vote_at = self.now + self.config.vote_timeout + OUTCOME_SLACK;
        self.voting.valid_until = self.now + self.config.vote_timeout;
    }

    /// Returns the vote that the evidence supports, or `None` for no vote.
    fn next_vote(&self) -> Option<Vote> {
        let status = self.rollout.status?;
        let is_canary = match status.state {
            RolloutState::Canary => true,
            RolloutState::Released => false,
            RolloutState::RollingBack | RolloutState::Withdrawn => return None,
        };
        let vote = if self.has_rollback_evidence(is_canary) {
            RolloutVote::RollBack
        } else if !is_canary {
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

    fn has_rollback_evidence(&self, is_canary: bool) -> bool {
        let deliveries =
            f64::from(self.evidence.analyzed) + self.evidence.controller_sampled_in_stage;
        let threshold = if is_canary {
            ROLLBACK_EVIDENCE
        } else {
            ROLLBACK_EVIDENCE * RELEASED_EVIDENCE_MULTIPLE
        };
        deliveries >= f64::from(MIN_DELIVERIES_TO_JUDGE) && self.evidence.total() >= threshold
    }

    /// Whether the stage has run for long enough without evidence against the build.
    fn may_promote(&self, status: &RolloutStatus) -> bool {
        let progress = self.stage_progress(status);
        let promote_after = self.config.promote_after;
        let due = if self.config.rolling {
            let multiple = if self.has_enough_deliveries(status, &progress) {
                1
            } else {
                FEW_DELIVERIES_WAIT_MULTIPLE
            };
            progress.waited >= multiple * promote_after + self.voting.promote_jitter
        } else {
            // Where the trial hosts run beside the earlier ones, a stage is cheap to roll back but
            // a release is not. So only the vote for the release waits, until all traffic has moved
            // to the build.
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
        let stage_started_at = self.rollout.stage_started_at;
        let penalty = if !is_complete && latest_start <= stage_started_at {
            UNLISTED_PENALTY
        } else {
            0
        };
        StageProgress {
            hosts_fraction,
            is_last: stage + 1 >= fractions.len(),
            is_complete,
            waited: self.now - latest_start.max(stage_started_at) - penalty,
        }
    }

    /// Whether the router has seen enough deliveries in the stage to vote after the usual wait.
    ///
    /// Where one vote is enough, few deliveries suffice, because the other routers have seen
    /// deliveries too. But a single router must be able to collect enough evidence for a rollback
    /// by itself, so the expected deliveries must grow with the part of the hosts that follow in
    /// the next stage.
    fn has_enough_deliveries(&self, status: &RolloutStatus, progress: &StageProgress) -> bool {
        let majority = self.config.gate == Gate::Majority;
        let routers_sharing_vote = if majority {
            1
        } else {
            self.config.fleet_size as u32
        };
        // Where a majority decides, the minimum itself. Where one vote is enough, each router needs
        // its part of the square of the minimum: at least one delivery and at most the minimum.
        let enough = (MIN_DELIVERIES_TO_JUDGE * MIN_DELIVERIES_TO_JUDGE / routers_sharing_vote)
            .clamp(1, MIN_DELIVERIES_TO_JUDGE);
        let controller_sampled = self.evidence.controller_sampled_in_stage;
        let seen_enough = self.evidence.analyzed_in_stage >= enough
            || controller_sampled >= f64::from(CONTROLLER_DELIVERIES_PER_OWN * enough);
        // Where one vote is enough, a single router releases the build, and in a large fleet it has
        // seen only a small part of the deliveries. So its vote for the release takes the longer
        // wait, because the rollback of a released build needs twice the evidence. The vote can
        // wait: all hosts run the build by then.
        let waits_for_release =
            progress.is_last && self.config.gate == Gate::Single && self.config.is_large_fleet();
        let following_fraction = if majority {
            0.0
        } else {
            let next = self.config.stage_shares.get(usize::from(status.stage) + 1);
            next.map_or(0.0, |next| next - progress.hosts_fraction)
        };
        let expected_deliveries =
            self.config.mean_command_rate * progress.hosts_fraction * progress.waited as f64
                / SECOND as f64;
        // Without quotas the rate is infinite, and its product with a wait of 0 is NaN. The
        // comparison is then false: the deliveries are not too few.
        let too_few = expected_deliveries < MIN_SLOW_DELIVERIES_FOR_ROLLBACK * following_fraction;
        seen_enough && !waits_for_release && !too_few
    }
}
