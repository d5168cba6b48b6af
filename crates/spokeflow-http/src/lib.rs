//! HTTP/1.1 (RFC 9112) as tokio-util codecs, without I/O. A full library hides when the last byte of a request
//! has left and when its connection is given up; the rules on repeats and on exposure rest on both.
//!
//! Strict on reading: what two readers could take in two ways is a fault. Canonical on writing: heads are
//! written anew and never copied through.

mod answer;
mod body;
mod head;
mod request;

use std::{fmt, io};

pub use answer::{AnswerCodec, Part};
pub use head::Fields;
pub use request::{write_answer, Answer, Request, ServerCodec};

/// Bytes of a head, or of the trailer of a chunked body, at most.
pub const HEAD_LIMIT: usize = 8 << 10;

/// Why what was read is no message. Nothing that follows it on the connection can be trusted.
#[derive(Debug)]
pub enum HttpFault {
    HeadTooLong,
    Unreadable(&'static str),
    /// The body's length is said twice, in two ways, or by no number (RFC 9112, 6.3).
    Lengths(&'static str),
    BodyTooLong,
    /// The connection ended within a message.
    Truncated,
    /// Whoever reads has no room for it now.
    NoRoom,
    Io(io::Error),
}

impl HttpFault {
    /// The status that tells a client so; `None` where nobody is there to be told.
    pub fn status(&self) -> Option<u16> {
        match self {
            HttpFault::HeadTooLong => Some(431),
            HttpFault::Unreadable(_) | HttpFault::Lengths(_) => Some(400),
            HttpFault::BodyTooLong => Some(413),
            HttpFault::NoRoom => Some(503),
            HttpFault::Truncated | HttpFault::Io(_) => None,
        }
    }
}

impl fmt::Display for HttpFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            HttpFault::HeadTooLong => write!(f, "a head of more than {HEAD_LIMIT} bytes"),
            HttpFault::Unreadable(what) => write!(f, "not HTTP/1.1: {what}"),
            HttpFault::Lengths(what) => write!(f, "the body's length: {what}"),
            HttpFault::BodyTooLong => write!(f, "the body is too long"),
            HttpFault::Truncated => write!(f, "ended within a message"),
            HttpFault::NoRoom => write!(f, "no room for it now"),
            HttpFault::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for HttpFault {}

impl From<io::Error> for HttpFault {
    fn from(e: io::Error) -> Self {
        HttpFault::Io(e)
    }
}
