//! Listens for clients and accepts their connections. This runs in a task of its own, so that it and the engine's task
//! do not wait for each other.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spokeflow_runtime::Clock;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;
use tracing::warn;

use crate::client_connection::ClientConnection;
use crate::error::ServeError;
use crate::event::EngineEvent;
use crate::RouterFlags;

/// Delay after a failed accept. The usual cause is a lack of file descriptors, with which an immediate retry would fail
/// again in a busy loop.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The socket that clients connect to.
pub struct Listening {
    pub(crate) listener: TcpListener,
    address: SocketAddr,
}

impl Listening {
    /// Listens on the address of `--listen`.
    ///
    /// # Errors
    ///
    /// [`ServeError::Listen`]: the address cannot be listened on.
    pub async fn open(flags: &RouterFlags) -> Result<Self, ServeError> {
        let error = |source: io::Error| ServeError::Listen {
            address: flags.listen,
            source,
        };
        let listener = TcpListener::bind(flags.listen).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        Ok(Listening { listener, address })
    }

    /// Returns the address that is listened on, with the port that the system chose where the flag gives port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The task that accepts connections.
pub(crate) struct Acceptor {
    pub(crate) listener: TcpListener,
    /// One permit for each connection that may be open.
    pub(crate) permits: Arc<Semaphore>,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Maximum number of messages queued for one client.
    pub(crate) client_queue: usize,
    pub(crate) clock: Arc<Clock>,
    pub(crate) clients: TaskTracker,
}

impl Acceptor {
    pub(crate) async fn run(self) {
        let mut connection = 0;
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    warn!(%error, "client connection not accepted");
                    sleep(ACCEPT_RETRY).await;
                    continue;
                }
            };
            if self.start(connection + 1, stream, peer) {
                connection += 1;
            }
        }
    }

    /// Starts the task of a connection. Returns `false` if `--max-clients` connections are open already; the new one is
    /// closed unread then, so that no command is accepted from it.
    fn start(&self, connection: u64, stream: TcpStream, peer: SocketAddr) -> bool {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            if let Some(suppressed) = self.clock.allow_log_line() {
                warn!(%peer, suppressed, "client connection closed: --max-clients reached");
            }
            return false;
        };
        let client = ClientConnection {
            connection,
            peer,
            events: self.events.clone(),
            queue: self.client_queue,
            clock: self.clock.clone(),
            _permit: permit,
        };
        self.clients.spawn(client.run(stream));
        true
    }
}
