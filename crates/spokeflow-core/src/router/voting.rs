//! The votes on the newest build.

use super::analysis::{LATE_MARGIN, LATE_WEIGHT, SEND_BACK_AT};
use super::{Out, Router};
use super::{MS, ROUTERS_PER_HOST, SECOND};
use crate::{BuildId, Gate, Micros, RolloutState, RolloutVote, VoteOutcome};

const HOLD_AT: f64 = 2.0;
const QUIET_BELOW: f64 = 1.0;
/// Answers that a router needs from a build before it votes on it.
const ENOUGH_ANSWERS: u32 = 3;
/// Answers that convict at the least, of which a router of mean traffic gets so many before all follow.
const CONVICTS: f64 = SEND_BACK_AT / (LATE_WEIGHT * (2.0 - LATE_MARGIN));

impl Router {
    pub fn on_vote_outcome(&mut self, answer: VoteOutcome) {
        self.vote_out = false;
        if answer == VoteOutcome::Counted {
            (self.vote_again_at, self.vote_stands_until) =
                (self.now, self.now + self.fig.vote_life * 7 / 10);
        } else {
            let pause = if answer == VoteOutcome::Stale {
                SECOND
            } else {
                200 * MS
            };
            (self.vote_again_at, self.vote) = (
                self.now + pause + self.chance.below(200_000) as Micros,
                None,
            );
        }
    }

    fn verdict(&self) -> Option<(BuildId, u8, RolloutVote)> {
        let news = self
            .news
            .filter(|n| matches!(n.state, RolloutState::Canary | RolloutState::Released))?;
        let on_trial = news.state == RolloutState::Canary;
        // Once released, going back means a cold start of the whole fleet: it wants twice the proof.
        let proof = SEND_BACK_AT * if on_trial { 1.0 } else { 2.0 };
        if f64::from(self.seen) + self.counted_in_stage >= f64::from(ENOUGH_ANSWERS)
            && self.sum() >= proof
        {
            return Some((news.build, news.stage, RolloutVote::RollBack));
        }
        if !on_trial || self.fig.gate == Gate::Clocked {
            return (on_trial && self.sum() > HOLD_AT).then_some((
                news.build,
                news.stage,
                RolloutVote::Hold,
            ));
        }
        let ready = self.hosts.ready_with(news.build);
        let (count, latest) = (ready.len(), ready.latest_start().unwrap_or(0));
        let share = self
            .fig
            .stage_shares
            .get(usize::from(news.stage))
            .copied()
            .unwrap_or(1.0);
        let earlier = self
            .hosts
            .ready_builds()
            .filter(|(build, _)| self.fig.rolling || *build < news.build);
        let earlier: usize = earlier.map(|(_, ready)| ready.len()).sum();
        let all = count > 0 && count as f64 >= (share * earlier as f64).floor();
        let unlisted = Micros::from(!all && latest <= self.stage_began);
        let waited = self.now - latest.max(self.stage_began) - unlisted * 8 * SECOND;
        // Where one vote is enough, the fleet has seen many times what a quiet router has; but the one that
        // speaks against a build has to see enough of it alone, the more so the more hosts follow.
        let more = self
            .fig
            .stage_shares
            .get(usize::from(news.stage) + 1)
            .map_or(0.0, |next| next - share);
        let (alike, more) = if self.fig.gate == Gate::Majority {
            (1, 0.0)
        } else {
            (self.fig.fleet as u32, more)
        };
        let enough = (ENOUGH_ANSWERS * ENOUGH_ANSWERS / alike).clamp(1, ENOUGH_ANSWERS);
        let known = self.seen_in_stage >= enough || self.counted_in_stage >= f64::from(3 * enough);
        let met = self.fig.even * share * waited as f64 / SECOND as f64;
        // A release takes twice the proof to undo and may wait: all hosts run the build by then.
        let last = usize::from(news.stage) + 1 >= self.fig.stage_shares.len();
        let waits = last && self.fig.gate == Gate::Single && self.fig.fleet > ROUTERS_PER_HOST
            || met < CONVICTS * more;
        let pauses = if known && !waits { 1 } else { 3 };
        // Side by side a stage is cheaply taken back and a release is not: its vote waits for all traffic.
        let beside = !self.fig.rolling && (!last || all && waited >= 4 * self.fig.go_wait);
        let due = beside || self.fig.rolling && waited >= pauses * self.fig.go_wait + self.own_turn;
        let go = self.sum() < QUIET_BELOW && due;
        go.then_some((news.build, news.stage, RolloutVote::Promote))
    }

    pub(super) fn cast(&mut self, out: Out) {
        if self.vote_out && self.now >= self.vote_again_at {
            // The desk never answered: the vote may count or not, so it is cast anew.
            (self.vote_out, self.vote) = (false, None);
        }
        let (want, stands) = (self.verdict(), self.now < self.vote_stands_until);
        if self.vote_out || self.now < self.vote_again_at || (want == self.vote && stands) {
            return;
        }
        // A vote for going on must not stand while doubts have come up.
        let doubted = self.vote.filter(|v| v.2 != RolloutVote::RollBack && stands);
        if let Some((build, stage, verdict)) =
            want.or(doubted.map(|v| (v.0, v.1, RolloutVote::Abstain)))
        {
            out.vote(build, stage, verdict);
            (self.vote, self.vote_out) = (want, true);
            self.vote_again_at = self.now + self.fig.vote_wait + SECOND / 2;
            self.vote_stands_until = self.now + self.fig.vote_wait;
        }
    }
}
