//! Proposals of the rig: revisions that in turn close and open the canary build while faults happen, and one that opens
//! it after all faults have ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_control_plane::client::{send_request, send_request_to, RequestError};
use spokeflow_coordination::wire::{Request, Response};
use spokeflow_coordination::{Overrides, Proposal, ProposalOutcome, RevisionNumber};
use tokio::time::{sleep, Instant};

use super::check::closes_canary;
use super::rig::Rig;

/// Time before each proposal in a run without faults.
const FAULT_FREE_PAUSE_MS: u64 = 100;
/// Time before a proposal that closes the canary build: long enough for routers to use the build.
const OPEN_MS: std::ops::Range<u64> = 200..5000;
/// Time before a proposal that opens the canary build: long enough for a delivery against the closing revision to show.
const CLOSED_MS: std::ops::Range<u64> = 200..2000;
/// Share of the proposals that name an older revision as their base.
const STALE_BASE_SHARE: f64 = 0.1;
/// Probability that a proposal is sent again although it was answered.
const REPEAT_SHARE: f64 = 0.2;
/// How often a proposal is sent again at most.
const MAX_REPEATS: u32 = 8;
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Time after the end of all faults within which a revision that opens the canary build must be in force.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which every router must then use the canary build.
const CANARY_USE_TIMEOUT: Duration = Duration::from_secs(15);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const PENDING_POLL: Duration = Duration::from_millis(100);
const CANARY_USE_POLL: Duration = Duration::from_millis(200);
/// The token of the first proposal of the recovery is the next number. Drawn tokens are of 64 bits, so they are
/// unlikely to coincide with a small one.
const RECOVERY_TOKEN: u64 = 7;

impl Rig {
    /// Proposes revisions that in turn close and open the canary build, with a status read before each. Some are sent
    /// repeatedly, and some are based on an older revision. Never ends.
    pub(super) async fn propose_revisions(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut canary_is_closed = false;
        loop {
            let pause_ms = match self.config.fault_free {
                true => FAULT_FREE_PAUSE_MS,
                false if canary_is_closed => rng.random_range(CLOSED_MS),
                false => rng.random_range(OPEN_MS),
            };
            sleep(Duration::from_millis(pause_ms)).await;
            let addresses = self.node_addresses().await;
            let node = addresses[rng.random_range(0..addresses.len())];
            let Ok(Response::Status(status)) = send_request_to(node, Request::Status).await else {
                continue;
            };
            if status.pending.is_some() {
                continue;
            }
            let has_stale_base = !self.config.fault_free && rng.random_bool(STALE_BASE_SHARE);
            let newest = status.in_force.number;
            let base = match has_stale_base {
                true => RevisionNumber(newest.0.saturating_sub(1)),
                false => newest,
            };
            let overrides = match canary_is_closed {
                true => Overrides::new(),
                false => closing_overrides(),
            };
            let proposal = proposal(rng.random(), base, "drawn", overrides);
            let response = propose(&mut rng, node, &addresses, &proposal).await;
            let accepted = matches!(
                response,
                Ok(Response::Proposed(ProposalOutcome::Pending(_)))
            );
            if accepted {
                canary_is_closed = !canary_is_closed;
            } else if let Ok(Response::Status(status)) =
                send_request_to(node, Request::Status).await
            {
                let newest = status.pending.as_ref().unwrap_or(&status.in_force);
                canary_is_closed = closes_canary(&newest.values);
            }
        }
    }

    /// Checks that the fleet recovers after all faults have ended: a revision that opens the canary build is in force
    /// in time, and then every router uses that build in time. Records a failure otherwise.
    pub(super) async fn check_recovery(&self) {
        if !self.open_canary().await {
            self.record_failure(
                "all faults ended, but no revision that opens the canary build was in force within 20 s"
                    .into(),
            );
            return;
        }
        let since = self.now();
        let deadline = Instant::now() + CANARY_USE_TIMEOUT;
        loop {
            let missing: Vec<u32> = (0..self.config.routers)
                .filter(|router| !self.peers.used_canary_since(*router, since))
                .collect();
            if missing.is_empty() {
                return;
            }
            if Instant::now() >= deadline {
                self.record_failure(format!(
                    "all faults ended, but routers {missing:?} sent nothing to the canary build within 15 s"
                ));
                return;
            }
            sleep(CANARY_USE_POLL).await;
        }
    }

    /// Sends proposals until a revision that opens the canary build is in force. Returns `false` if none is in time.
    async fn open_canary(&self) -> bool {
        let addresses = self.node_addresses().await;
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let mut token = RECOVERY_TOKEN;
        while Instant::now() < deadline {
            let response = send_request(&addresses, Request::Status, REQUEST_TIMEOUT).await;
            let Ok(Response::Status(status)) = response else {
                continue;
            };
            if status.pending.is_some() {
                sleep(PENDING_POLL).await;
                continue;
            }
            if !closes_canary(&status.in_force.values) {
                return true;
            }
            token += 1;
            let proposal = proposal(token, status.in_force.number, "recovery", Overrides::new());
            // The outcome does not matter: the next status shows which revision is in force.
            let _ = send_request(&addresses, Request::Propose(proposal), REQUEST_TIMEOUT).await;
        }
        false
    }
}

fn proposal(token: u64, base: RevisionNumber, why: &str, values: Overrides) -> Proposal {
    Proposal {
        token,
        base,
        who: "rig".into(),
        why: why.into(),
        at_s: 0,
        values,
    }
}

/// Returns values that allow no deliveries to the canary build.
fn closing_overrides() -> Overrides {
    Overrides::from([
        ("stage-cap".into(), "0,0,0,0".into()),
        ("exposure-free".into(), "0".into()),
    ])
}

/// Sends a proposal to a node, and again to random nodes as long as its outcome is not known. Some proposals are sent
/// again although their outcome is known. Returns the last response.
async fn propose(
    rng: &mut StdRng,
    node: SocketAddr,
    addresses: &[SocketAddr],
    proposal: &Proposal,
) -> Result<Response, RequestError> {
    let mut response = send_request_to(node, Request::Propose(proposal.clone())).await;
    for _ in 0..MAX_REPEATS {
        let answered = matches!(response, Ok(Response::Proposed(_) | Response::Invalid(_)));
        if answered && !rng.random_bool(REPEAT_SHARE) {
            break;
        }
        sleep(REPEAT_PAUSE).await;
        let other = addresses[rng.random_range(0..addresses.len())];
        response = send_request_to(other, Request::Propose(proposal.clone())).await;
    }
    response
}
