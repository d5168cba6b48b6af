//! Protocol errors.

use std::io;

use crate::{Refused, VERSION};

/// A protocol error on a connection. Every error closes the connection that it occurs on and no other. The texts of the
/// errors are sent to the peer in [`Refused`] and are part of the protocol.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection ended within a frame. The incomplete frame is discarded.
    #[error("truncated: the connection ended {have} bytes into a frame")]
    Truncated {
        /// Bytes of the frame that were received, including the length prefix.
        have: usize,
    },
    /// A frame that was received or is to be sent exceeds the limit.
    #[error("oversized: a frame of {length} bytes, {limit} at most")]
    Oversized {
        /// Bytes of the frame after the length prefix.
        length: usize,
        /// Longest frame allowed, in bytes.
        limit: usize,
    },
    /// The first byte of the body is not the kind of any message on this link.
    #[error("unknown kind {0}")]
    UnknownKind(u8),
    /// The body of a frame is not a valid message, or a message cannot be encoded.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The hello does not begin with [`crate::MAGIC`].
    #[error("not spokeflow: the opening message lacks its mark")]
    NotSpokeflow,
    /// The peer requested a protocol version that this end does not support.
    #[error("wrong version {0}: this end speaks {VERSION}")]
    WrongVersion(u16),
    /// The role or the index in the hello is not accepted on this port.
    #[error("wrong role for this port")]
    WrongRole,
    /// The first message is not a hello, or a later message is one.
    #[error("out of order: one opening message comes first, and once")]
    OutOfOrder,
    /// A command has the id of another command on this connection that has not been answered.
    #[error("id in use: command {0} has not been answered yet")]
    IdInUse(u64),
    /// The peer does not read the messages sent to it.
    #[error("too slow: what is sent is not read")]
    TooSlow,
    /// Reading from or writing to the connection failed.
    #[error("i/o: {0}")]
    Io(#[from] io::Error),
}

impl FrameError {
    /// Returns the error code that [`Refused`] carries. The codes are part of the protocol.
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

    /// Returns the message that reports this error to the peer.
    pub fn refused(&self) -> Refused {
        Refused {
            code: self.code(),
            text: self.to_string(),
        }
    }
}
