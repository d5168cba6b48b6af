//! A file that caches the host list as it was last received, for a start while the list cannot be reached.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use spokeflow_proto::{EndpointPhase, EndpointRecord, FromList};
use thiserror::Error;
use tracing::warn;

/// The first bytes of the file, which identify its type and the version of its format.
const FILE_MARK: &[u8; 8] = b"SPKFLST1";

/// The host list as it was last received, and the file that it is written to.
pub(crate) struct CachedList {
    file: PathBuf,
    endpoints: BTreeMap<u32, EndpointRecord>,
    is_writing: Arc<AtomicBool>,
}

/// Why the file of an earlier process cannot be used.
#[derive(Debug, Error)]
pub(crate) enum CachedListError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error(
        "not a cached host list of this version: must begin with SPKFLST1, got {length} bytes that begin with \
         '{beginning}'"
    )]
    OtherFile { length: usize, beginning: String },
    #[error("cached host list is damaged: its content cannot be decoded: {0}")]
    Damaged(#[source] postcard::Error),
    #[error("cached host list is damaged: {0} bytes follow its content")]
    TrailingBytes(usize),
}

impl CachedList {
    /// `file` is neither read nor written before the first update.
    pub(crate) fn new(file: PathBuf) -> Self {
        CachedList {
            file,
            endpoints: BTreeMap::new(),
            is_writing: Arc::default(),
        }
    }

    /// Applies a message from the list, and writes the file if the message holds endpoints.
    pub(crate) fn update(&mut self, message: &FromList) {
        let endpoints = match message {
            FromList::Complete { endpoints, .. } => {
                self.endpoints.clear();
                endpoints
            }
            FromList::Changes { endpoints, .. } => endpoints,
            _ => return,
        };
        for endpoint in endpoints {
            if endpoint.phase == EndpointPhase::Gone {
                self.endpoints.remove(&endpoint.host);
            } else {
                self.endpoints.insert(endpoint.host, endpoint.clone());
            }
        }
        if !endpoints.is_empty() {
            self.write();
        }
    }

    /// Writes the file on a blocking thread, so that no command waits for the disk. Only one write runs at a time; changes
    /// that arrive during a write are written with the next change.
    fn write(&self) {
        if self.is_writing.swap(true, Ordering::AcqRel) {
            return;
        }
        let file = self.file.clone();
        let endpoints: Vec<EndpointRecord> = self.endpoints.values().cloned().collect();
        let is_writing = self.is_writing.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(error) = write_file(&file, &endpoints) {
                warn!(file = %file.display(), %error, "host list cannot be cached");
            }
            is_writing.store(false, Ordering::Release);
        });
    }
}

fn write_file(file: &Path, endpoints: &[EndpointRecord]) -> io::Result<()> {
    let body = postcard::to_stdvec(endpoints).map_err(io::Error::other)?;
    let new_file = file.with_extension("new");
    let mut output = File::create(&new_file)?;
    output.write_all(FILE_MARK)?;
    output.write_all(&body)?;
    output.sync_all()?;
    // The rename is atomic: a crash before it leaves the previous file intact.
    std::fs::rename(&new_file, file)
}

/// Reads the host list that an earlier process has cached.
///
/// # Errors
///
/// The file cannot be read, is not a cached host list of this version, or is damaged.
pub(crate) fn read_cached_list(file: &Path) -> Result<Vec<EndpointRecord>, CachedListError> {
    let bytes = std::fs::read(file)?;
    let body = bytes
        .strip_prefix(FILE_MARK)
        .ok_or_else(|| other_file(&bytes))?;
    match postcard::take_from_bytes::<Vec<EndpointRecord>>(body) {
        Ok((endpoints, [])) => Ok(endpoints),
        Ok((_, rest)) => Err(CachedListError::TrailingBytes(rest.len())),
        Err(error) => Err(CachedListError::Damaged(error)),
    }
}

fn other_file(bytes: &[u8]) -> CachedListError {
    let beginning = &bytes[..bytes.len().min(FILE_MARK.len())];
    CachedListError::OtherFile {
        length: bytes.len(),
        beginning: beginning.escape_ascii().to_string(),
    }
}
