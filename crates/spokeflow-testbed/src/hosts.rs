//! Hosts on loopback sockets: the model of `host.rs` behind a listener, with the ways between sites.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::{FrameCodec, FromHost, Role, ToHost, WORK_LIMIT};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};
use tokio_util::codec::Framed;

use rand::RngExt;
use spokeflow_scenario::active_faults::{ActiveFaults, LinkDirection, RESENT_AFTER};
use spokeflow_scenario::host::{DeduplicationTable, Host, Job, JobOutcome};
use spokeflow_scenario::observation::{Observation, Process, ReplyKind};
use spokeflow_scenario::scenario::Scenario;

use crate::tap::Tap;
use crate::Micros;

/// What all stand-ins of a day share.
pub struct World {
    pub day: Scenario,
    pub tap: Tap,
    pub marks: Mutex<DeduplicationTable>,
    pub faults: Mutex<ActiveFaults>,
    /// Which start of each router now runs.
    pub starts: Mutex<Vec<u32>>,
    next: AtomicU64,
}

impl World {
    pub fn new(day: Scenario) -> Arc<World> {
        let starts = Mutex::new(vec![0; day.routers as usize]);
        let (tap, marks, faults) = (Tap::default(), Mutex::default(), Mutex::default());
        Arc::new(World {
            day,
            tap,
            marks,
            faults,
            starts,
            next: AtomicU64::new(1),
        })
    }

    /// A number that no other call gets.
    pub fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    pub fn faults(&self) -> ActiveFaults {
        self.faults.lock().expect("no holder panics").clone()
    }

    pub fn process(&self, router: u32) -> Process {
        let start = self
            .starts
            .lock()
            .expect("no holder panics")
            .get(router as usize)
            .copied();
        Process {
            router,
            start: start.unwrap_or(0),
        }
    }

    /// The delay one way, or `None` while the sites are cut from each other.
    pub fn way(&self, a: u16, b: u16, way: LinkDirection) -> Option<Micros> {
        self.faults
            .lock()
            .expect("no holder panics")
            .delay(a, b, way)
    }

    /// What a lost packet adds to the delay: it is sent again after a while, and may be lost again.
    fn resent(&self, a: u16, b: u16) -> Micros {
        let loss = self.faults.lock().expect("no holder panics").loss;
        let mut late = 0;
        while a != b && loss > 0.0 && late < 8 * RESENT_AFTER && rand::rng().random_bool(loss) {
            late += RESENT_AFTER.max(late);
        }
        late
    }

    /// Passes on what is sent, in order, after the way's delay; what meets a cut waits for its end, as bytes on
    /// a broken path do.
    pub fn delayed<T: Send + 'static>(
        self: &Arc<Self>,
        a: u16,
        b: u16,
        way: LinkDirection,
    ) -> (mpsc::UnboundedSender<T>, mpsc::UnboundedReceiver<T>) {
        let (to, mut inlet) = mpsc::unbounded_channel::<(Instant, T)>();
        let (outlet, from) = mpsc::unbounded_channel();
        let (sender, mut stamped) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(message) = stamped.recv().await {
                if to.send((Instant::now(), message)).is_err() {
                    return;
                }
            }
        });
        let world = self.clone();
        tokio::spawn(async move {
            while let Some((at, message)) = inlet.recv().await {
                let at = at + Duration::from_micros(world.resent(a, b) as u64);
                loop {
                    match world.way(a, b, way) {
                        Some(0) => break,
                        Some(delay) => {
                            sleep_until(at + Duration::from_micros(delay as u64)).await;
                            if world.way(a, b, way).is_some() {
                                break;
                            }
                        }
                        None => sleep(Duration::from_millis(5)).await,
                    }
                }
                if outlet.send(message).is_err() {
                    return;
                }
            }
        });
        (sender, from)
    }
}

