//! Proposes revisions to the voters as an operator's tool does, and records when each was first proposed.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_control_plane::client::send_request_to;
use spokeflow_coordination::wire::{Request, Response};
use spokeflow_coordination::{Proposal, ProposalOutcome, RevisionNumber};
use tokio::time::{sleep, Instant};

use super::rig::Rig;
use super::settings::revision_values;

/// Pause between two attempts to propose a revision.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Consecutive rounds over all voters in which every request fails, after which a proposal is given up. A single voter
/// that is down does not lead to this, as the others respond.
const MAX_FAILED_ROUNDS: usize = 2;

/// Why a proposed revision was not announced.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProposeError {
    #[error("a proposal of {bytes} bytes is refused: {reason}")]
    Refused { bytes: usize, reason: String },
    #[error(
        "a proposal of {bytes} bytes was not announced; proposing ends after {within:?}, or after {MAX_FAILED_ROUNDS} rounds over all voters without a response; last response: {last}"
    )]
    NotAnnounced {
        bytes: usize,
        within: Duration,
        /// Last response, or the error of the last request.
        last: String,
    },
}

/// Proposes the revisions of a run, one after the other.
pub(super) struct Proposer {
    rig: Arc<Rig>,
    random: StdRng,
    /// Newest revision announced so far.
    newest: RevisionNumber,
    /// Number of revisions proposed so far.
    proposed: u32,
    /// Why a revision was not announced; while it is set, no further revision is proposed.
    pub failure: Option<ProposeError>,
}

impl Proposer {
    pub(super) fn new(rig: Arc<Rig>) -> Self {
        let random = StdRng::seed_from_u64(rig.flags.seed);
        Proposer {
            rig,
            random,
            newest: RevisionNumber(0),
            proposed: 0,
            failure: None,
        }
    }

    /// Proposes one revision until it is announced. Returns its number, or `None` if it was not announced or an earlier
    /// one failed.
    pub(super) async fn propose(&mut self) -> Option<u64> {
        if self.failure.is_some() {
            return None;
        }
        self.proposed += 1;
        let proposed_at = self.rig.tap.now();
        match self.propose_until_announced().await {
            Ok(number) => {
                self.newest = number;
                self.rig
                    .tap
                    .record()
                    .propagation
                    .proposed(number.0, proposed_at);
                Some(number.0)
            }
            Err(error) => {
                self.failure = Some(error);
                None
            }
        }
    }

    async fn propose_until_announced(&mut self) -> Result<RevisionNumber, ProposeError> {
        let within = self.rig.flags.in_force_within;
        let deadline = Instant::now() + within;
        let mut proposal = Proposal {
            token: self.random.random(),
            base: self.newest,
            who: "scale".into(),
            why: "measured".into(),
            at_s: 0,
            values: revision_values(self.proposed, self.rig.flags.tenants),
        };
        let bytes = postcard::to_stdvec(&proposal).map_or(0, |bytes| bytes.len());
        let max_failures = MAX_FAILED_ROUNDS * self.rig.voter_addresses.len();
        let mut failures = 0;
        let mut last = String::new();
        for voter in self.rig.voter_addresses.clone().into_iter().cycle() {
            if Instant::now() >= deadline || failures >= max_failures {
                break;
            }
            let response = send_request_to(voter, Request::Propose(proposal.clone())).await;
            failures = if response.is_ok() { 0 } else { failures + 1 };
            match response {
                Ok(Response::Proposed(ProposalOutcome::Pending(number))) => return Ok(number),
                Ok(Response::Proposed(ProposalOutcome::Stale { newest })) => {
                    proposal.base = newest;
                    proposal.token = self.random.random();
                    continue;
                }
                Ok(Response::Proposed(ProposalOutcome::Busy { pending: announced })) => {
                    proposal.base = announced;
                    proposal.token = self.random.random();
                    last = format!("revision {} was still not in force", announced.0);
                }
                Ok(Response::Invalid(errors)) => {
                    let reason = errors.to_string();
                    return Err(ProposeError::Refused { bytes, reason });
                }
                Ok(response) => last = format!("{response:?}"),
                Err(error) => last = error.to_string(),
            }
            sleep(RETRY_PAUSE).await;
        }
        Err(ProposeError::NotAnnounced {
            bytes,
            within,
            last,
        })
    }

    /// Proposes revisions at the rate of the flags for this duration. Returns the numbers of those that were announced.
    pub(super) async fn propose_at_rate(&mut self, duration: Duration) -> Vec<u64> {
        let mut numbers = Vec::new();
        let interval = Duration::from_secs_f64(60.0 / self.rig.flags.changes_per_minute);
        let deadline = Instant::now() + duration;
        let mut next = Instant::now();
        while next < deadline && self.failure.is_none() {
            tokio::time::sleep_until(next).await;
            numbers.extend(self.propose().await);
            next = (next + interval).max(Instant::now());
        }
        tokio::time::sleep_until(deadline).await;
        numbers
    }
}
