//! Starts, suspends and stops the processes of a run: voters, real routers and processes of hollow routers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::sync::Mutex;
use tokio::time::{timeout, Instant};

use super::error::{RunError, ScaleError};
use super::flags::ScaleFlags;
use super::hollow::{HollowCommand, STARTED};
use super::list::ListSource;
use super::processes::{ProcessKind, ProcessTable};
use super::settings::{RouterPeers, RouterSettings};
use super::tap::Tap;
use crate::fleet::peers::Peers;
use crate::routers::{ChildProcess, StartError, Starting};

/// Time within which a process of hollow routers must report that its routers start.
const HOLLOW_START_TIMEOUT: Duration = Duration::from_secs(20);
/// Election timeouts in the duration of a lease. An election takes two of these timeouts and has to end well within a
/// lease.
const ELECTION_TIMEOUTS_PER_LEASE: u32 = 6;
const HEARTBEATS_PER_ELECTION_TIMEOUT: u32 = 5;

/// A running process of hollow routers.
struct HollowProcess {
    name: String,
    child: Child,
    commands: ChildStdin,
    /// Numbers of its routers.
    routers: BTreeSet<u32>,
}

impl HollowProcess {
    /// Sends a command to the process. Errors: the process has ended.
    async fn send(&mut self, command: &HollowCommand) -> Result<(), RunError> {
        let write = async {
            let mut line = serde_json::to_string(command)?;
            line.push('\n');
            self.commands.write_all(line.as_bytes()).await
        };
        write.await.map_err(|source| RunError::SendCommand {
            name: self.name.clone(),
            source,
        })
    }
}

/// All processes of a run, with the tap, the list source and the stores that they use.
pub(super) struct Rig {
    pub flags: ScaleFlags,
    pub tap: Arc<Tap>,
    pub list: Arc<ListSource>,
    pub processes: ProcessTable,
    /// Addresses at which the tap accepts connections to the voters.
    pub voter_addresses: Vec<SocketAddr>,
    starting: Starting,
    /// Directory of the voters' store files.
    stores: PathBuf,
    list_address: SocketAddr,
    peers: RouterPeers,
    voters: Mutex<BTreeMap<u32, ChildProcess>>,
    real: Mutex<BTreeMap<u32, ChildProcess>>,
    hollow: Mutex<Vec<HollowProcess>>,
}

fn voter_name(id: u32) -> String {
    format!("voter-{id}")
}

fn real_name(router: u32) -> String {
    format!("real-{router}")
}

impl Rig {
    /// Opens the tap, the list source and the peers of real routers, and starts no process. Errors: a port or the
    /// directory of the stores is not available.
    pub(super) async fn open(
        flags: ScaleFlags,
        starting: Starting,
        stores: PathBuf,
    ) -> Result<Arc<Rig>, ScaleError> {
        std::fs::create_dir_all(&stores).map_err(|source| ScaleError::CreateStores {
            directory: stores.clone(),
            source,
        })?;
        let listen_error = ScaleError::Listen;
        let max_clock_drift = 0.01;
        let holder_duration =
            (flags.lease.as_micros() as f64 * (1.0 - max_clock_drift)) as crate::Micros;
        let tap = Tap::new(holder_duration, flags.hosts > 0);
        let zones = flags.clone();
        let list = ListSource::new(flags.hosts, |host| zones.zone(host));
        let list_address = list.open().await.map_err(listen_error)?;
        let peer_services = Peers::new(Instant::now(), 0);
        // The own list source of real routers sends nothing: hosts come from the voters.
        let peer_addresses = peer_services.open(0).await.map_err(listen_error)?;
        let mut voter_addresses = Vec::new();
        for id in 1..=flags.voters {
            voter_addresses.push(tap.open(id).await.map_err(listen_error)?);
        }
        let processes = ProcessTable::default();
        processes.add("harness", Some(std::process::id()), ProcessKind::Harness);
        let peers = RouterPeers {
            list: peer_addresses.silent_list,
            release_controller: peer_addresses.release_controller,
        };
        let rig = Rig {
            flags,
            tap,
            list,
            processes,
            voter_addresses,
            starting,
            stores,
            list_address,
            peers,
            voters: Mutex::default(),
            real: Mutex::default(),
            hollow: Mutex::default(),
        };
        Ok(Arc::new(rig))
    }

    fn with_list(&self) -> bool {
        self.flags.hosts > 0
    }

