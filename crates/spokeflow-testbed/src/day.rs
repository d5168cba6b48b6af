//! Plays a day: stand-ins, router processes, troubles on their times.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use spokeflow_scenario::endpoint_registry::{EndpointRegistry, Entry};
use spokeflow_scenario::host::{Host, HostFault};
use spokeflow_scenario::observation::{Observation, Phase, Process};
use spokeflow_scenario::release_controller::{FleetOrder, ReleaseController};
use spokeflow_scenario::report::{Outcome, Report, RunRecorder};
use spokeflow_scenario::scenario::{Build, BuildDefect, Fault, FaultKind, Scenario};

use crate::clients::{Crowd, Door, Doors};
use crate::hosts::{self, HostProcess, HostSeat, World};
use crate::office::Office;
use crate::routers::{flags, RouterProcess, Starting};
use crate::{Micros, MS, SECOND};

pub struct Played {
    pub day: Scenario,
    pub seen: Vec<(Micros, Observation)>,
    pub outcomes: Vec<Outcome>,
    pub report: Report,
}

/// A host of the fleet, whether or not a process of it runs.
struct Seat {
    site: u16,
    build: u16,
    started: Option<Micros>,
    process: Option<HostProcess>,
    draining: bool,
    address: Option<SocketAddr>,
}

struct Stage {
    world: Arc<World>,
    office: Arc<Office>,
    doors: Doors,
    starting: Starting,
    list: SocketAddr,
    desk: SocketAddr,
    seats: HashMap<u32, Seat>,
    /// When something is to happen to a host.
    booting: Vec<(Micros, u32)>,
    stopping: Vec<(Micros, u32)>,
    reviving: Vec<(Micros, u32)>,
    struck: HashMap<usize, Vec<u32>>,
    rng: StdRng,
    faults: Arc<Mutex<Vec<String>>>,
    routers: Arc<tokio::sync::Mutex<Vec<Option<RouterProcess>>>>,
}

/// Before the first command, so that routers have a list and news.
const LEAD: Micros = SECOND;

