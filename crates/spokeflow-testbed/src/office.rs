//! The host list and the release desk on loopback sockets, late, stalled, refusing or broken off as the day says.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use spokeflow_proto::{
    EndpointPhase, EndpointRecord, FrameCodec, FromController, FromList, Role, RolloutPhase,
    RolloutUpdate, ToController, ToList, VoteChoice, VoteResult, LIST_LIMIT, WORK_LIMIT,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::interval;
use tokio_util::codec::Framed;

use spokeflow_scenario::active_faults::{LinkDirection, CONTROL_SITE};
use spokeflow_scenario::endpoint_registry::{EndpointRegistry, Entry};
use spokeflow_scenario::observation::{Observation, Phase, Process, RolloutState};
use spokeflow_scenario::release_controller::{
    ControllerVote, ReleaseController, State, VoteOutcome,
};

use crate::hosts::World;
use crate::Micros;

const TICK: Duration = Duration::from_millis(10);

pub struct Office {
    pub world: Arc<World>,
    pub board: Mutex<EndpointRegistry>,
    pub desk: Mutex<ReleaseController>,
}

impl Office {
    /// Serves list and desk until dropped. Errors: no port can be had.
    pub async fn open(self: &Arc<Self>) -> std::io::Result<(SocketAddr, SocketAddr)> {
        let list = TcpListener::bind("127.0.0.1:0").await?;
        let desk = TcpListener::bind("127.0.0.1:0").await?;
        let addresses = (list.local_addr()?, desk.local_addr()?);
        let office = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = list.accept().await {
                tokio::spawn(office.clone().list(stream));
            }
        });
        let office = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = desk.accept().await {
                tokio::spawn(office.clone().desk(stream));
            }
        });
        Ok(addresses)
    }

    async fn list(self: Arc<Self>, stream: TcpStream) {
        let mut link: Framed<TcpStream, FrameCodec<ToList, FromList>> =
            Framed::new(stream, FrameCodec::new(LIST_LIMIT));
        let Some(Ok(ToList::Hello(hello))) = link.next().await else {
            return;
        };
        if hello.check(&[Role::Router]).is_err() || self.world.faults().list_breaks {
            return;
        }
        let (to, site) = (self.world.process(hello.index), hello.zone);
        if link.send(FromList::Welcome).await.is_err() {
            return;
        }
        let (send, mut ready) =
            self.world
                .delayed::<FromList>(CONTROL_SITE, site, LinkDirection::ControlSite);
        let mut watched: Option<u64> = None;
        let mut ticks = interval(TICK);
        loop {
            tokio::select! {
                read = link.next() => match read {
                    Some(Ok(ToList::Watch { have })) => {
                        let board = self.board.lock().expect("no holder panics");
                        let _ = send.send(self.message(&board, have));
                        watched = Some(board.version());
                    }
                    Some(Ok(ToList::Fetch)) => {
                        let board = self.board.lock().expect("no holder panics");
                        let _ = send.send(self.message(&board, None));
                    }
                    _ => return,
                },
                Some(message) = ready.recv() => {
                    self.note(to, &message);
                    if link.send(message).await.is_err() {
                        return;
                    }
                }
                _ = ticks.tick() => {
                    if self.world.faults().list_breaks {
                        return;
                    }
                    let board = self.board.lock().expect("no holder panics");
                    if watched.is_some_and(|v| v < board.version()) {
                        let _ = send.send(self.message(&board, watched));
                        watched = Some(board.version());
                    }
                }
            }
        }
    }

    fn message(&self, board: &EndpointRegistry, have: Option<u64>) -> FromList {
        let now = self.world.tap.now();
        let (whole, entries) = board.since(have);
        let line = |e: &&Entry| EndpointRecord {
            host: e.host,
            address: e.address.clone(),
            build: Some(e.build),
            cell: 0,
            zone: e.site,
            phase: match e.phase {
                Phase::Gone => EndpointPhase::Gone,
                Phase::Ready => EndpointPhase::Ready,
                Phase::Draining => EndpointPhase::Draining,
            },
            incarnation: e.incarnation,
            up_us: e.started.map(|at| (now - at).max(0) as u64),
        };
        let (version, lines) = (board.version(), entries.iter().map(line).collect());
        if whole {
            FromList::Complete {
                version,
                endpoints: lines,
            }
        } else {
            FromList::Changes {
                version,
                endpoints: lines,
            }
        }
    }

    fn note(&self, to: Process, message: &FromList) {
        let (whole, lines) = match message {
            FromList::Complete {
                endpoints: lines, ..
            } => (true, lines),
            FromList::Changes {
                endpoints: lines, ..
            } if !lines.is_empty() => (false, lines),
            _ => return,
        };
        let phase = |l: &EndpointRecord| match l.phase {
            EndpointPhase::Gone => Phase::Gone,
            EndpointPhase::Ready => Phase::Ready,
            EndpointPhase::Draining => Phase::Draining,
        };
        let lines = lines
            .iter()
            .map(|l| (l.host, l.build.unwrap_or(0), phase(l)))
            .collect();
        self.world
            .tap
            .note(Observation::Listed { to, whole, lines });
    }

    async fn desk(self: Arc<Self>, stream: TcpStream) {
        let mut link: Framed<TcpStream, FrameCodec<ToController, FromController>> =
            Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        let Some(Ok(ToController::Hello(hello))) = link.next().await else {
            return;
        };
        if hello.check(&[Role::Router]).is_err()
            || link.send(FromController::Welcome).await.is_err()
        {
            return;
        }
        let (to, site) = (self.world.process(hello.index), hello.zone);
        let (send, mut ready) = self.world.delayed::<(FromController, Option<State>)>(
            CONTROL_SITE,
            site,
            LinkDirection::ControlSite,
        );
        let (hear, mut heard) =
            self.world
                .delayed::<ToController>(site, CONTROL_SITE, LinkDirection::ControlSite);
        let mut told: Option<State> = None;
        let mut told_at = Micros::MIN / 2;
        let mut coming: VecDeque<(Micros, State)> = VecDeque::new();
        let mut ticks = interval(TICK);
        loop {
            tokio::select! {
                read = link.next() => match read {
                    Some(Ok(message)) => drop(hear.send(message)),
                    _ => return,
                },
                Some(message) = heard.recv() => {
                    if let ToController::Vote { ballot, build, stage, choice: verdict } = message {
                        let verdict = match verdict {
                            VoteChoice::Abstain => ControllerVote::None,
                            VoteChoice::Promote => ControllerVote::On,
                            VoteChoice::Hold => ControllerVote::Hold,
                            VoteChoice::RollBack => ControllerVote::Back,
                        };
                        let seen =
                            Observation::Voted { from: to, build, stage, vote: format!("{verdict:?}") };
                        self.world.tap.note(seen);
                        if let Some(result) = self.vote(to.router, build, stage, verdict) {
                            let _ = send.send((FromController::Voted { ballot, result }, None));
                        }
                    }
                }
                Some((message, state)) = ready.recv() => {
                    let message = match state {
                        Some(state) => FromController::RolloutUpdate(self.news(to, state)),
                        None => message,
                    };
                    if link.send(message).await.is_err() {
                        return;
                    }
                }
                _ = ticks.tick() => {
                    let (now, faults) = (self.world.tap.now(), self.world.faults());
                    if faults.stalled_controller {
                        continue;
                    }
                    let state = self.desk.lock().expect("no holder panics").state;
                    if told != Some(state) || now - told_at >= self.world.day.rollout_interval {
                        // A router that has just connected is told at once, changes some time after.
                        let [least, most] = self.world.day.rollout_delay;
                        let late = if told.is_none() { 0 } else { rand::rng().random_range(least..most) };
                        coming.push_back((now + late + faults.controller_delay, state));
                        (told, told_at) = (Some(state), now);
                    }
                    while coming.front().is_some_and(|c| c.0 <= now) {
                        if let Some((_, state)) = coming.pop_front() {
                            let _ = send.send((FromController::Welcome, Some(state)));
                        }
                    }
                }
            }
        }
    }

    /// `None`: no answer.
    fn vote(
        &self,
        router: u32,
        build: u16,
        stage: u8,
        verdict: ControllerVote,
    ) -> Option<VoteResult> {
        let (now, faults) = (self.world.tap.now(), self.world.faults());
        if faults.refusing_controller {
            return Some(VoteResult::Refused);
        }
        let counts = !faults.stalled_controller || rand::rng().random_bool(0.5);
        let counted = counts.then(|| {
            self.desk
                .lock()
                .expect("no holder panics")
                .vote(now, router, build, stage, verdict)
        });
        match counted.filter(|_| !faults.stalled_controller)? {
            VoteOutcome::Counted => Some(VoteResult::Counted),
            VoteOutcome::Moot => Some(VoteResult::Stale),
            VoteOutcome::TooMany => Some(VoteResult::RateLimited),
        }
    }

    fn news(&self, to: Process, state: State) -> RolloutUpdate {
        let State {
            build,
            stage,
            rollout: standing,
            cap,
            since,
        } = state;
        self.world.tap.note(Observation::News {
            to,
            build,
            stage,
            state: standing,
            cap,
        });
        let standing = match standing {
            RolloutState::Canary => RolloutPhase::Canary,
            RolloutState::RollingBack => RolloutPhase::RollingBack,
            RolloutState::Released => RolloutPhase::Released,
            RolloutState::Withdrawn => RolloutPhase::Withdrawn,
        };
        let age_us = (self.world.tap.now() - since).max(0) as u64;
        RolloutUpdate {
            build,
            stage,
            phase: standing,
            exposure_cap: cap as f32,
            age_us,
        }
    }
}
