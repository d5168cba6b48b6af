//! The task that owns the keeper, and the thread that owns its disk.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use spokeflow_coordination::wire::{Caller, Response, ToNode};
use spokeflow_coordination::{ClientResponse, Coordinator, Effects, NodeMessage, RequestOrigin};
use spokeflow_raft::{NodeId, PersistRequest, PersistentState};
use spokeflow_runtime::{shutdown_signal, Backoff, Clock};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{sleep, sleep_until};
use tracing::{info, warn};

use crate::calls::Call;
use crate::crash_point::{CrashInjector, CrashPoint};
use crate::event::NodeEvent;
use crate::list::ListLink;
use crate::peers::{PeerLink, FIRST_PAUSE, LONGEST_PAUSE};
use crate::store::{Start, PROCESSES};
use crate::{ControlPlaneFlags, Store};

/// Arrivals that wait at most; a task whose arrival finds no room waits, and so does its peer.
const ARRIVALS: usize = 4096;
const AT_ONCE: usize = 256;
/// Messages that wait for one other keeper at most; more are lost, as any may be.
const PEER_QUEUE: usize = 256;

/// What the disk's thread is handed.
struct ToDisk {
    writes: Vec<PersistRequest>,
    met: Vec<(NodeId, Start)>,
    /// Told once it is on the disk.
    told: Vec<oneshot::Sender<Result<(), String>>>,
}

/// Takes in all that waits and syncs it in one commit.
fn disk(
    mut store: Store,
    orders: std::sync::mpsc::Receiver<ToDisk>,
    core: mpsc::Sender<NodeEvent>,
    steps: Arc<CrashInjector>,
) {
    while let Ok(mut order) = orders.recv() {
        while let Ok(more) = orders.try_recv() {
            order.writes.extend(more.writes);
            order.met.extend(more.met);
            order.told.extend(more.told);
        }
        steps.pass(CrashPoint::BeforeSync);
        if let Err(fault) = store.write(&order.writes, &order.met) {
            let _ = core.blocking_send(NodeEvent::DiskFails(format!(
                "--store {}: {fault}",
                store.file().display()
            )));
            return;
        }
        steps.pass(CrashPoint::AfterSync);
        order.told.into_iter().for_each(|t| drop(t.send(Ok(()))));
        if let Some(last) = order.writes.last() {
            if core
                .blocking_send(NodeEvent::Synced(last.sequence))
                .is_err()
            {
                return;
            }
        }
    }
}

struct Shell {
    clock: Arc<Clock>,
    keeper: Coordinator,
    caller: Caller,
    seed: u64,
    core: mpsc::Sender<NodeEvent>,
    callers: HashMap<u64, mpsc::Sender<(u64, Response)>>,
    peers: BTreeMap<NodeId, (SocketAddr, mpsc::Sender<ToNode>)>,
    met: BTreeMap<NodeId, Start>,
    addresses: watch::Sender<Vec<(NodeId, String)>>,
    to_disk: std::sync::mpsc::Sender<ToDisk>,
    steps: Arc<CrashInjector>,
    /// What was last said of it in the log.
    said: Option<(u64, bool, Option<NodeId>)>,
}

impl Shell {
    fn say_to(&mut self, id: NodeId, message: ToNode) {
        // What finds no room is lost: the other does not read, or is not there.
        let _ = self.link(id).map(|say| say.try_send(message));
    }

    fn carry_out(&mut self, step: Effects) {
        if let Some(rejection) = step.rejection {
            warn!(?rejection, "news of the host list is not believed");
        }
        if step.config_changed {
            self.steps.pass(CrashPoint::Applied);
            self.reach();
        }
        if !step.persist_requests.is_empty() {
            let _ = self.to_disk.send(ToDisk {
                writes: step.persist_requests,
                met: Vec::new(),
                told: Vec::new(),
            });
        }
        if !step.messages.is_empty() {
            self.steps.pass(CrashPoint::BeforeSending);
        }
        let half = step.messages.len().div_ceil(2);
        for (n, NodeMessage { to, message }) in step.messages.into_iter().enumerate() {
            if n == half {
                self.steps.pass(CrashPoint::WithinSending);
            }
            self.say_to(to, message);
        }
        if !step.responses.is_empty() {
            self.steps.pass(CrashPoint::BeforeAnswering);
        }
        for answered in step.responses {
            let ClientResponse {
                connection: conn,
                number,
                response: answer,
            } = answered;
            let full = self
                .callers
                .get(&conn)
                .is_some_and(|c| c.try_send((number, answer)).is_err());
            if full {
                // Dropped: its task then closes the connection.
                self.callers.remove(&conn);
            }
        }
    }

