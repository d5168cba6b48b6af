//! The one-line errors of this module's commands.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// What is wrong with a file: the file, the entry in it, and the problem there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityError {
    /// The input or output file.
    pub file: PathBuf,
    /// Path of the entry, such as `fleet.routers`; empty where the whole file is meant.
    pub entry: String,
    /// What is wrong with it, in one line.
    pub problem: String,
}

impl CapacityError {
    /// Takes the problem as one line, whatever its text holds.
    pub fn new(file: &Path, entry: impl Into<String>, problem: impl fmt::Display) -> Self {
        let problem = problem
            .to_string()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ");
        CapacityError {
            file: file.to_path_buf(),
            entry: entry.into(),
            problem,
        }
    }
}

impl fmt::Display for CapacityError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.entry.as_str() {
            "" | "." => write!(formatter, "{}: {}", self.file.display(), self.problem),
            entry => write!(
                formatter,
                "{}: {entry}: {}",
                self.file.display(),
                self.problem
            ),
        }
    }
}

impl std::error::Error for CapacityError {}

/// Reads a file as text.
///
/// # Errors
/// The file is missing, unreadable or not text.
pub(super) fn read_text(file: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(file).map_err(|fault| CapacityError::new(file, "", fault))
}

/// Why a measurement over sockets gave no records, or not all.
#[derive(Debug, Error)]
pub enum MeasureLoadError {
    /// A flag is 0.
    #[error("--hosts, --rate, --seconds, --runs: at least 1")]
    Flags,
    /// The testbed could not begin, as it says.
    #[error("{0}")]
    Testbed(String),
    /// No runtime could be started.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The records cannot be written.
    #[error(transparent)]
    File(#[from] CapacityError),
    /// A run failed; what was measured before is written.
    #[error("{failure}; the {records} records before are in {}", file.display())]
    Incomplete {
        /// The run that failed.
        failure: RunFailure,
        /// Records written.
        records: usize,
        /// Where they are.
        file: PathBuf,
    },
}

/// A run of the testbed that failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("at {hosts} hosts: {message}")]
pub struct RunFailure {
    /// Hosts of the run.
    pub hosts: u32,
    /// As the testbed says.
    pub message: String,
}
