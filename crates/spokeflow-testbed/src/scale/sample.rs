//! Samples the processes of a run from `/proc` and their links from the tap, a few times a second, and sums up the
//! usage of each role in a phase.

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

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Role of a process or a router at the time of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The voter that is the leader.
    VoterLeader,
    /// Any other voter.
    VoterFollower,
    /// A hollow router: the figures of its process divided by the number of routers in it.
    HollowRouter,
    /// A real router process.
    RealRouter,
    /// This process, with the tap and the sampler.
    Harness,
    /// All processes together.
    Fleet,
}

/// Resource usage of a process at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Processor time since its start.
    pub processor_seconds: f64,
    pub resident_bytes: u64,
    pub descriptors: u64,
}

/// Why the usage of a process could not be read.
enum ReadError {
    /// The process has ended.
    Ended,
    /// The process exists, but its descriptors cannot be read.
    Unreadable,
}

fn usage(pid: i32) -> Result<Usage, ReadError> {
    let process = Process::new(pid).map_err(|_| ReadError::Ended)?;
    let stat = process.stat().map_err(|_| ReadError::Ended)?;
    if matches!(stat.state(), Ok(ProcState::Zombie | ProcState::Dead)) {
        return Err(ReadError::Ended);
    }
    Ok(Usage {
        processor_seconds: processor_seconds(&process).unwrap_or_else(|| {
            (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64
        }),
        resident_bytes: stat.rss_bytes().get(),
        descriptors: process.fd_count().map_err(|_| ReadError::Unreadable)? as u64,
    })
}

/// Returns the processor time of all threads, with the resolution of `schedstat`, a nanosecond. `None`: the system does
/// not record it.
fn processor_seconds(process: &Process) -> Option<f64> {
    let threads = process
        .tasks()
        .ok()?
        .filter_map(|thread| thread.ok()?.schedstat().ok());
    let nanoseconds: u64 = threads.map(|thread| thread.sum_exec_runtime).sum();
    (nanoseconds > 0).then_some(nanoseconds as f64 / 1e9)
}

/// Returns the proportional set size of a process in bytes: a page shared by several processes counts for each in
/// proportion.
fn proportional_bytes(pid: i32) -> Option<u64> {
    let rollup = Process::new(pid).ok()?.smaps_rollup().ok()?;
    let map = rollup.memory_map_rollup.0.first()?;
    map.extension.map.get("Pss").copied()
}

/// Usage of one process while it had one role.
#[derive(Clone, Debug, Default)]
pub(super) struct ProcessSamples {
    pub processor_seconds: f64,
    /// Time for which the process was sampled in this role.
    pub observed_seconds: f64,
    /// Resident memory at each sample.
    pub resident_bytes: Vec<u64>,
    /// Largest number of open descriptors.
    pub descriptors: u64,
    /// Proportional set size at the end of the phase.
    pub proportional_bytes: Option<u64>,
    /// Number of routers in a process of hollow routers; 1 for any other process.
    pub routers: u32,
}

/// Traffic on the links of one voter or router while it had one role.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkSamples {
    pub traffic: NodeTraffic,
    pub observed_seconds: f64,
}

/// All samples of one phase.
#[derive(Clone, Debug, Default)]
pub(super) struct PhaseSamples {
    pub processes: BTreeMap<(Role, String), ProcessSamples>,
    pub links: BTreeMap<(Role, Participant), LinkSamples>,
    /// Largest resident memory of all processes together.
    pub memory_peak_bytes: u64,
    /// Largest number of processes.
    pub process_count: u32,
}

struct State {
    process_table: ProcessTable,
    tap: Arc<Tap>,
    machine: Machine,
    /// Number of real routers, which have the lowest numbers.
    real: u32,
    phase: PhaseSamples,
    last_usage: BTreeMap<i32, Usage>,
    last_traffic: BTreeMap<Participant, NodeTraffic>,
    last_at: Instant,
    /// Receives the first reason why the run has to stop.
    stop: watch::Sender<Option<String>>,
}

/// Samples in the background and at the end of each phase.
#[derive(Clone)]
pub(super) struct Sampler(Arc<Mutex<State>>);

impl Sampler {
    /// Creates a sampler for a run whose routers numbered below `real` are real. `stop` receives the reason if the run
    /// has to stop: a bound of the machine was exceeded, or a process has ended by itself.
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

    /// Samples until the future is dropped.
    pub(super) async fn run(self) {
        let mut ticks = interval(SAMPLE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.state().sample();
        }
    }

    /// Returns the samples since the last call, including one made now, with the current proportional set size of each
    /// process.
    pub(super) fn take(&self) -> PhaseSamples {
        let mut state = self.state();
        state.sample();
        let mut samples = std::mem::take(&mut state.phase);
        for (name, entry) in state.process_table.entries() {
            let bytes = proportional_bytes(entry.pid);
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
        let processes = self.process_table.entries().len() as u32;
        self.phase.memory_peak_bytes = self.phase.memory_peak_bytes.max(memory_bytes);
        self.phase.process_count = self.phase.process_count.max(processes);
        if let Err(exceeded) = self.machine.check(&Demand {
            processes,
            memory_bytes,
            descriptors: 0,
        }) {
            self.stop(format!(
                "bounds of the machine exceeded during the run: {exceeded}"
            ));
        }
    }

    fn stop(&self, reason: String) {
        self.stop.send_if_modified(|stop| {
            let is_first = stop.is_none();
            stop.get_or_insert(reason);
            is_first
        });
    }

    /// Samples all processes. Returns their resident memory together, in bytes.
    fn sample_processes(&mut self, leader: u32, seconds: f64) -> u64 {
        let mut memory_bytes = 0;
        let mut usage_by_pid = BTreeMap::new();
        for (name, entry) in self.process_table.entries() {
            match usage(entry.pid) {
                Ok(usage) => {
                    memory_bytes += usage.resident_bytes;
                    usage_by_pid.insert(entry.pid, usage);
                    self.add_process_sample(&name, entry, usage, leader, seconds);
                }
                Err(ReadError::Ended) if self.process_table.contains(&name, entry.pid) => {
                    self.stop(format!(
                        "{name} (process {}) has ended by itself",
                        entry.pid
                    ));
                }
                Err(_) => {}
            }
        }
        self.last_usage = usage_by_pid;
        memory_bytes
    }

    fn add_process_sample(
        &mut self,
        name: &str,
        entry: ProcessEntry,
        usage: Usage,
        leader: u32,
        seconds: f64,
    ) {
        // The first sample of a process has no earlier one to compare with.
        let Some(before) = self.last_usage.get(&entry.pid) else {
            return;
        };
        let (role, routers) = match entry.kind {
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
        // The sum over the threads may shrink, as the time of a thread that has ended is no longer in it.
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
