//! The program that runs the router on the platform: its command line, its signals and its exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use spokeflow_runtime::{init_logging, LogFormat, LogSetupError};
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, Instant};

use crate::configuration::{Configuration, ConfigurationError};
use crate::reload::{RETRY_INTERVAL, WRITE_TIMEOUT};
use crate::serve::{serve, ServeError};

/// Exit code of a router that failed to start or to run.
const FAILED: u8 = 1;
/// Exit code if the flags or the configuration file are not valid.
const BAD_CONFIGURATION: u8 = 2;

/// The signals that the platform sends. A signal that arrives before it is awaited is not lost.
pub(crate) struct Signals {
    /// SIGHUP: reload the configuration.
    pub(crate) reload: Signal,
    /// SIGTERM: shut down.
    pub(crate) terminate: Signal,
}

impl Signals {
    /// Registers the handlers of the signals.
    ///
    /// # Errors
    ///
    /// The operating system does not accept a handler.
    fn register() -> io::Result<Signals> {
        Ok(Signals {
            reload: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }
}

/// The reason why the flags and the configuration file are not valid, in one line that names the flag.
#[derive(Debug, Error)]
pub(crate) enum FlagError {
    #[error("--config {}: {source}", .path.display())]
    Config {
        path: PathBuf,
        source: ConfigurationError,
    },
    #[error("--name {flag}: the configuration file has the name '{file}', expected the same")]
    Name { flag: String, file: String },
    #[error("--listen {flag}: the configuration file has the address {file}, expected the same")]
    Listen { flag: SocketAddr, file: SocketAddr },
}

impl FlagError {
    /// Whether the file is incomplete, as it may be while it is being replaced.
    pub(crate) fn is_incomplete_file(&self) -> bool {
        matches!(self, FlagError::Config { source, .. } if source.is_incomplete_file())
    }
}

/// The reason why the program has failed.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error("cannot register the handlers of SIGHUP and SIGTERM: {0}")]
    Signals(#[source] io::Error),
    #[error(transparent)]
    Flags(#[from] FlagError),
    #[error(transparent)]
    Logging(#[from] LogSetupError),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl ProgramError {
    fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ProgramError::Flags(_) | ProgramError::Logging(_) => BAD_CONFIGURATION,
            ProgramError::Runtime(_) | ProgramError::Signals(_) | ProgramError::Serve(_) => FAILED,
        })
    }
}

/// Runs the router on the platform. The variables `GW_*` and the file that `GW_CONFIG` names configure it. SIGHUP
/// reloads that file, SIGTERM ends the router once it has answered every request that it has accepted.
#[derive(Clone, Debug, Parser)]
#[command(name = "spokeflow-router platform", version)]
pub struct PlatformProgram {
    /// Path of the configuration file, in JSON
    #[arg(long, env = "GW_CONFIG")]
    pub config: PathBuf,
    /// Name of this router; must equal the name in the configuration file
    #[arg(long, env = "GW_NAME")]
    pub name: Option<String>,
    /// Address on which to listen for clients; must equal the address in the configuration file
    #[arg(long, env = "GW_LISTEN")]
    pub listen: Option<SocketAddr>,
    /// Time subtracted from each client's timeout, so that the answer arrives before the client gives up
    #[arg(long, env = "SPOKEFLOW_ANSWER_MARGIN", default_value = "30ms", value_parser = humantime::parse_duration)]
    pub answer_margin: Duration,
    /// Lines to log to standard error: a level, or levels by target
    #[arg(long, env = "SPOKEFLOW_LOG", default_value = "info")]
    pub log: String,
    /// Format of the log lines
    #[arg(long, env = "SPOKEFLOW_LOG_FORM", value_enum, default_value = "text")]
    pub log_form: LogFormat,
}

impl PlatformProgram {
    /// Reads the configuration file and checks it against the flags.
    pub(crate) fn configuration(&self) -> Result<Configuration, FlagError> {
        let file = Configuration::read(&self.config).map_err(|source| FlagError::Config {
            path: self.config.clone(),
            source,
        })?;
        if let Some(name) = self.name.as_ref().filter(|name| **name != file.name) {
            return Err(FlagError::Name {
                flag: name.clone(),
                file: file.name,
            });
        }
        if let Some(listen) = self.listen.filter(|listen| *listen != file.listen) {
            return Err(FlagError::Listen {
                flag: listen,
                file: file.listen,
            });
        }
        Ok(file)
    }

    /// Reads the configuration at the start, when there is no earlier one to keep. Retries for up to [`WRITE_TIMEOUT`]
    /// while the file is incomplete, since another process may be writing it.
    async fn first_configuration(&self) -> Result<Configuration, FlagError> {
        let started = Instant::now();
        loop {
            match self.configuration() {
                Err(error) if error.is_incomplete_file() && started.elapsed() < WRITE_TIMEOUT => {
                    sleep(RETRY_INTERVAL).await
                }
                result => return result,
            }
        }
    }
}

/// Runs the router until SIGTERM. Exit code 0: ended by the signal; 1: failed to start or to run; 2: invalid flags or
/// configuration file.
pub fn main_with(program: PlatformProgram) -> ExitCode {
    match run(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spokeflow-router platform: {error}");
            error.exit_code()
        }
    }
}

fn run(program: PlatformProgram) -> Result<(), ProgramError> {
    // One thread: the platform grants at most a part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProgramError::Runtime)?;
    runtime.block_on(async {
        // The handlers come first: without one, a signal would end the process, or a SIGHUP during the first read of
        // the file would be lost.
        let signals = Signals::register().map_err(ProgramError::Signals)?;
        let configuration = program.first_configuration().await?;
        init_logging(&program.log, program.log_form)?;
        serve(program, configuration, signals).await?;
        Ok(())
    })
}
