//! The thread that owns the store: writes what the node task orders and reports what is on the disk.

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

/// What is to be written, in one commit with all that waits behind it.
#[derive(Default)]
struct PersistOrder {
    requests: Vec<PersistRequest>,
    starts: Vec<(NodeId, ProcessStart)>,
    /// Notified once the order is on the disk.
    admissions: Vec<oneshot::Sender<Result<(), StaleStoreError>>>,
}

/// The node task's end of the thread; dropping it ends the thread.
pub(crate) struct Persistence {
    file: PathBuf,
    orders: blocking::Sender<PersistOrder>,
}

impl Persistence {
    /// Starts the thread, which reports to `events`.
    pub(crate) fn start(
        store: Store,
        events: mpsc::Sender<NodeEvent>,
        crash_injector: Arc<CrashInjector>,
    ) -> Self {
        // Unbounded, since the node task must not block on the disk. Each order comes from one event of a bounded
        // queue, and all that wait leave together with the next commit.
        let (orders, waiting) = blocking::channel();
        let file = store.file().to_path_buf();
        let writer = Writer {
            store,
            events,
            crash_injector,
        };
        std::thread::spawn(move || writer.run(waiting));
        Persistence { file, orders }
    }

    /// The file of the store.
    pub(crate) fn file(&self) -> &Path {
        &self.file
    }

    /// Orders writes of the log. A [`NodeEvent::Persisted`] follows.
    pub(crate) fn write(&self, requests: Vec<PersistRequest>) {
        self.order(PersistOrder {
            requests,
            ..PersistOrder::default()
        });
    }

    /// Orders that the start of another node is recorded, then notifies `admission`.
    pub(crate) fn record_start(
        &self,
        id: NodeId,
        start: ProcessStart,
        admission: oneshot::Sender<Result<(), StaleStoreError>>,
    ) {
        self.order(PersistOrder {
            requests: Vec::new(),
            starts: vec![(id, start)],
            admissions: vec![admission],
        });
    }

    fn order(&self, order: PersistOrder) {
        // The thread ends only after it has reported why.
        let _ = self.orders.send(order);
    }
}

struct Writer {
    store: Store,
    events: mpsc::Sender<NodeEvent>,
    crash_injector: Arc<CrashInjector>,
}

impl Writer {
    /// Writes until the node task is gone or the disk fails.
    fn run(mut self, orders: blocking::Receiver<PersistOrder>) {
        while let Ok(first) = orders.recv() {
            let order = with_waiting(first, &orders);
            self.crash_injector.pass(CrashPoint::BeforeSync);
            if let Err(error) = self.store.write(&order.requests, &order.starts) {
                let _ = self.events.blocking_send(NodeEvent::PersistFailed(error));
                return;
            }
            self.crash_injector.pass(CrashPoint::AfterSync);
            for admission in order.admissions {
                // A caller that has left meanwhile needs no answer.
                let _ = admission.send(Ok(()));
            }
            let Some(last) = order.requests.last() else {
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

/// The order together with all that wait behind it.
fn with_waiting(
    mut order: PersistOrder,
    orders: &blocking::Receiver<PersistOrder>,
) -> PersistOrder {
    while let Ok(more) = orders.try_recv() {
        order.requests.extend(more.requests);
        order.starts.extend(more.starts);
        order.admissions.extend(more.admissions);
    }
    order
}
