//! What can be wrong with what a peer sent.

use std::io;

use crate::{Refused, VERSION};

/// What is wrong with what a peer sent. Each ends that one connection.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection ended within a frame: what there is of it counts as never sent.
    #[error("truncated: the connection ended {have} bytes into a frame")]
    Truncated {
        /// Bytes of the frame that have come, its length included.
        have: usize,
    },
    /// A frame is longer than allowed, read or not.
    #[error("oversized: a frame of {length} bytes, {limit} at most")]
    Oversized {
        /// Bytes of the frame after its length.
        length: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// No message of this link begins with this byte.
    #[error("unknown kind {0}")]
    UnknownKind(u8),
    /// The body of a frame is no message.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The opening message lacks the mark of this protocol.
    #[error("not spokeflow: the opening message lacks its mark")]
    NotSpokeflow,
    /// This end does not know the version that the peer asks for.
    #[error("wrong version {0}: this end speaks {VERSION}")]
    WrongVersion(u16),
    /// The peer's role, or index, does not fit this port.
    #[error("wrong role for this port")]
    WrongRole,
    /// Something else came where the opening message belongs, or a second opening message.
    #[error("out of order: one opening message comes first, and once")]
    OutOfOrder,
    /// A command's number is in use on this connection.
    #[error("id in use: command {0} has not been answered yet")]
    IdInUse(u64),
    /// The peer does not read what it is sent.
    #[error("too slow: what is sent is not read")]
    TooSlow,
    /// The connection failed.
    #[error("i/o: {0}")]
    Io(#[from] io::Error),
}

impl FrameError {
    /// The number of the error in [`Refused`], part of the protocol.
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

    /// The message that tells the peer of the error.
    pub fn refused(&self) -> Refused {
        Refused {
            code: self.code(),
            text: self.to_string(),
        }
    }
}
