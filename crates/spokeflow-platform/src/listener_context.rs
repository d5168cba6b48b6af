//! State that the acceptor and the tasks of client connections share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use spokeflow_runtime::Clock;
use tokio::sync::{mpsc, watch};

use crate::event::EngineEvent;
use crate::request_schema::RequestSchema;

/// State that the acceptor and the tasks of client connections use without the engine.
pub(crate) struct ListenerContext {
    pub(crate) schema: RequestSchema,
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Whether commands can be served, which is so once a host is known.
    pub(crate) ready: AtomicBool,
    /// Becomes `true` when the shutdown begins to close idle connections.
    pub(crate) closing: watch::Receiver<bool>,
}

impl ListenerContext {
    /// Whether the health check answers that the router is up.
    pub(crate) fn is_up(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.clock.is_shutting_down()
    }
}
