//! The task that owns the engine, and what it hands messages to.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spokeflow_coordination::{EffectiveConfig, RevisionNumber};
use spokeflow_core::{HostId, Micros};
use spokeflow_engine::{Engine, Input, Recording, Transport};
use spokeflow_proto::{Hello, Role, ToClient, ToController, ToHost, ToList};
use spokeflow_runtime::Clock;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::cached_list::{read_cached_list, CachedList};
use crate::clients::Client;
use crate::control_plane::ControlPlaneLink;
use crate::event::EngineEvent;
use crate::hosts::{HostLink, LinkTerms, Listed};
use crate::links::ServiceLink;
use crate::list::ListProtocol;
use crate::release_controller::ReleaseControllerProtocol;
use crate::RouterFlags;

/// Arrivals that wait for the engine at most; a task whose arrival finds no room waits, and so does its peer.
const ARRIVALS: usize = 4096;
/// Taken in at one go, so that time is looked at often enough.
const AT_ONCE: usize = 256;
/// Messages that wait for the list, the desk or another router at most; more are dropped.
const FEW: usize = 64;
/// After the last answer, commands that were on their way are still nacked for this long.
const LINGER: Duration = Duration::from_millis(250);

/// A port that has been taken.
pub struct Listening {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listening {
    /// Errors: the address cannot be taken, with the flag that names it.
    pub async fn open(terms: &RouterFlags) -> Result<Self, String> {
        let fault = |e: std::io::Error| format!("--listen {}: {e}", terms.listen);
        let listener = TcpListener::bind(terms.listen).await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        Ok(Listening { listener, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

struct HostHandle {
    orders: mpsc::Sender<(ToHost, Micros)>,
    listed: watch::Sender<Listed>,
}

/// The engine's way out. Nothing here waits.
struct Wires {
    clock: Arc<Clock>,
    core: mpsc::Sender<EngineEvent>,
    clients: HashMap<u64, mpsc::Sender<ToClient>>,
    /// Clients given up because they do not read; the engine hears of them after its call.
    given_up: Vec<u64>,
    hosts: HashMap<HostId, HostHandle>,
    list: mpsc::Sender<ToList>,
    desk: mpsc::Sender<ToController>,
    links: Arc<LinkTerms>,
    host_queue: usize,
    drain_grace: Duration,
}

impl Transport for Wires {
    fn to_client(&mut self, conn: u64, message: ToClient) {
        debug!(conn, ?message, "answer");
        let Some(client) = self.clients.get(&conn) else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(_)) = client.try_send(message) {
            self.clients.remove(&conn);
            self.given_up.push(conn);
        }
    }

    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool {
        self.hosts
            .get(&host)
            .is_some_and(|h| h.orders.try_send((message, leave_by)).is_ok())
    }

    fn to_list(&mut self, message: ToList) -> bool {
        self.list.try_send(message).is_ok()
    }

    fn to_controller(&mut self, message: ToController) -> bool {
        info!(?message, "vote");
        self.desk.try_send(message).is_ok()
    }

    /// Routers tell each other nothing.
    fn to_routers(&mut self, _router: Option<u32>, _text: &[u8]) {}

    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64) {
        let listed = Listed {
            address: address.to_string(),
            incarnation,
            open: true,
            gone: false,
            close_by: None,
        };
        if let Some(handle) = self.hosts.get(&host).filter(|h| !h.orders.is_closed()) {
            handle
                .listed
                .send_if_modified(|l| std::mem::replace(l, listed.clone()) != listed);
            return;
        }
        let (orders, inbox) = mpsc::channel(self.host_queue);
        let (tell, told) = watch::channel(listed);
        let (terms, clock, core) = (self.links.clone(), self.clock.clone(), self.core.clone());
        tokio::spawn(
            HostLink {
                host,
                terms,
                clock,
                core,
                orders: inbox,
                listed: told,
            }
            .run(),
        );
        self.hosts.insert(
            host,
            HostHandle {
                orders,
                listed: tell,
            },
        );
    }

    fn drain_grace(&mut self, grace: Micros) {
        self.drain_grace = Duration::from_micros(grace.max(0) as u64);
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        let Some(handle) = self.hosts.get(&host) else {
            return;
        };
        let close_by = Instant::now() + self.drain_grace * 3 / 4;
        handle.listed.send_if_modified(|l| {
            let close_by = l.close_by.or(Some(close_by));
            let closed = Listed {
                open: false,
                gone,
                close_by,
                ..l.clone()
            };
            std::mem::replace(l, closed.clone()) != closed
        });
    }
}

/// Runs a router until `ending` resolves; then takes nothing new, answers all it holds and returns.
/// Errors: a term that fits no longer, such as a recording that cannot be written.
pub async fn serve(
    terms: RouterFlags,
    listening: Listening,
    ending: impl Future<Output = ()>,
) -> Result<(), String> {
    let clock = Clock::starting_now();
    let (core, mut arrivals) = mpsc::channel(ARRIVALS);
    let hello = Hello::new(Role::Router, terms.index, terms.site);
    let seed = terms.seed.unwrap_or_else(|| rand::rng().random());
    let links = Arc::new(LinkTerms {
        hello,
        seed,
        connect_timeout: terms.connect_timeout,
        first_pause: terms.reconnect_first,
        longest_pause: terms.reconnect_most,
        idle: terms.connection_idle,
        way_timeout: terms.ping_timeout,
    });
    let asking = |more: bool| match more {
        true => Arc::new(LinkTerms {
            hello: links.hello.clone().with_newest_version(),
            ..(*links).clone()
        }),
        false => links.clone(),
    };
    let service = &terms.service;
    let to_hosts = asking(service.host_reports);
    let mut helpers = JoinSet::new();
    let (list, asked) = mpsc::channel(FEW);
    let (desk, votes) = mpsc::channel(FEW);
    let cached = terms.list_file.clone().map(CachedList::new);
    let list_link = ServiceLink {
        address: terms.list,
        terms: asking(service.host_sizes),
        events: core.clone(),
        queue: asked,
        protocol: ListProtocol::new(terms.list_renew, cached),
    };
    helpers.spawn(list_link.run());
    let controller_link = ServiceLink {
        address: terms.release_controller,
        terms: asking(service.controller_stats),
        events: core.clone(),
        queue: votes,
        protocol: ReleaseControllerProtocol,
    };
    helpers.spawn(controller_link.run());
    // Told once the engine goes by a revision: only then may this router say that it acts on it.
    let (acts_on, applied) = watch::channel(RevisionNumber(0));
    if !terms.control_plane.is_empty() {
        let link = ControlPlaneLink::new(&terms, seed, clock.clone(), core.clone(), applied);
        helpers.spawn(link.run());
    }
    let mut wires = Wires {
        clock: clock.clone(),
        core: core.clone(),
        clients: HashMap::new(),
        given_up: Vec::new(),
        hosts: HashMap::new(),
        list,
        desk,
        links: to_hosts,
        host_queue: terms.host_queue,
        drain_grace: terms.service.drain_grace,
    };
    let mut record = terms
        .record
        .as_deref()
        .map(|file| Recorder::open(file, seed, clock.now()))
        .transpose()?;
    info!(index = terms.index, site = terms.site, address = %listening.address, seed, "router starts");
    let mut engine = Engine::new(terms.engine_config(), seed, clock.now(), &mut wires);
    let clients = TaskTracker::new();
    let accepting = Accepting {
        listener: listening.listener,
        places: Arc::new(Semaphore::new(terms.max_clients)),
        core,
        queue: terms.client_queue,
        clock: clock.clone(),
        clients: clients.clone(),
    };
    let accepting = helpers.spawn(accepting.run());
    let mut batch = Vec::with_capacity(AT_ONCE);
    let mut give = |engine: &mut Engine, wires: &mut Wires, input: Input| {
        let now = clock.now();
        if let Some(record) = &mut record {
            record.note(now, &input);
        }
        engine.on_input(now, input, wires);
    };
    if !terms.control_plane.is_empty() {
        // Nothing has been granted yet.
        let own = Box::new(EffectiveConfig::from(&terms.engine_config().service));
        give(
            &mut engine,
            &mut wires,
            Input::Lease {
                until: clock.now(),
                config: own,
            },
        );
    }
    if terms.replicated_list {
        give(
            &mut engine,
            &mut wires,
            Input::ReplicatedList {
                complete: false,
                hosts: Vec::new(),
            },
        );
    }
    if let Some(file) = &terms.list_file {
        match read_cached_list(file) {
            Ok(lines) => give(&mut engine, &mut wires, Input::CachedList(lines)),
            Err(error) => info!(file = %file.display(), %error, "no cached list"),
        }
    }
    tokio::pin!(ending);
    let mut end_by = None;
    let mut idle_since: Option<Instant> = None;
    loop {
        let wake = clock.instant_at(engine.next_wake());
        tokio::select! {
            biased;
            _ = &mut ending, if end_by.is_none() => {
                info!(held = engine.waiting_commands(), "router ends: takes nothing new");
                clock.begin_shutdown();
                end_by = Some(Instant::now() + terms.shutdown_within);
                accepting.abort();
                batch.push(EngineEvent::Close);
            }
            _ = sleep_until(wake) => {}
            _ = arrivals.recv_many(&mut batch, AT_ONCE) => {}
        }
        // Whatever woke this task, what has arrived meanwhile is taken in as well: neither starves the other.
        while batch.len() < AT_ONCE {
            let Ok(arrival) = arrivals.try_recv() else {
                break;
            };
            batch.push(arrival);
        }
        for arrival in batch.drain(..) {
            match arrival {
                EngineEvent::Input(input) => give(&mut engine, &mut wires, input),
                EngineEvent::ClientConnected {
                    connection: conn,
                    messages: answers,
                } => {
                    if end_by.is_some() {
                        let _ = answers.try_send(ToClient::Closing);
                    }
                    wires.clients.insert(conn, answers);
                }
                EngineEvent::ClientDisconnected { connection: conn } => {
                    wires.clients.remove(&conn);
                    give(&mut engine, &mut wires, Input::ClientDisconnected { conn });
                }
                EngineEvent::LeaseGranted {
                    until,
                    config,
                    revision,
                } => {
                    give(&mut engine, &mut wires, Input::Lease { until, config });
                    acts_on.send_if_modified(|r| std::mem::replace(r, revision) != revision);
                }
                EngineEvent::Close => {
                    give(&mut engine, &mut wires, Input::Close);
                    wires.clients.values().for_each(|client| {
                        let _ = client.try_send(ToClient::Closing);
                    });
                }
            }
            while let Some(conn) = wires.given_up.pop() {
                give(&mut engine, &mut wires, Input::ClientDisconnected { conn });
            }
        }
        if clock.now() >= engine.next_wake() {
            give(&mut engine, &mut wires, Input::Timer);
            while let Some(conn) = wires.given_up.pop() {
                give(&mut engine, &mut wires, Input::ClientDisconnected { conn });
            }
        }
        if let Some(end_by) = end_by {
            let now = Instant::now();
            idle_since = idle_since
                .filter(|_| engine.waiting_commands() == 0)
                .or((engine.waiting_commands() == 0).then_some(now));
            if now >= end_by || idle_since.is_some_and(|since| now >= since + LINGER) {
                break;
            }
        }
    }
    let counts = engine.counts();
    info!(
        held = engine.waiting_commands(),
        ?counts,
        "router has answered what it held"
    );
    // Client tasks write out what is queued for them when their channels close.
    wires.clients.clear();
    drop((wires, arrivals));
    clients.close();
    let _ = tokio::time::timeout(Duration::from_secs(1), clients.wait()).await;
    Ok(())
}

/// Takes connections, apart from the engine's task so that neither waits for the other.
struct Accepting {
    listener: TcpListener,
    places: Arc<Semaphore>,
    core: mpsc::Sender<EngineEvent>,
    queue: usize,
    clock: Arc<Clock>,
    clients: TaskTracker,
}

impl Accepting {
    async fn run(self) {
        let mut next_conn = 0;
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    // Out of descriptors, most likely: trying at once again would only spin.
                    warn!(%e, "cannot accept");
                    sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            // Without a place the connection is closed unheard: no command has been taken from it.
            let Ok(place) = self.places.clone().try_acquire_owned() else {
                if let Some(kept_back) = self.clock.allow_log_line() {
                    warn!(%peer, kept_back, "as many clients as --max-clients: closed");
                }
                continue;
            };
            next_conn += 1;
            let client = Client {
                conn: next_conn,
                peer,
                core: self.core.clone(),
                queue: self.queue,
                clock: self.clock.clone(),
                _place: place,
            };
            self.clients.spawn(client.run(stream));
        }
    }
}

/// Writes inputs to a file by a thread of its own; where that falls behind, the recording ends there and says so.
struct Recorder {
    to: Option<std::sync::mpsc::SyncSender<Vec<u8>>>,
}

impl Recorder {
    fn open(file: &std::path::Path, seed: u64, now: Micros) -> Result<Self, String> {
        use std::io::Write;
        let fault = |e: std::io::Error| format!("--record {}: {e}", file.display());
        let mut out = std::io::BufWriter::new(std::fs::File::create(file).map_err(fault)?);
        out.write_all(&Recording::head(seed, now)).map_err(fault)?;
        let (to, entries) = std::sync::mpsc::sync_channel::<Vec<u8>>(1 << 16);
        std::thread::spawn(move || {
            for entry in entries {
                if let Err(e) = out.write_all(&entry) {
                    warn!(%e, "recording ends");
                    return;
                }
            }
            let _ = out.flush();
        });
        Ok(Recorder { to: Some(to) })
    }

    fn note(&mut self, now: Micros, input: &Input) {
        let entry = || Recording::entry(now, input);
        if self
            .to
            .as_ref()
            .is_some_and(|to| to.try_send(entry()).is_err())
        {
            warn!("recording ends: its file is slower than what happens");
            self.to = None;
        }
    }
}
