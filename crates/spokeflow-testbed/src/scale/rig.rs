//! The processes of a run: voters, real routers and processes of hollow routers, started, stopped and ended.

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
use crate::routers::{RouterProcess, StartError, Starting};

/// A process of hollow routers says that they start within this time.
const HOLLOW_STARTS_WITHIN: Duration = Duration::from_secs(20);
/// Of the lease: an election takes two of these timeouts, and has to end well within a lease.
const ELECTION_TIMEOUTS_IN_LEASE: u32 = 6;
const HEARTBEATS_IN_ELECTION_TIMEOUT: u32 = 5;

struct HollowProcess {
    name: String,
    child: Child,
    commands: ChildStdin,
    routers: BTreeSet<u32>,
}

impl HollowProcess {
    /// Errors: the process has ended.
    async fn tell(&mut self, command: &HollowCommand) -> Result<(), RunError> {
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

pub(super) struct Rig {
    pub flags: ScaleFlags,
    pub tap: Arc<Tap>,
    pub list: Arc<ListSource>,
    pub processes: ProcessTable,
    /// Addresses of the voters at the tap.
    pub voters_at: Vec<SocketAddr>,
    starting: Starting,
    stores: PathBuf,
    list_at: SocketAddr,
    around: RouterPeers,
    voters: Mutex<BTreeMap<u32, RouterProcess>>,
    real: Mutex<BTreeMap<u32, RouterProcess>>,
    hollow: Mutex<Vec<HollowProcess>>,
}

fn voter_name(id: u32) -> String {
    format!("voter-{id}")
}

fn real_name(router: u32) -> String {
    format!("real-{router}")
}

impl Rig {
    /// Opens what surrounds the processes and starts none. Errors: a port or a folder cannot be had.
    pub(super) async fn open(
        flags: ScaleFlags,
        starting: Starting,
        stores: PathBuf,
    ) -> Result<Arc<Rig>, ScaleError> {
        std::fs::create_dir_all(&stores).map_err(|source| ScaleError::CreateStores {
            directory: stores.clone(),
            source,
        })?;
        let port = ScaleError::Listen;
        let drift = 0.01;
        let held = (flags.lease.as_micros() as f64 * (1.0 - drift)) as crate::Micros;
        let tap = Tap::new(held, flags.hosts > 0);
        let zones = flags.clone();
        let list = ListSource::new(flags.hosts, |host| zones.zone(host));
        let list_at = list.open().await.map_err(port)?;
        let peers = Peers::new(Instant::now(), 0);
        // Own lists of real routers say nothing: hosts come from the voters.
        let peer_addresses = peers.open(0).await.map_err(port)?;
        let mut voters_at = Vec::new();
        for id in 1..=flags.voters {
            voters_at.push(tap.open(id).await.map_err(port)?);
        }
        let processes = ProcessTable::default();
        processes.add("harness", Some(std::process::id()), ProcessKind::Harness);
        let around = RouterPeers {
            list: peer_addresses.silent_list,
            release_controller: peer_addresses.release_controller,
        };
        let rig = Rig {
            flags,
            tap,
            list,
            processes,
            voters_at,
            starting,
            stores,
            list_at,
            around,
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
            nodes: self.voters_at.clone(),
            fleet_size: self.flags.routers,
            tenants: self.flags.tenants,
            replicated_list: self.with_list(),
            seed: self.flags.seed,
        }
    }

    /// Starts all processes, each router as started at the beginning. Errors: which does not start, and why.
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

    /// Errors: it does not start.
    pub(super) async fn start_voter(&self, id: u32) -> Result<(), RunError> {
        let name = voter_name(id);
        let election_timeout = self.flags.lease / ELECTION_TIMEOUTS_IN_LEASE;
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
                (election_timeout / HEARTBEATS_IN_ELECTION_TIMEOUT).as_micros()
            ),
            format!("--lease={}us", self.flags.lease.as_micros()),
        ];
        let members = self.voters_at.iter().zip(1..);
        flags.extend(members.map(|(address, member)| format!("--member={member}={address}")));
        if self.with_list() {
            flags.push(format!("--list={}", self.list_at));
        }
        let starting = Starting {
            first: vec!["keeper".into()],
            ..self.starting.clone()
        };
        let process = RouterProcess::start(&starting, &flags, &name).await;
        let process = process.map_err(|source| RunError::Start {
            name: name.clone(),
            source,
        })?;
        self.processes
            .add(&name, process.pid(), ProcessKind::Voter(id));
        self.tap.target(id, Some(process.address));
        self.voters.lock().await.insert(id, process);
        Ok(())
    }

