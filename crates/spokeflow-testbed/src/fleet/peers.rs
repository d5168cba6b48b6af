//! What surrounds the routers of the rig: hosts that ack, a list and a desk that stand still, clients that ask steadily.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};
use tokio_util::codec::Framed;

use crate::Micros;

/// The build that stands, and the one on trial: its hosts are the odd ones.
pub const OLD: u16 = 1;
pub const NEW: u16 = 2;
pub const PATIENCE: Micros = 2_000_000;
/// Numbers of the op types, as the routers' flags name them.
pub const AGAIN: u16 = 0;
pub const ONCE: u16 = 1;

#[derive(Clone, Copy, Debug)]
pub struct Delivered {
    pub at: Micros,
    pub router: u32,
    pub host: u32,
    pub build: u16,
    pub command: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Acked,
    Nacked,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub at: Micros,
    pub router: u32,
    pub op: u16,
    /// Each answer that came, and when.
    pub answers: Vec<(Micros, Ended)>,
    /// The connection broke before an answer: as where the router was killed.
    pub broken: bool,
}

#[derive(Default)]
pub struct Noted {
    pub delivered: Vec<Delivered>,
    pub asked: HashMap<u64, Asked>,
}

pub struct Peers {
    pub start: Instant,
    /// The list's version and lines.
    pub list: watch::Sender<(u64, Vec<EndpointRecord>)>,
    pub noted: Mutex<Noted>,
    /// Where each router listens, while it does.
    pub doors: Mutex<Vec<Option<SocketAddr>>>,
    /// The longest time by which a task of this program came late: on a busy machine that is no fault of a router's.
    pub lag: Mutex<Micros>,
}

impl Peers {
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Measures how late this program itself is.
    pub async fn watch_lag(self: Arc<Self>) {
        loop {
            let before = Instant::now();
            sleep(Duration::from_millis(10)).await;
            let late = before.elapsed().as_micros() as Micros - 10_000;
            let mut lag = self.lag.lock().expect("no holder panics");
            *lag = late.max(*lag);
        }
    }

    /// A host drains, or comes back as another process.
    pub fn turn(&self, host: u32) {
        self.list.send_modify(|(version, lines)| {
            *version += 1;
            let Some(line) = lines.iter_mut().find(|l| l.host == host) else {
                return;
            };
            (line.phase, line.incarnation) = match line.phase {
                EndpointPhase::Ready => (EndpointPhase::Draining, line.incarnation),
                _ => (EndpointPhase::Ready, line.incarnation + 1),
            };
        });
    }

    fn incarnation(&self, host: u32) -> u64 {
        self.list
            .borrow()
            .1
            .iter()
            .find(|l| l.host == host)
            .map_or(1, |l| l.incarnation)
    }

