//! What a run may take of the machine, and what each router may take: checked before the run and during it.

use nix::sys::resource::{getrlimit, Resource};
use procfs::Current;
use serde::Serialize;

use super::error::ScaleError;
use super::flags::ScaleFlags;

/// Processes of a run at most, this one included.
const PROCESSES_AT_MOST: u32 = 200;
/// Part of the machine's memory that a run may take.
const MEMORY_SHARE: f64 = 0.5;
const MEGABYTE: u64 = 1_000_000;
/// Memory in bytes that the estimate counts for each part of a run. They are set from above: a run that is near the
/// bound is refused rather than stopped halfway.
const VOTER: u64 = 40 * MEGABYTE;
const VOTER_FOR_HOST: u64 = 4_000;
const REAL: u64 = 20 * MEGABYTE;
const REAL_FOR_HOST: u64 = 6_000;
const HOLLOW_PROCESS: u64 = 10 * MEGABYTE;
const HOLLOW: u64 = 60_000;
const HOLLOW_FOR_HOST: u64 = 200;
const HOLLOW_FOR_TENANT: u64 = 150;
/// A whole list on its way to one router is held at the voter, by the tap and at the router.
const IN_FLIGHT_FOR_HOST: u64 = 80;
const FOR_TENANT: u64 = 400;
/// Descriptors of this process beside those of connections.
const DESCRIPTORS_APART: u64 = 512;
/// Ends of connections in this process for each router: both ends of one that closes and of one that opens.
const DESCRIPTORS_FOR_ROUTER: u64 = 4;

/// What a run takes, or is expected to take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Demand {
    /// Processes, this one with them.
    pub processes: u32,
    /// Resident memory of all processes.
    pub memory_bytes: u64,
    /// Descriptors of the process that needs most of them: this one, through which all connections pass.
    pub descriptors: u64,
}

impl Demand {
    /// What a run of these sizes needs, estimated from above.
    pub fn of(flags: &ScaleFlags) -> Demand {
        let [routers, real, hollow] = [flags.routers, flags.real, flags.hollow()].map(u64::from);
        let [voters, hosts, tenants] = [flags.voters, flags.hosts, flags.tenants].map(u64::from);
        let processes = 1 + flags.voters + flags.real + flags.hollow_processes();
        let voter = VOTER + VOTER_FOR_HOST * hosts + FOR_TENANT * tenants;
        let real_router = REAL + REAL_FOR_HOST * hosts + FOR_TENANT * tenants;
        let hollow_router = HOLLOW + HOLLOW_FOR_HOST * hosts + HOLLOW_FOR_TENANT * tenants;
        let memory_bytes = voters * voter
            + real * real_router
            + hollow * hollow_router
            + u64::from(flags.hollow_processes()) * HOLLOW_PROCESS
            + routers * hosts * IN_FLIGHT_FOR_HOST;
        let descriptors = DESCRIPTORS_APART + DESCRIPTORS_FOR_ROUTER * (routers + voters * voters);
        Demand {
            processes,
            memory_bytes,
            descriptors,
        }
    }
}

/// Bounds that a run exceeds, and what to change.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.join("; "))]
pub struct ExceededBounds(Vec<String>);

/// What the machine gives, and the bounds that follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Machine {
    /// Cores on which this process may run.
    pub cores: usize,
    /// Memory of the machine.
    pub memory_bytes: u64,
    /// Descriptors that one process may have.
    pub descriptors: u64,
}

impl Machine {
    /// The machine on which this program runs.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn here() -> Result<Machine, ScaleError> {
        let memory_bytes = procfs::Meminfo::current()?.mem_total;
        let (descriptors, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        Ok(Machine {
            cores,
            memory_bytes,
            descriptors,
        })
    }

    /// Bytes that a run may take.
    pub fn memory_at_most(&self) -> u64 {
        (self.memory_bytes as f64 * MEMORY_SHARE) as u64
    }

    /// The bounds, one a line, as printed at the start.
    pub fn bounds(&self) -> Vec<String> {
        vec![
            format!("processes at most {PROCESSES_AT_MOST}"),
            format!(
                "memory under {} MB: half of this machine's {} MB",
                self.memory_at_most() / MEGABYTE,
                self.memory_bytes / MEGABYTE
            ),
            format!(
                "descriptors of one process at most {} (ulimit -n)",
                self.descriptors
            ),
        ]
    }

    /// Whether a run of a demand keeps all bounds.
    ///
    /// # Errors
    ///
    /// The bounds that it exceeds.
    pub fn check(&self, demand: &Demand) -> Result<(), ExceededBounds> {
        let mut faults = Vec::new();
        if demand.processes > PROCESSES_AT_MOST {
            faults.push(format!(
                "{} processes, {PROCESSES_AT_MOST} at most: raise --hollow-per-process or lower --real",
                demand.processes
            ));
        }
        if demand.memory_bytes >= self.memory_at_most() {
            faults.push(format!(
                "{} MB of memory, under {} MB allowed: lower --routers, --real, --hosts or --tenants",
                demand.memory_bytes / MEGABYTE,
                self.memory_at_most() / MEGABYTE
            ));
        }
        if demand.descriptors > self.descriptors {
            faults.push(format!(
                "{} descriptors in one process, {} allowed: raise ulimit -n or lower --routers",
                demand.descriptors, self.descriptors
            ));
        }
        match faults.is_empty() {
            true => Ok(()),
            false => Err(ExceededBounds(faults)),
        }
    }
}
