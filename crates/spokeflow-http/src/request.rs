//! The server's codec, which reads requests and writes responses.

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::body::{Body, Piece};
use crate::head::{HeadReader, MAX_FIELDS};
use crate::{write_response, Fields, HttpError, Response};

/// One request with its whole body.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The method, such as `POST`.
    pub method: Bytes,
    /// The request target: path and query, as sent.
    pub target: Bytes,
    /// The header fields.
    pub fields: Fields,
    /// The whole body.
    pub body: Bytes,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
}

/// The server's side of one connection.
#[derive(Debug)]
pub struct ServerCodec {
    body_limit: usize,
    heads: HeadReader,
    /// The request whose body is being read.
    current: Option<PartialRequest>,
}

/// A request whose head has been read and whose body has not.
#[derive(Debug)]
struct PartialRequest {
    /// The request with an empty body.
    request: Request,
    body: Body,
    /// The bytes of the body that have been read.
    received: BytesMut,
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

    /// Takes the next head out of the buffer; `None` until it is complete.
    fn take_head(&mut self, buffer: &mut BytesMut) -> Result<Option<PartialRequest>, HttpError> {
        const EMPTY_LINE: &[u8] = b"\r\n";
        // Some clients send empty lines after a request; they are skipped (RFC 9112, 2.2).
        while buffer.starts_with(EMPTY_LINE) {
            buffer.advance(EMPTY_LINE.len());
            self.heads.restart();
        }
        let head = self.heads.take(buffer, check_prefix)?;
        head.map(|head| read_head(&head)).transpose()
    }
}

impl Decoder for ServerCodec {
    type Item = Request;
    type Error = HttpError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Request>, HttpError> {
        if self.current.is_none() {
            self.current = self.take_head(buffer)?;
        }
        let Some(current) = &mut self.current else {
            return Ok(None);
        };
        let limit = self.body_limit as u64;
        if matches!(current.body, Body::Length(left) if left > limit) {
            return Err(HttpError::BodyTooLong { limit });
        }
        while let Some(piece) = current.body.take(buffer)? {
            match piece {
                Piece::Data(data) if current.received.len() + data.len() > self.body_limit => {
                    return Err(HttpError::BodyTooLong { limit });
                }
                Piece::Data(data) => current.received.extend_from_slice(&data),
                Piece::End => return Ok(self.current.take().map(PartialRequest::complete)),
            }
        }
        Ok(None)
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Request>, HttpError> {
        match self.decode(buffer)? {
            None if self.current.is_some() || !buffer.is_empty() => Err(HttpError::Truncated),
            request => Ok(request),
        }
    }
}

impl Encoder<Response> for ServerCodec {
    type Error = HttpError;

    fn encode(&mut self, response: Response, buffer: &mut BytesMut) -> Result<(), HttpError> {
        write_response(&response, buffer);
        Ok(())
    }
}

impl PartialRequest {
    fn complete(self) -> Request {
        Request {
            body: self.received.freeze(),
            ..self.request
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

fn read_head(head: &Bytes) -> Result<PartialRequest, HttpError> {
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
    let request = Request {
        method: slice(parsed.method),
        target: slice(parsed.path),
        keep_alive: is_http_1_1 && !fields.has_token("connection", "close"),
        fields,
        body: Bytes::new(),
    };
    Ok(PartialRequest {
        request,
        body,
        received: BytesMut::new(),
    })
}