    /// Whether a keeper that calls has the disk that it had. Its start is kept before it is welcomed, so that this
    /// keeper does not forget it either.
    fn meet(
        &mut self,
        id: NodeId,
        start: u64,
        processes: &[u64],
        answer: oneshot::Sender<Result<(), String>>,
    ) {
        let known = self.met.get(&id).copied().unwrap_or_default();
        // One that was not met for long has forgotten by now which process that was.
        let remembers =
            start.saturating_sub(known.0) >= PROCESSES as u64 || processes.contains(&known.1);
        let (process, own) = (
            processes.last().copied().unwrap_or(0),
            id == self.keeper.raft().id(),
        );
        if own || known != (0, 0) && (start < known.0 || !remembers) {
            let text = format!(
                "the store of keeper {}, at start {start}, does not know of its start {}, which was met: it is an older \
                 copy, and may not vote; take this keeper out, and add one with a new number and an empty store",
                id.0, known.0
            );
            warn!(text, "caller refused");
            let _ = answer.send(Err(text));
            return;
        }
        self.met.insert(id, (start, process));
        let (writes, met) = (Vec::new(), vec![(id, (start, process))]);
        let _ = self.to_disk.send(ToDisk {
            writes,
            met,
            told: vec![answer],
        });
    }

    /// All who vote are called at once, not when there is something to say: a start that only a few have met could be
    /// taken back unseen.
    fn reach(&mut self) {
        let addresses = self.keeper.addresses();
        self.addresses.send_if_modified(|s| {
            *s != addresses && {
                *s = addresses;
                true
            }
        });
        let (members, own) = (
            self.keeper.raft().voters().to_vec(),
            self.keeper.raft().id(),
        );
        for member in members.into_iter().filter(|m| *m != own) {
            self.link(member);
        }
    }

    fn link(&mut self, id: NodeId) -> Option<&mpsc::Sender<ToNode>> {
        let address = self.keeper.address(id).and_then(|a| a.parse().ok())?;
        if self
            .peers
            .get(&id)
            .is_none_or(|p| p.0 != address || p.1.is_closed())
        {
            let (say, queue) = mpsc::channel(PEER_QUEUE);
            let backoff = Backoff::new(self.seed, u64::from(id.0), FIRST_PAUSE, LONGEST_PAUSE);
            let (caller, core) = (self.caller.clone(), self.core.clone());
            let addresses = self.addresses.subscribe();
            tokio::spawn(
                PeerLink {
                    id,
                    address,
                    caller,
                    addresses,
                    backoff,
                    core,
                    queue,
                }
                .run(),
            );
            self.peers.insert(id, (address, say));
        }
        self.peers.get(&id).map(|p| &p.1)
    }

    fn say(&mut self) {
        let (member, now) = (self.keeper.raft(), self.clock.now());
        let state = (
            member.term().0,
            member.has_leader_lease(now),
            member.leader(),
        );
        if self.said.replace(state) != Some(state) {
            let leader = state.2.map(|l| l.0);
            info!(
                term = state.0,
                leads = state.1,
                leader,
                applied = self.keeper.last_applied().0,
                "keeper"
            );
        }
    }
}