    /// Starts so many hosts, a list, a desk and a list that takes connections and says nothing. Answers the addresses of
    /// the last three. Errors: no port can be had.
    pub async fn open(self: &Arc<Self>, hosts: u32) -> std::io::Result<[SocketAddr; 3]> {
        let mut lines = Vec::new();
        for host in 0..hosts {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let build = if host % 2 == 0 { OLD } else { NEW };
            let address = listener.local_addr()?.to_string();
            let (cell, zone, phase) = (0, 0, EndpointPhase::Ready);
            lines.push(EndpointRecord {
                host,
                address,
                build: Some(build),
                cell,
                zone,
                phase,
                incarnation: 1,
                up_us: None,
            });
            let peers = self.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(peers.clone().host(host, build, stream));
                }
            });
        }
        self.list.send_replace((1, lines));
        let bind = || TcpListener::bind("127.0.0.1:0");
        let (list, desk, silent) = (bind().await?, bind().await?, bind().await?);
        let addresses = [list.local_addr()?, desk.local_addr()?, silent.local_addr()?];
        let peers = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = list.accept().await {
                tokio::spawn(list_link(stream, peers.list.subscribe()));
            }
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = desk.accept().await {
                tokio::spawn(desk_link(stream));
            }
        });
        tokio::spawn(async move {
            let mut held = std::collections::VecDeque::new();
            while let Ok((stream, _)) = silent.accept().await {
                held.push_back(stream);
                held.drain(..held.len().saturating_sub(200));
            }
        });
        Ok(addresses)
    }

    async fn host(self: Arc<Self>, host: u32, build: u16, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link: Framed<TcpStream, FrameCodec<ToHost, FromHost>> =
            Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        let Some(Ok(ToHost::Hello(hello))) = link.next().await else {
            return;
        };
        let incarnation = self.incarnation(host);
        let welcome = FromHost::Welcome {
            host,
            build,
            incarnation,
            up_us: 3_600_000_000,
        };
        if link.send(welcome).await.is_err() {
            return;
        }
        while let Some(Ok(message)) = link.next().await {
            let answer = match message {
                ToHost::Deliver { delivery, body, .. } => {
                    let command = body
                        .first_chunk::<8>()
                        .map_or(0, |b| u64::from_be_bytes(*b));
                    let (at, router) = (self.now(), hello.index);
                    let delivered = Delivered {
                        at,
                        router,
                        host,
                        build,
                        command,
                    };
                    self.noted
                        .lock()
                        .expect("no holder panics")
                        .delivered
                        .push(delivered);
                    FromHost::Acked {
                        delivery,
                        body: Bytes::new(),
                    }
                }
                ToHost::Ping => FromHost::Pong,
                ToHost::Probe { probe } => FromHost::Probed { probe },
                _ => continue,
            };
            if link.send(answer).await.is_err() {
                return;
            }
        }
    }

    /// One client of one router: a command every so often, on a new connection where the old one broke.
    pub async fn client(self: Arc<Self>, router: u32, every: Duration) {
        let mut number = u64::from(router) << 32;
        loop {
            let door = self
                .doors
                .lock()
                .expect("no holder panics")
                .get(router as usize)
                .copied()
                .flatten();
            let Some(door) = door else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let first = number + 1;
            let _ = self.ask(router, door, every, &mut number).await;
            let mut noted = self.noted.lock().expect("no holder panics");
            for id in first..=number {
                if let Some(asked) = noted.asked.get_mut(&id).filter(|a| a.answers.is_empty()) {
                    asked.broken = true;
                }
            }
        }
    }

    async fn ask(
        &self,
        router: u32,
        door: SocketAddr,
        every: Duration,
        number: &mut u64,
    ) -> Result<(), FrameError> {
        let connect = timeout(Duration::from_secs(1), TcpStream::connect(door)).await;
        let stream = connect.map_err(|_| FrameError::TooSlow)??;
        let _ = stream.set_nodelay(true);
        let mut link: Framed<TcpStream, FrameCodec<ToClient, FromClient>> =
            Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        link.send(FromClient::Hello(Hello::new(Role::Client, 0, 0)))
            .await?;
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                read = link.next() => {
                    let Some(message) = read else { return Ok(()) };
                    let (id, ended) = match message? {
                        ToClient::Acked { id, .. } => (id, Ended::Acked),
                        ToClient::Nacked { id, .. } => (id, Ended::Nacked),
                        ToClient::Failed { id } => (id, Ended::Failed),
                        _ => continue,
                    };
                    let at = self.now();
                    if let Some(asked) = self.noted.lock().expect("no holder panics").asked.get_mut(&id) {
                        asked.answers.push((at, ended));
                    }
                }
                _ = ticks.tick() => {
                    *number += 1;
                    let (id, op) = (*number, if number.is_multiple_of(3) { ONCE } else { AGAIN });
                    let at = self.now();
                    let asked = Asked { at, router, op, answers: Vec::new(), broken: false };
                    self.noted.lock().expect("no holder panics").asked.insert(id, asked);
                    // Without a key: each may go to either build.
                    let (body, left_us) = (Bytes::copy_from_slice(&id.to_be_bytes()), PATIENCE as u64);
                    let command = Command { id, op, tenant: 0, key: 0, idempotency_key: id, left_us, body };
                    link.send(FromClient::Command(command)).await?;
                }
            }
        }
    }
}

async fn list_link(stream: TcpStream, mut list: watch::Receiver<(u64, Vec<EndpointRecord>)>) {
    let mut link: Framed<TcpStream, FrameCodec<ToList, FromList>> =
        Framed::new(stream, FrameCodec::new(LIST_LIMIT));
    let mut watched = false;
    loop {
        let answer = tokio::select! {
            read = link.next() => match read {
                Some(Ok(ToList::Hello(_))) => FromList::Welcome,
                Some(Ok(asked)) => {
                    watched |= matches!(asked, ToList::Watch { .. });
                    let (version, lines) = list.borrow_and_update().clone();
                    FromList::Complete { version, endpoints: lines }
                }
                _ => return,
            },
            Ok(()) = list.changed(), if watched => {
                let (version, lines) = list.borrow_and_update().clone();
                FromList::Changes { version, endpoints: lines }
            }
        };
        if link.send(answer).await.is_err() {
            return;
        }
    }
}

async fn desk_link(stream: TcpStream) {
    let mut link: Framed<TcpStream, FrameCodec<ToController, FromController>> =
        Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    let Some(Ok(ToController::Hello(_))) = link.next().await else {
        return;
    };
    if link.send(FromController::Welcome).await.is_err() {
        return;
    }
    let start = Instant::now();
    let mut ticks = interval(Duration::from_secs(1));
    loop {
        tokio::select! {
            read = link.next() => match read {
                Some(Ok(ToController::Vote { ballot, .. })) => {
                    let voted = FromController::Voted { ballot, result: VoteResult::Counted };
                    if link.send(voted).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            _ = ticks.tick() => {
                // The desk allows all: what holds routers back is agreed.
                let age_us = start.elapsed().as_micros() as u64;
                let news = RolloutUpdate { build: NEW, stage: 1, phase: RolloutPhase::Canary, exposure_cap: 1.0, age_us };
                if link.send(FromController::RolloutUpdate(news)).await.is_err() {
                    return;
                }
            }
        }
    }
}
