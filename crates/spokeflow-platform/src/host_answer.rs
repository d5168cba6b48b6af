//! Reading of a host's answer to a delivery.

use std::time::Duration;

use spokeflow_http::{
    begins_response, HttpError, ResponseCodec, ResponsePart, HEAD_LIMIT, RESPONSE_START_SIZE,
};
use spokeflow_proto::FromHost;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};
use tokio_util::codec::Decoder;

use crate::limits::BODY_LIMIT;
use crate::memory_pool::MemoryPool;
use crate::message_buffer::{MessageBuffer, MessageMemory};
use crate::read_buffer::{ReadBuffer, SMALL_SIZE};
use crate::unread::read_unread;

/// Size of a read buffer that holds the longest head or trailer, in bytes.
const HEAD_BUFFER_SIZE: usize = HEAD_LIMIT + SMALL_SIZE;
/// Maximum time for which a good answer is held back to see whether more follows it. What a host sends behind an answer
/// comes some milliseconds late on the platform.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(5);

/// An answer that was received whole.
pub(crate) struct HostAnswer {
    status: u16,
    /// Whether the host says that it has not started the command.
    not_started: bool,
    /// The body of a good answer; that of any other is dropped.
    body: Option<MessageBuffer>,
    /// Whether the connection may carry another delivery: the host keeps it open, and nothing follows the answer.
    pub(crate) is_reusable: bool,
}

/// What a connection carries behind an answer.
#[derive(Debug, PartialEq, Eq)]
enum Following {
    Nothing,
    /// Another answer, which belongs to no command.
    Answer,
    /// Bytes that begin no answer. They may be the rest of a body whose length was announced too small.
    Unidentified,
}

impl HostAnswer {
    /// Converts the answer to the engine's message.
    pub(crate) fn into_message(self, delivery: u64) -> FromHost {
        if let Some(body) = self.body {
            let body = body.into_bytes(&[]);
            return FromHost::Acked { delivery, body };
        }
        match self.status {
            503 | 504 if self.not_started => FromHost::Full { delivery },
            _ => FromHost::Error { delivery },
        }
    }
}

/// The reader of one answer.
pub(crate) struct AnswerReader<'a> {
    input: ReadBuffer,
    codec: ResponseCodec,
    memory: &'a MessageMemory,
    /// The answer as far as it has been read; `None` before the end of its head.
    partial: Option<HostAnswer>,
    /// Timeout of each read after the answer's first byte.
    read_timeout: Duration,
    /// When the router stops waiting for the answer.
    until: Instant,
}

impl<'a> AnswerReader<'a> {
    /// `until`: when the router stops waiting for the answer.
    pub(crate) fn new(
        memory: &'a MessageMemory,
        read_buffers: &MemoryPool,
        read_timeout: Duration,
        until: Instant,
    ) -> Self {
        AnswerReader {
            input: ReadBuffer::new(read_buffers.clone()),
            codec: ResponseCodec::new(BODY_LIMIT as u64),
            memory,
            partial: None,
            read_timeout,
            until,
        }
    }

    /// Reads the answer whole. While there is no room for a long body, nothing is read.
    ///
    /// # Errors
    ///
    /// The answer cannot be read, or what follows it shows that its announced length may not be that of its body.
    pub(crate) async fn read(&mut self, stream: &mut TcpStream) -> Result<HostAnswer, HttpError> {
        let mut answer = self.read_announced(stream).await?;
        if self.input.bytes.is_empty() && answer.body.is_some() {
            self.await_following(stream).await;
        }
        match self.following(stream) {
            Following::Nothing => {}
            Following::Answer => answer.is_reusable = false,
            Following::Unidentified => {
                return Err(HttpError::InvalidLength(
                    "bytes follow the answer that begin no other answer",
                ))
            }
        }
        Ok(answer)
    }

