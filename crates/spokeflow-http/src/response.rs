//! The client's codec, which reads responses, and the writing of a server's responses.

use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::body::{Body, Piece};
use crate::head::{HeadReader, MAX_FIELDS};
use crate::{Fields, HttpError};

/// Number of bytes from which [`begins_response`] tells a response: version and status.
pub const RESPONSE_START_SIZE: usize = b"HTTP/1.1 200".len();
const MALFORMED_HEAD: HttpError = HttpError::Unreadable("malformed response head");

/// A part of a response, in the order in which the parts are read.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The head; the body follows.
    Head {
        /// The status, 200 to 599.
        status: u16,
        /// The header fields.
        fields: Fields,
        /// Length of the body in bytes; `None` if the head does not tell it.
        body_length: Option<usize>,
    },
    /// The next bytes of the body. They share the memory of the buffer that was decoded until they are dropped.
    Data(Bytes),
    /// The end of the response. What is left in the buffer does not belong to it.
    End,
}

/// The client's side of one connection, for one response after another. Interim responses (status 1xx) are skipped
/// (RFC 9110, 15.2).
#[derive(Debug)]
pub struct ResponseCodec {
    body_limit: u64,
    heads: HeadReader,
    /// The body that is being read.
    current: Option<ResponseBody>,
}

#[derive(Debug)]
struct ResponseBody {
    body: Body,
    /// Number of its bytes that have been read.
    received: u64,
}

impl ResponseCodec {
    /// Creates the codec of a new connection. `body_limit` is in bytes; a longer body is an error as soon as its length
    /// is known.
    pub fn new(body_limit: u64) -> Self {
        ResponseCodec {
            body_limit,
            heads: HeadReader::default(),
            current: None,
        }
    }

    /// Whether the head of a response has been read and its body has not been read whole.
    pub fn is_mid_message(&self) -> bool {
        self.current.is_some()
    }

    /// Takes the next head of a final response out of the buffer; `None` until it is complete.
    fn take_head(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        while let Some(head) = self.heads.take(buffer, check_prefix)? {
            let ResponseHead {
                status,
                fields,
                body,
            } = read_head(&head)?;
            match status {
                // The client never requests another protocol.
                101 => {
                    return Err(HttpError::Unreadable(
                        "status 101 without an upgrade request",
                    ))
                }
                100..=199 => continue,
                _ if matches!(body, Body::Length(length) if length > self.body_limit) => {
                    return Err(HttpError::BodyTooLong {
                        limit: self.body_limit,
                    });
                }
                _ => {
                    let body_length = body.length();
                    self.current = Some(ResponseBody { body, received: 0 });
                    return Ok(Some(ResponsePart::Head {
                        status,
                        fields,
                        body_length,
                    }));
                }
            }
        }
        Ok(None)
    }
}

impl Decoder for ResponseCodec {
    type Item = ResponsePart;
    type Error = HttpError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        let Some(current) = &mut self.current else {
            return self.take_head(buffer);
        };
        Ok(match current.body.take(buffer)? {
            None => None,
            Some(Piece::Data(data)) => {
                current.received += data.len() as u64;
                if current.received > self.body_limit {
                    return Err(HttpError::BodyTooLong {
                        limit: self.body_limit,
                    });
                }
                Some(ResponsePart::Data(data))
            }
            Some(Piece::End) => {
                self.current = None;
                Some(ResponsePart::End)
            }
        })
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        if let Some(part) = self.decode(buffer)? {
            return Ok(Some(part));
        }
        match &self.current {
            Some(current) if current.body == Body::UntilClose => {
                self.current = None;
                Ok(Some(ResponsePart::End))
            }
            Some(_) => Err(HttpError::Truncated),
            None if !buffer.is_empty() => Err(HttpError::Truncated),
            None => Ok(None),
        }
    }
}

/// Whether these bytes begin with the version and the status of a response. Fewer than [`RESPONSE_START_SIZE`] bytes do
/// not.
pub fn begins_response(bytes: &[u8]) -> bool {
    let Some((start, _)) = bytes.split_at_checked(RESPONSE_START_SIZE) else {
        return false;
    };
    let (version, status) = start.split_at(b"HTTP/1.1 ".len());
    let is_version = matches!(version, b"HTTP/1.1 " | b"HTTP/1.0 ");
    is_version && matches!(status[0], b'1'..=b'5') && status.iter().all(u8::is_ascii_digit)
}

struct ResponseHead {
    status: u16,
    fields: Fields,
    body: Body,
}

fn check_prefix(prefix: &[u8]) -> Result<(), HttpError> {
    const START: &[u8] = b"HTTP/1.";
    // The parser skips empty lines in front of the head, but no response begins with one.
    if !prefix.starts_with(&START[..prefix.len().min(START.len())]) {
        return Err(MALFORMED_HEAD);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    httparse::Response::new(&mut headers)
        .parse(prefix)
        .map(drop)
        .map_err(|_| MALFORMED_HEAD)
}

fn read_head(head: &Bytes) -> Result<ResponseHead, HttpError> {
    check_prefix(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let is_complete = parsed
        .parse(head)
        .is_ok_and(|end| end == httparse::Status::Complete(head.len()));
    let status = parsed
        .code
        .filter(|status| is_complete && (100..600).contains(status))
        .ok_or(MALFORMED_HEAD)?;
    let fields = Fields::from_parsed(head, parsed.headers);
    let body = match status {
        100..=199 | 204 | 304 => Body::Length(0),
        _ => Body::from_fields(&fields, Body::UntilClose)?,
    };
    Ok(ResponseHead {
        status,
        fields,
        body,
    })
}

/// A response that a server writes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The status, which also determines the reason phrase.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
    /// Value of `Retry-After` in seconds; `None` writes no such field.
    pub retry_after: Option<f64>,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

/// Maximum length of a head as [`write_response_head`] writes it, in bytes.
const WRITTEN_HEAD_SIZE: usize = 160;

/// Appends a response to the buffer.
pub fn write_response(response: &Response, buffer: &mut BytesMut) {
    buffer.reserve(WRITTEN_HEAD_SIZE + response.body.len());
    write_response_head(response, buffer);
    buffer.put_slice(&response.body);
}

/// Appends the head of a response to the buffer; its body is to follow.
pub fn write_response_head(response: &Response, buffer: &mut BytesMut) {
    let status = response.status;
    let reason = reason_phrase(status);
    let length = response.body.len();
    buffer.reserve(WRITTEN_HEAD_SIZE);
    let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n");
    buffer.put_slice(head.as_bytes());
    if let Some(seconds) = response.retry_after {
        buffer.put_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
    }
    if response.close {
        buffer.put_slice(b"Connection: close\r\n");
    }
    buffer.put_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Failed",
    }
}
