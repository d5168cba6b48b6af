//! Real processes of routers and nodes: started, killed, paused and terminated.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

pub use crate::router_flags::flags;

/// Within which a process prints where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// What a process prints before its address.
const LISTENING_PREFIX: &str = "listening on ";
/// Variables that would change the flags of a process.
const VARIABLE_PREFIX: &str = "SPOKEFLOW_";
/// The kernel counts processor time in hundredths of a second on every platform that this runs on.
const CLOCK_TICK_MS: u64 = 10;

/// Why a process does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its log cannot be opened.
    #[error("--logs {}: {source}", directory.display())]
    OpenLog {
        /// The directory of the logs.
        directory: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The program cannot be run.
    #[error("{}: {source}", program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// Its standard output is not there to be read.
    #[error("no output")]
    NoOutput,
    /// It did not print its address in time.
    #[error("{name} did not print where it listens: '{line}'")]
    NoAddress {
        /// Name of the process.
        name: String,
        /// What it printed instead.
        line: String,
    },
}

/// Why a process did not end well.
#[derive(Debug, thiserror::Error)]
pub enum EndError {
    /// It ended with a failure.
    #[error("ended with {0}")]
    Failed(ExitStatus),
    /// It cannot be waited for.
    #[error("cannot be waited for: {0}")]
    Wait(#[source] std::io::Error),
    /// It was killed after the time that it had.
    #[error("did not end in time")]
    TimedOut,
}

/// How processes are started: the program, with arguments that come first, and where logs go.
#[derive(Clone, Debug)]
pub struct Starting {
    /// The program.
    pub program: PathBuf,
    /// Its first arguments, such as a subcommand.
    pub first: Vec<String>,
    /// Directory of the logs, of which there are none without it.
    pub logs: Option<PathBuf>,
    /// Which lines are logged, as the flag `--log` takes them.
    pub log: String,
}

impl Starting {
    /// This program itself, whose hidden subcommand is the router: a build of the testbed alone has both.
    ///
    /// # Errors
    ///
    /// The system does not tell the path of this program.
    pub fn own() -> std::io::Result<Starting> {
        let program = std::env::current_exe()?;
        Ok(Starting {
            program,
            first: vec!["router".into()],
            logs: None,
            log: "info".into(),
        })
    }

    /// The standard error output of a process.
    pub(crate) fn log_output(&self, name: &str) -> Result<Stdio, StartError> {
        let Some(directory) = &self.logs else {
            return Ok(Stdio::null());
        };
        std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(directory.join(format!("{name}.log")))
            .map(Stdio::from)
            .map_err(|source| StartError::OpenLog {
                directory: directory.clone(),
                source,
            })
    }
}

/// A running process that listens at an address. It is killed when dropped.
pub(crate) struct RouterProcess {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl RouterProcess {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    ///
    /// It does not start, or does not print where it listens.
    pub(crate) async fn start(
        starting: &Starting,
        flags: &[String],
        name: &str,
    ) -> Result<RouterProcess, StartError> {
        let mut flags = flags.to_vec();
        flags.push(format!("--log={}", starting.log));
        RouterProcess::start_with(starting, &flags, name).await
    }

    /// Starts a program that listens as a router does and takes no flag of the log.
    ///
    /// # Errors
    ///
    /// It does not start, or does not print where it listens.
    pub(crate) async fn start_plain(
        starting: &Starting,
        flags: &[String],
    ) -> Result<RouterProcess, StartError> {
        RouterProcess::start_with(starting, flags, "plain").await
    }

    async fn start_with(
        starting: &Starting,
        flags: &[String],
        name: &str,
    ) -> Result<RouterProcess, StartError> {
        let mut command = Command::new(&starting.program);
        // No variable of the caller's is taken for a flag.
        for (variable, _) in std::env::vars() {
            if variable.starts_with(VARIABLE_PREFIX) {
                command.env_remove(variable);
            }
        }
        command
            .args(&starting.first)
            .args(flags)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(starting.log_output(name)?)
            .kill_on_drop(true);
        let spawned = command.spawn();
        let mut child = spawned.map_err(|source| StartError::Spawn {
            program: starting.program.clone(),
            source,
        })?;
        let output = child.stdout.take().ok_or(StartError::NoOutput)?;
        let address = read_address(output, name).await?;
        Ok(RouterProcess { child, address })
    }

    /// `None` once it has ended and that has been noticed.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills it, as by SIGKILL.
    pub(crate) async fn kill(&mut self) {
        // One that has ended needs no kill.
        let _ = self.child.kill().await;
    }

    /// Stops it, as by SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues it, as by SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id() {
            // It may have ended meanwhile.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Whether it has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends it, as by SIGTERM, and kills it where it does not end in time.
    ///
    /// # Errors
    ///
    /// It ended with a failure, or not in time.
    pub(crate) async fn terminate(&mut self, within: Duration) -> Result<(), EndError> {
        self.signal(Signal::SIGTERM);
        match timeout(within, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(EndError::Failed(status)),
            Ok(Err(error)) => Err(EndError::Wait(error)),
            Err(_) => {
                self.kill().await;
                Err(EndError::TimedOut)
            }
        }
    }

    /// Processor time used so far, where the system tells.
    pub(crate) fn processor_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()?)).ok()?;
        // Behind the name in brackets, which may contain anything: user time is the 12th field, system time the 13th.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user_ticks: u64 = fields.get(11)?.parse().ok()?;
        let system_ticks: u64 = fields.get(12)?.parse().ok()?;
        Some(Duration::from_millis(
            (user_ticks + system_ticks) * CLOCK_TICK_MS,
        ))
    }

    /// Resident memory in KiB, where the system tells.
    pub(crate) fn resident_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        status.lines().find_map(|line| {
            let size = line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?;
            size.trim().parse().ok()
        })
    }
}

async fn read_address(output: ChildStdout, name: &str) -> Result<SocketAddr, StartError> {
    let mut line = String::new();
    let mut output = BufReader::new(output);
    let read = timeout(START_TIMEOUT, output.read_line(&mut line)).await;
    let line = line.trim();
    let address = line
        .strip_prefix(LISTENING_PREFIX)
        .and_then(|address| address.parse().ok());
    match (read, address) {
        (Ok(Ok(_)), Some(address)) => Ok(address),
        _ => Err(StartError::NoAddress {
            name: name.to_string(),
            line: line.to_string(),
        }),
    }
}
