//! Connections that clients make to the router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_engine::Input;
use spokeflow_proto::{
    FrameCodec, FrameError, FromClient, Role, ToClient, HELLO_LIMIT, WORK_LIMIT,
};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tracing::{debug, info};

use spokeflow_runtime::Clock;

use crate::event::EngineEvent;

/// A peer that has connected says who it is within this time.
const HELLO_WAIT: Duration = Duration::from_secs(5);
/// A peer that takes no byte for this time is closed.
const STALL: Duration = Duration::from_secs(5);
/// Bytes kept ready for each direction of an idle connection.
const IDLE_ROOM: usize = 512;

pub struct Client {
    pub conn: u64,
    pub peer: SocketAddr,
    pub core: mpsc::Sender<EngineEvent>,
    pub queue: usize,
    pub clock: Arc<Clock>,
    /// Held while the connection stands: so many are allowed.
    pub _place: OwnedSemaphorePermit,
}

type Link = Framed<TcpStream, FrameCodec<FromClient, ToClient>>;

impl Client {
    pub async fn run(self, stream: TcpStream) {
        // Small frames that wait for one another would cost each command a round trip.
        let _ = stream.set_nodelay(true);
        let mut link = Framed::with_capacity(stream, FrameCodec::new(HELLO_LIMIT), IDLE_ROOM);
        let fault = match self.opening(&mut link).await {
            Ok(()) => self.client(&mut link).await,
            Err(fault) => Err(fault),
        };
        match fault {
            Ok(()) => debug!(conn = self.conn, "client closed"),
            Err(fault) => {
                if let Some(kept_back) = self.clock.allow_log_line() {
                    info!(conn = self.conn, peer = %self.peer, kept_back, %fault, "client refused");
                }
                // A peer that reads nothing would not read this either.
                if !matches!(fault, FrameError::TooSlow) {
                    let refused = ToClient::Refused(fault.refused());
                    let _ = timeout(STALL, link.send(refused)).await;
                }
            }
        }
        let _ = self
            .core
            .send(EngineEvent::ClientDisconnected {
                connection: self.conn,
            })
            .await;
        // What is still on its way in is read and dropped: closing over unread bytes would take back the last
        // frames out as well.
        let stream = link.get_mut();
        let _ = timeout(Duration::from_millis(200), async {
            use tokio::io::{AsyncReadExt, AsyncWriteExt};
            stream.shutdown().await?;
            let mut rest = [0; 1024];
            while stream.read(&mut rest).await? > 0 {}
            std::io::Result::Ok(())
        })
        .await;
    }

    async fn opening(&self, link: &mut Link) -> Result<(), FrameError> {
        let first = timeout(HELLO_WAIT, link.next())
            .await
            .map_err(|_| FrameError::OutOfOrder)?;
        let Some(first) = first else {
            return Err(FrameError::Truncated { have: 0 });
        };
        let FromClient::Hello(hello) = first? else {
            return Err(FrameError::OutOfOrder);
        };
        hello.check(&[Role::Client])?;
        link.codec_mut().set_limit(WORK_LIMIT);
        link.send(ToClient::Welcome).await?;
        Ok(())
    }

    async fn client(&self, link: &mut Link) -> Result<(), FrameError> {
        let (answers, mut to_send) = mpsc::channel(self.queue);
        if self
            .core
            .send(EngineEvent::ClientConnected {
                connection: self.conn,
                messages: answers,
            })
            .await
            .is_err()
        {
            return Ok(());
        }
        loop {
            tokio::select! {
                read = link.next() => match read {
                    None => return Ok(()),
                    Some(message) => {
                        let conn = self.conn;
                        let input = match message? {
                            FromClient::Command(command) => Input::Command { conn, command },
                            FromClient::Abandon { id } => Input::Abandon { conn, id },
                            FromClient::WrongAnswer { receipt } => Input::WrongAnswer { conn, receipt },
                            FromClient::Hello(_) | FromClient::Gossip { .. } => return Err(FrameError::OutOfOrder),
                        };
                        // Waits where the engine is behind: that is what the client's socket then does too.
                        if self.core.send(EngineEvent::Input(input)).await.is_err() {
                            return Ok(());
                        }
                    }
                },
                answer = to_send.recv() => {
                    // Dropped by the engine's task: it has given this client up or is ending.
                    let Some(answer) = answer else { return self.last_words(link).await };
                    let last = matches!(answer, ToClient::Refused(_));
                    link.feed(answer).await?;
                    while let Ok(answer) = to_send.try_recv() {
                        link.feed(answer).await?;
                    }
                    timeout(STALL, link.flush()).await.map_err(|_| FrameError::TooSlow)??;
                    if last {
                        return Ok(());
                    }
                }
            }
        }
    }

    async fn last_words(&self, link: &mut Link) -> Result<(), FrameError> {
        timeout(STALL, link.flush())
            .await
            .map_err(|_| FrameError::TooSlow)??;
        if self.clock.is_shutting_down() {
            Ok(())
        } else {
            Err(FrameError::TooSlow)
        }
    }
}
