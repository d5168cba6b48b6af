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

use super::flags::ScaleFlags;
use super::hollow::{HollowCommand, STARTED};
use super::list::ListSource;
use super::roster::{Kind, Roster};
use super::settings::{RouterSettings, Surroundings};
use super::tap::Tap;
use crate::fleet::peers::Peers;
use crate::routers::{RouterProcess, Starting};

/// A process of hollow routers says that they start within this time.
const HOLLOW_STARTS_WITHIN: Duration = Duration::from_secs(20);
/// Of the lease: an election takes two silences, and has to end well within a lease.
const SILENCES_IN_LEASE: u32 = 6;
const BEATS_IN_SILENCE: u32 = 5;

struct HollowProcess {
    name: String,
    child: Child,
    commands: ChildStdin,
    routers: BTreeSet<u32>,
}

impl HollowProcess {
    /// Errors: the process has ended.
    async fn tell(&mut self, command: &HollowCommand) -> Result<(), String> {
        let mut line = serde_json::to_string(command).map_err(|e| e.to_string())?;
        line.push('\n');
        self.commands
            .write_all(line.as_bytes())
            .await
            .map_err(|e| format!("{}: {e}", self.name))
    }
}

pub struct Rig {
    pub flags: ScaleFlags,
    pub tap: Arc<Tap>,
    pub list: Arc<ListSource>,
    pub roster: Roster,
    /// Addresses of the voters at the tap.
    pub voters_at: Vec<SocketAddr>,
    starting: Starting,
    stores: PathBuf,
    list_at: SocketAddr,
    around: Surroundings,
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
    pub async fn open(
        flags: ScaleFlags,
        starting: Starting,
        stores: PathBuf,
    ) -> Result<Arc<Rig>, String> {
        std::fs::create_dir_all(&stores).map_err(|e| format!("{}: {e}", stores.display()))?;
        let port = |e: std::io::Error| format!("no port on loopback: {e}");
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
        let roster = Roster::default();
        roster.add("harness", Some(std::process::id()), Kind::Harness);
        let around = Surroundings {
            list: peer_addresses.silent_list,
            desk: peer_addresses.release_controller,
        };
        let (voters, real, hollow) = Default::default();
        let rig = Rig {
            flags,
            tap,
            list,
            roster,
            voters_at,
            starting,
            stores,
            list_at,
            around,
            voters,
            real,
            hollow,
        };
        Ok(Arc::new(rig))
    }

    fn with_list(&self) -> bool {
        self.flags.hosts > 0
    }

    fn settings(&self) -> RouterSettings {
        RouterSettings {
            keepers: self.voters_at.clone(),
            fleet_size: self.flags.routers,
            tenants: self.flags.tenants,
            agreed_list: self.with_list(),
            seed: self.flags.seed,
        }
    }

    /// Starts all processes, each router as started at the beginning. Errors: which does not start, and why.
    pub async fn launch(&self) -> Result<(), String> {
        for id in 1..=self.flags.voters {
            self.start_voter(id).await?;
        }
        let real = (0..self.flags.real).map(|router| self.start_real(router));
        join_all(real)
            .await
            .into_iter()
            .collect::<Result<Vec<()>, String>>()?;
        let step = self.flags.hollow_per_process as usize;
        let firsts = (self.flags.real..self.flags.routers).step_by(step);
        let started = join_all(firsts.map(|first| self.start_hollow(first))).await;
        *self.hollow.lock().await = started.into_iter().collect::<Result<Vec<_>, String>>()?;
        Ok(())
    }

