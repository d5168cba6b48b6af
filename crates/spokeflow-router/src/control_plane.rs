//! The link to the keepers: one at a time, asked for a lease every third of one, left for the next where it does not give
//! one. Revisions are checked here and reach the engine as terms, together with the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use spokeflow_coordination::wire::{Caller, FromNode, Request, Response, ToNode, LIMIT};
use spokeflow_coordination::{HostState, LeaseConfig, LeaseHolder, ListedHost, RevisionNumber};
use spokeflow_core::Micros;
use spokeflow_engine::Input;
use spokeflow_proto::{FrameCodec, Line, LinePhase};
use spokeflow_runtime::{Backoff, Clock};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;
use tracing::{info, warn};

use crate::event::EngineEvent;
use crate::links::KEEPER_WAY;
use crate::RouterFlags;

/// A keeper that is not reached, or says nothing, for this long is left for the next.
const PATIENCE: Duration = Duration::from_millis(500);

type Link = Framed<TcpStream, FrameCodec<FromNode, ToNode>>;

/// The control side of one router: its link to the keepers and what it holds of them.
pub struct ControlPlaneLink {
    terms: RouterFlags,
    process: u64,
    backoff: Backoff,
    clock: Arc<Clock>,
    core: mpsc::Sender<EngineEvent>,
    applied: watch::Receiver<RevisionNumber>,
    lease_holder: Option<LeaseHolder>,
    /// The newest revision that does not fit this router: said once.
    misfit: RevisionNumber,
}

/// Why a keeper is left.
enum Left {
    Ending,
    /// It does not answer, or knows no leader.
    For(&'static str),
}

impl ControlPlaneLink {
    /// `core` is told what may be acted on; `applied` tells the newest revision that is acted on since.
    pub fn new(
        terms: &RouterFlags,
        seed: u64,
        clock: Arc<Clock>,
        core: mpsc::Sender<EngineEvent>,
        applied: watch::Receiver<RevisionNumber>,
    ) -> Self {
        let backoff = Backoff::new(
            seed,
            KEEPER_WAY,
            Duration::from_millis(50),
            Duration::from_millis(500),
        );
        // Not from the seed: two processes with one seed must not be taken for one.
        let process = rand::rng().random();
        let (terms, lease_holder) = (terms.clone(), None);
        ControlPlaneLink {
            terms,
            process,
            backoff,
            clock,
            core,
            applied,
            lease_holder,
            misfit: RevisionNumber(0),
        }
    }

    /// Goes on until `core` or `applied` is closed.
    pub async fn run(mut self) {
        // Spread over the keepers, each router with one of its own to begin with.
        let mut turn = self.terms.index as usize;
        let mut failures = 0;
        loop {
            let keepers = self.keepers();
            let address = keepers[turn % keepers.len()];
            let before = self.lease_holder.as_ref().and_then(LeaseHolder::expires_at);
            let left = match timeout(PATIENCE, self.open(address)).await {
                Ok(Some(link)) => self.talk(link).await,
                _ => Left::For("not reached"),
            };
            let why = match left {
                Left::Ending => return,
                Left::For(why) => why,
            };
            let held = self.lease_holder.as_ref().and_then(LeaseHolder::expires_at);
            failures = if held > before { 0 } else { failures + 1 };
            if let Some(kept_back) = self.clock.allow_log_line() {
                let left_us = held.map_or(0, |until| until - self.clock.now());
                warn!(keeper = %address, why, failures, left_us, kept_back, "keeper left for the next");
            }
            turn += 1;
            sleep(self.backoff.delay(failures)).await;
        }
    }

    /// Those that the flags name, and those that have been taken in since.
    fn keepers(&self) -> Vec<SocketAddr> {
        let mut all = self.terms.control_plane.clone();
        let told = self
            .lease_holder
            .iter()
            .flat_map(|h| h.voter_addresses())
            .filter_map(|a| a.parse().ok());
        all.extend(
            told.filter(|a| !self.terms.control_plane.contains(a))
                .collect::<Vec<_>>(),
        );
        all
    }

