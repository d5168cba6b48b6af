//! Offers revisions to the voters as an operator's tool does, and notes when each was offered first.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_control_plane::client::send_request_to;
use spokeflow_coordination::wire::{Request, Response};
use spokeflow_coordination::{Proposal, ProposalOutcome, RevisionNumber};
use tokio::time::{sleep, Instant};

use super::rig::Rig;
use super::settings::revision;

/// Between two attempts with one revision.
const PAUSE: Duration = Duration::from_millis(50);
/// Every voter in turn fails with an offer so often: none will take it. A voter that is not there fails alone.
const ROUNDS_AT_MOST: usize = 2;

/// Why a revision is not taken.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProposeError {
    #[error("an offer of {bytes} bytes is refused: {reason}")]
    Refused { bytes: usize, reason: String },
    #[error(
        "an offer of {bytes} bytes was not announced, within {within:?} at most; last: {last}"
    )]
    NotAnnounced {
        bytes: usize,
        within: Duration,
        /// The last answer or failure.
        last: String,
    },
}

pub(super) struct Offers {
    rig: Arc<Rig>,
    random: StdRng,
    newest: RevisionNumber,
    offered: u32,
    /// Why a revision was not taken: no further one is offered.
    pub refused: Option<ProposeError>,
}

impl Offers {
    pub(super) fn new(rig: Arc<Rig>) -> Self {
        let random = StdRng::seed_from_u64(rig.flags.seed);
        Offers {
            rig,
            random,
            newest: RevisionNumber(0),
            offered: 0,
            refused: None,
        }
    }

    /// Offers one revision until it is announced. Answers its number, or `None` where none was or will be taken.
    pub(super) async fn offer(&mut self) -> Option<u64> {
        if self.refused.is_some() {
            return None;
        }
        self.offered += 1;
        let at = self.rig.tap.now();
        match self.announce().await {
            Ok(number) => {
                self.newest = number;
                self.rig.tap.record().propagation.offered(number.0, at);
                Some(number.0)
            }
            Err(error) => {
                self.refused = Some(error);
                None
            }
        }
    }

    async fn announce(&mut self) -> Result<RevisionNumber, ProposeError> {
        let within = self.rig.flags.in_force_within;
        let until = Instant::now() + within;
        let mut offer = Proposal {
            token: self.random.random(),
            base: self.newest,
            who: "scale".into(),
            why: "measured".into(),
            at_s: 0,
            values: revision(self.offered, self.rig.flags.tenants),
        };
        let bytes = postcard::to_stdvec(&offer).map_or(0, |bytes| bytes.len());
        let failures_at_most = ROUNDS_AT_MOST * self.rig.voters_at.len();
        let mut failures = 0;
        let mut last = String::new();
        for voter in self.rig.voters_at.clone().into_iter().cycle() {
            if Instant::now() >= until || failures >= failures_at_most {
                break;
            }
            let response = send_request_to(voter, Request::Propose(offer.clone())).await;
            failures = if response.is_ok() { 0 } else { failures + 1 };
            match response {
                Ok(Response::Proposed(ProposalOutcome::Pending(number))) => return Ok(number),
                Ok(Response::Proposed(ProposalOutcome::Stale { newest })) => {
                    offer.base = newest;
                    offer.token = self.random.random();
                    continue;
                }
                Ok(Response::Proposed(ProposalOutcome::Busy { pending: announced })) => {
                    offer.base = announced;
                    offer.token = self.random.random();
                    last = format!("revision {} was still not in force", announced.0);
                }
                Ok(Response::Invalid(what)) => {
                    let reason = what.to_string();
                    return Err(ProposeError::Refused { bytes, reason });
                }
                Ok(answer) => last = format!("{answer:?}"),
                Err(error) => last = error.to_string(),
            }
            sleep(PAUSE).await;
        }
        Err(ProposeError::NotAnnounced {
            bytes,
            within,
            last,
        })
    }

    /// Offers at the rate of the flags for this time. Answers the numbers of the revisions that were taken.
    pub(super) async fn at_rate(&mut self, lasts: Duration) -> Vec<u64> {
        let mut numbers = Vec::new();
        let every = Duration::from_secs_f64(60.0 / self.rig.flags.changes_per_minute);
        let until = Instant::now() + lasts;
        let mut next = Instant::now();
        while next < until && self.refused.is_none() {
            tokio::time::sleep_until(next).await;
            numbers.extend(self.offer().await);
            next = (next + every).max(Instant::now());
        }
        tokio::time::sleep_until(until).await;
        numbers
    }
}