    /// Waits until something follows the answer, for at most [`MAX_SETTLE_TIME`] and a quarter of the time left.
    async fn await_following(&self, stream: &TcpStream) {
        let left = self.until.saturating_duration_since(Instant::now());
        let settle_time = MAX_SETTLE_TIME.min(left / 4);
        let _ = timeout(settle_time, stream.peek(&mut [0])).await;
    }

    /// Returns what follows the answer, as far as the operating system has received it.
    fn following(&mut self, stream: &TcpStream) -> Following {
        let mut start = [0; RESPONSE_START_SIZE];
        let buffered = self.input.bytes.len().min(start.len());
        start[..buffered].copy_from_slice(&self.input.bytes[..buffered]);
        let length = buffered + read_unread(stream, &mut start[buffered..]);
        match &start[..length] {
            [] => Following::Nothing,
            bytes if begins_response(bytes) => Following::Answer,
            _ => Following::Unidentified,
        }
    }

    /// Reads the answer up to its announced end.
    async fn read_announced(&mut self, stream: &mut TcpStream) -> Result<HostAnswer, HttpError> {
        loop {
            while let Some(part) = self.codec.decode(&mut self.input.bytes)? {
                if let Some(answer) = self.take(part).await? {
                    return Ok(answer);
                }
            }
            if !self.input.make_space(HEAD_BUFFER_SIZE) {
                return Err(HttpError::Overloaded);
            }
            if self.read_once(stream).await? == 0 {
                return self.finish_at_eof();
            }
        }
    }

    /// Takes a part of the answer, and returns the answer at its end.
    async fn take(&mut self, part: ResponsePart) -> Result<Option<HostAnswer>, HttpError> {
        match part {
            ResponsePart::Head {
                status,
                fields,
                body_length,
            } => {
                let body = MessageBuffer::new(self.memory, body_length, 0);
                let not_started = fields.single("not-started");
                self.partial = Some(HostAnswer {
                    status,
                    not_started: not_started.is_some_and(|value| value.as_ref() == b"1"),
                    body: Some(body).filter(|_| status == 200),
                    is_reusable: !fields.has_token("connection", "close"),
                });
            }
            ResponsePart::Data(data) => {
                let answer = self.partial.as_mut();
                if let Some(body) = answer.and_then(|answer| answer.body.as_mut()) {
                    reserve_for(body, data.len(), self.memory).await?;
                    body.push(&data);
                }
            }
            ResponsePart::End => return Ok(self.partial.take()),
        }
        Ok(None)
    }

    async fn read_once(&mut self, stream: &mut TcpStream) -> Result<usize, HttpError> {
        let has_begun = self.codec.is_mid_message() || !self.input.bytes.is_empty();
        let reading = stream.read_buf(&mut self.input.bytes);
        if !has_begun {
            return Ok(reading.await?);
        }
        // An answer that stops before its end must not hold its command until the client's timeout.
        let read = timeout(self.read_timeout, reading).await;
        let read =
            read.map_err(|_| HttpError::Unreadable("rest of the answer not received in time"))?;
        Ok(read?)
    }

    /// Returns the answer if the end of the connection is its end.
    fn finish_at_eof(&mut self) -> Result<HostAnswer, HttpError> {
        let end = self.codec.decode_eof(&mut self.input.bytes)?;
        let answer = self.partial.take();
        let answer = answer.filter(|_| end == Some(ResponsePart::End));
        let mut answer = answer.ok_or(HttpError::Truncated)?;
        answer.is_reusable = false;
        Ok(answer)
    }
}

/// Waits until there is room for `additional` more bytes of a body. Only bytes within the allowance of the connection are
/// held while it waits, so those who wait hold nothing that another one needs.
async fn reserve_for(
    body: &mut MessageBuffer,
    additional: usize,
    memory: &MessageMemory,
) -> Result<(), HttpError> {
    let missing = body.missing_room(additional);
    if missing == 0 {
        return Ok(());
    }
    let reservation = memory.pool.reserve(missing).await;
    let reservation = reservation.ok_or(HttpError::Overloaded)?;
    body.move_to(reservation)?;
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/host_answer.rs"]
mod tests;