    fn settings(&self) -> RouterSettings {
        RouterSettings {
            control_plane: self.voter_addresses.clone(),
            fleet_size: self.flags.routers,
            tenants: self.flags.tenants,
            replicated_list: self.with_list(),
            seed: self.flags.seed,
        }
    }

    /// Starts all processes. A router counts as started just before its process. Errors: the process that does not
    /// start, and why.
    pub(super) async fn launch(&self) -> Result<(), RunError> {
        for id in 1..=self.flags.voters {
            self.start_voter(id).await?;
        }
        let real = (0..self.flags.real).map(|router| self.start_real(router));
        join_all(real)
            .await
            .into_iter()
            .collect::<Result<Vec<()>, RunError>>()?;
        let step = self.flags.hollow_per_process as usize;
        let firsts = (self.flags.real..self.flags.routers).step_by(step);
        let started = join_all(firsts.map(|first| self.start_hollow(first))).await;
        *self.hollow.lock().await = started.into_iter().collect::<Result<Vec<_>, RunError>>()?;
        Ok(())
    }

    /// Starts one voter, with the store of its earlier process if there was one. Errors: it does not start.
    pub(super) async fn start_voter(&self, id: u32) -> Result<(), RunError> {
        let name = voter_name(id);
        let election_timeout = self.flags.lease / ELECTION_TIMEOUTS_PER_LEASE;
        let mut flags = vec![
            format!("--id={id}"),
            "--listen=127.0.0.1:0".into(),
            format!(
                "--store={}",
                self.stores.join(format!("{name}.redb")).display()
            ),
            format!("--election-timeout={}us", election_timeout.as_micros()),
            format!(
                "--heartbeat-interval={}us",
                (election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT).as_micros()
            ),
            format!("--lease={}us", self.flags.lease.as_micros()),
        ];
        let members = self.voter_addresses.iter().zip(1..);
        flags.extend(members.map(|(address, member)| format!("--member={member}={address}")));
        if self.with_list() {
            flags.push(format!("--list={}", self.list_address));
        }
        let starting = Starting {
            first: vec!["keeper".into()],
            ..self.starting.clone()
        };
        let process = ChildProcess::start(&starting, &flags, &name).await;
        let process = process.map_err(|source| RunError::Start {
            name: name.clone(),
            source,
        })?;
        self.processes
            .add(&name, process.pid(), ProcessKind::Voter(id));
        self.tap.set_target(id, Some(process.address));
        self.voters.lock().await.insert(id, process);
        Ok(())
    }

    /// Kills one voter with SIGKILL. Its store stays.
    pub(super) async fn kill_voter(&self, id: u32) {
        self.processes.remove(&voter_name(id));
        self.tap.set_target(id, None);
        let process = self.voters.lock().await.remove(&id);
        if let Some(mut process) = process {
            process.kill().await;
        }
    }

    /// Starts one real router. Errors: it does not start.
    async fn start_real(&self, router: u32) -> Result<(), RunError> {
        let name = real_name(router);
        let settings = self.settings();
        let mut flags = settings.flags(router, self.flags.zone(router), self.peers);
        flags.extend(settings.tenant_flags());
        let starting = Starting {
            first: vec!["router".into()],
            ..self.starting.clone()
        };
        self.tap.record().started(self.tap.now(), router);
        let process = ChildProcess::start(&starting, &flags, &name).await;
        let process = process.map_err(|source| RunError::Start {
            name: name.clone(),
            source,
        })?;
        self.processes
            .add(&name, process.pid(), ProcessKind::Real(router));
        self.real.lock().await.insert(router, process);
        Ok(())
    }

    /// Starts one process of hollow routers. Errors: it does not start.
    async fn start_hollow(&self, first: u32) -> Result<HollowProcess, RunError> {
        let name = format!("hollow-{first}");
        let start_error = |source| RunError::Start {
            name: name.clone(),
            source,
        };
        let end = first
            .saturating_add(self.flags.hollow_per_process)
            .min(self.flags.routers);
        let mut command = self.hollow_command(first, end - first);
        let log = self.starting.log_output(&name);
        command.stderr(log.map_err(start_error)?);
        let routers: BTreeSet<u32> = (first..end).collect();
        self.record_started(&routers);
        let mut child = command.spawn().map_err(|source| {
            start_error(StartError::Spawn {
                program: self.starting.program.clone(),
                source,
            })
        })?;
        let (Some(commands), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(start_error(StartError::NoOutput));
        };
        let mut line = String::new();
        let mut output = BufReader::new(output);
        let read = timeout(HOLLOW_START_TIMEOUT, output.read_line(&mut line)).await;
        if !matches!(read, Ok(Ok(_))) || line.trim() != STARTED {
            let line = line.trim().to_string();
            return Err(RunError::StartHollow { name, line });
        }
        self.processes
            .add(&name, child.id(), ProcessKind::Hollow(end - first));
        Ok(HollowProcess {
            name,
            child,
            commands,
            routers,
        })
    }

