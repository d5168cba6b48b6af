//! What the acceptor and the tasks of client connections share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use spokeflow_runtime::Clock;
use tokio::sync::{mpsc, watch};

use crate::event::EngineEvent;
use crate::request_schema::RequestSchema;

/// What the acceptor and the clients know without the engine.
pub(crate) struct ListenerContext {
    pub(crate) schema: RequestSchema,
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Whether commands can be served: a host is known.
    pub(crate) ready: AtomicBool,
    /// Set from the moment on from which idle connections are closed for good.
    pub(crate) closing: watch::Receiver<bool>,
}

impl ListenerContext {
    /// What the health check answers.
    pub(crate) fn is_up(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.clock.is_shutting_down()
    }
}
