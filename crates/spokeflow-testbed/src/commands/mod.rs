//! The subcommands that have flags or set-up of their own.

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

/// The exit code of a subcommand that ran. The caller only prints the error.
pub(crate) type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// The file or directory that a flag names cannot be created or written.
#[derive(Debug, thiserror::Error)]
#[error("{flag} {}: {source}", path.display())]
struct PathError {
    flag: &'static str,
    path: PathBuf,
    source: std::io::Error,
}

/// The flags on the logs of the processes that a run starts.
#[derive(Args)]
pub(crate) struct LogFlags {
    /// Writes the logs of the processes to this directory
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Filter of the log lines of the processes, such as info or debug
    #[arg(long, default_value = "info")]
    log: String,
}

impl LogFlags {
    /// Returns how the processes of a run are started: from this program, with these logs. Creates the directory.
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

/// Builds a runtime with so many worker threads.
fn runtime(workers: usize) -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build()
}

/// Writes the entries of a trace to a file, one per line.
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

/// Returns success where no rule was violated.
fn exit_code(passed: bool) -> ExitCode {
    match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
