//! A client's connection: one request at a time, read whole, checked, and handed to the engine's task; what cannot be a
//! command is refused here and reaches nothing else.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use spokeflow_http::{write_response, HttpError, Request, Response, ServerCodec, HEAD_LIMIT};
use spokeflow_proto::{Command, ToClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout};
use tokio_util::codec::Decoder;
use tracing::{debug, info};

use crate::connection_state::{Activity, ConnectionState};
use crate::event::EngineEvent;
use crate::limits::BODY_LIMIT;
use crate::listener_context::ListenerContext;
use crate::request_schema::Checked;
use crate::request_wait::{RequestWait, Wake};
use crate::unread::{unread_state, UnreadState};

/// A client that has not taken its answer whole by then is closed. Guards the descriptors; no term names a time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// For so long what a refused client still sends is read and dropped, so that it gets to read why.
const LINGER: Duration = Duration::from_millis(100);
/// Reads of a lingering connection at most.
const LINGER_READS: usize = 32;
/// Bytes kept ready for each direction of a connection.
const BUFFER: usize = 2 << 10;
/// Bytes read ahead beside an open command: one more request.
const READ_AHEAD: usize = BODY_LIMIT + HEAD_LIMIT;

/// The task of one connection.
pub(crate) struct ClientConnection {
    /// Its number, never used twice by this process.
    pub(crate) connection: u64,
    pub(crate) context: Arc<ListenerContext>,
    pub(crate) state: Arc<ConnectionState>,
}

/// A connection's socket: what it sends is read here alone, so that nothing is dropped that has been read.
struct Link {
    stream: TcpStream,
    buffer: BytesMut,
    codec: ServerCodec,
}

/// What one reading has brought.
enum ReadOutcome {
    Request(Request),
    /// A part of one, or nothing but empty lines between requests.
    Part,
    End,
}

impl Link {
    /// Whether a request has begun and is not whole. Empty lines between two begin none (RFC 9112, 2.2).
    fn has_begun(&self) -> bool {
        self.codec.is_mid_message() || self.buffer.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// One more reading. Dropped half way it has read nothing.
    async fn read(&mut self) -> Result<ReadOutcome, HttpError> {
        if let Some(request) = self.codec.decode(&mut self.buffer)? {
            return Ok(ReadOutcome::Request(request));
        }
        self.buffer.reserve(BUFFER);
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            let last = self.codec.decode_eof(&mut self.buffer)?;
            return Ok(last.map_or(ReadOutcome::End, ReadOutcome::Request));
        }
        let request = self.codec.decode(&mut self.buffer)?;
        Ok(request.map_or(ReadOutcome::Part, ReadOutcome::Request))
    }

    /// Ends once the client has closed. What it sends meanwhile is kept for after the answer.
    async fn closed(&mut self) {
        while self.buffer.len() < READ_AHEAD {
            self.buffer.reserve(BUFFER);
            let read = self.stream.read_buf(&mut self.buffer).await;
            if !matches!(read, Ok(bytes) if bytes > 0) {
                return;
            }
        }
        // More than a request ahead is no usual client; the rest waits with it.
        std::future::pending().await
    }

    async fn send(&mut self, answer: &Response) -> Result<(), HttpError> {
        let mut bytes = BytesMut::new();
        write_response(answer, &mut bytes);
        timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes))
            .await
            .map_err(|_| HttpError::Truncated)??;
        Ok(())
    }

    /// Ends a connection whose client has had its answer. What comes now has crossed it and is not read: its client
    /// sees that and sends it again.
    async fn finish(&mut self) {
        let finishing = async {
            self.stream.shutdown().await?;
            self.stream.readable().await
        };
        let _ = timeout(LINGER, finishing).await;
    }

    /// Whether the client has sent more than what was read and decoded.
    fn has_more(&self) -> bool {
        self.has_begun() || unread_state(&self.stream) == UnreadState::Bytes
    }
}