/// Plays the day to its end and checks the rules. `progress` is told the time, once a second. Errors: the
/// stand-ins or routers cannot be started.
pub async fn play(
    day: Scenario,
    starting: Starting,
    mut progress: impl FnMut(Micros),
) -> Result<Played, String> {
    if day.tells {
        return Err("routers that tell each other are played in simulated time only".into());
    }
    let world = World::new(day.clone());
    let office = Arc::new(Office {
        world: world.clone(),
        board: Mutex::new(EndpointRegistry::default()),
        desk: Mutex::new(ReleaseController::new(&day)),
    });
    let (list, desk) = office.open().await.map_err(|e| e.to_string())?;
    let doors: Doors = Arc::default();
    let mut stage = Stage {
        world: world.clone(),
        office,
        doors: doors.clone(),
        starting,
        list,
        desk,
        seats: HashMap::new(),
        booting: Vec::new(),
        stopping: Vec::new(),
        reviving: Vec::new(),
        struck: HashMap::new(),
        rng: StdRng::seed_from_u64(day.seed ^ 0x57a6e),
        faults: Arc::default(),
        routers: Arc::default(),
    };
    for host in 0..day.hosts {
        stage.seat(host, 1, None);
        stage.run_host(host).await?;
    }
    for router in 0..day.routers {
        let process = Process { router, start: 0 };
        let started = stage.start_router(router).await?;
        let address = Some(started.address);
        stage.routers.lock().await.push(Some(started));
        doors.lock().expect("no holder panics").push(Door {
            address,
            process,
            down_since: None,
        });
        world.tap.note(Observation::RouterUp(process));
    }
    sleep(Duration::from_micros(LEAD as u64)).await;
    let start = world.tap.now();
    let crowd = Crowd::new(world.clone(), doors);
    let sending = tokio::spawn(crowd.clone().send(start + day.length));
    // After the last command there is time for its answer.
    let longest = day.ops.iter().map(|op| op.timeout).max().unwrap_or(0);
    let end = start + day.length + longest + SECOND;
    let mut offers: Vec<Build> = day
        .builds
        .iter()
        .copied()
        .filter(|b| b.number > 1)
        .collect();
    let mut told = 0;
    let mut troubles: Vec<(usize, Fault, bool)> = day
        .faults
        .iter()
        .enumerate()
        .map(|(n, t)| (n, *t, false))
        .collect();
    while world.tap.now() < end {
        let now = world.tap.now();
        if (now - start) / SECOND > told {
            told = (now - start) / SECOND;
            progress(told * SECOND);
        }
        let mut orders = Vec::new();
        if !world.faults().stalled_controller {
            let mut desk = stage.office.desk.lock().expect("no holder panics");
            let before = desk.state;
            if let Some(next) = offers.first().filter(|b| now - start >= b.offered) {
                if desk.offer(now, next.number, &mut orders) {
                    offers.remove(0);
                }
            }
            desk.tick(now, &mut orders);
            let s = desk.state;
            if s != before {
                world.tap.note(Observation::ReleaseController {
                    build: s.build,
                    stage: s.stage,
                    state: s.rollout,
                });
            }
        }
        stage.carry_out(orders);
        stage.tick(now).await?;
        for (n, trouble, begun) in &mut troubles {
            if !*begun && now - start >= trouble.at {
                *begun = true;
                world.tap.note(Observation::Fault {
                    what: format!("begins: {trouble}"),
                });
                stage.begin(*n, *trouble, now);
            }
        }
        let over: Vec<_> = troubles
            .extract_if(.., |t| t.2 && now - start >= t.1.at + t.1.lasts)
            .collect();
        for (n, trouble, _) in over {
            world.tap.note(Observation::Fault {
                what: format!("ends: {}", trouble.kind.name()),
            });
            let others: Vec<(usize, Fault)> = troubles
                .iter()
                .filter(|t| t.2)
                .map(|t| (t.0, t.1))
                .collect();
            stage.end(n, trouble, &others);
        }
        stage
            .office
            .board
            .lock()
            .expect("no holder panics")
            .tick(now);
        stage.drag();
        sleep(Duration::from_millis(10)).await;
    }
    let _ = sending.await;
    let mut routers = stage.routers.lock().await;
    for (n, router) in routers.iter_mut().enumerate() {
        if let Some(router) = router {
            let ended = router.end(Duration::from_secs(16)).await;
            if let Err(what) = ended {
                stage
                    .faults
                    .lock()
                    .expect("no holder panics")
                    .push(format!("router {n}: {what}"));
            }
        }
    }
    let (seen, outcomes) = (world.tap.take(), crowd.outcomes());
    let faults = std::mem::take(&mut *stage.faults.lock().expect("no holder panics"));
    let mut record = RunRecorder::new(&day, start);
    seen.iter().for_each(|(at, s)| record.see(*at, s));
    outcomes.iter().for_each(|o| record.ended(o));
    let report = record.finish(faults, Some(&seen));
    Ok(Played {
        day,
        seen,
        outcomes,
        report,
    })
}

impl Stage {
    fn seat(&mut self, host: u32, build: u16, started: Option<Micros>) {
        let site = (host % u32::from(self.world.day.sites)) as u16;
        let seat = Seat {
            site,
            build,
            started,
            process: None,
            draining: false,
            address: None,
        };
        self.seats.insert(host, seat);
    }

