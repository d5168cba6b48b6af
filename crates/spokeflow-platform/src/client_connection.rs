//! A client's connection. Requests are read whole and checked one at a time, and each command is handed to the task
//! that owns the engine. A request that is no valid command is refused here and never reaches the engine.

use std::io;
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

/// Time for a client to take its whole answer; after it the connection is closed, so that clients that do not read
/// cannot use up the descriptors. The platform's protocol sets no such time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which input of a refused client is read and dropped, so that it can read the answer.
const LINGER: Duration = Duration::from_millis(100);
/// Maximum number of reads while the connection of a refused client lingers.
const LINGER_READS: usize = 32;
/// Size of a connection's read buffer, in bytes.
const BUFFER_SIZE: usize = 2 << 10;
/// Maximum number of bytes read while a command is pending: the size of one more request.
const READ_AHEAD: usize = BODY_LIMIT + HEAD_LIMIT;

/// The task that serves one client's connection.
pub(crate) struct ClientConnection {
    /// Number of the connection, never used twice by this process.
    pub(crate) connection: u64,
    pub(crate) context: Arc<ListenerContext>,
    pub(crate) state: Arc<ConnectionState>,
}

/// A connection's socket and decoder. All input is read through it, so that bytes that have been read are never lost.
struct Link {
    stream: TcpStream,
    buffer: BytesMut,
    codec: ServerCodec,
}

/// The result of one read.
enum ReadOutcome {
    Request(Request),
    /// A part of a request, or only empty lines between requests.
    Part,
    /// The client has closed the connection.
    End,
}

impl Link {
    /// Whether a part of a request has been read. Empty lines between two requests belong to neither (RFC 9112, 2.2).
    fn has_begun(&self) -> bool {
        self.codec.is_mid_message() || self.buffer.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Reads once from the socket, unless a whole request is in the buffer. Cancel-safe: if the future is dropped, no
    /// input is lost.
    async fn read(&mut self) -> Result<ReadOutcome, HttpError> {
        if let Some(request) = self.codec.decode(&mut self.buffer)? {
            return Ok(ReadOutcome::Request(request));
        }
        self.buffer.reserve(BUFFER_SIZE);
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            let last = self.codec.decode_eof(&mut self.buffer)?;
            return Ok(last.map_or(ReadOutcome::End, ReadOutcome::Request));
        }
        let request = self.codec.decode(&mut self.buffer)?;
        Ok(request.map_or(ReadOutcome::Part, ReadOutcome::Request))
    }

    /// Returns once the client has closed the connection. What it sends meanwhile is kept and decoded after the answer.
    async fn wait_for_close(&mut self) {
        while self.buffer.len() < READ_AHEAD {
            self.buffer.reserve(BUFFER_SIZE);
            let read = self.stream.read_buf(&mut self.buffer).await;
            if !matches!(read, Ok(bytes) if bytes > 0) {
                return;
            }
        }
        // The client has sent more than one request ahead: the rest is not read before the answer.
        std::future::pending().await
    }

    async fn send(&mut self, answer: &Response) -> Result<(), HttpError> {
        let mut bytes = BytesMut::new();
        write_response(answer, &mut bytes);
        timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes))
            .await
            .map_err(|_| write_timed_out())??;
        Ok(())
    }

    /// Closes a connection after an answer that announced it. Input that arrives now was sent before the client read
    /// that answer; it is not read, and the client sees the close and sends it again.
    async fn finish(&mut self) {
        let finishing = async {
            self.stream.shutdown().await?;
            self.stream.readable().await
        };
        let _ = timeout(LINGER, finishing).await;
    }

    /// Whether the client has sent bytes that have not been decoded.
    fn has_more_input(&self) -> bool {
        self.has_begun() || unread_state(&self.stream) == UnreadState::Bytes
    }
}

