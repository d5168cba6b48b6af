//! Plays one day: starts keepers and routers, offers revisions, begins and ends faults, mends all, checks.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_control_plane::client::{send_request, send_request_to};
use spokeflow_control_plane::Store;
use spokeflow_coordination::wire::{Request, Response};
use spokeflow_coordination::{Overrides, Proposal, RevisionNumber};
use spokeflow_raft::NodeId;
use tokio::time::{sleep, Instant};

use super::check::{check, Done, Report, Slack};
use super::peers::{Noted, Peers};
use super::plan::{draw, Disk, Fault};
use super::switchboard::{Frame, Node, Switchboard, Way};
use crate::routers::{RouterProcess, Starting};
use crate::Micros;

#[derive(Clone, Debug)]
pub struct FleetTerms {
    pub routers: u32,
    pub keepers: u32,
    pub seed: u64,
    /// Of drawn faults; some seconds of peace come before and after.
    pub lasts: Duration,
    /// In place of drawn ones: each fault, and the pause after its beginning.
    pub script: Vec<(Fault, Duration)>,
    pub lease: Duration,
    pub silence: Duration,
    /// For stores, kept where it is named.
    pub folder: PathBuf,
    pub keep: bool,
    /// The list comes from the keepers: the routers' own says nothing.
    pub agreed_list: bool,
    /// Nothing fails, and one revision is offered as soon as the one before is in force.
    pub peace: bool,
    /// Between two commands of one client.
    pub pace: Duration,
}

struct KeeperSeat {
    process: Option<RouterProcess>,
    known: SocketAddr,
    store: PathBuf,
    joins: bool,
    /// Ends what is done to it, one thing at a time.
    busy: bool,
    retired: bool,
}

type Keepers = Arc<tokio::sync::Mutex<BTreeMap<u32, KeeperSeat>>>;

struct Stage {
    terms: FleetTerms,
    board: Arc<Switchboard>,
    peers: Arc<Peers>,
    starting: Starting,
    keepers: Keepers,
    routers: tokio::sync::Mutex<Vec<Option<RouterProcess>>>,
    /// List, desk, and a list that says nothing.
    addresses: [SocketAddr; 3],
    done: Mutex<Done>,
    first: Vec<u32>,
    next_keeper: Mutex<u32>,
}

fn copy(from: &Path, to: &Path) {
    let _ = std::fs::copy(from, to);
}

/// Whether two stores hold the same; they are copied first, since opening counts a start.
fn same(keeper: u32, fleet: u64, a: &Path, b: &Path) -> bool {
    let read = |store: &Path| {
        let look = store.with_extension("look");
        copy(store, &look);
        Store::open(&look, fleet, NodeId(keeper), None, 0)
            .ok()
            .map(|opened| (opened.saved, opened.start))
    };
    read(a).is_some_and(|saved| Some(saved) == read(b))
}

impl Stage {
    fn now(&self) -> Micros {
        self.board.now()
    }

    fn unexpected(&self, what: String) {
        self.done
            .lock()
            .expect("no holder panics")
            .unexpected
            .push(what);
    }

    async fn known(&self) -> Vec<SocketAddr> {
        self.keepers
            .lock()
            .await
            .values()
            .filter(|k| !k.retired)
            .map(|k| k.known)
            .collect()
    }

    async fn keeper_flags(&self, id: u32, more: &[String]) -> Vec<String> {
        let keepers = self.keepers.lock().await;
        let seat = &keepers[&id];
        let terms = &self.terms;
        let mut flags = vec![
            format!("--id={id}"),
            "--listen=127.0.0.1:0".into(),
            format!("--store={}", seat.store.display()),
            format!("--fleet={}", terms.seed),
            format!("--election-timeout={}us", terms.silence.as_micros()),
            format!("--heartbeat-interval={}us", terms.silence.as_micros() / 5),
            format!("--lease={}us", terms.lease.as_micros()),
        ];
        flags.extend(
            self.first
                .iter()
                .map(|k| format!("--member={k}={}", keepers[k].known)),
        );
        if terms.agreed_list {
            flags.push(format!("--list={}", self.addresses[0]));
        }
        if seat.joins {
            flags.push("--join".into());
        }
        flags.extend_from_slice(more);
        flags
    }

