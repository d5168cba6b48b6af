//! The persistence thread, which owns the store: it writes what the node task submits and reports what is on the disk.

use std::path::{Path, PathBuf};
use std::sync::mpsc as blocking;
use std::sync::Arc;

use spokeflow_raft::{NodeId, PersistRequest};
use tokio::sync::{mpsc, oneshot};

use crate::admission::StaleStoreError;
use crate::crash_point::{CrashInjector, CrashPoint};
use crate::node_event::NodeEvent;
use crate::store::ProcessStart;
use crate::Store;

/// Writes for one commit, together with the batches queued behind them.
#[derive(Default)]
struct WriteBatch {
    requests: Vec<PersistRequest>,
    starts: Vec<(NodeId, ProcessStart)>,
    /// Notified once the batch is on the disk.
    admissions: Vec<oneshot::Sender<Result<(), StaleStoreError>>>,
}

/// The node task's handle to the persistence thread; dropping it ends the thread.
pub(crate) struct Persistence {
    file: PathBuf,
    batches: blocking::Sender<WriteBatch>,
}

impl Persistence {
    /// Starts the thread, which reports to `events`.
    pub(crate) fn start(
        store: Store,
        events: mpsc::Sender<NodeEvent>,
        crash_injector: Arc<CrashInjector>,
    ) -> Self {
        // Unbounded, since the node task must not block on the disk. Each batch comes from one event of a bounded
        // queue, and all queued batches are written together in the next commit.
        let (batches, batch_queue) = blocking::channel();
        let file = store.file().to_path_buf();
        let writer = Writer {
            store,
            events,
            crash_injector,
        };
        std::thread::spawn(move || writer.run(batch_queue));
        Persistence { file, batches }
    }

    /// Returns the file of the store.
    pub(crate) fn file(&self) -> &Path {
        &self.file
    }

    /// Submits writes of the Raft state. A [`NodeEvent::Persisted`] follows once they are on the disk.
    pub(crate) fn write(&self, requests: Vec<PersistRequest>) {
        self.submit(WriteBatch {
            requests,
            ..WriteBatch::default()
        });
    }

    /// Submits the start of another node; `admission` is notified once it is on the disk.
    pub(crate) fn record_start(
        &self,
        id: NodeId,
        start: ProcessStart,
        admission: oneshot::Sender<Result<(), StaleStoreError>>,
    ) {
        self.submit(WriteBatch {
            requests: Vec::new(),
            starts: vec![(id, start)],
            admissions: vec![admission],
        });
    }

    fn submit(&self, batch: WriteBatch) {
        // The send fails only if the thread has ended, which it does after it has reported the reason.
        let _ = self.batches.send(batch);
    }
}

struct Writer {
    store: Store,
    events: mpsc::Sender<NodeEvent>,
    crash_injector: Arc<CrashInjector>,
}

impl Writer {
    /// Writes batches until the node task has ended or the disk fails.
    fn run(mut self, batch_queue: blocking::Receiver<WriteBatch>) {
        while let Ok(first) = batch_queue.recv() {
            let batch = merge_queued(first, &batch_queue);
            self.crash_injector.pass(CrashPoint::BeforeSync);
            if let Err(error) = self.store.write(&batch.requests, &batch.starts) {
                let _ = self.events.blocking_send(NodeEvent::PersistFailed(error));
                return;
            }
            self.crash_injector.pass(CrashPoint::AfterSync);
            for admission in batch.admissions {
                // The send fails if the peer has disconnected in the meantime.
                let _ = admission.send(Ok(()));
            }
            let Some(last) = batch.requests.last() else {
                continue;
            };
            let persisted = NodeEvent::Persisted {
                sequence: last.sequence,
            };
            if self.events.blocking_send(persisted).is_err() {
                return;
            }
        }
    }
}

/// Returns the batch together with all batches queued behind it.
fn merge_queued(mut batch: WriteBatch, batch_queue: &blocking::Receiver<WriteBatch>) -> WriteBatch {
    while let Ok(next) = batch_queue.try_recv() {
        batch.requests.extend(next.requests);
        batch.starts.extend(next.starts);
        batch.admissions.extend(next.admissions);
    }
    batch
}
