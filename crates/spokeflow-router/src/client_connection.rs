//! One client's connection, from its opening message to its end.

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

/// A peer that has connected sends its opening message within this time.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// A peer that takes no byte for this time is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// What a closed peer had still sent is read for this long at most.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// First size of the buffers of a connection, in bytes each: most connections are idle.
const BUFFER_SIZE: usize = 512;

/// The task of one client.
pub(crate) struct ClientConnection {
    /// Number of the connection.
    pub(crate) connection: u64,
    pub(crate) peer: SocketAddr,
    pub(crate) events: mpsc::Sender<EngineEvent>,
    /// Messages that wait for the client at most.
    pub(crate) queue: usize,
    pub(crate) clock: Arc<Clock>,
    /// Held while the connection is open: so many are allowed.
    pub(crate) _permit: OwnedSemaphorePermit,
}

type Link = Framed<TcpStream, FrameCodec<FromClient, ToClient>>;

impl ClientConnection {
    pub(crate) async fn run(self, stream: TcpStream) {
        // Small frames that wait for one another would cost each command a round trip.
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
        if let Some(kept_back) = self.clock.allow_log_line() {
            info!(connection = self.connection, peer = %self.peer, kept_back, %error, "client refused");
        }
        // A peer that reads nothing would not read this either.
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
                    // Dropped by the engine's task: it has closed this client or is ending.
                    None => return self.write_last(link).await,
                },
            };
            if flow.is_break() {
                return Ok(());
            }
        }
    }

    /// Hands a message to the engine. `Break`: the engine's task is gone.
    async fn forward(&self, message: FromClient) -> Result<ControlFlow<()>, FrameError> {
        let conn = self.connection;
        let input = match message {
            FromClient::Command(command) => Input::Command { conn, command },
            FromClient::Abandon { id } => Input::Abandon { conn, id },
            FromClient::WrongAnswer { receipt } => Input::WrongAnswer { conn, receipt },
            FromClient::Hello(_) | FromClient::Gossip { .. } => return Err(FrameError::OutOfOrder),
        };
        // Waits where the engine is behind: that is what the client's socket then does too.
        Ok(match self.events.send(EngineEvent::Input(input)).await {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        })
    }

    /// Writes what is left once the engine's task has closed the client.
    async fn write_last(&self, link: &mut Link) -> Result<(), FrameError> {
        flush(link).await?;
        if self.clock.is_shutting_down() {
            Ok(())
        } else {
            Err(FrameError::TooSlow)
        }
    }
}

/// Writes an answer and all that wait behind it. `Break`: it was the last one.
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

/// Reads and drops what is still on its way in: closing over unread bytes would take back the last frames out as well.
async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
