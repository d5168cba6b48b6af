//! Reads the processes of a run from the system and the links from the tap, a few times a second, and adds up what each
//! role took in a phase.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use procfs::process::{ProcState, Process};
use procfs::WithCurrentSystemInfo;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{interval, Instant, MissedTickBehavior};

use super::bounds::{Demand, Machine};
use super::processes::{ProcessEntry, ProcessKind, ProcessTable};
use super::tap::Tap;
use super::traffic::NodeTraffic;
use crate::fleet::Participant;

const SAMPLE_EVERY: Duration = Duration::from_millis(250);

/// What a process or a router was at the moment of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The node that leads.
    VoterLeader,
    /// Any other node.
    VoterFollower,
    /// Figures of its process divided by the routers in it.
    HollowRouter,
    /// A router process.
    RealRouter,
    /// The tap and the measuring, on the same machine.
    Harness,
    /// All together.
    Fleet,
}

/// One look at a process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub processor_seconds: f64,
    pub resident_bytes: u64,
    pub descriptors: u64,
}

/// Why a process could not be read.
enum Gone {
    Ended,
    Unreadable,
}

fn usage(pid: i32) -> Result<Usage, Gone> {
    let process = Process::new(pid).map_err(|_| Gone::Ended)?;
    let stat = process.stat().map_err(|_| Gone::Ended)?;
    if matches!(stat.state(), Ok(ProcState::Zombie | ProcState::Dead)) {
        return Err(Gone::Ended);
    }
    Ok(Usage {
        processor_seconds: processor_seconds(&process).unwrap_or_else(|| {
            (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64
        }),
        resident_bytes: stat.rss_bytes().get(),
        descriptors: process.fd_count().map_err(|_| Gone::Unreadable)? as u64,
    })
}

/// Time on a processor of all threads, to the nanosecond; `None` where the system keeps no such account.
fn processor_seconds(process: &Process) -> Option<f64> {
    let threads = process
        .tasks()
        .ok()?
        .filter_map(|thread| thread.ok()?.schedstat().ok());
    let nanoseconds: u64 = threads.map(|thread| thread.sum_exec_runtime).sum();
    (nanoseconds > 0).then_some(nanoseconds as f64 / 1e9)
}

/// Memory in bytes that a process would give back by its end: pages that it shares count by their part.
fn proportional_bytes(pid: i32) -> Option<u64> {
    let rollup = Process::new(pid).ok()?.smaps_rollup().ok()?;
    let map = rollup.memory_map_rollup.0.first()?;
    map.extension.map.get("Pss").copied()
}

/// What one process took while it had one role.
#[derive(Clone, Debug, Default)]
pub(super) struct ProcessSamples {
    pub processor_seconds: f64,
    pub observed_seconds: f64,
    pub resident_bytes: Vec<u64>,
    pub descriptors: u64,
    pub proportional_bytes: Option<u64>,
    /// Routers in it; 1 where it is one itself, or none.
    pub routers: u32,
}

/// What crossed the links of one voter or router while it had one role.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkSamples {
    pub traffic: NodeTraffic,
    pub observed_seconds: f64,
}

/// All samples of a phase.
#[derive(Clone, Debug, Default)]
pub(super) struct PhaseSamples {
    pub processes: BTreeMap<(Role, String), ProcessSamples>,
    pub links: BTreeMap<(Role, Participant), LinkSamples>,
    pub memory_peak_bytes: u64,
    pub process_count: u32,
}

struct State {
    process_table: ProcessTable,
    tap: Arc<Tap>,
    machine: Machine,
    real: u32,
    phase: PhaseSamples,
    last_usage: BTreeMap<i32, Usage>,
    last_traffic: BTreeMap<Participant, NodeTraffic>,
    last_at: Instant,
    /// Told why the run has to stop.
    stop: watch::Sender<Option<String>>,
}

/// Samples in the background, and at each end of a phase.
#[derive(Clone)]
pub(super) struct Sampler(Arc<Mutex<State>>);

impl Sampler {
    /// Routers below `real` are real ones. `stop` is told why the run has to stop: a bound of the machine, or a process
    /// that has ended by itself.
    pub(super) fn new(
        process_table: ProcessTable,
        tap: Arc<Tap>,
        machine: Machine,
        real: u32,
        stop: watch::Sender<Option<String>>,
    ) -> Sampler {
        let state = State {
            process_table,
            tap,
            machine,
            real,
            phase: PhaseSamples::default(),
            last_usage: BTreeMap::new(),
            last_traffic: BTreeMap::new(),
            last_at: Instant::now(),
            stop,
        };
        Sampler(Arc::new(Mutex::new(state)))
    }

