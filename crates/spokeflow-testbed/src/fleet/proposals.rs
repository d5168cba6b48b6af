//! Revisions that the rig proposes: while faults happen, such as close and open the canary build in turn; at the end
//! one that opens it.

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

/// Between two proposals where nothing fails.
const FAULT_FREE_PAUSE_MS: u64 = 100;
/// Open for long enough to be used.
const OPEN_MS: std::ops::Range<u64> = 200..5000;
/// Closed for long enough to be violated.
const CLOSED_MS: std::ops::Range<u64> = 200..2000;
/// Share of the proposals that name an older revision as their base.
const STALE_BASE_SHARE: f64 = 0.1;
/// Share of the proposals that are sent again although they were answered.
const REPEAT_SHARE: f64 = 0.2;
/// How often a proposal is sent again at most.
const REPEATS: u32 = 8;
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Within which the last revision comes into force once nothing is wrong.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Within which every router then uses the canary build.
const CANARY_USE_TIMEOUT: Duration = Duration::from_secs(15);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const PENDING_POLL: Duration = Duration::from_millis(100);
const CANARY_USE_POLL: Duration = Duration::from_millis(200);
/// Token before the first proposal of the recovery; far from what is drawn.
const RECOVERY_TOKEN: u64 = 7;

impl Rig {
    /// Proposes revisions that in turn close and open the canary build, some twice, some on an older base, with reads
    /// between them. Never ends.
    pub(super) async fn propose_revisions(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut closed = false;
        loop {
            let pause_ms = match self.config.fault_free {
                true => FAULT_FREE_PAUSE_MS,
                false if closed => rng.random_range(CLOSED_MS),
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
            let stale = !self.config.fault_free && rng.random_bool(STALE_BASE_SHARE);
            let newest = status.in_force.number;
            let base = match stale {
                true => RevisionNumber(newest.0.saturating_sub(1)),
                false => newest,
            };
            let overrides = match closed {
                true => Overrides::new(),
                false => closing_overrides(),
            };
            let proposal = proposal(rng.random(), base, "drawn", overrides);
            let response = propose(&mut rng, node, &addresses, &proposal).await;
            let pending = matches!(
                response,
                Ok(Response::Proposed(ProposalOutcome::Pending(_)))
            );
            if pending {
                closed = !closed;
            } else if let Ok(Response::Status(status)) =
                send_request_to(node, Request::Status).await
            {
                let newest = status.pending.as_ref().unwrap_or(&status.in_force);
                closed = closes_canary(&newest.values);
            }
        }
    }

    /// With no fault any more, a revision that opens the canary build comes into force, and every router uses it.
    pub(super) async fn check_recovery(&self) {
        if !self.open_canary().await {
            self.record_failure(
                "all was restored, and no revision came into force within 20 s".into(),
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
                    "all was restored, and routers {missing:?} sent nothing to the canary build for 15 s"
                ));
                return;
            }
            sleep(CANARY_USE_POLL).await;
        }
    }

    /// Proposes until a revision that opens the canary build is in force; `false` where none is in time.
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
            // Whatever its outcome, the status shows what is in force.
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

/// Values by which nothing goes to the canary build.
fn closing_overrides() -> Overrides {
    Overrides::from([
        ("stage-cap".into(), "0,0,0,0".into()),
        ("exposure-free".into(), "0".into()),
    ])
}

/// Sends a proposal to a node, and again to others where its outcome is not clear, or although it is.
async fn propose(
    rng: &mut StdRng,
    node: SocketAddr,
    addresses: &[SocketAddr],
    proposal: &Proposal,
) -> Result<Response, RequestError> {
    let mut response = send_request_to(node, Request::Propose(proposal.clone())).await;
    for _ in 0..REPEATS {
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
