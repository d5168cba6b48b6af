//! Accepts connections of clients, and closes one where as many are open as may be.

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

/// Bytes that the system keeps for a client that sends faster than it is read.
const SYSTEM_QUEUE: u32 = 64 << 10;
/// Connections that the system keeps until they are accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept. Out of descriptors, most likely: trying at once again would only spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Delay after a connection was requested to close: its task has to be scheduled to do so.
const CLOSE_WAIT: Duration = Duration::from_millis(1);

/// The task that accepts connections.
pub(crate) struct Acceptor {
    pub(crate) listener: TcpListener,
    pub(crate) context: Arc<ListenerContext>,
    /// Connections at most; for one more, one that has no open command is closed.
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
                    warn!(%error, "cannot accept");
                    sleep(ACCEPT_RETRY).await;
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

    /// Returns once there is room for one more connection.
    async fn free_capacity(&self, states: &mut Vec<Arc<ConnectionState>>) {
        while states.len() >= self.max_connections {
            states.retain(|state| Arc::strong_count(state) > 1);
            if states.len() >= self.max_connections {
                request_close(states);
                sleep(CLOSE_WAIT).await;
            }
        }
    }
}

/// Requests one connection to close: the one that has longest sent nothing since it came, else the one longest idle.
fn request_close(states: &[Arc<ConnectionState>]) {
    let closable = states
        .iter()
        .filter_map(|state| Some((state.close_priority()?, state)));
    if let Some((_, state)) = closable.min_by_key(|(priority, _)| *priority) {
        state.close_requested.notify_one();
    }
}

/// Listens with little room for what is not read, so that what clients send at full speed waits with them.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(SYSTEM_QUEUE)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