    /// Samples until it is dropped.
    pub(super) async fn run(self) {
        let mut ticks = interval(SAMPLE_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.state().sample();
        }
    }

    /// What was sampled since this was asked last, up to this moment, with what each process would give back.
    pub(super) fn take(&self) -> PhaseSamples {
        let mut state = self.state();
        state.sample();
        let mut samples = std::mem::take(&mut state.phase);
        for (name, member) in state.process_table.members() {
            let bytes = proportional_bytes(member.pid);
            let of_name = samples
                .processes
                .iter_mut()
                .filter(|((_, of), _)| *of == name);
            of_name.for_each(|(_, process)| process.proportional_bytes = bytes);
        }
        samples
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder panics")
    }
}

impl State {
    fn sample(&mut self) {
        let now = Instant::now();
        let seconds = (now - self.last_at).as_secs_f64();
        self.last_at = now;
        let leader = self.tap.record().leadership.voter;
        let memory_bytes = self.sample_processes(leader, seconds);
        self.sample_links(leader, seconds);
        let processes = self.process_table.members().len() as u32;
        self.phase.memory_peak_bytes = self.phase.memory_peak_bytes.max(memory_bytes);
        self.phase.process_count = self.phase.process_count.max(processes);
        if let Err(what) = self.machine.check(&Demand {
            processes,
            memory_bytes,
            descriptors: 0,
        }) {
            self.stop(format!("stopped while running: {what}"));
        }
    }

    fn stop(&self, why: String) {
        self.stop.send_if_modified(|stop| {
            let first = stop.is_none();
            stop.get_or_insert(why);
            first
        });
    }

    /// Answers the resident memory of all processes, in bytes.
    fn sample_processes(&mut self, leader: u32, seconds: f64) -> u64 {
        let mut memory_bytes = 0;
        let mut present = BTreeMap::new();
        for (name, member) in self.process_table.members() {
            match usage(member.pid) {
                Ok(usage) => {
                    memory_bytes += usage.resident_bytes;
                    present.insert(member.pid, usage);
                    self.note_process(&name, member, usage, leader, seconds);
                }
                Err(Gone::Ended) if self.process_table.has(&name, member.pid) => {
                    self.stop(format!(
                        "{name} (process {}) has ended by itself",
                        member.pid
                    ));
                }
                Err(_) => {}
            }
        }
        self.last_usage = present;
        memory_bytes
    }

    fn note_process(
        &mut self,
        name: &str,
        member: ProcessEntry,
        usage: Usage,
        leader: u32,
        seconds: f64,
    ) {
        // Of a process that has just come nothing is known of the time before.
        let Some(before) = self.last_usage.get(&member.pid) else {
            return;
        };
        let (role, routers) = match member.kind {
            ProcessKind::Voter(id) if id == leader => (Role::VoterLeader, 1),
            ProcessKind::Voter(_) => (Role::VoterFollower, 1),
            ProcessKind::Hollow(routers) => (Role::HollowRouter, routers),
            ProcessKind::Real(_) => (Role::RealRouter, 1),
            ProcessKind::Harness => (Role::Harness, 1),
        };
        let samples = self
            .phase
            .processes
            .entry((role, name.to_string()))
            .or_default();
        // A thread that has ended takes its time along.
        samples.processor_seconds += (usage.processor_seconds - before.processor_seconds).max(0.0);
        samples.observed_seconds += seconds;
        samples.resident_bytes.push(usage.resident_bytes);
        samples.descriptors = samples.descriptors.max(usage.descriptors);
        samples.routers = routers;
    }

    fn sample_links(&mut self, leader: u32, seconds: f64) {
        let traffic = self.tap.record().traffic.clone();
        for (node, now) in &traffic {
            let role = match node {
                Participant::Node(id) if *id == leader => Role::VoterLeader,
                Participant::Node(_) => Role::VoterFollower,
                Participant::Router(index) if *index < self.real => Role::RealRouter,
                Participant::Router(_) => Role::HollowRouter,
                Participant::Operator => continue,
            };
            let before = self.last_traffic.get(node).copied().unwrap_or_default();
            let samples = self.phase.links.entry((role, *node)).or_default();
            samples.traffic.add(&now.since(&before));
            samples.observed_seconds += seconds;
        }
        self.last_traffic = traffic;
    }
}
