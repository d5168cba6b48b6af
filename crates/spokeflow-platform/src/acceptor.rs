//! Accepts connections of clients, and closes one without a pending command when the limit on connections is reached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;
use tracing::warn;

use crate::client_connection::ClientConnection;
use crate::connection_state::ConnectionState;
use crate::listener_context::ListenerContext;

/// Size of the socket's receive buffer, in bytes: holds what a client sends faster than it is read.
const RECEIVE_BUFFER_SIZE: u32 = 64 << 10;
/// Maximum number of connections that the operating system holds until they are accepted.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept. The process is most likely out of descriptors, and an immediate retry would fail again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Part of the connections that may be closing at a time to make room. Refusing a client takes up to 0.2 s, and the next
/// one must not wait for that.
const CLOSING_SHARE: usize = 8;
/// Delay after a connection was requested to close: its task has to be scheduled first.
const CLOSE_REQUEST_DELAY: Duration = Duration::from_millis(1);

/// The task that accepts connections.
pub(crate) struct Acceptor {
    pub(crate) listener: TcpListener,
    pub(crate) context: Arc<ListenerContext>,
    /// Maximum number of open connections. To accept one more, one without a pending command is closed.
    pub(crate) max_connections: usize,
    pub(crate) clients: TaskTracker,
}

impl Acceptor {
    pub(crate) async fn run(self) {
        let mut states: Vec<Arc<ConnectionState>> = Vec::new();
        let mut connection = 0;
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(%error, "client connection not accepted");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            self.free_capacity(&mut states).await;
            connection += 1;
            let state = Arc::new(ConnectionState::new(self.context.clock.now()));
            states.push(state.clone());
            let client = ClientConnection {
                connection,
                context: self.context.clone(),
                state,
            };
            self.clients.spawn(client.run(stream));
        }
    }

    /// Closes connections until one more may be opened.
    async fn free_capacity(&self, states: &mut Vec<Arc<ConnectionState>>) {
        while states.len() >= self.max_connections {
            states.retain(|state| Arc::strong_count(state) > 1);
            if states.len() >= self.max_connections {
                self.request_close(states);
                sleep(CLOSE_REQUEST_DELAY).await;
            }
        }
    }

    /// Requests one connection to close, unless enough are closing: the one of lowest
    /// [`ConnectionState::close_priority`]. That is the oldest of those that have sent nothing since they were accepted,
    /// or else the one idle longest, or else the one that has been sending an incomplete request longest.
    fn request_close(&self, states: &[Arc<ConnectionState>]) {
        let closing = states.iter().filter(|state| state.is_closing()).count();
        if closing > self.max_connections / CLOSING_SHARE {
            return;
        }
        let closable = states
            .iter()
            .filter_map(|state| Some((state.close_priority()?, state)));
        if let Some((_, state)) = closable.min_by_key(|(priority, _)| *priority) {
            state.request_close(&self.context.clock);
        }
    }
}

/// Opens the listener, with a small receive buffer so that clients that send at full speed are held back by TCP.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_SIZE)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
