//! Frames: four bytes of length, big endian, then one message in postcard's form.

use std::fmt;
use std::io;
use std::marker::PhantomData;

use bytes::{Buf, BufMut, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio_util::codec::{Decoder, Encoder};

use crate::Refused;

/// Longest frame, in bytes, before the peer has said who it is.
pub const HELLO_LIMIT: usize = 64;
/// Longest frame on links of clients, hosts and the desk.
pub const WORK_LIMIT: usize = 64 << 10;
/// Longest frame on the list's link: some 20,000 lines.
pub const LIST_LIMIT: usize = 1 << 20;

/// What is wrong with what a peer sent. Each ends that one connection.
#[derive(Debug)]
pub enum FrameError {
    /// The connection ended within a frame: what there is of it counts as never sent.
    Truncated {
        have: usize,
    },
    Oversized {
        length: usize,
        limit: usize,
    },
    UnknownKind(u8),
    Malformed(&'static str),
    NotSpokeflow,
    WrongVersion(u16),
    WrongRole,
    /// Something else came where the opening message belongs, or a second opening message.
    OutOfOrder,
    /// A command's number is in use on this connection.
    IdInUse(u64),
    /// The peer does not read what it is sent.
    TooSlow,
    Io(io::Error),
}

impl FrameError {
    /// The number told to the peer.
    pub fn code(&self) -> u8 {
        match self {
            FrameError::Truncated { .. } => 1,
            FrameError::Oversized { .. } => 2,
            FrameError::UnknownKind(_) => 3,
            FrameError::Malformed(_) => 4,
            FrameError::NotSpokeflow => 5,
            FrameError::WrongVersion(_) => 6,
            FrameError::WrongRole => 7,
            FrameError::OutOfOrder => 8,
            FrameError::IdInUse(_) => 9,
            FrameError::TooSlow => 10,
            FrameError::Io(_) => 11,
        }
    }

    pub fn refused(&self) -> Refused {
        Refused {
            code: self.code(),
            text: self.to_string(),
        }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::Truncated { have } => {
                write!(
                    f,
                    "truncated: the connection ended {have} bytes into a frame"
                )
            }
            FrameError::Oversized { length, limit } => {
                write!(f, "oversized: a frame of {length} bytes, {limit} at most")
            }
            FrameError::UnknownKind(kind) => write!(f, "unknown kind {kind}"),
            FrameError::Malformed(what) => write!(f, "malformed: {what}"),
            FrameError::NotSpokeflow => {
                write!(f, "not spokeflow: the opening message lacks its mark")
            }
            FrameError::WrongVersion(v) => {
                write!(f, "wrong version {v}: this end speaks {}", crate::VERSION)
            }
            FrameError::WrongRole => write!(f, "wrong role for this port"),
            FrameError::OutOfOrder => {
                write!(f, "out of order: one opening message comes first, and once")
            }
            FrameError::IdInUse(id) => {
                write!(f, "id in use: command {id} has not been answered yet")
            }
            FrameError::TooSlow => write!(f, "too slow: what is sent is not read"),
            FrameError::Io(e) => write!(f, "i/o: {e}"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(e: io::Error) -> Self {
        FrameError::Io(e)
    }
}

/// Reads messages of type `In` and writes those of type `Out`, through `tokio_util::codec::Framed`.
pub struct FrameCodec<In, Out> {
    limit: usize,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> FrameCodec<In, Out> {
    /// Frames of at most `limit` bytes after the length.
    pub fn new(limit: usize) -> Self {
        FrameCodec {
            limit,
            types: PhantomData,
        }
    }

    /// What a peer may send grows once it is known.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }
}

impl<In: DeserializeOwned, Out> Decoder for FrameCodec<In, Out> {
    type Item = In;
    type Error = FrameError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<In>, FrameError> {
        let Some(head) = from.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > self.limit {
            return Err(FrameError::Oversized {
                length,
                limit: self.limit,
            });
        }
        if from.len() < 4 + length {
            // Never more than one frame's room: the length is the peer's word only.
            from.reserve(4 + length - from.len());
            return Ok(None);
        }
        from.advance(4);
        let body = from.split_to(length);
        match postcard::take_from_bytes::<In>(&body) {
            Ok((message, [])) => Ok(Some(message)),
            Ok(_) => Err(FrameError::Malformed("bytes follow the message")),
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                Err(FrameError::Malformed("the message ends early"))
            }
            Err(_) if body.first().is_some_and(|kind| !known_kind::<In>(*kind)) => {
                Err(FrameError::UnknownKind(body[0]))
            }
            Err(_) => Err(FrameError::Malformed("a field cannot be read")),
        }
    }

    fn decode_eof(&mut self, from: &mut BytesMut) -> Result<Option<In>, FrameError> {
        match self.decode(from)? {
            Some(message) => Ok(Some(message)),
            None if from.is_empty() => Ok(None),
            None => Err(FrameError::Truncated { have: from.len() }),
        }
    }
}

/// Whether some message of this type begins with `kind`: alone, it is then cut short, not unknown.
fn known_kind<In: DeserializeOwned>(kind: u8) -> bool {
    !matches!(
        postcard::from_bytes::<In>(&[kind]),
        Err(e) if e != postcard::Error::DeserializeUnexpectedEnd
    )
}

impl<In, Out: Serialize> FrameCodec<In, Out> {
    /// Appends one frame.
    ///
    /// Errors: `Oversized`, with nothing written.
    pub fn write(&self, message: &Out, to: &mut BytesMut) -> Result<(), FrameError> {
        let start = to.len();
        to.put_u32(0);
        let fill = std::mem::take(to).writer();
        *to = match postcard::to_io(message, fill) {
            Ok(filled) => filled.into_inner(),
            Err(_) => return Err(FrameError::Malformed("a message that cannot be written")),
        };
        let length = to.len() - start - 4;
        if length > self.limit {
            to.truncate(start);
            return Err(FrameError::Oversized {
                length,
                limit: self.limit,
            });
        }
        to[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
        Ok(())
    }
}

impl<In, Out: Serialize> Encoder<Out> for FrameCodec<In, Out> {
    type Error = FrameError;

    fn encode(&mut self, message: Out, to: &mut BytesMut) -> Result<(), FrameError> {
        self.write(&message, to)
    }
}
