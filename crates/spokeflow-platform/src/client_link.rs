//! The socket of a client's connection with its decoder. All input is read through it, so that bytes that have been read
//! are never lost.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use spokeflow_http::{
    write_response, write_response_head, HttpError, RequestPart, Response, ServerCodec, HEAD_LIMIT,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::codec::Decoder;

use crate::client_request::{ClientRequest, PartialRequest};
use crate::limits::BODY_LIMIT;
use crate::listener_context::ListenerContext;
use crate::read_buffer::{ReadBuffer, SMALL_SIZE};
use crate::unread::{unread_state, UnreadState};

/// Time for a client to take its whole answer; after it the connection is closed, so that clients that do not read
/// cannot use up the descriptors. The platform's protocol sets no such time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which input of a refused client is read and dropped, so that it can read the answer.
const LINGER: Duration = Duration::from_millis(100);
/// Maximum number of bytes that are read while the connection of a refused client lingers.
const LINGER_LIMIT: usize = 128 << 10;
/// Size of a read buffer that holds the longest head or trailer, in bytes.
const HEAD_BUFFER_SIZE: usize = HEAD_LIMIT + SMALL_SIZE;
/// Size of a read buffer that holds the longest request, in bytes. No more is read ahead of an answer.
const READ_AHEAD_SIZE: usize = BODY_LIMIT + HEAD_LIMIT;
/// Number of reads after which a connection lets the other tasks run, so that clients that send at full speed do not hold
/// back the others.
const READS_PER_TURN: u32 = 8;

/// A client's socket and decoder.
pub(crate) struct ClientLink {
    stream: TcpStream,
    input: ReadBuffer,
    codec: ServerCodec,
    /// The request that is being read.
    partial: Option<PartialRequest>,
    /// Number of reads since the other tasks were last let run.
    reads_in_turn: u32,
    context: Arc<ListenerContext>,
}

/// The result of one read.
pub(crate) enum ReadOutcome {
    Request(ClientRequest),
    /// A part of a request, or only empty lines between requests.
    Part,
    /// The client has closed the connection.
    End,
}

impl ClientLink {
    pub(crate) fn new(stream: TcpStream, context: Arc<ListenerContext>) -> Self {
        ClientLink {
            stream,
            input: ReadBuffer::new(context.read_buffers.clone()),
            codec: ServerCodec::new(BODY_LIMIT),
            partial: None,
            reads_in_turn: 0,
            context,
        }
    }

    /// Whether a part of a request has been read. Empty lines between two requests belong to neither (RFC 9112, 2.2).
    pub(crate) fn has_begun(&self) -> bool {
        let is_not_line_end = |byte: &u8| !b"\r\n".contains(byte);
        self.codec.is_mid_message() || self.input.bytes.iter().any(is_not_line_end)
    }

    /// Whether the client has sent bytes that have not been decoded.
    pub(crate) fn has_more_input(&self) -> bool {
        self.has_begun() || self.has_unread_input()
    }

    /// Whether the system holds input that has not been read.
    pub(crate) fn has_unread_input(&self) -> bool {
        unread_state(&self.stream) == UnreadState::Bytes
    }

    /// Returns the address of the client, for log lines.
    pub(crate) fn peer(&self) -> Option<std::net::SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// Reads once from the socket, unless a whole request is in the buffer. Cancel-safe: if the future is dropped, no
    /// input is lost.
    pub(crate) async fn read(&mut self) -> Result<ReadOutcome, HttpError> {
        if let Some(request) = self.decode()? {
            return Ok(ReadOutcome::Request(request));
        }
        if !self.input.make_space(HEAD_BUFFER_SIZE) {
            return Err(HttpError::Overloaded);
        }
        self.end_turn_if_due().await;
        if self.stream.read_buf(&mut self.input.bytes).await? == 0 {
            // All parts that the buffer holds have been decoded, so what is left is an incomplete request.
            self.codec.decode_eof(&mut self.input.bytes)?;
            return Ok(ReadOutcome::End);
        }
        let request = self.decode()?;
        Ok(request.map_or(ReadOutcome::Part, ReadOutcome::Request))
    }

