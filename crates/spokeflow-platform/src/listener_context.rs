//! State that the acceptor and the tasks of client connections share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use spokeflow_runtime::Clock;
use tokio::sync::{mpsc, watch};

use crate::event::EngineEvent;
use crate::memory_pool::MemoryPool;
use crate::message_buffer::MessageMemory;
use crate::request_schema::RequestSchema;

/// State that the acceptor and the tasks of client connections use without the engine.
pub(crate) struct ListenerContext {
    pub(crate) schema: RequestSchema,
    pub(crate) clock: Arc<Clock>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Memory for the bodies of requests.
    pub(crate) requests: MessageMemory,
    /// Memory for enlarged read buffers of clients' connections.
    pub(crate) read_buffers: MemoryPool,
    /// Value of `Retry-After` for a request that finds no room, in seconds; `None` if the deployment names no times.
    pub(crate) retry_after: Option<f64>,
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
