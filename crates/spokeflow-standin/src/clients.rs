//! Clients: an open loop of commands with patience, retries, keys, customers and reports of wrong answers, and
//! the plain front of each site that spreads them over its routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use serde::Serialize;
use spokeflow_proto::{Command, FrameCodec, FromClient, Hello, Role, ToClient, WORK_LIMIT};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

use crate::hosts::{body, World};
use crate::scenario::Repeat;
use crate::tap::{AnswerKind, Process, Seen};
use crate::{Micros, MS, SECOND};

/// Where routers can be reached, and since when one is down.
#[derive(Clone, Copy, Debug)]
pub struct Door {
    pub address: Option<SocketAddr>,
    pub process: Process,
    pub down_since: Option<Micros>,
}

pub type Doors = Arc<Mutex<Vec<Door>>>;

/// How a command went, retries and all.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub command: u64,
    pub op: usize,
    pub customer: usize,
    pub site: u16,
    pub due: Micros,
    pub tries: u32,
    pub end: End,
    /// From when the command was due to its end.
    pub took: Micros,
    pub build: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    Acked,
    /// Acked, and found wrong.
    Wrong,
    Nacked,
    Failed,
    GivenUp,
    Unreachable,
}

enum TryEnd {
    Acked {
        build: u16,
        wrong: bool,
    },
    Nacked(Option<u64>),
    Failed,
    /// Never written to a router.
    Unreachable,
    /// Written, and the connection broke.
    Broken,
}

struct Send {
    command: Command,
    tried: u64,
    number: u64,
    patience: Micros,
    end: oneshot::Sender<TryEnd>,
}

enum Order {
    Send(Send),
    Leave(u64),
}

/// One client connection, kept up while its router is.
struct Link {
    world: Arc<World>,
    doors: Doors,
    router: usize,
    site: u16,
    orders: mpsc::Receiver<Order>,
}

impl Link {
    async fn run(mut self) {
        loop {
            let door = self.doors.lock().expect("no holder panics")[self.router];
            let opened = match door.address {
                Some(address) => timeout(Duration::from_millis(250), self.open(address)).await.ok().flatten(),
                None => None,
            };
            match opened {
                Some(link) => self.work(link, door.process).await,
                None => {
                    // What is asked meanwhile meets a closed door.
                    let pause = sleep(Duration::from_millis(30));
                    tokio::pin!(pause);
                    loop {
                        tokio::select! {
                            _ = &mut pause => break,
                            order = self.orders.recv() => match order {
                                Some(Order::Send(send)) => drop(send.end.send(TryEnd::Unreachable)),
                                Some(Order::Leave(_)) => {}
                                None => return,
                            }
                        }
                    }
                }
            }
            if self.orders.is_closed() && self.orders.is_empty() {
                return;
            }
        }
    }

    async fn open(&self, address: SocketAddr) -> Option<Framed<TcpStream, FrameCodec<ToClient, FromClient>>> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut link = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        link.send(FromClient::Hello(Hello::new(Role::Client, 0, self.site))).await.ok()?;
        matches!(link.next().await, Some(Ok(ToClient::Welcome))).then_some(link)
    }

    async fn work(&mut self, mut link: Framed<TcpStream, FrameCodec<ToClient, FromClient>>, by: Process) {
        let mut open: HashMap<u64, (u64, Option<oneshot::Sender<TryEnd>>)> = HashMap::new();
        let mut closing = false;
        loop {
            tokio::select! {
                read = link.next() => {
                    let Some(Ok(message)) = read else { break };
                    let (id, kind, build, end) = match message {
                        ToClient::Acked { id, build, receipt, body } => {
                            let wrong = &body[..] == b"wrong";
                            let reports = wrong && rand::rng().random_bool(self.world.day.reported);
                            if reports {
                                let _ = link.send(FromClient::Disputed { receipt }).await;
                            }
                            (id, AnswerKind::Acked, build, TryEnd::Acked { build, wrong })
                        }
                        ToClient::Nacked { id, come_back_us } => {
                            (id, AnswerKind::Nacked, 0, TryEnd::Nacked(come_back_us))
                        }
                        ToClient::Failed { id } => (id, AnswerKind::Failed, 0, TryEnd::Failed),
                        ToClient::Closing => {
                            closing = true;
                            continue;
                        }
                        ToClient::Welcome | ToClient::Refused(_) => break,
                    };
                    // An answer to what is not open, or again, is noted as well: the checker must see it.
                    let Some((tried, waits)) = open.get_mut(&id) else { continue };
                    self.world.tap.note(Seen::Answered { by, tried: *tried, kind, build });
                    if let Some(waits) = waits.take() {
                        let _ = waits.send(end);
                    }
                }
                order = self.orders.recv() => match order {
                    Some(Order::Send(send)) if closing => drop(send.end.send(TryEnd::Unreachable)),
                    Some(Order::Send(send)) => {
                        let Send { command, tried, number, patience, end } = send;
                        let (op, key, id) = (command.op, command.key, command.id);
                        self.world.tap.note(Seen::Taken { by, tried, command: number, op, key, patience });
                        open.insert(id, (tried, Some(end)));
                        if link.send(FromClient::Command(command)).await.is_err() {
                            break;
                        }
                    }
                    Some(Order::Leave(id)) => {
                        if let Some((tried, _)) = open.get(&id) {
                            self.world.tap.note(Seen::Left { tried: *tried });
                            let _ = link.send(FromClient::Leave { id }).await;
                        }
                    }
                    None => return,
                },
            }
        }
        for (_, (_, waits)) in open {
            if let Some(waits) = waits {
                let _ = waits.send(TryEnd::Broken);
            }
        }
    }
}