    /// Starts the process of a host at the address that it had, and lets the list learn of it.
    async fn run_host(&mut self, host: u32) -> Result<(), String> {
        let day = &self.world.day;
        let seed = day.seed ^ u64::from(host) << 20 ^ self.world.number() << 40;
        let Some(seat) = self.seats.get_mut(&host) else {
            return Ok(());
        };
        let build = day.builds.iter().find(|b| b.number == seat.build);
        let (flaw, speed) = build.map_or((BuildDefect::None, 1.0), |b| (b.defect, b.speed));
        let model = Host::new(day, flaw, speed, seat.started, seed);
        let place = HostSeat {
            host,
            site: seat.site,
            build: seat.build,
        };
        let process = hosts::start(&self.world, place, model, seat.address)
            .await
            .map_err(|e| e.to_string())?;
        seat.address = Some(process.address);
        let incarnation = process.incarnation;
        seat.process = Some(process);
        let late = if seat.started.is_none() {
            0
        } else {
            self.late()
        };
        self.list(host, Phase::Ready, incarnation, late);
        Ok(())
    }

    fn late(&mut self) -> Micros {
        let [least, most] = self.world.day.list_late;
        self.rng.random_range(least..most) + self.world.faults().list_delay
    }

    fn list(&mut self, host: u32, phase: Phase, incarnation: u64, late: Micros) {
        let Some((seat, address)) = self.seats.get(&host).and_then(|s| Some((s, s.address?)))
        else {
            return;
        };
        let entry = Entry {
            host,
            address: address.to_string(),
            site: seat.site,
            build: seat.build,
            phase,
            incarnation,
            started: seat.started,
        };
        let at = self.world.tap.now() + late;
        self.office
            .board
            .lock()
            .expect("no holder panics")
            .know_at(at, entry);
    }

    fn incarnation(&self, host: u32) -> u64 {
        self.seats
            .get(&host)
            .and_then(|s| s.process.as_ref())
            .map_or(0, |p| p.incarnation)
    }

    fn carry_out(&mut self, orders: Vec<FleetOrder>) {
        let now = self.world.tap.now();
        for order in orders {
            match order {
                FleetOrder::Start { host, build, .. } => {
                    let [least, most] = self.world.day.boot;
                    self.seat(host, build, Some(now));
                    self.booting
                        .push((now + self.rng.random_range(least..most), host));
                }
                FleetOrder::Drain { host } => {
                    self.booting.retain(|b| b.1 != host);
                    let Some(seat) = self.seats.get_mut(&host) else {
                        continue;
                    };
                    seat.draining = true;
                    if seat.process.is_some() {
                        let (incarnation, late) = (self.incarnation(host), self.late());
                        self.list(host, Phase::Draining, incarnation, late);
                        self.stopping
                            .push((now + late + self.world.day.drain, host));
                    }
                }
            }
        }
    }

    async fn tick(&mut self, now: Micros) -> Result<(), String> {
        for (_, host) in self
            .booting
            .extract_if(.., |b| b.0 <= now)
            .collect::<Vec<_>>()
        {
            if let Some(seat) = self.seats.get_mut(&host) {
                seat.started = Some(now);
            }
            self.run_host(host).await?;
            let mut orders = Vec::new();
            self.office
                .desk
                .lock()
                .expect("no holder panics")
                .runs(now, host, &mut orders);
            self.carry_out(orders);
        }
        for (_, host) in self
            .stopping
            .extract_if(.., |s| s.0 <= now)
            .collect::<Vec<_>>()
        {
            // It goes on while it has work, for some time.
            let Some(seat) = self.seats.get_mut(&host) else {
                continue;
            };
            let busy = seat
                .process
                .as_ref()
                .is_some_and(|p| p.model.lock().expect("no holder panics").queued() > 0);
            if busy
                && !seat
                    .process
                    .as_ref()
                    .is_some_and(|p| p.model.lock().is_ok_and(|m| m.fallen))
            {
                self.stopping.push((now + 100 * MS, host));
                continue;
            }
            let (incarnation, late) = (self.incarnation(host), self.late());
            if let Some(seat) = self.seats.get_mut(&host) {
                seat.process = None;
            }
            self.list(host, Phase::Gone, incarnation, late);
        }
        for (_, host) in self
            .reviving
            .extract_if(.., |s| s.0 <= now)
            .collect::<Vec<_>>()
        {
            if let Some(seat) = self
                .seats
                .get_mut(&host)
                .filter(|s| !s.draining && s.process.is_none())
            {
                seat.started = Some(now);
                self.run_host(host).await?;
            }
        }
        Ok(())
    }

