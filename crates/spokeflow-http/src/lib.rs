//! HTTP/1.1 (RFC 9112) as tokio-util codecs, without I/O. A full HTTP library hides when the last byte of a request
//! is sent and when its connection is closed; the rules on retries and on exposure depend on both.
//!
//! Reading is strict: a message that two readers could interpret in two ways is an error. Writing is canonical: heads
//! are always generated and never copied from the message received.

mod body;
mod error;
mod head;
mod request;
mod response;

pub use error::HttpError;
pub use head::{Fields, HEAD_LIMIT};
pub use request::{RequestHead, RequestPart, ServerCodec};
pub use response::{
    begins_response, write_response, write_response_head, Response, ResponseCodec, ResponsePart,
    RESPONSE_START_SIZE,
};