impl ClientConnection {
    /// Serves the connection until it is closed.
    pub(crate) async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link = Link {
            stream,
            buffer: BytesMut::with_capacity(BUFFER_SIZE),
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

    /// Logs the error and answers the client with its status, if the client may still read it.
    async fn refuse(&self, link: &mut Link, error: HttpError) {
        if let Some(suppressed) = self.context.clock.allow_log_line() {
            let peer = link.stream.peer_addr().ok();
            info!(connection = self.connection, ?peer, suppressed, %error, "client refused");
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

    /// Waits for the next request; `None` if the connection is to be closed between two requests. It is closed only if
    /// no byte of the next request has arrived: otherwise a request would be accepted and never answered.
    async fn next_request(
        &self,
        link: &mut Link,
        has_had_answer: bool,
    ) -> Result<Option<Request>, HttpError> {
        let mut wait = RequestWait::starting_now(has_had_answer);
        self.state.set(wait.activity(), &self.context.clock);
        loop {
            if !wait.has_begun && link.has_begun() {
                wait.begin();
                self.state.set(Activity::Receiving, &self.context.clock);
            }
            match self.wait(link, &mut wait).await? {
                Wake::Request(request) => return Ok(Some(request)),
                Wake::Continue => continue,
                Wake::Disconnected => return Ok(None),
                Wake::Close => {}
            }
            if unread_state(&link.stream) != UnreadState::Bytes {
                return Ok(None);
            }
            // A request arrived while the connection was about to be closed, and the runtime does not know of it yet.
            wait.begin_instead_of_closing();
        }
    }

    /// Waits once for a part of a request, or for a reason to close the connection.
    async fn wait(&self, link: &mut Link, wait: &mut RequestWait) -> Result<Wake, HttpError> {
        let mut closing = self.context.closing.clone();
        tokio::select! {
            biased;
            read = link.read() => Ok(match read? {
                ReadOutcome::Request(request) => Wake::Request(request),
                ReadOutcome::Part => Wake::Continue,
                ReadOutcome::End => Wake::Disconnected,
            }),
            _ = self.state.close_requested.notified() => {
                if link.has_begun() {
                    return Err(HttpError::Overloaded);
                }
                Ok(Wake::Close)
            }
            _ = async { closing.wait_for(|closing| *closing).await.is_ok() },
                if !wait.has_begun && !wait.has_seen_closing => Ok(wait.on_closing()),
            _ = sleep_until(wait.until) => {
                if link.has_begun() {
                    return Err(HttpError::Unreadable("request not received whole in time"));
                }
                Ok(Wake::Close)
            }
        }
    }

    /// Serves requests until the connection is to be closed. Sets `is_known` once the engine gets a command of this
    /// connection and has to learn of its end.
    async fn serve(&self, link: &mut Link, is_known: &mut bool) -> Result<(), HttpError> {
        let mut commands = 0;
        while let Some(request) = self.next_request(link, commands > 0).await? {
            let keep_alive = request.keep_alive;
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
            // A client that has already sent its next request gets an answer to that request as well.
            let shutting_down = self.context.clock.is_shutting_down() && !link.has_more_input();
            answer.close |= !keep_alive || shutting_down;
            link.send(&answer).await?;
            if answer.close {
                link.finish().await;
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers the health check, and checks any other request against the schema.
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

    /// Hands a command to the engine's task and waits for the answer; `None` if the client has closed the connection or
    /// the engine's task has ended.
    async fn execute(
        &self,
        link: &mut Link,
        id: bytes::Bytes,
        command: Command,
    ) -> Option<Response> {
        let (answer, mut answer_receiver) = oneshot::channel();
        let event = EngineEvent::Command {
            connection: self.connection,
            id,
            command,
            answer,
        };
        self.context.events.send(event).await.ok()?;
        let message = tokio::select! {
            biased;
            message = &mut answer_receiver => message,
            // A client that closes the connection does not wait for the answer.
            _ = link.wait_for_close() => return None,
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

/// Returns the error of a client that does not take its answer.
fn write_timed_out() -> HttpError {
    let text = format!("client did not take the whole answer within {WRITE_TIMEOUT:?}");
    io::Error::new(io::ErrorKind::TimedOut, text).into()
}

/// Reads and drops a client's input for a short time: closing a connection with unread input sends a reset, and the
/// client could lose the answer.
async fn linger(stream: &mut TcpStream) {
    let lingering = async {
        stream.shutdown().await?;
        let mut rest = [0; 4096];
        for _ in 0..LINGER_READS {
            if stream.read(&mut rest).await? == 0 {
                break;
            }
        }
        io::Result::Ok(())
    };
    let _ = timeout(LINGER, lingering).await;
}

/// Returns the response that carries the engine's answer.
fn to_answer(message: ToClient) -> Response {
    match message {
        ToClient::Acked { body, .. } => Response {
            status: 200,
            body,
            ..Response::default()
        },
        ToClient::Nacked { retry_after_us, .. } => Response {
            status: 503,
            retry_after: retry_after_us.map(|us| us as f64 / 1e6),
            ..Response::default()
        },
        ToClient::Refused(refused) => {
            debug!(reason = refused.text, "command refused");
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