const LINKS_EACH: usize = 3;

pub struct Crowd {
    world: Arc<World>,
    doors: Doors,
    /// By site and router.
    links: Vec<Vec<Vec<mpsc::Sender<Order>>>>,
    outcomes: Mutex<Vec<Outcome>>,
    /// How long each site's front goes on sending to a router that is down.
    notice: Vec<Micros>,
}

impl Crowd {
    pub fn new(world: Arc<World>, doors: Doors) -> Arc<Crowd> {
        let day = &world.day;
        let link = |router: usize, site| {
            let (to, orders) = mpsc::channel(1024);
            let link = Link { world: world.clone(), doors: doors.clone(), router, site, orders };
            tokio::spawn(link.run());
            to
        };
        let of_router = |router, site| (0..LINKS_EACH).map(|_| link(router, site)).collect();
        let of_site = |site| (0..day.routers as usize).map(|r| of_router(r, site)).collect();
        let links = (0..day.sites).map(of_site).collect();
        let mut rng = StdRng::seed_from_u64(day.seed ^ 0xf407);
        let notice = (0..day.sites).map(|_| rng.random_range(1500 * MS..3600 * MS)).collect();
        Arc::new(Crowd { world, doors, links, outcomes: Mutex::default(), notice })
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes.lock().expect("no holder panics"))
    }

    /// Sends commands until `until`, whatever becomes of those before: an open loop.
    pub async fn send(self: Arc<Self>, until: Micros) {
        let day = &self.world.day;
        let mut rng = StdRng::seed_from_u64(day.seed ^ 0xc0de);
        let Ok(keys) = Zipf::new(day.keys.max(1) as f64, 0.7) else { return };
        let mut at = self.world.tap.now();
        loop {
            let faults = self.world.faults();
            // A gentle wave over the day, as the morning's trucks make it.
            let wave = 1.0 + 0.15 * (at as f64 / (15 * SECOND) as f64 * std::f64::consts::TAU).sin();
            let rate = day.rate * wave * (1.0 + faults.worthless * 0.2);
            let gap = Exp::new(rate).map_or(0.1, |d| d.sample(&mut rng));
            at += (gap * SECOND as f64) as Micros;
            if at >= until {
                return;
            }
            sleep_until(self.world.tap.instant(at)).await;
            let op = pick(&mut rng, day.ops.iter().map(|op| op.share));
            let weights = day.customers.iter().enumerate().map(|(n, c)| {
                // Worthless traffic is what one customer sends far beyond its share.
                c.allowed * c.usage * if n == 1 { 1.0 + faults.worthless } else { 1.0 }
            });
            let customer = pick(&mut rng, weights);
            let site = if rng.random_bool(faults.shift) { 0 } else { rng.random_range(0..day.sites) };
            let hot = rng.random_bool(faults.hot_key);
            let key = if hot { 1_000_000 + (at / SECOND) as u64 } else { keys.sample(&mut rng) as u64 };
            let command = Wanted { op, customer, site, key, due: at, seed: rng.random() };
            tokio::spawn(self.clone().command(command));
        }
    }

    fn router_for(&self, site: u16, n: u32) -> usize {
        let doors = self.doors.lock().expect("no holder panics");
        let now = self.world.tap.now();
        let own = usize::from(site) % doors.len();
        let open = |d: &Door| d.down_since.is_none_or(|at| now - at < self.notice[usize::from(site)]);
        let turn = |k: usize| (own + k) % doors.len();
        // A retry goes to the next door, a first try to the site's own.
        (0..doors.len()).map(|k| turn(k + n as usize)).find(|r| open(&doors[*r])).unwrap_or(own)
    }

    async fn command(self: Arc<Self>, wanted: Wanted) {
        let day = &self.world.day;
        let op = &day.ops[wanted.op];
        let number = self.world.number();
        let mut rng = StdRng::seed_from_u64(wanted.seed);
        let mut tries = 0;
        let (end, build) = loop {
            let faults = self.world.faults();
            tries += 1;
            let now = self.world.tap.now();
            let [least, most] = day.try_part;
            let left = wanted.due + op.timeout - now;
            let patience = ((op.timeout as f64 * rng.random_range(least..=most)) as Micros).min(left);
            if patience < 150 * MS {
                break (End::GivenUp, 0);
            }
            let router = self.router_for(wanted.site, tries - 1);
            let links = &self.links[usize::from(wanted.site)][router];
            let link = &links[rng.random_range(0..links.len())];
            let (tried, (tell, told)) = (self.world.number(), oneshot::channel());
            let command = Command {
                id: tried,
                op: wanted.op as u16,
                share: wanted.customer as u32,
                key: wanted.key,
                mark: if matches!(op.repeat, Repeat::Deduplicated(_)) { number } else { 0 },
                left_us: patience as u64,
                body: body(tried, number),
            };
            let send = Send { command, tried, number, patience, end: tell };
            if link.send(Order::Send(send)).await.is_err() {
                break (End::Unreachable, 0);
            }
            let gives_up = if faults.give_up > 0.0 && rng.random_bool(0.5) {
                Duration::from_micros((patience as f64 * faults.give_up) as u64)
            } else {
                Duration::from_micros(patience as u64 + 20_000)
            };
            let ended = timeout(gives_up, told).await;
            let (last, again, pause) = match ended {
                Ok(Ok(TryEnd::Acked { build, wrong })) => {
                    break (if wrong { End::Wrong } else { End::Acked }, build);
                }
                Ok(Ok(TryEnd::Nacked(come_back))) => (End::Nacked, true, come_back.unwrap_or(0) as Micros),
                Ok(Ok(TryEnd::Unreachable)) => (End::Unreachable, true, 0),
                Ok(Ok(TryEnd::Failed) | Err(_)) => (End::Failed, false, 0),
                Ok(Ok(TryEnd::Broken)) => (End::Failed, false, 0),
                Err(_) => {
                    let _ = link.send(Order::Leave(tried)).await;
                    (End::GivenUp, false, 0)
                }
            };
            let harmless = match op.repeat {
                Repeat::Redeliverable => true,
                Repeat::Deduplicated(memory) => self.world.tap.now() - wanted.due + op.timeout / 2 < memory,
                Repeat::AtMostOnce => false,
            };
            // In a storm clients come back at once and more often.
            let retries = day.retries + faults.repeats as u32;
            if !(again || harmless) || tries > retries {
                break (last, 0);
            }
            let backoff = if faults.repeats > 0.0 { MS } else { rng.random_range(60 * MS..480 * MS) };
            let pause = if faults.repeats > 0.0 { backoff } else { pause.max(backoff) };
            sleep(Duration::from_micros(pause as u64)).await;
        };
        let Wanted { op, customer, site, due, .. } = wanted;
        let took = self.world.tap.now() - due;
        let outcome = Outcome { command: number, op, customer, site, due, tries, end, took, build };
        self.outcomes.lock().expect("no holder panics").push(outcome);
    }
}

struct Wanted {
    op: usize,
    customer: usize,
    site: u16,
    key: u64,
    due: Micros,
    seed: u64,
}

fn pick(rng: &mut StdRng, weights: impl Iterator<Item = f64>) -> usize {
    let weights: Vec<f64> = weights.collect();
    let mut at = rng.random_range(0.0..weights.iter().sum::<f64>().max(1e-9));
    for (n, weight) in weights.iter().enumerate() {
        if at < *weight {
            return n;
        }
        at -= weight;
    }
    weights.len().saturating_sub(1)
}
