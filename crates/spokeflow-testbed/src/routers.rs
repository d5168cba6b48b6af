//! Real processes of routers and control-plane nodes: starts, kills, pauses and terminates them.

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

/// Time within which a process must print the address on which it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Text that a process prints before the address on which it listens.
const LISTENING_PREFIX: &str = "listening on ";
/// Prefix of the environment variables that set flags of a process.
const VARIABLE_PREFIX: &str = "SPOKEFLOW_";
/// The unit of processor time in `/proc`: a hundredth of a second on all supported platforms.
const CLOCK_TICK_MS: u64 = 10;

/// A process cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The log file of the process cannot be opened.
    #[error("--logs {}: cannot open the log file: {source}", directory.display())]
    OpenLog {
        /// Directory of the logs.
        directory: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The program cannot be executed.
    #[error("cannot run {}: {source}", program.display())]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The standard output of the process cannot be read.
    #[error("the standard output of the started process is not a pipe")]
    NoOutput,
    /// The process did not print the address on which it listens in time.
    #[error(
        "{name} did not print its address within {START_TIMEOUT:?}: expected '{LISTENING_PREFIX}ADDRESS', got '{line}'"
    )]
    NoAddress {
        /// Name of the process.
        name: String,
        /// The first line that it printed.
        line: String,
    },
}

/// A process that was told to terminate did not end with success.
#[derive(Debug, thiserror::Error)]
pub enum EndError {
    /// The process ended with a failure.
    #[error("ended with {0} after SIGTERM")]
    Failed(ExitStatus),
    /// Waiting for the end of the process failed.
    #[error("cannot wait for the end of the process: {0}")]
    Wait(#[source] std::io::Error),
    /// The process did not end in time and was killed.
    #[error("did not end in time after SIGTERM and was killed")]
    TimedOut,
}

/// How processes are started: the program, its first arguments and its logs.
#[derive(Clone, Debug)]
pub struct Starting {
    /// Path of the program.
    pub program: PathBuf,
    /// The arguments before the flags, such as a subcommand.
    pub first: Vec<String>,
    /// Directory of the logs, or `None` to discard them.
    pub logs: Option<PathBuf>,
    /// Value of the flag `--log`, which selects the lines that are logged.
    pub log: String,
}

impl Starting {
    /// Returns how this program starts itself as a router, by its hidden subcommand: a build of the testbed needs no other
    /// program.
    ///
    /// # Errors
    ///
    /// The path of this program cannot be determined.
    pub fn own() -> std::io::Result<Starting> {
        let program = std::env::current_exe()?;
        Ok(Starting {
            program,
            first: vec!["router".into()],
            logs: None,
            log: "info".into(),
        })
    }

    /// Opens the destination of a process's standard error output.
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

/// A running process that listens on an address. It is killed when this is dropped.
pub(crate) struct ChildProcess {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl ChildProcess {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    ///
    /// The process does not start, or does not print the address on which it listens.
    pub(crate) async fn start(
        starting: &Starting,
        flags: &[String],
        name: &str,
    ) -> Result<ChildProcess, StartError> {
        let mut flags = flags.to_vec();
        flags.push(format!("--log={}", starting.log));
        ChildProcess::start_with(starting, &flags, name).await
    }

    /// Starts a process that prints its address as a router does, but has no flag `--log`.
    ///
    /// # Errors
    ///
    /// The process does not start, or does not print the address on which it listens.
    pub(crate) async fn start_without_log(
        starting: &Starting,
        flags: &[String],
    ) -> Result<ChildProcess, StartError> {
        ChildProcess::start_with(starting, flags, "plain").await
    }

    async fn start_with(
        starting: &Starting,
        flags: &[String],
        name: &str,
    ) -> Result<ChildProcess, StartError> {
        let mut command = Command::new(&starting.program);
        // The process must not read its flags from the variables of this process.
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
        Ok(ChildProcess { child, address })
    }

    /// Returns the process id, or `None` once the process has ended and was waited for.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process by SIGKILL and waits for its end.
    pub(crate) async fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill().await;
    }

    /// Pauses the process by SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process by SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id() {
            // The process may have ended meanwhile.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends the process by SIGTERM, and kills it where it does not end within a time-out.
    ///
    /// # Errors
    ///
    /// The process ended with a failure, or not in time.
    pub(crate) async fn terminate(&mut self, end_timeout: Duration) -> Result<(), EndError> {
        self.signal(Signal::SIGTERM);
        match timeout(end_timeout, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(EndError::Failed(status)),
            Ok(Err(error)) => Err(EndError::Wait(error)),
            Err(_) => {
                self.kill().await;
                Err(EndError::TimedOut)
            }
        }
    }

    /// Returns the processor time used so far, or `None` where `/proc` does not tell.
    pub(crate) fn processor_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()?)).ok()?;
        // The name in brackets may contain any character. After it, user time is the 12th field and system time the 13th.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user_ticks: u64 = fields.get(11)?.parse().ok()?;
        let system_ticks: u64 = fields.get(12)?.parse().ok()?;
        Some(Duration::from_millis(
            (user_ticks + system_ticks) * CLOCK_TICK_MS,
        ))
    }

    /// Returns the resident memory in KiB, or `None` where `/proc` does not tell.
    pub(crate) fn resident_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        status.lines().find_map(|line| {
            let size = line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?;
            size.trim().parse().ok()
        })
    }
}

/// Reads the line in which a process prints the address on which it listens.
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
