//! The router on the platform as a program: its command line, its signals and its exit codes.

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

/// Exit code of a router that could not go on.
const FAILED: u8 = 1;
/// Exit code of flags or a file that do not fit.
const BAD_CONFIGURATION: u8 = 2;

/// The signals that the platform sends; one that comes before it is waited for is kept.
pub(crate) struct Signals {
    /// SIGHUP: read the configuration again.
    pub(crate) reload: Signal,
    /// SIGTERM: end.
    pub(crate) terminate: Signal,
}

impl Signals {
    /// # Errors
    ///
    /// The system does not let them be caught.
    fn register() -> io::Result<Signals> {
        Ok(Signals {
            reload: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }
}

/// Why flags and file are no configuration, in one line that names the flag.
#[derive(Debug, Error)]
pub(crate) enum FlagError {
    #[error("--config {}: {source}", .path.display())]
    Config {
        path: PathBuf,
        source: ConfigurationError,
    },
    #[error("--name {flag}: the file says {file}")]
    Name { flag: String, file: String },
    #[error("--listen {flag}: the file says {file}")]
    Listen { flag: SocketAddr, file: SocketAddr },
}

impl FlagError {
    /// Whether the file may be in the middle of being replaced.
    pub(crate) fn is_incomplete_file(&self) -> bool {
        matches!(self, FlagError::Config { source, .. } if source.is_incomplete_file())
    }
}

/// Why the program has failed.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
    #[error("signals: {0}")]
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

/// Runs the router on the platform: its configuration is in the variables `GW_*` and in the file that one of them
/// names. SIGHUP reads that file again, SIGTERM ends the router once all it has accepted is answered.
#[derive(Clone, Debug, Parser)]
#[command(name = "spokeflow-router platform", version)]
pub struct PlatformProgram {
    /// The configuration, as JSON
    #[arg(long, env = "GW_CONFIG")]
    pub config: PathBuf,
    /// This router's name; must be the file's
    #[arg(long, env = "GW_NAME")]
    pub name: Option<String>,
    /// Where clients connect; must be the file's
    #[arg(long, env = "GW_LISTEN")]
    pub listen: Option<SocketAddr>,
    /// Subtracted from the time that each client waits, for the way of the answer
    #[arg(long, env = "SPOKEFLOW_ANSWER_MARGIN", default_value = "30ms", value_parser = humantime::parse_duration)]
    pub answer_margin: Duration,
    /// What is logged to standard error: a level, or levels by target
    #[arg(long, env = "SPOKEFLOW_LOG", default_value = "info")]
    pub log: String,
    /// Form of the log lines
    #[arg(long, env = "SPOKEFLOW_LOG_FORM", value_enum, default_value = "text")]
    pub log_form: LogFormat,
}

impl PlatformProgram {
    /// Reads the file and checks it against the flags.
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

    /// The same at the start, where there is no earlier configuration to go on with: guards against a file that is
    /// being written just then.
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

/// Runs the router until SIGTERM. Exit code 0: ended by the signal; 1: could not go on; 2: bad flags or a bad file.
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
    // One thread: the platform gives part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProgramError::Runtime)?;
    runtime.block_on(async {
        // Before all else: one that came earlier would end the process, or be lost between the reading and this.
        let signals = Signals::register().map_err(ProgramError::Signals)?;
        let configuration = program.first_configuration().await?;
        init_logging(&program.log, program.log_form)?;
        serve(program, configuration, signals).await?;
        Ok(())
    })
}
