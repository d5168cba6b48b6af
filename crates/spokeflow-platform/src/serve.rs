//! The task that owns the engine.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use spokeflow_core::{Micros, ROUTERS_PER_HOST};
use spokeflow_engine::{Engine, EngineConfig, Input};
use spokeflow_proto::{FrameError, FromController, FromList, ToClient};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};
use tokio_util::task::TaskTracker;
use tracing::{debug, info, warn};

use crate::arrival::Arrival;
use crate::clients::{listen, Accepting, Desk, House};
use crate::configuration::Limits;
use crate::deployer::Subscription;
use crate::discovery::{Watching, FIRST_PAUSE, LONGEST_PAUSE};
use crate::engine_links::{EngineLinks, Waiting};
use crate::hosts::{Leaving, Ways};
use crate::program::{PlatformProgram, Signals, LOOKED_AGAIN, WRITTEN_WITHIN};
use crate::reuse::Reuse;
use crate::roster::{Listing, Roster};
use crate::shutdown::{Shutdown, Step};
use crate::Configuration;
use spokeflow_runtime::{Backoff, Clock};

/// Arrivals that wait for the engine at most; a task whose arrival finds no room waits, and so does its peer.
const ARRIVALS: usize = 4096;
/// Taken in at one go, so that time is looked at often enough.
const AT_ONCE: usize = 256;
/// What the engine believes is compared with the sockets in the log this often.
const LOOKED_EVERY: Duration = Duration::from_secs(10);
/// Where the settings name no time for a connection to a host: "some connections to hosts come up late (up to 1 s)"
/// (standing test).
const CONNECTED: Duration = Duration::from_secs(1);
/// Descriptors for all but clients and hosts: standard streams, signals, the listener, discovery, the deployer.
pub const OTHERS: u64 = 24;

/// Connections of clients and to hosts at most, of what the others leave. A command holds one of each, and those to
/// the hosts that this router meets stand unused between: what the told fleet, `hosts` and commands in flight come to, a third at
/// least and half at most, goes to hosts.
fn shares(limits: &Limits, fleet: u32, hosts: usize, in_flight: f64) -> (usize, usize) {
    let free = limits.sockets.saturating_sub(OTHERS) as usize;
    let met = hosts as f64 * (ROUTERS_PER_HOST / f64::from(fleet.max(1))).min(1.0);
    let to_hosts = ((met + in_flight).ceil() as usize).clamp(free / 3, free / 2);
    (free - to_hosts, to_hosts)
}

fn micros(span: Duration) -> Micros {
    span.as_micros().min(Micros::MAX as u128 / 4) as Micros
}

fn span(time: Micros) -> Duration {
    Duration::from_micros(time.max(0) as u64)
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

struct Core {
    engine: Engine,
    links: EngineLinks,
    roster: Roster,
    clock: Arc<Clock>,
}

impl Core {
    fn give(&mut self, input: Input) {
        self.engine
            .on_input(self.clock.now(), input, &mut self.links);
    }

    fn take(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Command {
                conn,
                id,
                command,
                answer,
            } => {
                if !self.links.open_ids.insert(id.clone()) {
                    let refused = FrameError::IdInUse(command.id).refused();
                    let _ = answer.send(ToClient::Refused(refused));
                    return;
                }
                let (op, left_us) = (command.op, command.left_us);
                debug!(id = %String::from_utf8_lossy(&id), conn, op, left_us, "command");
                self.links.waiting.insert(conn, Waiting { id, answer });
                self.give(Input::Command { conn, command });
            }
            Arrival::ClientGone(conn) => {
                if let Some(waiting) = self.links.waiting.remove(&conn) {
                    self.links.open_ids.remove(&waiting.id);
                }
                self.give(Input::ClientDisconnected { conn });
            }
            Arrival::Delivered {
                host,
                delivery,
                input,
                connection,
                broke,
            } => {
                if let Some((rested, broke)) = broke {
                    self.links.reuse.learn(rested, broke);
                }
                self.links.delivered(host, delivery, connection);
                self.give(input);
            }
            Arrival::Listed(listing) => self.listed(listing, false),
            Arrival::RolloutUpdate(news) => {
                self.give(Input::FromController(FromController::RolloutUpdate(news)))
            }
            Arrival::Report { unit, ago_us } => {
                if let Some(host) = self.roster.number(&unit) {
                    self.give(Input::WrongAnswerReport { host, ago_us });
                }
            }
            Arrival::Voted {
                ballot,
                result,
                news,
            } => {
                match result {
                    Some(result) => self.give(Input::FromController(FromController::Voted {
                        ballot,
                        result,
                    })),
                    None => self.give(Input::ControllerUnavailable),
                }
                if let Some(news) = news {
                    self.give(Input::FromController(FromController::RolloutUpdate(news)));
                }
            }
        }
    }

    fn listed(&mut self, listing: Listing, remembered: bool) {
        let (list, sizes) = self.roster.read(listing, self.clock.now(), unix_ms());
        self.give(match list {
            FromList::Complete {
                endpoints: lines, ..
            }
            | FromList::Changes {
                endpoints: lines, ..
            } if remembered => Input::CachedList(lines),
            list => Input::FromList(list),
        });
        self.give(Input::FromList(sizes));
    }
}