    /// Errors: it does not start.
    async fn start_keeper(&self, id: u32, more: &[String]) -> Result<(), String> {
        let flags = self.keeper_flags(id, more).await;
        let starting = Starting {
            first: vec!["keeper".into()],
            ..self.starting.clone()
        };
        let process = RouterProcess::start(&starting, &flags, &format!("keeper-{id}")).await?;
        self.board.target(id, Some(process.address));
        if let Some(seat) = self.keepers.lock().await.get_mut(&id) {
            seat.process = Some(process);
        }
        Ok(())
    }

    async fn kill_keeper(&self, id: u32) {
        let process = self
            .keepers
            .lock()
            .await
            .get_mut(&id)
            .and_then(|k| k.process.take());
        self.board.target(id, None);
        if let Some(mut process) = process {
            process.stop(false);
            process.kill().await;
        }
    }

    async fn start_router(&self, router: u32) {
        let keepers = self.known().await;
        let [list, desk, silent] = self.addresses;
        let list = if self.terms.agreed_list { silent } else { list };
        let mut flags = vec![
            "--listen=127.0.0.1:0".to_string(),
            format!("--list={list}"),
            format!("--release-controller={desk}"),
            format!("--index={router}"),
            format!("--fleet-size={}", self.terms.routers),
            "--op=read:redeliverable:target=500ms:timeout=2s".into(),
            "--op=seal:at-most-once:target=500ms:timeout=2s".into(),
            "--exposure-free=1000".into(),
            format!(
                "--seed={}",
                self.terms
                    .seed
                    .wrapping_mul(31)
                    .wrapping_add(u64::from(router))
            ),
        ];
        flags.extend(keepers.iter().map(|k| format!("--control-plane={k}")));
        if self.terms.agreed_list {
            flags.push("--replicated-list".into());
        }
        let starting = Starting {
            first: vec!["router".into()],
            ..self.starting.clone()
        };
        match RouterProcess::start(&starting, &flags, &format!("router-{router}")).await {
            Ok(process) => {
                self.peers.doors.lock().expect("no holder panics")[router as usize] =
                    Some(process.address);
                self.routers.lock().await[router as usize] = Some(process);
            }
            Err(what) => self.unexpected(what),
        }
    }

    /// Takes hold of a keeper for one fault; `false` where it has one.
    async fn hold(&self, id: u32) -> bool {
        let mut keepers = self.keepers.lock().await;
        let Some(seat) = keepers.get_mut(&id).filter(|s| !s.busy && !s.retired) else {
            return false;
        };
        seat.busy = true;
        true
    }

    async fn let_go(&self, id: u32) {
        if let Some(seat) = self.keepers.lock().await.get_mut(&id) {
            seat.busy = false;
        }
    }

    async fn again(&self, id: u32) {
        if let Err(what) = self.start_keeper(id, &[]).await {
            self.unexpected(what);
        }
    }

