//! Records all inputs to the engine in a file, which a separate thread writes.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

use spokeflow_core::Micros;
use spokeflow_engine::{Input, Recording};
use tracing::warn;

use crate::error::ServeError;

/// Maximum number of entries waiting to be written. A busy disk may not respond for some seconds, so the queue holds
/// some seconds of traffic.
const ENTRY_QUEUE: usize = 1 << 16;

/// Records inputs in a file. If writing falls behind by more than the queue holds or fails, the recording ends and a
/// warning is logged.
pub(crate) struct Recorder {
    /// `None` once the recording has ended.
    entries: Option<SyncSender<Vec<u8>>>,
}

impl Recorder {
    /// Creates the file and starts the thread that writes it.
    ///
    /// # Errors
    ///
    /// The file cannot be created or written.
    pub(crate) fn open(file: &Path, seed: u64, now: Micros) -> Result<Self, ServeError> {
        let error = |source| ServeError::Record {
            file: file.to_path_buf(),
            source,
        };
        let mut output = BufWriter::new(File::create(file).map_err(error)?);
        output
            .write_all(&Recording::head(seed, now))
            .map_err(error)?;
        let (entries, queue) = sync_channel(ENTRY_QUEUE);
        thread::spawn(move || write_entries(output, queue));
        Ok(Recorder {
            entries: Some(entries),
        })
    }

    pub(crate) fn record(&mut self, now: Micros, input: &Input) {
        let Some(entries) = &self.entries else {
            return;
        };
        if entries.try_send(Recording::entry(now, input)).is_err() {
            warn!(
                "recording stopped: its writer has ended, or writes more slowly than inputs arrive"
            );
            self.entries = None;
        }
    }
}

fn write_entries(mut output: BufWriter<File>, queue: Receiver<Vec<u8>>) {
    for entry in queue {
        if let Err(error) = output.write_all(&entry) {
            warn!(%error, "recording stopped: its file cannot be written");
            return;
        }
    }
    let _ = output.flush();
}
