use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, Instant};

use crate::configuration::ConfigurationFault;
use crate::reload::{RETRY_INTERVAL, WRITE_TIMEOUT};
use crate::{serve, Configuration};
use spokeflow_runtime::{init_logging, LogFormat};

/// What the platform asks by signals; what comes before it is looked at is kept.
pub struct Signals {
    pub reload: Signal,
    pub terminate: Signal,
}

impl Signals {
    /// Errors: the system does not let them be heard.
    pub fn heard() -> Result<Signals, String> {
        let heard = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        Ok(Signals {
            reload: heard(SignalKind::hangup())?,
            terminate: heard(SignalKind::terminate())?,
        })
    }
}

/// Runs the router on the platform: what it is told stands in the variables `GW_*` and in the file that one of them
/// names. SIGHUP reads that file again, SIGTERM ends the router once all it has taken is answered.
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
    /// Kept back from each client's patience for the way of the answer
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
    /// The file, checked against what the variables say. Errors: one line that names the flag.
    pub fn configuration(&self) -> Result<Configuration, ConfigurationFault> {
        let named = |fault: ConfigurationFault| ConfigurationFault {
            what: format!("--config {}", fault.what),
            ..fault
        };
        let told = Configuration::read(&self.config).map_err(named)?;
        if let Some(name) = self.name.as_ref().filter(|name| **name != told.name) {
            return Err(format!("--name {name}: the file says {}", told.name).into());
        }
        if let Some(listen) = self.listen.filter(|listen| *listen != told.listen) {
            return Err(format!("--listen {listen}: the file says {}", told.listen).into());
        }
        Ok(told)
    }

    /// The same at the start, where there is none before it to go on with: guards against a file that is being
    /// written just then.
    async fn first_configuration(&self) -> Result<Configuration, ConfigurationFault> {
        let begun = Instant::now();
        loop {
            match self.configuration() {
                Err(fault) if fault.torn && begun.elapsed() < WRITE_TIMEOUT => {
                    sleep(RETRY_INTERVAL).await
                }
                told => return told,
            }
        }
    }
}

/// Exit code 0: ended as asked; 1: could not go on; 2: bad flags or a bad file.
pub fn main_with(program: PlatformProgram) -> ExitCode {
    let complain = |what: String, code| {
        eprintln!("spokeflow-router platform: {what}");
        ExitCode::from(code)
    };
    // One thread: the platform gives part of one core.
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => return complain(format!("cannot start: {e}"), 1),
    };
    let ended = runtime.block_on(async {
        // Before all else: one that came earlier would end the process, or be lost between the reading and this.
        let signals = Signals::heard().map_err(|what| (what, 1))?;
        let told = program
            .first_configuration()
            .await
            .map_err(|fault| (fault.what, 2))?;
        init_logging(&program.log, program.log_form).map_err(|e| (e.to_string(), 2))?;
        serve(program, told, signals)
            .await
            .map_err(|what| (what, 1))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err((what, code)) => complain(what, code),
    }
}
