//! The host list as it was received last, in a file, for a start while the list cannot be reached.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList};
use thiserror::Error;
use tracing::warn;

/// The first bytes of the file: what it is, and the version of its form.
const FILE_MARK: &[u8; 8] = b"SPKFLST1";

/// The list, and the file that follows it.
pub(crate) struct CachedList {
    file: PathBuf,
    lines: BTreeMap<u32, EndpointRecord>,
    is_writing: Arc<AtomicBool>,
}

/// Why the file of an earlier process is not used.
#[derive(Debug, Error)]
pub(crate) enum CachedListError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error("not a cached list of this version")]
    OtherFile,
    #[error("the cached list is damaged")]
    Damaged,
}

impl CachedList {
    /// Nothing is read or written before the first update.
    pub(crate) fn new(file: PathBuf) -> Self {
        CachedList {
            file,
            lines: BTreeMap::new(),
            is_writing: Arc::default(),
        }
    }

    /// Follows a message of the list, and writes the file where lines have come.
    pub(crate) fn update(&mut self, message: &FromList) {
        let lines = match message {
            FromList::Complete {
                endpoints: lines, ..
            } => {
                self.lines.clear();
                lines
            }
            FromList::Changes {
                endpoints: lines, ..
            } => lines,
            _ => return,
        };
        for line in lines {
            if line.phase == EndpointPhase::Gone {
                self.lines.remove(&line.host);
            } else {
                self.lines.insert(line.host, line.clone());
            }
        }
        if !lines.is_empty() {
            self.write();
        }
    }

    /// Writes off the path of commands, one file at a time: what changes meanwhile is written with the next change.
    fn write(&self) {
        if self.is_writing.swap(true, Ordering::AcqRel) {
            return;
        }
        let file = self.file.clone();
        let lines: Vec<EndpointRecord> = self.lines.values().cloned().collect();
        let is_writing = self.is_writing.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(error) = write_file(&file, &lines) {
                warn!(file = %file.display(), %error, "host list cannot be cached");
            }
            is_writing.store(false, Ordering::Release);
        });
    }
}

fn write_file(file: &Path, lines: &[EndpointRecord]) -> io::Result<()> {
    let body = postcard::to_stdvec(lines).map_err(io::Error::other)?;
    let new_file = file.with_extension("new");
    let mut output = File::create(&new_file)?;
    output.write_all(FILE_MARK)?;
    output.write_all(&body)?;
    output.sync_all()?;
    // Whole or not at all: a crash in between leaves the old one.
    std::fs::rename(&new_file, file)
}

/// The list that an earlier process has left.
///
/// # Errors
///
/// The file cannot be read, is not such a file, or is damaged.
pub(crate) fn read_cached_list(file: &Path) -> Result<Vec<EndpointRecord>, CachedListError> {
    let bytes = std::fs::read(file)?;
    let body = bytes
        .strip_prefix(FILE_MARK)
        .ok_or(CachedListError::OtherFile)?;
    match postcard::take_from_bytes::<Vec<EndpointRecord>>(body) {
        Ok((lines, [])) => Ok(lines),
        _ => Err(CachedListError::Damaged),
    }
}