impl Core {
    /// What the engine counts as out beside what is open, so that on-call sees the two part.
    fn look(&self, places: usize) {
        let unused: usize = self
            .links
            .hosts
            .values()
            .map(|host| host.unused.count())
            .sum();
        let open = places - self.links.places.available_permits();
        let (left, mean_us, most_us) = self.links.ways.leaving.look();
        let (held, out) = (
            self.engine.waiting_commands(),
            self.engine.open_deliveries(),
        );
        info!(
            held,
            out,
            in_use = open - unused,
            unused,
            left,
            mean_us,
            most_us,
            "on the sockets"
        );
    }
}

/// A configuration that is to be read, since SIGHUP, and again while it is no whole text.
struct Reload {
    next: Instant,
    until: Instant,
}

impl Reload {
    fn asked(now: Instant) -> Self {
        Reload {
            next: now,
            until: now + WRITTEN_WITHIN,
        }
    }

    /// What the file says now; `None` where it is to be looked at again, or the one before stands.
    fn read(&mut self, program: &PlatformProgram) -> (Option<Configuration>, bool) {
        match program.configuration() {
            Ok(fresh) => (Some(fresh), true),
            Err(fault) if fault.torn && self.next < self.until => {
                self.next = Instant::now() + LOOKED_AGAIN;
                (None, false)
            }
            Err(fault) => {
                warn!(
                    what = fault.what,
                    "configuration cannot be read: the one before stands"
                );
                (None, true)
            }
        }
    }
}

