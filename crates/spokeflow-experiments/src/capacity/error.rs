//! Errors of the capacity commands. Each is printed as one line.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// An error in an input or output file: the file, the entry in it, and the problem with that entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityError {
    /// The input or output file.
    pub file: PathBuf,
    /// Path of the entry, such as `fleet.routers`; empty if the problem concerns the whole file.
    pub entry: String,
    /// Description of the problem, without line breaks.
    pub problem: String,
}

impl CapacityError {
    /// Creates an error; line breaks and repeated spaces in `problem` become single spaces.
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
/// Returns an error if the file is missing, unreadable or not UTF-8.
pub(super) fn read_text(file: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(file).map_err(|error| CapacityError::new(file, "", error))
}

/// Why a load measurement over sockets produced no records, or only some of them.
#[derive(Debug, Error)]
pub enum MeasureLoadError {
    /// A flag is 0, or `--hosts` is empty.
    #[error("--hosts, --rate, --seconds, --runs: expected at least 1 for each, got 0 or no value")]
    Flags,
    /// The testbed could not start, with its message.
    #[error("testbed did not start: {0}")]
    Testbed(String),
    /// The asynchronous runtime could not be started.
    #[error("asynchronous runtime did not start: {0}")]
    Runtime(#[source] io::Error),
    /// The records could not be written.
    #[error(transparent)]
    File(#[from] CapacityError),
    /// A run failed. The records measured before it are written.
    #[error("{failure}; the {records} records measured before it are in {}", file.display())]
    Incomplete {
        /// The run that failed.
        failure: RunFailure,
        /// Number of records written.
        records: usize,
        /// File that the records were written to.
        file: PathBuf,
    },
}

/// A run of the testbed that failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("testbed run with {hosts} hosts failed: {message}")]
pub struct RunFailure {
    /// Number of hosts of the run.
    pub hosts: u32,
    /// Error message of the testbed.
    pub message: String,
}
