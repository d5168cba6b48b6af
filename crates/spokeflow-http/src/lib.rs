//! HTTP/1.1 (RFC 9112) as tokio-util codecs, without I/O. A full library hides when the last byte of a request
//! has left and when its connection is given up; the rules on retries and on exposure rest on both.
//!
//! Strict on reading: what two readers could take in two ways is an error. Canonical on writing: heads are
//! written anew and never copied through.

mod body;
mod error;
mod head;
mod request;
mod response;

pub use error::HttpError;
pub use head::{Fields, HEAD_LIMIT};
pub use request::{Request, ServerCodec};
pub use response::{write_response, Response, ResponseCodec, ResponsePart};