impl ClientConnection {
    /// Serves the connection until it ends.
    pub(crate) async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link = Link {
            stream,
            buffer: BytesMut::with_capacity(BUFFER),
            codec: ServerCodec::new(BODY_LIMIT),
        };
        let mut is_known = false;
        if let Err(error) = self.serve(&mut link, &mut is_known).await {
            self.refuse(&mut link, error).await;
        }
        if is_known {
            let event = EngineEvent::ClientDisconnected(self.connection);
            let _ = self.context.events.send(event).await;
        }
    }

    async fn refuse(&self, link: &mut Link, error: HttpError) {
        if let Some(kept_back) = self.context.clock.allow_log_line() {
            info!(connection = self.connection, kept_back, %error, "client refused");
        }
        let Some(status) = error.status() else {
            return;
        };
        self.state.set(Activity::New, &self.context.clock);
        let refusal = Response {
            status,
            close: true,
            ..Response::default()
        };
        let _ = timeout(LINGER, link.send(&refusal)).await;
        linger(&mut link.stream).await;
    }

    /// The next request; `None` where the connection is to be closed between two, which it is only when nothing of
    /// the next one has come: that would be a request accepted and never answered.
    async fn next_request(
        &self,
        link: &mut Link,
        had_answer: bool,
    ) -> Result<Option<Request>, HttpError> {
        let mut wait = RequestWait::starting_now(had_answer);
        self.state.set(wait.activity(), &self.context.clock);
        loop {
            if !wait.has_begun && link.has_begun() {
                wait.begin();
                self.state.set(Activity::Receiving, &self.context.clock);
            }
            match self.wait(link, &mut wait).await? {
                Wake::Request(request) => return Ok(Some(request)),
                Wake::Again => continue,
                Wake::End => return Ok(None),
                Wake::Close => {}
            }
            if unread_state(&link.stream) != UnreadState::Bytes {
                return Ok(None);
            }
            // It has crossed the closing: the runtime has not learned of it yet.
            wait.cross_closing();
        }
    }

    /// Waits once for a part of a request, or for a reason to close the connection.
    async fn wait(&self, link: &mut Link, wait: &mut RequestWait) -> Result<Wake, HttpError> {
        let mut closing = self.context.closing.clone();
        tokio::select! {
            biased;
            read = link.read() => Ok(match read? {
                ReadOutcome::Request(request) => Wake::Request(request),
                ReadOutcome::Part => Wake::Again,
                ReadOutcome::End => Wake::End,
            }),
            _ = self.state.close_requested.notified() => {
                if link.has_begun() {
                    return Err(HttpError::Overloaded);
                }
                Ok(Wake::Close)
            }
            _ = async { closing.wait_for(|closing| *closing).await.is_ok() },
                if !wait.has_begun && !wait.saw_closing => Ok(wait.on_closing()),
            _ = sleep_until(wait.until) => {
                if link.has_begun() {
                    return Err(HttpError::Unreadable("it does not go on"));
                }
                Ok(Wake::Close)
            }
        }
    }

    /// Serves requests until the connection is to be closed. `is_known`: whether the engine knows this connection.
    async fn serve(&self, link: &mut Link, is_known: &mut bool) -> Result<(), HttpError> {
        let mut commands = 0;
        while let Some(request) = self.next_request(link, commands > 0).await? {
            let stays = request.keep_alive;
            let mut answer = match self.check(request) {
                Checked::Answer(answer) => answer,
                Checked::Command { id, mut command } => {
                    *is_known = true;
                    self.state.set(Activity::Serving, &self.context.clock);
                    commands += 1;
                    command.id = commands;
                    match self.execute(link, id, command).await {
                        Some(answer) => answer,
                        None => return Ok(()),
                    }
                }
            };
            // One that has already sent its next request gets an answer to that as well.
            let ends = self.context.clock.is_shutting_down() && !link.has_more();
            answer.close |= !stays || ends;
            link.send(&answer).await?;
            if answer.close {
                link.finish().await;
                return Ok(());
            }
        }
        Ok(())
    }

    fn check(&self, request: Request) -> Checked {
        if request.target.as_ref() == b"/up" {
            let status = if self.context.is_up() { 200 } else { 503 };
            return Checked::Answer(Response {
                status,
                ..Response::default()
            });
        }
        self.context.schema.check(request)
    }

    /// Hands a command to the engine's task and waits for its answer; `None` where the client or the engine has gone.
    async fn execute(
        &self,
        link: &mut Link,
        id: bytes::Bytes,
        command: Command,
    ) -> Option<Response> {
        let (answer, mut answered) = oneshot::channel();
        let event = EngineEvent::Command {
            connection: self.connection,
            id,
            command,
            answer,
        };
        self.context.events.send(event).await.ok()?;
        let message = tokio::select! {
            biased;
            message = &mut answered => message,
            // Whoever closes has gone away and waits for nothing.
            _ = link.closed() => return None,
        };
        Some(match message {
            Ok(message) => to_answer(message),
            Err(_) => Response {
                status: 500,
                ..Response::default()
            },
        })
    }
}

/// Reads and drops for a short time what a client still sends, so that the answer is not taken back by a reset.
async fn linger(stream: &mut TcpStream) {
    let lingering = async {
        stream.shutdown().await?;
        let mut rest = [0; 4096];
        for _ in 0..LINGER_READS {
            if stream.read(&mut rest).await? == 0 {
                break;
            }
        }
        std::io::Result::Ok(())
    };
    let _ = timeout(LINGER, lingering).await;
}

fn to_answer(message: ToClient) -> Response {
    match message {
        ToClient::Acked { body, .. } => Response {
            status: 200,
            body,
            ..Response::default()
        },
        ToClient::Nacked {
            retry_after_us: come_back_us,
            ..
        } => Response {
            status: 503,
            retry_after: come_back_us.map(|us| us as f64 / 1e6),
            ..Response::default()
        },
        ToClient::Refused(refused) => {
            debug!(refused.text, "command refused");
            Response {
                status: 409,
                close: true,
                ..Response::default()
            }
        }
        _ => Response {
            status: 502,
            ..Response::default()
        },
    }
}
