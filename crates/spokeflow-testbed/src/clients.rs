//! Clients: an open loop of commands with patience, retries, keys, customers and reports of wrong answers, and
//! the plain front of each site that spreads them over its routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use spokeflow_proto::{Command, FrameCodec, FromClient, Hello, Role, ToClient, WORK_LIMIT};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::codec::Framed;

use spokeflow_scenario::observation::{AnswerKind, Observation, Process};
use spokeflow_scenario::report::{End, Outcome};
use spokeflow_scenario::router_picker::RouterPicker;
use spokeflow_scenario::scenario::Repeat;
use spokeflow_scenario::traffic::{Client, PlannedCommand, Traffic, TryEnd};

use crate::hosts::{body, World};
use crate::Micros;

/// Where routers can be reached, and since when one is down.
#[derive(Clone, Copy, Debug)]
pub struct Door {
    pub address: Option<SocketAddr>,
    pub process: Process,
    pub down_since: Option<Micros>,
}

pub type Doors = Arc<Mutex<Vec<Door>>>;

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
                Some(address) => timeout(Duration::from_millis(250), self.open(address))
                    .await
                    .ok()
                    .flatten(),
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

    async fn open(
        &self,
        address: SocketAddr,
    ) -> Option<Framed<TcpStream, FrameCodec<ToClient, FromClient>>> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut link = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        link.send(FromClient::Hello(Hello::new(Role::Client, 0, self.site)))
            .await
            .ok()?;
        matches!(link.next().await, Some(Ok(ToClient::Welcome))).then_some(link)
    }

    async fn work(
        &mut self,
        mut link: Framed<TcpStream, FrameCodec<ToClient, FromClient>>,
        by: Process,
    ) {
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
                                let _ = link.send(FromClient::WrongAnswer { receipt }).await;
                            }
                            (id, AnswerKind::Acked, build, TryEnd::Acked { build, wrong })
                        }
                        ToClient::Nacked { id, retry_after_us: come_back_us } => {
                            (id, AnswerKind::Nacked, 0, TryEnd::Nacked(come_back_us.map(|t| t as Micros)))
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
                    self.world.tap.note(Observation::Answered { by, attempt: *tried, kind, build });
                    if let Some(waits) = waits.take() {
                        let _ = waits.send(end);
                    }
                }
                order = self.orders.recv() => match order {
                    Some(Order::Send(send)) if closing => drop(send.end.send(TryEnd::Unreachable)),
                    Some(Order::Send(send)) => {
                        let Send { command, tried, number, patience, end } = send;
                        let (op, key, id) = (command.op, command.key, command.id);
                        self.world.tap.note(Observation::Taken { by, attempt: tried, command: number, op, key, timeout: patience });
                        open.insert(id, (tried, Some(end)));
                        if link.send(FromClient::Command(command)).await.is_err() {
                            break;
                        }
                    }
                    Some(Order::Leave(id)) => {
                        if let Some((tried, _)) = open.get(&id) {
                            self.world.tap.note(Observation::Left { attempt: *tried });
                            let _ = link.send(FromClient::Abandon { id }).await;
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
    front: RouterPicker,
}

impl Crowd {
    pub fn new(world: Arc<World>, doors: Doors) -> Arc<Crowd> {
        let day = &world.day;
        let link = |router: usize, site| {
            let (to, orders) = mpsc::channel(1024);
            let link = Link {
                world: world.clone(),
                doors: doors.clone(),
                router,
                site,
                orders,
            };
            tokio::spawn(link.run());
            to
        };
        let of_router = |router, site| (0..LINKS_EACH).map(|_| link(router, site)).collect();
        let of_site = |site| {
            (0..day.routers as usize)
                .map(|r| of_router(r, site))
                .collect()
        };
        let links = (0..day.sites).map(of_site).collect();
        let front = RouterPicker::new(day);
        Arc::new(Crowd {
            world,
            doors,
            links,
            outcomes: Mutex::default(),
            front,
        })
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes.lock().expect("no holder panics"))
    }

    /// Sends commands until `until`, whatever becomes of those before: an open loop.
    pub async fn send(self: Arc<Self>, until: Micros) {
        let mut traffic = Traffic::new(&self.world.day, self.world.tap.now());
        loop {
            let wanted = traffic.next(&self.world.day, &self.world.faults());
            if wanted.due >= until {
                return;
            }
            sleep_until(self.world.tap.instant(wanted.due)).await;
            tokio::spawn(self.clone().command(wanted));
        }
    }

    fn router_for(&self, wanted: &PlannedCommand, n: u32) -> usize {
        let doors = self.doors.lock().expect("no holder panics");
        let now = self.world.tap.now();
        self.front
            .router_for(wanted.site, wanted.seed, n, now, |r| doors[r].down_since)
    }

    async fn command(self: Arc<Self>, wanted: PlannedCommand) {
        let day = &self.world.day;
        let number = self.world.number();
        let mut client = Client::new(wanted);
        let (end, build) = loop {
            let asked = client.try_again(day, &self.world.faults(), self.world.tap.now());
            let Some((patience, waits)) = asked else {
                break (End::GivenUp, 0);
            };
            let router = self.router_for(&wanted, client.tries - 1);
            let links = &self.links[usize::from(wanted.site)][router];
            let link = &links[client.rng.random_range(0..links.len())];
            let (tried, (tell, told)) = (self.world.number(), oneshot::channel());
            let dropped = matches!(day.ops[wanted.op].repeat, Repeat::Deduplicated(_));
            let command = Command {
                id: tried,
                op: wanted.op as u16,
                tenant: wanted.customer as u32,
                key: wanted.key,
                idempotency_key: if dropped { number } else { 0 },
                left_us: patience as u64,
                body: body(tried, number),
            };
            let send = Send {
                command,
                tried,
                number,
                patience,
                end: tell,
            };
            if link.send(Order::Send(send)).await.is_err() {
                break (End::Unreachable, 0);
            }
            let ended = match timeout(Duration::from_micros(waits as u64), told).await {
                Ok(ended) => ended.unwrap_or(TryEnd::Failed),
                Err(_) => {
                    let _ = link.send(Order::Leave(tried)).await;
                    TryEnd::GivenUp
                }
            };
            match client.after(day, &self.world.faults(), self.world.tap.now(), ended) {
                Some(pause) => sleep(Duration::from_micros(pause as u64)).await,
                None => break ended.last(),
            }
        };
        let PlannedCommand {
            op,
            customer,
            site,
            due,
            ..
        } = wanted;
        let took = self.world.tap.now() - due;
        let tries = client.tries;
        let outcome = Outcome {
            command: number,
            op,
            customer,
            site,
            due,
            tries,
            end,
            took,
            build,
        };
        self.outcomes
            .lock()
            .expect("no holder panics")
            .push(outcome);
    }
}