    /// Hosts that trouble `n` strikes: a part of those that run.
    fn strike(&mut self, n: usize, part: f64) -> Vec<u32> {
        let mut running: Vec<u32> = self
            .seats
            .iter()
            .filter(|(_, s)| s.process.is_some() && !s.draining)
            .map(|(h, _)| *h)
            .collect();
        running.sort_unstable();
        running.shuffle(&mut self.rng);
        running.truncate(((running.len() as f64 * part).round() as usize).max(1));
        self.struck.insert(n, running.clone());
        running
    }

    fn ail(&self, hosts: &[u32], ail: impl Fn(&mut HostFault)) {
        for host in hosts {
            if let Some(process) = self.seats.get(host).and_then(|s| s.process.as_ref()) {
                ail(&mut process.model.lock().expect("no holder panics").fault);
                process.changed.notify_one();
            }
        }
    }

    fn all_hosts(&self) -> Vec<u32> {
        self.seats.keys().copied().collect()
    }

    fn begin(&mut self, n: usize, trouble: Fault, now: Micros) {
        let seconds = (trouble.size * SECOND as f64) as Micros;
        let world = self.world.clone();
        if world
            .faults
            .lock()
            .expect("no holder panics")
            .begin(&world.day, n, &trouble)
        {
            return;
        }
        match trouble.kind {
            FaultKind::Kill | FaultKind::LoneHost => {
                for (nth, host) in self.strike(n, trouble.part).into_iter().enumerate() {
                    let (incarnation, late) = (self.incarnation(host), self.late());
                    if let Some(seat) = self.seats.get_mut(&host) {
                        seat.process = None;
                    }
                    self.list(host, Phase::Gone, incarnation, late);
                    let first = trouble.kind == FaultKind::LoneHost && nth == 0;
                    self.reviving
                        .push((now + if first { seconds } else { trouble.lasts }, host));
                }
            }
            FaultKind::Hang => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.hangs = true);
            }
            FaultKind::Slow => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.slower = trouble.size.max(1.0));
            }
            FaultKind::FastErrors => {
                let struck = self.strike(n, trouble.part);
                self.ail(&struck, |a| a.fails = trouble.size);
            }
            FaultKind::SlowOp => {
                self.ail(&self.all_hosts(), |a| {
                    a.slow_op = (0, trouble.size.max(1.0))
                });
            }
            FaultKind::RouterKill | FaultKind::RouterRoll => {
                let mut all: Vec<u32> = (0..self.world.day.routers).collect();
                all.shuffle(&mut self.rng);
                all.truncate(((all.len() as f64 * trouble.part).round() as usize).max(1));
                let hard = trouble.kind == FaultKind::RouterKill;
                let down = if hard { trouble.lasts } else { seconds };
                let apart = if hard {
                    0
                } else {
                    trouble.lasts / all.len() as Micros
                };
                tokio::spawn(self.restarting().run(all, hard, down, apart));
            }
            _ => {}
        }
    }

    /// `others`: troubles that still last.
    fn end(&mut self, n: usize, trouble: Fault, others: &[(usize, Fault)]) {
        let struck = self.struck.remove(&n).unwrap_or_default();
        let world = self.world.clone();
        world
            .faults
            .lock()
            .expect("no holder panics")
            .end(&world.day, &trouble, others);
        match trouble.kind {
            FaultKind::Hang => self.ail(&struck, |a| a.hangs = false),
            FaultKind::Slow => self.ail(&struck, |a| a.slower = 1.0),
            FaultKind::FastErrors => self.ail(&struck, |a| a.fails = 0.0),
            FaultKind::SlowOp => self.ail(&self.all_hosts(), |a| a.slow_op = (usize::MAX, 1.0)),
            _ => {}
        }
    }

    /// A build that slows all hosts does so in step with its part of them.
    fn drag(&mut self) {
        let flawed = |build: u16| {
            self.world
                .day
                .builds
                .iter()
                .find(|b| b.number == build)
                .map(|b| b.defect)
        };
        let running: Vec<&Seat> = self
            .seats
            .values()
            .filter(|s| s.process.is_some())
            .collect();
        let drags = running.iter().filter_map(|s| match flawed(s.build) {
            Some(BuildDefect::Shared(times)) => Some(times),
            _ => None,
        });
        let drag = 1.0 + drags.map(|t| 2.0 * (t - 1.0)).sum::<f64>() / running.len().max(1) as f64;
        let hosts = self.all_hosts();
        self.ail(&hosts, |a| a.drag = drag.min(4.0));
    }

    async fn start_router(&self, router: u32) -> Result<RouterProcess, String> {
        self.restarting().start(router).await
    }

    fn restarting(&self) -> Restarting {
        Restarting {
            world: self.world.clone(),
            doors: self.doors.clone(),
            starting: self.starting.clone(),
            list: self.list,
            desk: self.desk,
            faults: self.faults.clone(),
            routers: self.routers.clone(),
        }
    }
}

