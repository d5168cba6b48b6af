//! Errors of reading HTTP messages.

use std::io;

use crate::body::CHUNK_SIZE_LINE_LIMIT;
use crate::head::MAX_FIELDS;
use crate::HEAD_LIMIT;

/// The reason why a message cannot be read. The reader cannot tell where the next message begins, so nothing that
/// follows on the connection may be used.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The head or the trailer is longer than [`HEAD_LIMIT`] or has too many fields, or the line with a chunk's size
    /// is too long.
    #[error("HTTP message too long: expected at most {HEAD_LIMIT} bytes in a head or trailer, {MAX_FIELDS} fields in a head, {CHUNK_SIZE_LINE_LIMIT} bytes in a chunk-size line")]
    HeadTooLong,
    /// The bytes are not a message of HTTP/1.1, or the message was not received in time; the text says which.
    #[error("HTTP message cannot be read: {0}")]
    Unreadable(&'static str),
    /// The length of the body is announced more than once or is not a valid number (RFC 9112, 6.3).
    #[error("invalid body length: {0}")]
    InvalidLength(&'static str),
    /// The body is longer than the reader allows.
    #[error("body too long: expected at most {limit} bytes")]
    BodyTooLong {
        /// The longest body that the reader allows, in bytes.
        limit: u64,
    },
    /// The connection ended within a message.
    #[error("connection ended within a message")]
    Truncated,
    /// The connection is closed within a message, because its place is needed for another connection.
    #[error("HTTP message not received whole before the connection had to make room for another")]
    Overloaded,
    /// The peer has sent more behind a request than is read ahead of its answer.
    #[error("more sent ahead of an answer than there is room for")]
    TooMuchAhead,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl HttpError {
    /// Returns the status to answer the client with, or `None` if the connection is lost.
    pub fn status(&self) -> Option<u16> {
        match self {
            HttpError::HeadTooLong => Some(431),
            // The request may have run, so the status must not say that a retry is harmless.
            HttpError::TooMuchAhead => Some(400),
            HttpError::Unreadable(_) | HttpError::InvalidLength(_) => Some(400),
            HttpError::BodyTooLong { .. } => Some(413),
            HttpError::Overloaded => Some(503),
            HttpError::Truncated | HttpError::Io(_) => None,
        }
    }
}