    /// Lets the other tasks run once this one has read [`READS_PER_TURN`] times.
    async fn end_turn_if_due(&mut self) {
        if self.reads_in_turn == READS_PER_TURN {
            self.reads_in_turn = 0;
            yield_now().await;
        }
        self.reads_in_turn += 1;
    }

    /// Decodes the bytes that have been read, up to the end of a request.
    fn decode(&mut self) -> Result<Option<ClientRequest>, HttpError> {
        let schema = &self.context.schema;
        let memory = &self.context.requests;
        while let Some(part) = self.codec.decode(&mut self.input.bytes)? {
            match part {
                RequestPart::Head(head) => {
                    self.partial = Some(PartialRequest::new(&head, schema, memory));
                }
                RequestPart::Data(data) => {
                    if let Some(partial) = &mut self.partial {
                        partial.push(&data, memory);
                    }
                }
                RequestPart::End => return Ok(self.partial.take().map(PartialRequest::complete)),
            }
        }
        Ok(None)
    }

    /// Returns once the client has closed the connection, with `Ok`. What it sends meanwhile is kept and decoded after the
    /// answer.
    ///
    /// # Errors
    ///
    /// [`HttpError::TooMuchAhead`]: the client has sent more than there is room for. A close behind input that is not read
    /// may still be with the client's system, so such a client cannot be served any further.
    pub(crate) async fn wait_for_close(&mut self) -> Result<(), HttpError> {
        while self.input.make_space(READ_AHEAD_SIZE) {
            let read = self.stream.read_buf(&mut self.input.bytes).await;
            if !matches!(read, Ok(1..)) {
                return Ok(());
            }
        }
        match self.stream.peek(&mut [0]).await {
            Ok(1..) => Err(HttpError::TooMuchAhead),
            Ok(0) | Err(_) => Ok(()),
        }
    }

    /// Whether the runtime has heard that the client has closed the connection, which it does also while there is unread
    /// input before the close.
    pub(crate) fn is_closed_by_client(&self) -> bool {
        match self.stream.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) => ready.is_read_closed(),
            Some(Err(_)) => true,
            None => false,
        }
    }

    /// Writes a response. A long body is not copied.
    pub(crate) async fn send(&mut self, answer: &Response) -> Result<(), HttpError> {
        let mut first = BytesMut::new();
        let mut rest = Bytes::new();
        // The request has been answered, so the connection's allowance for a short message is unused.
        if answer.body.len() <= self.context.requests.short_message {
            write_response(answer, &mut first);
        } else {
            write_response_head(answer, &mut first);
            rest = answer.body.clone();
        }
        let writing = async {
            self.stream.write_all(&first).await?;
            self.stream.write_all(&rest).await
        };
        timeout(WRITE_TIMEOUT, writing)
            .await
            .map_err(|_| write_timed_out())??;
        Ok(())
    }

    /// Writes a refusal, if the client takes it at once, and closes the connection. The client's input is read and dropped
    /// for a short time: closing a connection with unread input sends a reset, and the client could lose the answer.
    pub(crate) async fn refuse(&mut self, refusal: &Response) {
        self.partial = None;
        self.input.bytes.clear();
        let _ = timeout(LINGER, self.send(refusal)).await;
        let stream = &mut self.stream;
        let input = &mut self.input;
        let lingering = async {
            stream.shutdown().await?;
            let mut dropped = 0;
            while dropped < LINGER_LIMIT {
                input.bytes.clear();
                input.make_space(SMALL_SIZE);
                let read = stream.read_buf(&mut input.bytes).await?;
                if read == 0 {
                    break;
                }
                dropped += read;
            }
            io::Result::Ok(())
        };
        let _ = timeout(LINGER, lingering).await;
    }

    /// Closes a connection after an answer that announced it. Input that arrives now was sent before the client read
    /// that answer; it is not read, and the client sees the close and sends it again.
    pub(crate) async fn finish(&mut self) {
        let finishing = async {
            self.stream.shutdown().await?;
            self.stream.readable().await
        };
        let _ = timeout(LINGER, finishing).await;
    }
}

/// Returns the error of a client that does not take its answer.
fn write_timed_out() -> HttpError {
    let text = format!("client did not take the whole answer within {WRITE_TIMEOUT:?}");
    io::Error::new(io::ErrorKind::TimedOut, text).into()
}