/// Runs a router on the platform until SIGTERM; then answers all that it has taken and returns.
/// Errors: the address cannot be listened on.
pub async fn serve(
    program: PlatformProgram,
    told: Configuration,
    signals: Signals,
) -> Result<(), String> {
    let Signals {
        reload: mut hup,
        terminate: mut term,
    } = signals;
    let clock = Clock::starting_now();
    let listener = listen(told.listen).map_err(|e| format!("--listen {}: {e}", told.listen))?;
    let (core, mut arrivals) = mpsc::channel(ARRIVALS);
    let (leave, leaving) = watch::channel(false);
    let (discovery, discovery_at) = watch::channel(told.discovery);
    let (deployer, deployer_at) = watch::channel(told.deployer);
    let service = told.told.config.clone();
    let target = service
        .ops
        .iter()
        .map(|op| op.latency_objective)
        .max()
        .unwrap_or(0);
    let even = service.tenant_quotas.iter().sum::<f64>() / f64::from(service.fleet_size.max(1));
    let in_flight = even * span(target).as_secs_f64();
    let hosts = told.known.as_ref().map_or(0, |known| known.members.len());
    let (client_places, host_places) = shares(&told.limits, service.fleet_size, hosts, in_flight);
    let longest = service
        .ops
        .iter()
        .map(|op| op.command_timeout)
        .max()
        .unwrap_or(0);
    let connect_timeout = match told.told.connect_timeout {
        0 => CONNECTED.min(span(longest)),
        most => span(most),
    };
    // Hosts close at the latest after their own time: well before it, nothing can cross their closing. Where none is
    // told, what breaks tells (`reuse.rs`).
    let unused_most = match told.told.connection_idle {
        0 => Duration::MAX,
        most => span(most) / 2,
    };
    let named = |names: Vec<String>| names.into_iter().map(Bytes::from).zip(0..);
    let ops =
        named(told.told.ops).map(|(name, n)| (name, (n as u16, service.ops[n as usize].repeat)));
    let house = Arc::new(House {
        desk: Desk {
            ops: ops.collect(),
            customers: named(told.told.customers).collect(),
        },
        clock: clock.clone(),
        core: core.clone(),
        up: AtomicBool::new(false),
        leaving,
    });
    let mut links = EngineLinks {
        house: house.clone(),
        ways: Arc::new(Ways {
            clock: clock.clone(),
            core: core.clone(),
            connect_timeout,
            leaving: Leaving::default(),
        }),
        waiting: HashMap::new(),
        open_ids: HashSet::new(),
        hosts: HashMap::new(),
        out: HashMap::new(),
        places: Arc::new(Semaphore::new(host_places)),
        reuse: Reuse::default(),
        deployer,
        vote_wait: span(service.vote_timeout),
    };
    info!(name = told.name, listen = %told.listen, client_places, host_places, "router starts");
    let terms = EngineConfig {
        service,
        answer_margin: micros(program.answer_margin),
        // A connection holds one command at a time.
        max_waiting: client_places,
    };
    let engine = Engine::new(terms, told.seed, clock.now(), &mut links);
    let roster = Roster::new(told.told.zones, longest.max(1));
    let mut here = Core {
        engine,
        links,
        roster,
        clock: clock.clone(),
    };
    let after = told.known.as_ref().map_or(0, |known| known.revision);
    if let Some(known) = told.known {
        here.listed(known, true);
    }
    if let Some(news) = told.news {
        here.give(Input::FromController(FromController::RolloutUpdate(news)));
    }
    let mut helpers = JoinSet::new();
    let backoff = |way| Backoff::new(told.seed, way, FIRST_PAUSE, LONGEST_PAUSE);
    let (watching, hearing) = (core.clone(), core);
    helpers.spawn(
        Watching {
            address: discovery_at,
            clock: clock.clone(),
            core: watching,
            after,
            backoff: backoff(0),
        }
        .run(),
    );
    helpers.spawn(
        Subscription {
            address: deployer_at,
            clock: clock.clone(),
            core: hearing,
            backoff: backoff(1),
        }
        .run(),
    );
    let clients = TaskTracker::new();
    let accepting = Accepting {
        listener,
        house,
        places: client_places,
        clients: clients.clone(),
    };
    helpers.spawn(accepting.run());
    let mut batch = Vec::with_capacity(AT_ONCE);
    let mut shutdown = Shutdown::new(span(longest));
    let mut reload: Option<Reload> = None;
    let (mut swept, mut looked) = (Instant::now(), Instant::now());
    loop {
        let wake = clock.instant_at(here.engine.next_wake());
        let wake = shutdown
            .next_look(Instant::now())
            .map_or(wake, |look| look.min(wake));
        let wake = reload.as_ref().map_or(wake, |reload| reload.next.min(wake));
        tokio::select! {
            biased;
            _ = term.recv(), if !shutdown.begun() => {
                info!(held = here.engine.waiting_commands(), "router ends");
                clock.begin_shutdown();
                shutdown.begin(Instant::now());
            }
            _ = hup.recv() => reload = Some(Reload::asked(Instant::now())),
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
        batch.drain(..).for_each(|arrival| here.take(arrival));
        if here.engine.next_wake() <= clock.now() {
            here.engine.on_timer(clock.now(), &mut here.links);
        }
        if let Some(due) = reload.as_mut().filter(|r| r.next <= Instant::now()) {
            let (fresh, done) = due.read(&program);
            if let Some(fresh) = fresh {
                info!(discovery = %fresh.discovery, deployer = %fresh.deployer, "configuration read again");
                discovery.send_if_modified(|at| {
                    std::mem::replace(at, fresh.discovery) != fresh.discovery
                });
                let deployer = &here.links.deployer;
                deployer
                    .send_if_modified(|at| std::mem::replace(at, fresh.deployer) != fresh.deployer);
            }
            reload = reload.filter(|_| !done);
        }
        if swept.elapsed() > unused_most.min(Duration::from_secs(1)) {
            swept = Instant::now();
            here.links
                .hosts
                .values_mut()
                .for_each(|host| host.unused.expire(unused_most));
        }
        if looked.elapsed() > LOOKED_EVERY {
            looked = Instant::now();
            here.look(host_places);
        }
        match shutdown.step(
            Instant::now(),
            here.engine.waiting_commands(),
            clients.len(),
        ) {
            Step::Wait => {}
            Step::Close => {
                let _ = leave.send(true);
                here.give(Input::Close);
            }
            Step::GiveUp => here.give(Input::AbortAll),
            Step::End => break,
        }
    }
    info!("router has ended");
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/serve.rs"]
mod tests;