    async fn open(&mut self, address: SocketAddr) -> Option<Link> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut link: Link = Framed::with_capacity(stream, FrameCodec::new(LIMIT), 1024);
        link.send(ToNode::hello(Caller::Router {
            index: self.terms.index,
        }))
        .await
        .ok()?;
        let Some(Ok(FromNode::Welcome {
            parameters: common, ..
        })) = link.next().await
        else {
            return None;
        };
        let terms = LeaseConfig {
            duration: common.lease_us as Micros,
            max_clock_drift: common.max_clock_drift,
        };
        if self.lease_holder.is_none() {
            info!(
                lease_us = common.lease_us,
                "follows keepers; longest contradiction is one lease"
            );
            let lease_holder = LeaseHolder::new(terms, self.process, self.terms.index);
            self.lease_holder = Some(if self.terms.replicated_list {
                lease_holder.with_list()
            } else {
                lease_holder
            });
        }
        Some(link)
    }

    /// Asks for leases until the keeper gives none.
    async fn talk(&mut self, mut link: Link) -> Left {
        let Some(every) = self
            .lease_holder
            .as_ref()
            .map(LeaseHolder::renewal_interval)
        else {
            return Left::For("no lease terms");
        };
        let every = Duration::from_micros(every.max(1000) as u64);
        let mut ask_at = Instant::now();
        let mut unanswered: Option<Instant> = None;
        loop {
            let give_up = unanswered.map_or(ask_at + every * 2, |since| since + PATIENCE);
            tokio::select! {
                _ = tokio::time::sleep_until(ask_at) => {
                    let Some(lease_holder) = &mut self.lease_holder else { return Left::For("no lease terms") };
                    let (number, asked) = lease_holder.request(self.clock.now());
                    let ask = ToNode::Request { number, request: Request::Lease(asked) };
                    if !matches!(timeout(PATIENCE, link.send(ask)).await, Ok(Ok(()))) {
                        return Left::For("does not read");
                    }
                    unanswered = unanswered.or(Some(Instant::now()));
                    ask_at = Instant::now() + every;
                }
                _ = tokio::time::sleep_until(give_up) => return Left::For("does not answer"),
                read = link.next() => match read {
                    Some(Ok(FromNode::Response { number, response: Response::Granted(grant) })) => {
                        unanswered = None;
                        let Some(lease_holder) = &mut self.lease_holder else { return Left::For("no lease terms") };
                        if lease_holder.on_grant(number, *grant) && !self.act().await {
                            return Left::Ending;
                        }
                    }
                    Some(Ok(FromNode::Response { .. })) => return Left::For("knows no leader"),
                    Some(Ok(FromNode::Refused { .. })) => return Left::For("refuses"),
                    _ => return Left::For("connection lost"),
                },
                changed = self.applied.changed() => {
                    if changed.is_err() {
                        return Left::Ending;
                    }
                    let revision = *self.applied.borrow_and_update();
                    if let Some(lease_holder) = &mut self.lease_holder {
                        // Said at once: the revision comes into force the sooner.
                        ask_at = if lease_holder.pending().is_some() { Instant::now() } else { ask_at };
                        lease_holder.set_applied_revision(revision);
                    }
                }
            }
        }
    }

    /// Hands the engine what may be acted on. `false`: it is no more.
    async fn act(&mut self) -> bool {
        let Some(lease_holder) = &mut self.lease_holder else {
            return true;
        };
        if let Some(part) = lease_holder.take_list_update() {
            let hosts = part.hosts.into_iter().map(line).collect();
            let list = Input::ReplicatedList {
                complete: part.complete,
                hosts,
            };
            if self.core.send(EngineEvent::Input(list)).await.is_err() {
                return false;
            }
        }
        let Some(until) = lease_holder.expires_at() else {
            return true;
        };
        let revision = lease_holder.newest();
        match self
            .terms
            .agreed(lease_holder.in_force(), lease_holder.pending())
        {
            Ok(terms) => {
                let terms = Box::new(terms);
                self.core
                    .send(EngineEvent::Agreed {
                        until,
                        terms,
                        revision,
                    })
                    .await
                    .is_ok()
            }
            Err(errors) => {
                // The lease binds to a revision that this router cannot act on: it acts on none.
                if self.misfit != revision {
                    self.misfit = revision;
                    warn!(
                        revision = revision.0,
                        errors = errors.to_string(),
                        "a revision does not fit: no lease is acted on"
                    );
                }
                true
            }
        }
    }
}

fn line(host: ListedHost) -> Line {
    let ListedHost {
        host,
        address,
        build,
        cell,
        zone,
        state,
        incarnation,
        up_us,
    } = host;
    let phase = match state {
        HostState::Gone => LinePhase::Gone,
        HostState::Ready => LinePhase::Ready,
        HostState::Draining => LinePhase::Draining,
    };
    Line {
        host,
        address,
        build,
        cell,
        zone,
        phase,
        incarnation,
        up_us,
    }
}