    async fn begin(&self, fault: Fault) {
        match fault {
            Fault::KillKeeper { keeper, down, disk } => {
                if !self.hold(keeper).await {
                    return;
                }
                self.kill_keeper(keeper).await;
                let store = self.keepers.lock().await[&keeper].store.clone();
                let (old, own) = (store.with_extension("old"), store.with_extension("own"));
                sleep(down).await;
                if disk != Disk::Own {
                    self.other_disk(keeper, &disk, &store, &old, &own).await;
                }
                copy(&store, &old);
                self.again(keeper).await;
                self.let_go(keeper).await;
            }
            Fault::KillLeader { down } => {
                let known = self.known().await;
                let Ok(Response::Status(view)) =
                    send_request(&known, Request::Status, Duration::from_secs(5)).await
                else {
                    return;
                };
                if !self.hold(view.leader.0).await {
                    return;
                }
                self.kill_keeper(view.leader.0).await;
                self.done
                    .lock()
                    .expect("no holder panics")
                    .leaders_killed
                    .push(self.now());
                sleep(down).await;
                self.again(view.leader.0).await;
                self.let_go(view.leader.0).await;
            }
            Fault::DieAt { keeper, place } => {
                self.ends_by_itself(keeper, format!("--crash-at={place}"))
                    .await
            }
            Fault::DiskFails { keeper, after } => {
                self.ends_by_itself(keeper, format!("--fail-writes-from={after}"))
                    .await;
            }
            Fault::StopKeeper { keeper, lasts } => {
                if !self.hold(keeper).await {
                    return;
                }
                self.stop_keeper(keeper, true).await;
                sleep(lasts).await;
                self.stop_keeper(keeper, false).await;
                self.let_go(keeper).await;
            }
            Fault::AllKeepersDown { lasts } => {
                let all: Vec<u32> = self.keepers.lock().await.keys().copied().collect();
                let mut held = Vec::new();
                for keeper in all {
                    if self.hold(keeper).await {
                        self.kill_keeper(keeper).await;
                        held.push(keeper);
                    }
                }
                sleep(lasts).await;
                for keeper in held {
                    self.again(keeper).await;
                    self.let_go(keeper).await;
                }
            }
            Fault::Replace { keeper } => self.replace(keeper).await,
            Fault::KillRouter { router, down } => {
                let Some(mut process) = self.routers.lock().await[router as usize].take() else {
                    return;
                };
                let from = self.now();
                self.peers.doors.lock().expect("no holder panics")[router as usize] = None;
                process.kill().await;
                sleep(down).await;
                self.start_router(router).await;
                self.away(router, from);
            }
            Fault::StopRouter { router, lasts } => {
                // Held while it is stopped: nothing else then happens to it.
                let Some(process) = self.routers.lock().await[router as usize].take() else {
                    return;
                };
                let from = self.now();
                process.stop(true);
                sleep(lasts).await;
                process.stop(false);
                self.routers.lock().await[router as usize] = Some(process);
                self.away(router, from);
            }
            Fault::Cut { ways, lasts, reset } => {
                for (a, b) in &ways {
                    self.board.set(
                        *a,
                        *b,
                        Way {
                            held: true,
                            ..Way::SOUND
                        },
                    );
                    if reset {
                        self.board.reset(*a, *b);
                    }
                }
                sleep(lasts).await;
                ways.iter()
                    .for_each(|(a, b)| self.board.set(*a, *b, Way::SOUND));
            }
            Fault::Rough { way, lasts } => {
                let keepers: Vec<u32> = self.keepers.lock().await.keys().copied().collect();
                let mut nodes: Vec<Node> = keepers.into_iter().map(Node::Keeper).collect();
                nodes.extend((0..self.terms.routers).map(Node::Router));
                let all = |way: Way| {
                    for a in &nodes {
                        nodes.iter().for_each(|b| self.board.set(*a, *b, way));
                    }
                };
                all(way);
                sleep(lasts).await;
                all(Way::SOUND);
            }
        }
    }

    fn away(&self, router: u32, from: Micros) {
        // Clients that waited meanwhile, and connections that it made before, settle for a moment.
        let to = self.now() + 500_000;
        self.done
            .lock()
            .expect("no holder panics")
            .away
            .push((router, from, to));
    }

    async fn stop_keeper(&self, id: u32, stopped: bool) {
        if let Some(process) = self
            .keepers
            .lock()
            .await
            .get(&id)
            .and_then(|k| k.process.as_ref())
        {
            process.stop(stopped);
        }
    }

    /// Runs a keeper for a while on a disk that is not its own, then on its own again.
    async fn other_disk(&self, keeper: u32, disk: &Disk, store: &Path, old: &Path, own: &Path) {
        copy(store, own);
        match disk {
            Disk::Old if !old.exists() => return,
            Disk::Old => copy(old, store),
            Disk::Empty => drop(std::fs::remove_file(store)),
            _ => {
                let length = std::fs::metadata(store).map_or(0, |m| m.len());
                if let Ok(file) = std::fs::OpenOptions::new().write(true).open(store) {
                    let _ = file.set_len(length * 3 / 4);
                }
            }
        }
        // Where nothing was missing in the part that is gone, it is its own disk still.
        if *disk == Disk::Torn && same(keeper, self.terms.seed, store, own) {
            return;
        }
        let from = self.now();
        // It may refuse to start at all, or end once it is told; or nobody is there to tell it.
        if self.start_keeper(keeper, &[]).await.is_ok() {
            sleep(Duration::from_secs(2)).await;
        }
        self.kill_keeper(keeper).await;
        // Frames on their way are its own for a moment longer.
        let to = self.now() + 100_000;
        self.done
            .lock()
            .expect("no holder panics")
            .other_disk
            .push((keeper, from, to));
        sleep(Duration::from_millis(150)).await;
        copy(own, store);
    }