    /// As by `kill -9`.
    pub(super) async fn kill_voter(&self, id: u32) {
        self.processes.remove(&voter_name(id));
        self.tap.target(id, None);
        let process = self.voters.lock().await.remove(&id);
        if let Some(mut process) = process {
            process.kill().await;
        }
    }

    async fn start_real(&self, router: u32) -> Result<(), RunError> {
        let name = real_name(router);
        let settings = self.settings();
        let mut flags = settings.flags(router, self.flags.zone(router), self.around);
        flags.extend(settings.customer_flags());
        let starting = Starting {
            first: vec!["router".into()],
            ..self.starting.clone()
        };
        self.tap.record().started(self.tap.now(), router);
        let process = RouterProcess::start(&starting, &flags, &name).await;
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
        self.note_started(&routers);
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
        let read = timeout(HOLLOW_STARTS_WITHIN, output.read_line(&mut line)).await;
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

    /// The command of a process of so many hollow routers.
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
        let nodes = settings.nodes.iter();
        command.args(nodes.map(|node| format!("--control-plane={node}")));
        if settings.replicated_list {
            command.arg("--replicated-list");
        }
        // No variable of the caller's is taken for a flag.
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

    fn note_started(&self, routers: &BTreeSet<u32>) {
        let now = self.tap.now();
        let mut record = self.tap.record();
        routers
            .iter()
            .for_each(|router| record.started(now, *router));
    }

    /// These routers end at once, real ones as by `kill -9`. Errors: a hollow process has ended.
    pub(super) async fn leave(&self, routers: &BTreeSet<u32>) -> Result<(), RunError> {
        {
            let now = self.tap.now();
            let mut record = self.tap.record();
            routers
                .iter()
                .for_each(|router| record.propagation.left(now, *router));
        }
        self.tell_hollow(routers, HollowCommand::Leave).await?;
        for router in routers.range(..self.flags.real) {
            self.processes.remove(&real_name(*router));
            let process = self.real.lock().await.remove(router);
            if let Some(mut process) = process {
                process.kill().await;
            }
        }
        Ok(())
    }

    /// These routers start, all at once. Errors: which does not start, and why.
    pub(super) async fn come_back(&self, routers: &BTreeSet<u32>) -> Result<(), RunError> {
        {
            let now = self.tap.now();
            let mut record = self.tap.record();
            for router in routers {
                record.propagation.returned(now, *router);
                record.started(now, *router);
            }
        }
        self.tell_hollow(routers, HollowCommand::Return).await?;
        let real = routers
            .range(..self.flags.real)
            .map(|router| self.start_real(*router));
        join_all(real).await.into_iter().collect()
    }

    async fn tell_hollow(
        &self,
        routers: &BTreeSet<u32>,
        command: impl Fn(BTreeSet<u32>) -> HollowCommand,
    ) -> Result<(), RunError> {
        for process in self.hollow.lock().await.iter_mut() {
            let own: BTreeSet<u32> = process.routers.intersection(routers).copied().collect();
            if !own.is_empty() {
                process.tell(&command(own)).await?;
            }
        }
        Ok(())
    }

    /// Stops the last process of hollow routers as by SIGSTOP, or lets it go on. Answers its routers.
    pub(super) async fn stall(&self, stopped: bool) -> BTreeSet<u32> {
        let hollow = self.hollow.lock().await;
        let Some(process) = hollow.last() else {
            return BTreeSet::new();
        };
        let signal = if stopped {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        };
        if let Some(pid) = process.child.id().and_then(|pid| i32::try_from(pid).ok()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
        process.routers.clone()
    }

    /// Ends all processes, and takes away what they wrote. None is left when this returns.
    pub(super) async fn end(&self) {
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
