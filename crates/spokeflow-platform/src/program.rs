use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use crate::{serve, start_log, Configuration, LogForm};

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
    pub log_form: LogForm,
}

impl PlatformProgram {
    /// The file, checked against what the variables say. Errors: one line that names the flag.
    pub fn configuration(&self) -> Result<Configuration, String> {
        let told = Configuration::read(&self.config).map_err(|what| format!("--config {what}"))?;
        if let Some(name) = self.name.as_ref().filter(|name| **name != told.name) {
            return Err(format!("--name {name}: the file says {}", told.name));
        }
        if let Some(listen) = self.listen.filter(|listen| *listen != told.listen) {
            return Err(format!("--listen {listen}: the file says {}", told.listen));
        }
        Ok(told)
    }
}

/// Exit code 0: ended as asked; 1: could not go on; 2: bad flags or a bad file.
pub fn main_with(program: PlatformProgram) -> ExitCode {
    let complain = |what: String, code| {
        eprintln!("spokeflow-router platform: {what}");
        ExitCode::from(code)
    };
    let told = match program.configuration() {
        Ok(told) => told,
        Err(what) => return complain(what, 2),
    };
    if let Err(what) = start_log(&program.log, program.log_form) {
        return complain(what, 2);
    }
    // One thread: the platform gives part of one core.
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return complain(format!("cannot start: {e}"), 1),
    };
    match runtime.block_on(serve(program, told)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => complain(what, 1),
    }
}
