//! The task that serves one client's connection, from the opening message until the connection is closed.

use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_engine::Input;
use spokeflow_proto::{
    FrameCodec, FrameError, FromClient, Role, ToClient, HELLO_LIMIT, WORK_LIMIT,
};
use spokeflow_runtime::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tracing::{debug, info};

use crate::event::EngineEvent;

/// Time within which a connected peer must send its opening message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a peer must take what is written to it; otherwise its connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which bytes are still read, and discarded, before a connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Initial size of each buffer of a connection, in bytes. It is small because most connections are idle.
const BUFFER_SIZE: usize = 512;

/// The task that serves one client.
pub(crate) struct ClientConnection {
    /// Number of the connection.
    pub(crate) connection: u64,
    pub(crate) peer: SocketAddr,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Maximum number of messages queued for the client.
    pub(crate) queue: usize,
    pub(crate) clock: Arc<Clock>,
    /// Held while the connection is open, which limits the number of open connections.
    pub(crate) _permit: OwnedSemaphorePermit,
}

type Link = Framed<TcpStream, FrameCodec<FromClient, ToClient>>;

impl ClientConnection {
    pub(crate) async fn run(self, stream: TcpStream) {
        // With Nagle's algorithm small frames wait for acknowledgements, which costs each command a round trip.
        let _ = stream.set_nodelay(true);
        let mut link = Framed::with_capacity(stream, FrameCodec::new(HELLO_LIMIT), BUFFER_SIZE);
        match self.serve(&mut link).await {
            Ok(()) => debug!(connection = self.connection, "client closed"),
            Err(error) => self.refuse(&mut link, error).await,
        }
        let closed = EngineEvent::ClientDisconnected {
            connection: self.connection,
        };
        let _ = self.events.send(closed).await;
        let _ = timeout(DISCARD_TIMEOUT, discard(link.get_mut())).await;
    }

    async fn serve(&self, link: &mut Link) -> Result<(), FrameError> {
        self.open(link).await?;
        self.exchange(link).await
    }

    async fn refuse(&self, link: &mut Link, error: FrameError) {
        if let Some(suppressed) = self.clock.allow_log_line() {
            info!(connection = self.connection, peer = %self.peer, suppressed, %error, "client refused");
        }
        // A peer that is closed because it does not read would not read the refusal either.
        if !matches!(error, FrameError::TooSlow) {
            let refused = ToClient::Refused(error.refused());
            let _ = timeout(WRITE_TIMEOUT, link.send(refused)).await;
        }
    }

    /// Waits for the opening message and answers it.
    async fn open(&self, link: &mut Link) -> Result<(), FrameError> {
        let first = timeout(HELLO_TIMEOUT, link.next())
            .await
            .map_err(|_| FrameError::OutOfOrder)?;
        let first = first.ok_or(FrameError::Truncated { have: 0 })??;
        let FromClient::Hello(hello) = first else {
            return Err(FrameError::OutOfOrder);
        };
        hello.check(&[Role::Client])?;
        link.codec_mut().set_limit(WORK_LIMIT);
        link.send(ToClient::Welcome).await
    }

    /// Moves messages both ways until the connection ends.
    async fn exchange(&self, link: &mut Link) -> Result<(), FrameError> {
        let (messages, mut queue) = mpsc::channel(self.queue);
        let connected = EngineEvent::ClientConnected {
            connection: self.connection,
            messages,
        };
        if self.events.send(connected).await.is_err() {
            return Ok(());
        }
        loop {
            let flow = tokio::select! {
                read = link.next() => match read {
                    Some(message) => self.forward(message?).await?,
                    None => ControlFlow::Break(()),
                },
                answer = queue.recv() => match answer {
                    Some(answer) => write(link, answer, &mut queue).await?,
                    // The engine's task has dropped the sender: it has closed this client, or is ending.
                    None => return self.write_last(link).await,
                },
            };
            if flow.is_break() {
                return Ok(());
            }
        }
    }

    /// Passes a message to the engine. `Break`: the engine's task has ended.
    async fn forward(&self, message: FromClient) -> Result<ControlFlow<()>, FrameError> {
        let conn = self.connection;
        let input = match message {
            FromClient::Command(command) => Input::Command { conn, command },
            FromClient::Abandon { id } => Input::Abandon { conn, id },
            FromClient::WrongAnswer { receipt } => Input::WrongAnswer { conn, receipt },
            FromClient::Hello(_) | FromClient::Gossip { .. } => return Err(FrameError::OutOfOrder),
        };
        // Waits while the engine's queue is full, so that the client's socket fills up and the client has to wait too.
        Ok(match self.events.send(EngineEvent::Input(input)).await {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        })
    }

    /// Writes the buffered frames once the engine's task has dropped the client's queue.
    ///
    /// # Errors
    ///
    /// [`FrameError::TooSlow`]: the client was closed because it does not read, not because of a shutdown.
    async fn write_last(&self, link: &mut Link) -> Result<(), FrameError> {
        flush(link).await?;
        if self.clock.is_shutting_down() {
            Ok(())
        } else {
            Err(FrameError::TooSlow)
        }
    }
}

/// Writes `answer` and all answers queued after it. `Break`: `answer` was a refusal, after which the connection closes.
async fn write(
    link: &mut Link,
    answer: ToClient,
    queue: &mut mpsc::Receiver<ToClient>,
) -> Result<ControlFlow<()>, FrameError> {
    let is_last = matches!(answer, ToClient::Refused(_));
    link.feed(answer).await?;
    while let Ok(answer) = queue.try_recv() {
        link.feed(answer).await?;
    }
    flush(link).await?;
    Ok(match is_last {
        true => ControlFlow::Break(()),
        false => ControlFlow::Continue(()),
    })
}

async fn flush(link: &mut Link) -> Result<(), FrameError> {
    timeout(WRITE_TIMEOUT, link.flush())
        .await
        .map_err(|_| FrameError::TooSlow)?
}

/// Reads and discards what the peer still sends. Closing a socket with unread bytes resets the connection, and the peer
/// would lose the last frames written to it.
async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