    /// Starts a keeper anew with a flag by which it ends by itself, sooner or later, and then without.
    async fn ends_by_itself(&self, keeper: u32, flag: String) {
        if !self.hold(keeper).await {
            return;
        }
        self.kill_keeper(keeper).await;
        let started = self.start_keeper(keeper, &[flag]).await.is_ok();
        let until = Instant::now() + Duration::from_secs(3);
        while started && Instant::now() < until {
            let mut keepers = self.keepers.lock().await;
            let process = keepers.get_mut(&keeper).and_then(|k| k.process.as_mut());
            if process.is_none_or(|p| p.has_ended().is_some()) {
                break;
            }
            drop(keepers);
            sleep(Duration::from_millis(20)).await;
        }
        self.kill_keeper(keeper).await;
        sleep(Duration::from_millis(100)).await;
        self.again(keeper).await;
        self.let_go(keeper).await;
    }

    /// A new keeper with a new number is taken in, the old one out and ended.
    async fn replace(&self, old: u32) {
        if !self.hold(old).await {
            return;
        }
        let id = {
            let mut next = self.next_keeper.lock().expect("no holder panics");
            *next += 1;
            *next
        };
        let Ok(known) = self.board.open(id).await else {
            return;
        };
        let seat = KeeperSeat {
            process: None,
            known,
            store: self.terms.folder.join(format!("keeper-{id}.redb")),
            joins: true,
            busy: true,
            retired: false,
        };
        self.keepers.lock().await.insert(id, seat);
        self.again(id).await;
        let known_all = self.known().await;
        let until = Instant::now() + Duration::from_secs(20);
        let seated = Request::SetAddress {
            node: NodeId(id),
            address: known.to_string(),
        };
        let _ = send_request(&known_all, seated, Duration::from_secs(10)).await;
        while Instant::now() < until {
            let Ok(Response::Status(view)) =
                send_request(&known_all, Request::Status, Duration::from_secs(5)).await
            else {
                continue;
            };
            let mut members = view.voters.clone();
            let (there, gone) = (
                members.contains(&NodeId(id)),
                !members.contains(&NodeId(old)),
            );
            if there && gone {
                break;
            }
            match there {
                false => members.push(NodeId(id)),
                true => members.retain(|m| m.0 != old),
            }
            let _ = send_request(
                &known_all,
                Request::ChangeVoters(members),
                Duration::from_secs(2),
            )
            .await;
            sleep(Duration::from_millis(200)).await;
        }
        let out = match send_request(&known_all, Request::Status, Duration::from_secs(5)).await {
            Ok(Response::Status(view)) => !view.voters.contains(&NodeId(old)),
            _ => false,
        };
        if out {
            self.kill_keeper(old).await;
            if let Some(seat) = self.keepers.lock().await.get_mut(&old) {
                seat.retired = true;
            }
        }
        self.let_go(old).await;
        self.let_go(id).await;
    }

    /// Offers revisions that in turn close and open the way to the build on trial, some twice, some against an old
    /// one; reads between them.
    async fn offers(self: Arc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut closed = false;
        loop {
            // Open for long enough to be used, closed for long enough to be broken.
            let most = if closed { 2000 } else { 5000 };
            let pause = if self.terms.peace {
                100
            } else {
                rng.random_range(200..most)
            };
            sleep(Duration::from_millis(pause)).await;
            let known = self.known().await;
            let one = known[rng.random_range(0..known.len())];
            let Ok(Response::Status(view)) = send_request_to(one, Request::Status).await else {
                continue;
            };
            if view.pending.is_some() {
                continue;
            }
            let stale = !self.terms.peace && rng.random_bool(0.1);
            let newest = view.in_force.number.0;
            let against = RevisionNumber(if stale {
                newest.saturating_sub(1)
            } else {
                newest
            });
            let values = match closed {
                true => Overrides::new(),
                false => Overrides::from([
                    ("stage-cap".into(), "0,0,0,0".into()),
                    ("exposure-free".into(), "0".into()),
                ]),
            };
            let (who, why) = ("rig".to_string(), "drawn".to_string());
            let offer = Proposal {
                token: rng.random(),
                base: against,
                who,
                why,
                at_s: 0,
                values,
            };
            let mut answer = send_request_to(one, Request::Propose(offer.clone())).await;
            for _ in 0..8 {
                if matches!(answer, Ok(Response::Proposed(_) | Response::Invalid(_)))
                    && !rng.random_bool(0.2)
                {
                    break;
                }
                // Not clear, or once more for good measure: the same offer, at another keeper.
                sleep(Duration::from_millis(100)).await;
                let other = known[rng.random_range(0..known.len())];
                answer = send_request_to(other, Request::Propose(offer.clone())).await;
            }
            if let Ok(Response::Proposed(spokeflow_coordination::ProposalOutcome::Pending(_))) =
                answer
            {
                closed = !closed;
            } else if let Ok(Response::Status(view)) = send_request_to(one, Request::Status).await {
                closed =
                    super::check::closes(&view.pending.as_ref().unwrap_or(&view.in_force).values);
            }
        }
    }
}

