//! Why what was read is no message.

use std::io;

use crate::HEAD_LIMIT;

/// Why what was read is no message. Nothing that follows it on the connection can be trusted.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The head, or the trailer, is longer than [`HEAD_LIMIT`] or has too many fields.
    #[error("a head of more than {HEAD_LIMIT} bytes")]
    HeadTooLong,
    /// The bytes are no HTTP/1.1, for this reason.
    #[error("not HTTP/1.1: {0}")]
    Unreadable(&'static str),
    /// The body's length is said twice, in two ways, or by no number (RFC 9112, 6.3).
    #[error("the body's length: {0}")]
    Lengths(&'static str),
    /// The body is longer than the reader allows.
    #[error("the body is too long")]
    BodyTooLong,
    /// The connection ended within a message.
    #[error("ended within a message")]
    Truncated,
    /// The reader has no capacity for it now.
    #[error("no capacity for it now")]
    Overloaded,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl HttpError {
    /// The status for the client; `None` where no client is left to get one.
    pub fn status(&self) -> Option<u16> {
        match self {
            HttpError::HeadTooLong => Some(431),
            HttpError::Unreadable(_) | HttpError::Lengths(_) => Some(400),
            HttpError::BodyTooLong => Some(413),
            HttpError::Overloaded => Some(503),
            HttpError::Truncated | HttpError::Io(_) => None,
        }
    }
}
