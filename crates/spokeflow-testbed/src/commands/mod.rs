//! The subcommands that are more than a call.

pub(crate) mod commits;
pub(crate) mod day;
pub(crate) mod fleet;
pub(crate) mod pass;
pub(crate) mod scale;

use std::error::Error;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use spokeflow_testbed::routers::Starting;
use tokio::runtime::Runtime;

/// The exit code of a command that ran. An error is printed by the caller, which only its text concerns.
pub(crate) type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// A path of a flag that cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{flag} {}: {source}", path.display())]
struct PathError {
    flag: &'static str,
    path: PathBuf,
    source: std::io::Error,
}

/// Where the processes of a run log, and what.
#[derive(Args)]
pub(crate) struct LogFlags {
    /// Keeps the processes' logs in this directory
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Which lines they log
    #[arg(long, default_value = "info")]
    log: String,
}

impl LogFlags {
    /// How processes are started: from this program, with these logs.
    fn starting(&self) -> Result<Starting, Box<dyn Error>> {
        let mut starting = Starting::own()?;
        if let Some(directory) = &self.logs {
            std::fs::create_dir_all(directory).map_err(|source| PathError {
                flag: "--logs",
                path: directory.clone(),
                source,
            })?;
        }
        starting.logs.clone_from(&self.logs);
        starting.log.clone_from(&self.log);
        Ok(starting)
    }
}

fn runtime(workers: usize) -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
}

/// Writes a trace, one entry a line.
fn write_trace(path: &Path, lines: impl Iterator<Item = String>) -> Result<(), PathError> {
    let write = || {
        let mut file = BufWriter::new(std::fs::File::create(path)?);
        for line in lines {
            writeln!(file, "{line}")?;
        }
        file.flush()
    };
    write().map_err(|source| PathError {
        flag: "--trace",
        path: path.to_path_buf(),
        source,
    })
}

/// Success where all rules were kept.
fn exit_code(sound: bool) -> ExitCode {
    match sound {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