/// Plays a day to its end. `progress` is told what begins. Errors: the rig cannot be set up.
pub async fn play(
    terms: FleetTerms,
    starting: Starting,
    progress: impl Fn(Micros, &str) + Send + Sync + 'static,
) -> Result<(Report, Vec<Frame>, Vec<String>), String> {
    let fault = |e: std::io::Error| e.to_string();
    std::fs::create_dir_all(&terms.folder).map_err(fault)?;
    let start = Instant::now();
    let board = Switchboard::new(start);
    let peers = Arc::new(Peers {
        start,
        list: tokio::sync::watch::Sender::new((0, Vec::new())),
        noted: Mutex::new(Noted::default()),
        doors: Mutex::new(vec![None; terms.routers as usize]),
        lag: Mutex::new(0),
    });
    let mut helpers = tokio::task::JoinSet::new();
    helpers.spawn(peers.clone().watch_lag());
    let addresses = peers.open(6).await.map_err(fault)?;
    let first: Vec<u32> = (1..=terms.keepers).collect();
    let keepers: Keepers = Arc::default();
    for id in &first {
        let known = board.open(*id).await.map_err(fault)?;
        let store = terms.folder.join(format!("keeper-{id}.redb"));
        let _ = std::fs::remove_file(&store);
        let (process, joins, busy, retired) = (None, false, false, false);
        keepers.lock().await.insert(
            *id,
            KeeperSeat {
                process,
                known,
                store,
                joins,
                busy,
                retired,
            },
        );
    }
    let routers = tokio::sync::Mutex::new((0..terms.routers).map(|_| None).collect());
    let stage = Arc::new(Stage {
        board: board.clone(),
        peers: peers.clone(),
        starting,
        keepers,
        routers,
        addresses,
        done: Mutex::default(),
        next_keeper: Mutex::new(terms.keepers),
        first,
        terms: terms.clone(),
    });
    for id in stage.first.clone() {
        stage.start_keeper(id, &[]).await?;
    }
    for router in 0..terms.routers {
        stage.start_router(router).await;
        helpers.spawn(peers.clone().client(router, terms.pace));
    }
    let offering = helpers.spawn(stage.clone().offers(terms.seed ^ 0x0ffe2));
    let draining = helpers.spawn(drains(peers.clone(), terms.seed ^ 0xd4a1, terms.lease));
    sleep(terms.lease * 2).await;
    let mut rng = StdRng::seed_from_u64(terms.seed);
    let mut faults = tokio::task::JoinSet::new();
    let until = Instant::now() + terms.lasts;
    let mut script = terms.script.iter().cloned();
    loop {
        let ids: Vec<u32> = stage
            .keepers
            .lock()
            .await
            .iter()
            .filter(|k| !k.1.retired)
            .map(|k| *k.0)
            .collect();
        let (drawn, pause) = match script.next() {
            Some(next) => next,
            None if !terms.script.is_empty() || Instant::now() >= until => break,
            None if terms.peace => {
                sleep(Duration::from_millis(200)).await;
                continue;
            }
            None => {
                let drawn = draw(&mut rng, &ids, terms.routers, terms.lease);
                (drawn, Duration::from_millis(rng.random_range(150..1800)))
            }
        };
        let text = drawn.to_string();
        progress(stage.now(), &text);
        stage
            .done
            .lock()
            .expect("no holder panics")
            .faults
            .push(format!("{} ms: {text}", stage.now() / 1000));
        let of = stage.clone();
        faults.spawn(async move { of.begin(drawn).await });
        sleep(pause).await;
    }
    // Each ends by itself; a replacement may need a while.
    let _ = tokio::time::timeout(Duration::from_secs(40), async {
        while faults.join_next().await.is_some() {}
    })
    .await;
    faults.abort_all();
    board.mend();
    offering.abort();
    draining.abort();
    let mended = stage.now();
    progress(mended, "all mended");
    peace(&stage).await;
    sleep(Duration::from_millis(300)).await;
    let end = stage.now();
    let (delivered, asked) = {
        let mut noted = peers.noted.lock().expect("no holder panics");
        (
            std::mem::take(&mut noted.delivered),
            std::mem::take(&mut noted.asked),
        )
    };
    let frames = board.take();
    helpers.abort_all();
    for process in stage.routers.lock().await.iter_mut().flatten() {
        process.kill().await;
    }
    for seat in stage.keepers.lock().await.values_mut() {
        if let Some(process) = &mut seat.process {
            process.kill().await;
        }
    }
    let mut done = std::mem::take(&mut *stage.done.lock().expect("no holder panics"));
    (done.mended, done.end) = (mended, end);
    let lag = *peers.lag.lock().expect("no holder panics");
    // A frame and a delivery are each noted by a task of this program.
    let slack = Slack(200_000 + 2 * lag);
    let lease = terms.lease.as_micros() as Micros;
    let asked: HashMap<_, _> = asked;
    let mut report = check(&frames, &delivered, &asked, &done, lease, slack);
    report.lag_us = lag;
    if !terms.keep {
        let _ = std::fs::remove_dir_all(&terms.folder);
    }
    Ok((report, frames, done.faults))
}

