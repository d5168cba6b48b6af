//! Responses: a client's codec that reads them, and how a server writes one.

use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::body::{Body, Piece};
use crate::head::{HeadReader, MAX_FIELDS};
use crate::{Fields, HttpError};

const UNREADABLE_HEAD: HttpError = HttpError::Unreadable("the head of a response");

/// A response as it comes in.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The head; the body follows.
    Head {
        /// The status, 200 to 599.
        status: u16,
        /// The fields.
        fields: Fields,
    },
    /// The next bytes of the body.
    Data(Bytes),
    /// The response is complete. Whatever else is in the buffer does not belong to it.
    End,
}

/// A client's side of a connection, for one response after another. Responses of 1xx are passed over (RFC 9110, 15.2).
#[derive(Debug)]
pub struct ResponseCodec {
    body_limit: u64,
    heads: HeadReader,
    /// The response whose body is coming.
    current: Option<ResponseBody>,
}

#[derive(Debug)]
struct ResponseBody {
    body: Body,
    /// Bytes of it so far.
    received: u64,
}

impl ResponseCodec {
    /// `body_limit` in bytes; a longer body is an error as soon as its length is known.
    pub fn new(body_limit: u64) -> Self {
        ResponseCodec {
            body_limit,
            heads: HeadReader::default(),
            current: None,
        }
    }

    /// Whether a head has come whose body has not ended.
    pub fn is_mid_message(&self) -> bool {
        self.current.is_some()
    }

    /// The next head that is not of 1xx, or `None` until more has come.
    fn take_head(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponsePart>, HttpError> {
        while let Some(head) = self.heads.take(buffer, check_part)? {
            let ResponseHead {
                status,
                fields,
                body,
            } = read_head(&head)?;
            match status {
                // Another protocol was not requested.
                101 => return Err(HttpError::Unreadable("a response that was not requested")),
                100..=199 => continue,
                _ if matches!(body, Body::Length(length) if length > self.body_limit) => {
                    return Err(HttpError::BodyTooLong);
                }
                _ => {
                    self.current = Some(ResponseBody { body, received: 0 });
                    return Ok(Some(ResponsePart::Head { status, fields }));
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
                    return Err(HttpError::BodyTooLong);
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

struct ResponseHead {
    status: u16,
    fields: Fields,
    body: Body,
}

fn check_part(part: &[u8]) -> Result<(), HttpError> {
    const START: &[u8] = b"HTTP/1.";
    // The parser passes over empty lines ahead of the head; no response begins with one.
    if !part.starts_with(&START[..part.len().min(START.len())]) {
        return Err(UNREADABLE_HEAD);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    httparse::Response::new(&mut headers)
        .parse(part)
        .map(drop)
        .map_err(|_| UNREADABLE_HEAD)
}

fn read_head(head: &Bytes) -> Result<ResponseHead, HttpError> {
    check_part(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let is_complete = parsed
        .parse(head)
        .is_ok_and(|end| end == httparse::Status::Complete(head.len()));
    let status = parsed
        .code
        .filter(|status| is_complete && (100..600).contains(status))
        .ok_or(UNREADABLE_HEAD)?;
    let fields = Fields::of(head, parsed.headers);
    let body = match status {
        100..=199 | 204 | 304 => Body::Length(0),
        _ => Body::of(&fields, Body::UntilClose)?,
    };
    Ok(ResponseHead {
        status,
        fields,
        body,
    })
}

/// What a server sends back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The status; its reason phrase follows from it.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
    /// Seconds after which a retry is best.
    pub retry_after: Option<f64>,
    /// Whether the server closes the connection after it.
    pub close: bool,
}

/// Bytes of a head at most, as written here.
const WRITTEN_HEAD_SIZE: usize = 160;

/// Appends a response.
pub fn write_response(response: &Response, buffer: &mut BytesMut) {
    let status = response.status;
    let reason = reason_phrase(status);
    let length = response.body.len();
    buffer.reserve(WRITTEN_HEAD_SIZE + length);
    let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n");
    buffer.put_slice(head.as_bytes());
    if let Some(seconds) = response.retry_after {
        buffer.put_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
    }
    if response.close {
        buffer.put_slice(b"Connection: close\r\n");
    }
    buffer.put_slice(b"\r\n");
    buffer.put_slice(&response.body);
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