/// Runs a keeper until it is told to end. Errors: what it cannot go on with.
pub async fn serve(
    flags: ControlPlaneFlags,
    store: Store,
    saved: PersistentState,
    (start, processes): (u64, Vec<u64>),
) -> Result<(), String> {
    let clock = Clock::starting_now();
    let fault = |e: std::io::Error| format!("--listen {}: {e}", flags.listen);
    let listener = TcpListener::bind(flags.listen).await.map_err(fault)?;
    let address = listener.local_addr().map_err(fault)?;
    let seed = rand::rng().random();
    let met = store
        .starts()
        .map_err(|f| f.to_string())?
        .into_iter()
        .collect();
    let terms = flags.coordinator_config();
    let longest = Duration::from_micros(terms.lease.longest_contradiction() as u64);
    info!(
        keeper = flags.id,
        %address,
        start,
        entries = saved.log.len(),
        snapshot = saved.snapshot.last_included_index.0,
        term = saved.term.0,
        ?longest,
        "keeper starts; no two routers act on contradicting revisions for longer than one lease"
    );
    println!("listening on {address}");
    let steps = Arc::new(CrashInjector::new(flags.crash_at));
    let (core, mut arrivals) = mpsc::channel(ARRIVALS);
    let (to_disk, orders) = std::sync::mpsc::channel();
    {
        let (core, steps) = (core.clone(), steps.clone());
        std::thread::spawn(move || disk(store, orders, core, steps));
    }
    let (own, list) = (NodeId(flags.id), flags.list);
    let common = flags.cluster_parameters();
    let caller = Caller::Node {
        id: own,
        start,
        processes,
        parameters: common,
        addresses: Vec::new(),
    };
    let keeper =
        Coordinator::new(terms, seed, saved, clock.now()).map_err(|error| error.to_string())?;
    let places = Arc::new(Semaphore::new(flags.max_connections));
    let mut shell = Shell {
        clock: clock.clone(),
        keeper,
        caller,
        seed,
        core: core.clone(),
        callers: HashMap::new(),
        peers: BTreeMap::new(),
        addresses: watch::Sender::new(Vec::new()),
        met,
        to_disk,
        steps,
        said: None,
    };
    let (reads, reading) = watch::channel(false);
    if let Some(address) = list {
        let backoff = Backoff::new(seed, 1 << 32, FIRST_PAUSE, LONGEST_PAUSE);
        tokio::spawn(
            ListLink {
                address,
                backoff,
                core: core.clone(),
                reads: reading,
            }
            .run(),
        );
    }
    shell.reach();
    let accepting = {
        let (core, clock) = (core.clone(), clock.clone());
        tokio::spawn(async move {
            let mut conn = 0;
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                };
                // Without a place it is closed unheard: a router then tries another keeper.
                let Ok(place) = places.clone().try_acquire_owned() else {
                    continue;
                };
                conn += 1;
                let (core, clock) = (core.clone(), clock.clone());
                tokio::spawn(
                    Call {
                        conn,
                        own,
                        common,
                        core,
                        clock,
                        _place: place,
                    }
                    .run(stream),
                );
            }
        })
    };
    let mut ending = std::pin::pin!(shutdown_signal());
    let mut batch = Vec::with_capacity(AT_ONCE);
    let ended = 'run: loop {
        let wake = clock.instant_at(shell.keeper.next_wake(clock.now()));
        tokio::select! {
            biased;
            _ = &mut ending => break Ok(()),
            _ = sleep_until(wake) => {}
            _ = arrivals.recv_many(&mut batch, AT_ONCE) => {}
        }
        for arrival in batch.drain(..) {
            let wall = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_secs());
            shell.keeper.wall_clock_s = wall;
            let (now, mut step) = (clock.now(), Effects::default());
            match arrival {
                NodeEvent::Came(conn, answers) => {
                    shell.callers.insert(conn, answers);
                }
                NodeEvent::Left(conn) => {
                    shell.callers.remove(&conn);
                }
                NodeEvent::Asked {
                    conn,
                    number,
                    keeper,
                    ask,
                } => {
                    shell.keeper.on_request(
                        now,
                        RequestOrigin {
                            connection: conn,
                            number,
                            forwarded: keeper,
                        },
                        ask,
                        &mut step,
                    );
                }
                NodeEvent::Heard(from, message) => {
                    shell.keeper.on_message(now, from, message, &mut step)
                }
                NodeEvent::PassedBack(number, answer) => {
                    shell.keeper.on_forward_response(number, answer, &mut step)
                }
                NodeEvent::Met {
                    id,
                    start,
                    processes,
                    addresses,
                    answer,
                } => {
                    shell.keeper.learn_addresses(&addresses);
                    shell.meet(id, start, &processes, answer);
                    shell.reach();
                }
                NodeEvent::Synced(number) => shell.keeper.on_persisted(now, number, &mut step),
                // It may have voted and forgotten it: it must not vote again.
                NodeEvent::OldDisk(text) => break 'run Err(text),
                NodeEvent::DiskFails(what) => break 'run Err(what),
                NodeEvent::List(news) => shell.keeper.on_source_update(now, news, &mut step),
            }
            // An empty ledger in its place would be granted on.
            if let Some(error) = step.fatal {
                break 'run Err(error.to_string());
            }
            shell.carry_out(step);
        }
        let now = clock.now();
        if now >= shell.keeper.next_wake(now) {
            let mut step = Effects::default();
            shell.keeper.on_timer(now, &mut step);
            shell.carry_out(step);
        }
        shell.say();
        let leads = shell.keeper.raft().has_leader_lease(now);
        reads.send_if_modified(|r| std::mem::replace(r, leads) != leads);
    };
    accepting.abort();
    ended
}