/// Hosts of the build that stands drain and come back as other processes, one after the other; one always stays.
async fn drains(peers: Arc<Peers>, seed: u64, lease: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    sleep(lease * 2).await;
    loop {
        for host in [2, 4] {
            // Away for longer than the bound, so that one who did not hear of it is seen.
            for part in [rng.random_range(1.2..3.0), rng.random_range(0.2..1.5)] {
                peers.turn(host);
                sleep(lease.mul_f64(part)).await;
            }
        }
    }
}

/// With nothing wrong any more a revision that opens the way comes into force, and every router then uses it.
async fn peace(stage: &Arc<Stage>) {
    let known = stage.known().await;
    let until = Instant::now() + Duration::from_secs(20);
    let mut token = 7;
    let opened = loop {
        if Instant::now() >= until {
            break None;
        }
        let Ok(Response::Status(view)) =
            send_request(&known, Request::Status, Duration::from_secs(10)).await
        else {
            continue;
        };
        if view.pending.is_some() {
            sleep(Duration::from_millis(100)).await;
            continue;
        }
        if !super::check::closes(&view.in_force.values) {
            break Some(view.in_force.number);
        }
        token += 1;
        let (who, why) = ("rig".to_string(), "peace".to_string());
        let against = view.in_force.number;
        let offer = Proposal {
            token,
            base: against,
            who,
            why,
            at_s: 0,
            values: Overrides::new(),
        };
        let _ = send_request(&known, Request::Propose(offer), Duration::from_secs(10)).await;
    };
    if opened.is_none() {
        return stage
            .unexpected("all was mended, and no revision came into force within 20 s".into());
    }
    let from = stage.now();
    let until = Instant::now() + Duration::from_secs(15);
    loop {
        let missing: Vec<u32> = {
            let noted = stage.peers.noted.lock().expect("no holder panics");
            let served = |r: &u32| {
                let new =
                    |d: &&super::peers::Delivered| d.router == *r && d.build == super::peers::NEW;
                noted
                    .delivered
                    .iter()
                    .rev()
                    .take_while(|d| d.at >= from)
                    .any(|d| new(&d))
            };
            (0..stage.terms.routers).filter(|r| !served(r)).collect()
        };
        if missing.is_empty() {
            return;
        }
        if Instant::now() >= until {
            let what = format!(
                "all was mended, and routers {missing:?} sent nothing to the build on trial for 15 s"
            );
            return stage.unexpected(what);
        }
        sleep(Duration::from_millis(200)).await;
    }
}
