//! The one-line error of this module's commands.

use std::fmt;
use std::path::{Path, PathBuf};

/// What is wrong with an input file: the file, the entry in it, and what is problem there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityError {
    pub file: PathBuf,
    /// Path of the entry, such as `fleet.routers`; empty where the whole file is meant.
    pub entry: String,
    pub problem: String,
}

impl CapacityError {
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
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.entry.as_str() {
            "" | "." => write!(f, "{}: {}", self.file.display(), self.problem),
            entry => write!(f, "{}: {entry}: {}", self.file.display(), self.problem),
        }
    }
}

impl std::error::Error for CapacityError {}

/// Reads a file as text.
///
/// Errors: the file is missing, unreadable or not text.
pub(super) fn read_text(file: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(file).map_err(|fault| CapacityError::new(file, "", fault))
}
