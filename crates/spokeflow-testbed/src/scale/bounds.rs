//! Bounds on the processes, memory and file descriptors of a run, checked before it starts and while it runs.

use nix::sys::resource::{getrlimit, Resource};
use procfs::Current;
use serde::Serialize;

use super::error::ScaleError;
use super::flags::ScaleFlags;

/// Maximum number of processes of a run, this one included.
const MAX_PROCESSES: u32 = 200;
/// Share of the machine's memory that a run may use.
const MAX_MEMORY_SHARE: f64 = 0.5;
const MEGABYTE: u64 = 1_000_000;
/// Estimated memory of each part of a run. The estimates are upper bounds, so that a run near the limit is refused at
/// the start rather than stopped halfway.
const VOTER_BYTES: u64 = 40 * MEGABYTE;
const VOTER_BYTES_PER_HOST: u64 = 4_000;
const REAL_ROUTER_BYTES: u64 = 20 * MEGABYTE;
const REAL_ROUTER_BYTES_PER_HOST: u64 = 6_000;
const HOLLOW_PROCESS_BYTES: u64 = 10 * MEGABYTE;
const HOLLOW_ROUTER_BYTES: u64 = 60_000;
const HOLLOW_ROUTER_BYTES_PER_HOST: u64 = 200;
const HOLLOW_ROUTER_BYTES_PER_TENANT: u64 = 150;
/// Memory per host of a complete list that is being sent to one router: the voter, the tap and the router each hold a
/// copy.
const IN_FLIGHT_BYTES_PER_HOST: u64 = 80;
/// Memory per tenant at a voter and at a real router.
const BYTES_PER_TENANT: u64 = 400;
/// Descriptors of this process other than those of connections.
const OTHER_DESCRIPTORS: u64 = 512;
/// Descriptors of this process per router: both ends of a connection that is closing and of one that is opening.
const DESCRIPTORS_PER_ROUTER: u64 = 4;

/// Resources that a run uses, or is expected to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Demand {
    /// Number of processes, this one included.
    pub processes: u32,
    /// Resident memory of all processes, in bytes.
    pub memory_bytes: u64,
    /// Descriptors of the process that needs the most: this one, as all connections pass through its tap.
    pub descriptors: u64,
}

impl Demand {
    /// Estimates the resources that a run of these sizes needs at most.
    pub fn of(flags: &ScaleFlags) -> Demand {
        let [routers, real, hollow] =
            [flags.routers, flags.real, flags.hollow_routers()].map(u64::from);
        let [voters, hosts, tenants] = [flags.voters, flags.hosts, flags.tenants].map(u64::from);
        let processes = 1 + flags.voters + flags.real + flags.hollow_processes();
        let voter = VOTER_BYTES + VOTER_BYTES_PER_HOST * hosts + BYTES_PER_TENANT * tenants;
        let real_router =
            REAL_ROUTER_BYTES + REAL_ROUTER_BYTES_PER_HOST * hosts + BYTES_PER_TENANT * tenants;
        let hollow_router = HOLLOW_ROUTER_BYTES
            + HOLLOW_ROUTER_BYTES_PER_HOST * hosts
            + HOLLOW_ROUTER_BYTES_PER_TENANT * tenants;
        let memory_bytes = voters * voter
            + real * real_router
            + hollow * hollow_router
            + u64::from(flags.hollow_processes()) * HOLLOW_PROCESS_BYTES
            + routers * hosts * IN_FLIGHT_BYTES_PER_HOST;
        let descriptors = OTHER_DESCRIPTORS + DESCRIPTORS_PER_ROUTER * (routers + voters * voters);
        Demand {
            processes,
            memory_bytes,
            descriptors,
        }
    }
}

/// Bounds that a run exceeds, each with the flags that would lower the demand.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.join("; "))]
pub struct ExceededBounds(Vec<String>);

/// Resources of the machine, from which the bounds of a run are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Machine {
    /// Number of cores on which this process may run.
    pub cores: usize,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// Limit of open file descriptors of one process.
    pub descriptors: u64,
}

impl Machine {
    /// Reads the resources of the machine on which this program runs.
    ///
    /// # Errors
    ///
    /// The memory size or the limit of descriptors cannot be read.
    pub fn detect() -> Result<Machine, ScaleError> {
        let memory_bytes = procfs::Meminfo::current()?.mem_total;
        let (descriptors, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        Ok(Machine {
            cores,
            memory_bytes,
            descriptors,
        })
    }

    /// Returns the memory, in bytes, below which a run must stay.
    pub fn max_memory_bytes(&self) -> u64 {
        (self.memory_bytes as f64 * MAX_MEMORY_SHARE) as u64
    }

    /// Returns the bounds, one per line, as printed at the start of a run.
    pub fn bounds(&self) -> Vec<String> {
        vec![
            format!("processes at most {MAX_PROCESSES}"),
            format!(
                "memory under {} MB: half of this machine's {} MB",
                self.max_memory_bytes() / MEGABYTE,
                self.memory_bytes / MEGABYTE
            ),
            format!(
                "descriptors of one process at most {} (ulimit -n)",
                self.descriptors
            ),
        ]
    }

    /// Checks that a demand stays within all bounds.
    ///
    /// # Errors
    ///
    /// All bounds that the demand exceeds.
    pub fn check(&self, demand: &Demand) -> Result<(), ExceededBounds> {
        let mut exceeded = Vec::new();
        if demand.processes > MAX_PROCESSES {
            exceeded.push(format!(
                "{} processes, {MAX_PROCESSES} at most: raise --hollow-per-process or lower --real",
                demand.processes
            ));
        }
        if demand.memory_bytes >= self.max_memory_bytes() {
            exceeded.push(format!(
                "{} MB of memory, under {} MB allowed: lower --routers, --real, --hosts or --tenants",
                demand.memory_bytes / MEGABYTE,
                self.max_memory_bytes() / MEGABYTE
            ));
        }
        if demand.descriptors > self.descriptors {
            exceeded.push(format!(
                "{} descriptors in one process, {} allowed: raise ulimit -n or lower --routers",
                demand.descriptors, self.descriptors
            ));
        }
        match exceeded.is_empty() {
            true => Ok(()),
            false => Err(ExceededBounds(exceeded)),
        }
    }
}
