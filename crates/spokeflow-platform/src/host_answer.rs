//! Reading of a host's answer to a delivery.

use std::time::Duration;

use spokeflow_http::{HttpError, ResponseCodec, ResponsePart, HEAD_LIMIT};
use spokeflow_proto::FromHost;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Decoder;

use crate::limits::BODY_LIMIT;
use crate::memory_pool::MemoryPool;
use crate::message_buffer::{MessageBuffer, MessageMemory};
use crate::read_buffer::{ReadBuffer, SMALL_SIZE};

/// Size of a read buffer that holds the longest head or trailer, in bytes.
const HEAD_BUFFER_SIZE: usize = HEAD_LIMIT + SMALL_SIZE;

/// An answer that was received whole.
pub(crate) struct HostAnswer {
    status: u16,
    /// Whether the host says that it has not started the command.
    not_started: bool,
    /// The body of a good answer; that of any other is dropped.
    body: Option<MessageBuffer>,
    /// Whether the host keeps the connection open after the answer.
    pub(crate) keep_alive: bool,
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
}

impl<'a> AnswerReader<'a> {
    pub(crate) fn new(
        memory: &'a MessageMemory,
        read_buffers: &MemoryPool,
        read_timeout: Duration,
    ) -> Self {
        AnswerReader {
            input: ReadBuffer::new(read_buffers.clone()),
            codec: ResponseCodec::new(BODY_LIMIT as u64),
            memory,
            partial: None,
            read_timeout,
        }
    }

    /// Returns the number of bytes that were read behind the answer.
    pub(crate) fn excess(&self) -> usize {
        self.input.bytes.len()
    }

    /// Reads the answer whole. While there is no room for a long body, nothing is read.
    pub(crate) async fn read(&mut self, stream: &mut TcpStream) -> Result<HostAnswer, HttpError> {
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
                    keep_alive: !fields.has_token("connection", "close"),
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
        answer.keep_alive = false;
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