/// What a command carries: the try and the command, by which the tap knows them again.
pub fn body(tried: u64, command: u64) -> Bytes {
    let mut body = tried.to_be_bytes().to_vec();
    body.extend(command.to_be_bytes());
    body.into()
}

fn read_body(body: &[u8]) -> (u64, u64) {
    let part = |from| {
        body.get(from..from + 8)
            .and_then(|b| b.try_into().ok())
            .map_or(0, u64::from_be_bytes)
    };
    (part(0), part(8))
}

/// A running process of a host.
pub struct HostProcess {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub model: Arc<Mutex<Host>>,
    pub changed: Arc<Notify>,
    task: JoinHandle<()>,
}

impl HostProcess {
    /// As by kill -9: sockets close, what it held is lost.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct HostSeat {
    pub host: u32,
    pub site: u16,
    pub build: u16,
}

/// Starts a process of a host at `address`, or at any free port. Errors: the port cannot be had.
pub async fn start(
    world: &Arc<World>,
    seat: HostSeat,
    model: Host,
    address: Option<SocketAddr>,
) -> std::io::Result<HostProcess> {
    let listener = TcpListener::bind(address.unwrap_or(([127, 0, 0, 1], 0).into())).await?;
    let address = listener.local_addr()?;
    let incarnation = world.number();
    let (model, changed) = (Arc::new(Mutex::new(model)), Arc::new(Notify::new()));
    let run = Run {
        world: world.clone(),
        seat,
        incarnation,
        started: world.tap.now(),
        model: model.clone(),
        changed: changed.clone(),
        conns: Arc::default(),
    };
    let task = tokio::spawn(Arc::new(run).serve(listener));
    Ok(HostProcess {
        address,
        incarnation,
        model,
        changed,
        task,
    })
}

type Conns = Mutex<HashMap<u64, mpsc::UnboundedSender<(FromHost, u64)>>>;

struct Run {
    world: Arc<World>,
    seat: HostSeat,
    incarnation: u64,
    started: Micros,
    model: Arc<Mutex<Host>>,
    changed: Arc<Notify>,
    conns: Arc<Conns>,
}