/// Kills routers, or tells them to end, and starts them again.
struct Restarting {
    world: Arc<World>,
    doors: Doors,
    starting: Starting,
    list: SocketAddr,
    desk: SocketAddr,
    faults: Arc<Mutex<Vec<String>>>,
    routers: Arc<tokio::sync::Mutex<Vec<Option<RouterProcess>>>>,
}

impl Restarting {
    async fn start(&self, router: u32) -> Result<RouterProcess, String> {
        let flags = flags(&self.world.day, router, self.list, self.desk);
        RouterProcess::start(&self.starting, &flags, &format!("router-{router}")).await
    }

    async fn run(self, routers: Vec<u32>, hard: bool, down: Micros, apart: Micros) {
        for router in &routers {
            self.stop(*router, hard).await;
            if !hard {
                sleep(Duration::from_micros(down as u64)).await;
                self.again(*router).await;
                sleep(Duration::from_micros((apart - down).max(0) as u64)).await;
            }
        }
        if hard {
            sleep(Duration::from_micros(down as u64)).await;
            for router in routers {
                self.again(router).await;
            }
        }
    }

    async fn stop(&self, router: u32, hard: bool) {
        let process = self.world.process(router);
        let Some(mut child) = self
            .routers
            .lock()
            .await
            .get_mut(router as usize)
            .and_then(Option::take)
        else {
            return;
        };
        let seen = if hard {
            Observation::RouterKilled(process)
        } else {
            Observation::RouterShutdown(process)
        };
        self.world.tap.note(seen);
        if let Some(door) = self
            .doors
            .lock()
            .expect("no holder panics")
            .get_mut(router as usize)
        {
            (door.address, door.down_since) = (None, Some(self.world.tap.now()));
        }
        if hard {
            child.kill().await;
        } else {
            if let Err(what) = child.end(Duration::from_secs(16)).await {
                self.faults
                    .lock()
                    .expect("no holder panics")
                    .push(format!("router {router}: {what}"));
            }
            self.world.tap.note(Observation::RouterEnded(process));
        }
    }

    async fn again(&self, router: u32) {
        let process = {
            let mut starts = self.world.starts.lock().expect("no holder panics");
            starts[router as usize] += 1;
            Process {
                router,
                start: starts[router as usize],
            }
        };
        match self.start(router).await {
            Ok(child) => {
                self.world.tap.note(Observation::RouterUp(process));
                if let Some(door) = self
                    .doors
                    .lock()
                    .expect("no holder panics")
                    .get_mut(router as usize)
                {
                    *door = Door {
                        address: Some(child.address),
                        process,
                        down_since: None,
                    };
                }
                self.routers.lock().await[router as usize] = Some(child);
            }
            Err(what) => self.faults.lock().expect("no holder panics").push(what),
        }
    }
}