    /// Returns the command that starts a process of `count` hollow routers, numbered from `first`.
    fn hollow_command(&self, first: u32, count: u32) -> Command {
        let settings = self.settings();
        let mut command = Command::new(&self.starting.program);
        command
            .arg("hollow")
            .arg(format!("--first={first}"))
            .arg(format!("--count={count}"))
            .arg(format!("--fleet-size={}", settings.fleet_size))
            .arg(format!("--tenants={}", settings.tenants))
            .arg(format!("--seed={}", settings.seed))
            .arg(format!("--log={}", self.starting.log));
        let nodes = settings.control_plane.iter();
        command.args(nodes.map(|node| format!("--control-plane={node}")));
        if settings.replicated_list {
            command.arg("--replicated-list");
        }
        // A variable of the caller's environment must not set a flag of the process.
        for (name, _) in std::env::vars() {
            if name.starts_with("SPOKEFLOW_") {
                command.env_remove(name);
            }
        }
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true);
        command
    }

    fn record_started(&self, routers: &BTreeSet<u32>) {
        let now = self.tap.now();
        let mut record = self.tap.record();
        routers
            .iter()
            .for_each(|router| record.started(now, *router));
    }

    /// Stops these routers at once, real ones with SIGKILL. Errors: a process of hollow routers has ended.
    pub(super) async fn stop_routers(&self, routers: &BTreeSet<u32>) -> Result<(), RunError> {
        {
            let now = self.tap.now();
            let mut record = self.tap.record();
            routers
                .iter()
                .for_each(|router| record.propagation.left(now, *router));
        }
        self.send_to_hollow(routers, HollowCommand::Leave).await?;
        for router in routers.range(..self.flags.real) {
            self.processes.remove(&real_name(*router));
            let process = self.real.lock().await.remove(router);
            if let Some(mut process) = process {
                process.kill().await;
            }
        }
        Ok(())
    }

    /// Starts these routers again, all at once. Errors: the router that does not start, and why.
    pub(super) async fn restart_routers(&self, routers: &BTreeSet<u32>) -> Result<(), RunError> {
        {
            let now = self.tap.now();
            let mut record = self.tap.record();
            for router in routers {
                record.propagation.returned(now, *router);
                record.started(now, *router);
            }
        }
        self.send_to_hollow(routers, HollowCommand::Return).await?;
        let real = routers
            .range(..self.flags.real)
            .map(|router| self.start_real(*router));
        join_all(real).await.into_iter().collect()
    }

    /// Sends a command with these routers to the processes that run them as hollow routers.
    async fn send_to_hollow(
        &self,
        routers: &BTreeSet<u32>,
        command: impl Fn(BTreeSet<u32>) -> HollowCommand,
    ) -> Result<(), RunError> {
        for process in self.hollow.lock().await.iter_mut() {
            let own: BTreeSet<u32> = process.routers.intersection(routers).copied().collect();
            if !own.is_empty() {
                process.send(&command(own)).await?;
            }
        }
        Ok(())
    }

    /// Suspends the last process of hollow routers (SIGSTOP) or resumes it (SIGCONT). Returns its routers.
    pub(super) async fn set_suspended(&self, suspended: bool) -> BTreeSet<u32> {
        let hollow = self.hollow.lock().await;
        let Some(process) = hollow.last() else {
            return BTreeSet::new();
        };
        let signal = if suspended {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        };
        if let Some(pid) = process.child.id().and_then(|pid| i32::try_from(pid).ok()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
        process.routers.clone()
    }

    /// Kills all processes and removes their stores. No process is left when this returns.
    pub(super) async fn stop_all(&self) {
        for process in self.hollow.lock().await.iter_mut() {
            self.processes.remove(&process.name);
            let _ = process.child.kill().await;
        }
        for (router, process) in self.real.lock().await.iter_mut() {
            self.processes.remove(&real_name(*router));
            process.kill().await;
        }
        for (id, process) in self.voters.lock().await.iter_mut() {
            self.processes.remove(&voter_name(*id));
            process.kill().await;
        }
        let _ = std::fs::remove_dir_all(&self.stores);
    }
}
