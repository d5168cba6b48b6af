//! Frame codec: a frame is a big-endian `u32` length followed by one message in postcard encoding.

use std::marker::PhantomData;

use bytes::{Buf, BufMut, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio_util::codec::{Decoder, Encoder};

use crate::FrameError;

/// Longest frame, in bytes, that is accepted before the peer has sent its [`crate::Hello`].
pub const HELLO_LIMIT: usize = 64;
/// Longest frame, in bytes, on the links to clients, hosts and the release controller.
pub const WORK_LIMIT: usize = 64 << 10;
/// Longest frame, in bytes, on the link to the endpoint list; enough for about 20,000 hosts.
pub const LIST_LIMIT: usize = 1 << 20;

/// Size in bytes of the length prefix of a frame.
const LENGTH_SIZE: usize = 4;

/// Decodes messages of type `In` and encodes messages of type `Out`, for use with `tokio_util::codec::Framed`.
pub struct FrameCodec<In, Out> {
    limit: usize,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> FrameCodec<In, Out> {
    /// Creates a codec for frames of at most `limit` bytes, not counting the length prefix.
    pub fn new(limit: usize) -> Self {
        FrameCodec {
            limit,
            types: PhantomData,
        }
    }

    /// Sets the longest frame in bytes. The limit is raised once the peer has identified itself with its hello.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }
}

impl<In: DeserializeOwned, Out> Decoder for FrameCodec<In, Out> {
    type Item = In;
    type Error = FrameError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<In>, FrameError> {
        let Some(head) = from.first_chunk::<LENGTH_SIZE>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > self.limit {
            return Err(FrameError::Oversized {
                length,
                limit: self.limit,
            });
        }
        if from.len() < LENGTH_SIZE + length {
            // Reserves memory for this frame only, which the limit bounds: a peer can announce any length.
            from.reserve(LENGTH_SIZE + length - from.len());
            return Ok(None);
        }
        from.advance(LENGTH_SIZE);
        let body = from.split_to(length);
        decode_body(&body).map(Some)
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> Result<Option<In>, FrameError> {
        match self.decode(from)? {
            Some(message) => Ok(Some(message)),
            None if from.is_empty() => Ok(None),
            None => Err(FrameError::Truncated { have: from.len() }),
        }
    }
}

fn decode_body<In: DeserializeOwned>(body: &[u8]) -> Result<In, FrameError> {
    match postcard::take_from_bytes::<In>(body) {
        Ok((message, [])) => Ok(message),
        Ok(_) => Err(FrameError::Malformed("bytes follow the message")),
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            Err(FrameError::Malformed("the message ends early"))
        }
        Err(_) => Err(match body.first() {
            Some(&kind) if !is_known_kind::<In>(kind) => FrameError::UnknownKind(kind),
            _ => FrameError::Malformed("a field cannot be read"),
        }),
    }
}

/// Returns whether `kind` is the first byte of some message of this type. If it is, the byte alone decodes to a
/// message or to an unexpected end, not to another error.
fn is_known_kind<In: DeserializeOwned>(kind: u8) -> bool {
    let error = postcard::from_bytes::<In>(&[kind]).err();
    error.is_none_or(|error| error == postcard::Error::DeserializeUnexpectedEnd)
}

impl<In, Out: Serialize> FrameCodec<In, Out> {
    /// Appends `message` to `to` as one frame.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Oversized`], with nothing appended, if the message exceeds the limit, and
    /// [`FrameError::Malformed`] if it cannot be encoded.
    pub fn write(&self, message: &Out, to: &mut BytesMut) -> Result<(), FrameError> {
        let start = to.len();
        to.put_u32(0);
        let writer = std::mem::take(to).writer();
        *to = match postcard::to_io(message, writer) {
            Ok(writer) => writer.into_inner(),
            Err(_) => return Err(FrameError::Malformed("a message that cannot be written")),
        };
        let length = to.len() - start - LENGTH_SIZE;
        if length > self.limit {
            to.truncate(start);
            return Err(FrameError::Oversized {
                length,
                limit: self.limit,
            });
        }
        to[start..start + LENGTH_SIZE].copy_from_slice(&(length as u32).to_be_bytes());
        Ok(())
    }
}

impl<In, Out: Serialize> Encoder<Out> for FrameCodec<In, Out> {
    type Error = FrameError;

    fn encode(&mut self, message: Out, to: &mut BytesMut) -> Result<(), FrameError> {
        self.write(&message, to)
    }
}