impl Run {
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        // Dropped with this task, and with it all connections.
        let mut links = JoinSet::new();
        loop {
            let next = self.model.lock().expect("no holder panics").next();
            let due = self.world.tap.instant(next.unwrap_or(0));
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    links.spawn(self.clone().link(stream));
                },
                _ = sleep_until(due), if next.is_some() => self.pump(),
                _ = self.changed.notified() => self.pump(),
            }
            while links.try_join_next().is_some() {}
            if self.model.lock().expect("no holder panics").fallen {
                self.world.tap.note(Observation::Fell {
                    host: self.seat.host,
                });
                return;
            }
        }
    }

    /// Ends what has ended and begins what can begin.
    fn pump(&self) {
        let now = self.world.tap.now();
        let mut model = self.model.lock().expect("no holder panics");
        for (job, done) in model.ended(now) {
            let delivery = job.delivery;
            let message = match done {
                JobOutcome::Acked { wrong } => {
                    let body = if wrong {
                        Bytes::from_static(b"wrong")
                    } else {
                        Bytes::from_static(b"right")
                    };
                    FromHost::Acked { delivery, body }
                }
                JobOutcome::Error => FromHost::Error { delivery },
                JobOutcome::Silent => continue,
            };
            self.reply(job.from, message, job.tried);
        }
        let mut marks = self.world.marks.lock().expect("no holder panics");
        for begun in model.begin(now, &mut marks) {
            if begun.effect {
                let (host, build, op) = (self.seat.host, self.seat.build, begun.op as u16);
                self.world.tap.note(Observation::Ran {
                    host,
                    build,
                    attempt: begun.tried,
                    command: begun.command,
                    op,
                });
            }
        }
    }

    fn reply(&self, conn: u64, message: FromHost, tried: u64) {
        if let Some(to) = self.conns.lock().expect("no holder panics").get(&conn) {
            let _ = to.send((message, tried));
        }
    }

    async fn link(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link: Framed<TcpStream, FrameCodec<ToHost, FromHost>> =
            Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        let Some(Ok(ToHost::Hello(hello))) = link.next().await else {
            return;
        };
        if let Err(fault) = hello.check(&[Role::Router]) {
            let _ = link.send(FromHost::Refused(fault.refused())).await;
            return;
        }
        let from = self.world.process(hello.index);
        let (site, own) = (hello.zone, self.seat.site);
        sleep(Duration::from_micros(
            self.world.faults().slow_connects as u64,
        ))
        .await;
        while self.world.way(site, own, LinkDirection::Hosts).is_none() {
            sleep(Duration::from_millis(5)).await;
        }
        let conn = self.world.number();
        let up_us = (self.world.tap.now() - self.started) as u64;
        let welcome = FromHost::Welcome {
            host: self.seat.host,
            build: self.seat.build,
            incarnation: self.incarnation,
            up_us,
        };
        if link.send(welcome).await.is_err() {
            return;
        }
        let (replies, mut to_send) = self.world.delayed(own, site, LinkDirection::Hosts);
        let (arrive, mut arrived) = self
            .world
            .delayed::<ToHost>(site, own, LinkDirection::Hosts);
        self.conns
            .lock()
            .expect("no holder panics")
            .insert(conn, replies);
        loop {
            tokio::select! {
                read = link.next() => match read {
                    Some(Ok(message)) => {
                        // The tap sees what has left the router, however long the way to the host still is.
                        if let ToHost::Deliver { delivery, body, .. } = &message {
                            let (tried, _) = read_body(body);
                            let (host, build, delivery) = (self.seat.host, self.seat.build, *delivery);
                            self.world.tap.note(Observation::Delivered { host, build, from, attempt: tried, delivery });
                        }
                        let _ = arrive.send(message);
                    }
                    _ => break,
                },
                Some(message) = arrived.recv() => self.arrived(conn, message),
                Some((message, tried)) = to_send.recv() => {
                    let kind = match &message {
                        FromHost::Acked { delivery, .. } => Some((ReplyKind::Acked, *delivery)),
                        FromHost::Error { delivery } => Some((ReplyKind::Error, *delivery)),
                        FromHost::Full { delivery } => Some((ReplyKind::Full, *delivery)),
                        _ => None,
                    };
                    if let Some((kind, delivery)) = kind {
                        self.world.tap.note(Observation::Replied { host: self.seat.host, attempt: tried, delivery, kind });
                    }
                    if link.send(message).await.is_err() {
                        break;
                    }
                }
            }
        }
        self.conns.lock().expect("no holder panics").remove(&conn);
    }

    fn arrived(&self, conn: u64, message: ToHost) {
        let now = self.world.tap.now();
        match message {
            ToHost::Deliver {
                delivery,
                op,
                key,
                idempotency_key: mark,
                left_us,
                body,
                ..
            } => {
                let (tried, command) = read_body(&body);
                let op = usize::from(op).min(self.world.day.ops.len() - 1);
                let expires = now + left_us.min(1 << 40) as Micros;
                let job = Job {
                    from: conn,
                    delivery,
                    tried,
                    command,
                    op,
                    key,
                    mark,
                    expires,
                };
                let taken = self
                    .model
                    .lock()
                    .expect("no holder panics")
                    .arrive(now, job);
                if !taken {
                    self.reply(conn, FromHost::Full { delivery }, tried);
                }
            }
            ToHost::Cancel { delivery } => {
                self.model
                    .lock()
                    .expect("no holder panics")
                    .cancel(conn, delivery);
            }
            ToHost::Probe { probe } => self.reply(conn, FromHost::Probed { probe }, 0),
            ToHost::Ping => self.reply(conn, FromHost::Pong, 0),
            ToHost::Hello(_) => {}
        }
        self.pump();
        self.changed.notify_one();
    }
}