    /// Errors: it does not start.
    pub async fn start_voter(&self, id: u32) -> Result<(), String> {
        let name = voter_name(id);
        let silence = self.flags.lease / SILENCES_IN_LEASE;
        let mut flags = vec![
            format!("--id={id}"),
            "--listen=127.0.0.1:0".into(),
            format!(
                "--store={}",
                self.stores.join(format!("{name}.redb")).display()
            ),
            format!("--election-timeout={}us", silence.as_micros()),
            format!(
                "--heartbeat-interval={}us",
                (silence / BEATS_IN_SILENCE).as_micros()
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
        let process = process.map_err(|what| format!("{name} cannot be started: {what}"))?;
        self.roster.add(&name, process.pid(), Kind::Voter(id));
        self.tap.target(id, Some(process.address));
        self.voters.lock().await.insert(id, process);
        Ok(())
    }

    /// As by `kill -9`.
    pub async fn kill_voter(&self, id: u32) {
        self.roster.remove(&voter_name(id));
        self.tap.target(id, None);
        let process = self.voters.lock().await.remove(&id);
        if let Some(mut process) = process {
            process.kill().await;
        }
    }

    async fn start_real(&self, router: u32) -> Result<(), String> {
        let name = real_name(router);
        let settings = self.settings();
        let mut flags = settings.flags(router, self.flags.zone(router), self.around);
        flags.extend(settings.customer_flags());
        let starting = Starting {
            first: vec!["router".into()],
            ..self.starting.clone()
        };
        self.tap.seen().started(self.tap.now(), router);
        let process = RouterProcess::start(&starting, &flags, &name).await;
        let process = process.map_err(|what| format!("{name} cannot be started: {what}"))?;
        self.roster.add(&name, process.pid(), Kind::Real(router));
        self.real.lock().await.insert(router, process);
        Ok(())
    }

    /// Starts one process of hollow routers. Errors: it does not start.
    async fn start_hollow(&self, first: u32) -> Result<HollowProcess, String> {
        let name = format!("hollow-{first}");
        let fault = |what: String| format!("{name} cannot be started: {what}");
        let end = first
            .saturating_add(self.flags.hollow_per_process)
            .min(self.flags.routers);
        let settings = self.settings();
        let mut command = Command::new(&self.starting.program);
        command.args([
            "hollow",
            &format!("--first={first}"),
            &format!("--count={}", end - first),
        ]);
        command.arg(format!("--fleet-size={}", settings.fleet_size));
        command.arg(format!("--tenants={}", settings.tenants));
        command.arg(format!("--seed={}", settings.seed));
        command.arg(format!("--log={}", self.starting.log));
        command.args(
            settings
                .keepers
                .iter()
                .map(|keeper| format!("--control-plane={keeper}")),
        );
        if settings.agreed_list {
            command.arg("--replicated-list");
        }
        let variables = std::env::vars().filter(|(name, _)| name.starts_with("SPOKEFLOW_"));
        variables.for_each(|(name, _)| {
            command.env_remove(name);
        });
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(self.log_of(&name)?)
            .kill_on_drop(true);
        let routers: BTreeSet<u32> = (first..end).collect();
        self.note_started(&routers);
        let mut child = command.spawn().map_err(|e| fault(e.to_string()))?;
        let (Some(commands), Some(out)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(fault("it has no standard input or output".into()));
        };
        let mut line = String::new();
        let said = timeout(
            HOLLOW_STARTS_WITHIN,
            BufReader::new(out).read_line(&mut line),
        )
        .await;
        if !matches!(said, Ok(Ok(_))) || line.trim() != STARTED {
            return Err(fault(format!(
                "it did not say that its routers start, but '{}'",
                line.trim()
            )));
        }
        self.roster
            .add(&name, child.id(), Kind::Hollow(end - first));
        Ok(HollowProcess {
            name,
            child,
            commands,
            routers,
        })
    }

    fn log_of(&self, name: &str) -> Result<Stdio, String> {
        let Some(folder) = &self.starting.logs else {
            return Ok(Stdio::null());
        };
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")));
        file.map(Stdio::from)
            .map_err(|e| format!("--logs {}: {e}", folder.display()))
    }

    fn note_started(&self, routers: &BTreeSet<u32>) {
        let (now, mut seen) = (self.tap.now(), self.tap.seen());
        routers.iter().for_each(|router| seen.started(now, *router));
    }

    /// These routers end at once, real ones as by `kill -9`. Errors: a hollow process has ended.
    pub async fn leave(&self, routers: &BTreeSet<u32>) -> Result<(), String> {
        {
            let (now, mut seen) = (self.tap.now(), self.tap.seen());
            routers
                .iter()
                .for_each(|router| seen.propagation.left(now, *router));
        }
        self.tell_hollow(routers, HollowCommand::Leave).await?;
        for router in routers.range(..self.flags.real) {
            self.roster.remove(&real_name(*router));
            let process = self.real.lock().await.remove(router);
            if let Some(mut process) = process {
                process.kill().await;
            }
        }
        Ok(())
    }

    /// These routers start, all at once. Errors: which does not start, and why.
    pub async fn come_back(&self, routers: &BTreeSet<u32>) -> Result<(), String> {
        {
            let (now, mut seen) = (self.tap.now(), self.tap.seen());
            for router in routers {
                seen.propagation.returned(now, *router);
                seen.started(now, *router);
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
    ) -> Result<(), String> {
        for process in self.hollow.lock().await.iter_mut() {
            let own: BTreeSet<u32> = process.routers.intersection(routers).copied().collect();
            if !own.is_empty() {
                process.tell(&command(own)).await?;
            }
        }
        Ok(())
    }

    /// Stops the last process of hollow routers as by SIGSTOP, or lets it go on. Answers its routers.
    pub async fn stall(&self, stopped: bool) -> BTreeSet<u32> {
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
    pub async fn end(&self) {
        for process in self.hollow.lock().await.iter_mut() {
            self.roster.remove(&process.name);
            let _ = process.child.kill().await;
        }
        for (router, process) in self.real.lock().await.iter_mut() {
            self.roster.remove(&real_name(*router));
            process.kill().await;
        }
        for (id, process) in self.voters.lock().await.iter_mut() {
            self.roster.remove(&voter_name(*id));
            process.kill().await;
        }
        let _ = std::fs::remove_dir_all(&self.stores);
    }
}
