//! The server's codec, which reads requests.

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::body::{Body, Piece};
use crate::head::{HeadReader, MAX_FIELDS};
use crate::{Fields, HttpError};

/// A part of a request, in the order in which the parts are read. The reader decides where the body is kept.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestPart {
    /// The head; the body follows.
    Head(RequestHead),
    /// The next bytes of the body. They share the memory of the buffer that was decoded until they are dropped.
    Data(Bytes),
    /// The end of the request.
    End,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// The method, such as `POST`.
    pub method: Bytes,
    /// The request target: path and query, as sent.
    pub target: Bytes,
    /// The header fields.
    pub fields: Fields,
    /// Length of the body in bytes; `None` if the head does not tell it.
    pub body_length: Option<usize>,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
}

/// The server's side of one connection.
#[derive(Debug)]
pub struct ServerCodec {
    body_limit: usize,
    heads: HeadReader,
    /// The body that is being read.
    current: Option<PartialBody>,
}

/// A body that has not been read whole.
#[derive(Debug)]
struct PartialBody {
    body: Body,
    /// Number of its bytes that have been read.
    received: usize,
}

impl ServerCodec {
    /// Creates the codec of a new connection. `body_limit` is in bytes; a longer body is an error as soon as its length
    /// is known.
    pub fn new(body_limit: usize) -> Self {
        ServerCodec {
            body_limit,
            heads: HeadReader::default(),
            current: None,
        }
    }

    /// Whether the head of a request has been read and its body has not been read whole.
    pub fn is_mid_message(&self) -> bool {
        self.current.is_some()
    }

    fn body_too_long(&self) -> HttpError {
        HttpError::BodyTooLong {
            limit: self.body_limit as u64,
        }
    }

    /// Takes the next head out of the buffer; `None` until it is complete.
    fn take_head(&mut self, buffer: &mut BytesMut) -> Result<Option<RequestHead>, HttpError> {
        const EMPTY_LINE: &[u8] = b"\r\n";
        // Some clients send empty lines after a request; they are skipped (RFC 9112, 2.2).
        while buffer.starts_with(EMPTY_LINE) {
            buffer.advance(EMPTY_LINE.len());
            self.heads.restart();
        }
        let Some(head) = self.heads.take(buffer, check_prefix)? else {
            return Ok(None);
        };
        let (head, body) = read_head(&head)?;
        if matches!(body, Body::Length(length) if length > self.body_limit as u64) {
            return Err(self.body_too_long());
        }
        self.current = Some(PartialBody { body, received: 0 });
        Ok(Some(head))
    }
}

impl Decoder for ServerCodec {
    type Item = RequestPart;
    type Error = HttpError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<RequestPart>, HttpError> {
        let Some(current) = &mut self.current else {
            return Ok(self.take_head(buffer)?.map(RequestPart::Head));
        };
        Ok(match current.body.take(buffer)? {
            None => None,
            Some(Piece::Data(data)) => {
                current.received += data.len();
                if current.received > self.body_limit {
                    return Err(self.body_too_long());
                }
                Some(RequestPart::Data(data))
            }
            Some(Piece::End) => {
                self.current = None;
                Some(RequestPart::End)
            }
        })
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<RequestPart>, HttpError> {
        match self.decode(buffer)? {
            None if self.current.is_some() || !buffer.is_empty() => Err(HttpError::Truncated),
            part => Ok(part),
        }
    }
}

fn head_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
        _ => HttpError::Unreadable("malformed request head"),
    }
}

fn check_prefix(prefix: &[u8]) -> Result<(), HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    httparse::Request::new(&mut headers)
        .parse(prefix)
        .map(drop)
        .map_err(head_error)
}

fn read_head(head: &Bytes) -> Result<(RequestHead, Body), HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let end = parsed.parse(head).map_err(head_error)?;
    if end != httparse::Status::Complete(head.len()) {
        return Err(HttpError::Unreadable(
            "request head does not end at its first empty line",
        ));
    }
    let slice = |text: Option<&str>| head.slice_ref(text.unwrap_or_default().as_bytes());
    let is_http_1_1 = parsed.version == Some(1);
    let fields = Fields::from_parsed(head, parsed.headers);
    let body = Body::from_fields(&fields, Body::Length(0))?;
    let request = RequestHead {
        method: slice(parsed.method),
        target: slice(parsed.path),
        keep_alive: is_http_1_1 && !fields.has_token("connection", "close"),
        fields,
        body_length: body.length(),
    };
    Ok((request, body))
}
