//! Requests: a server's codec that reads them.

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::body::{Body, Piece};
use crate::head::{HeadReader, MAX_FIELDS};
use crate::{write_response, Fields, HttpError, Response};

/// One request with its whole body.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Such as `POST`.
    pub method: Bytes,
    /// Path and query, as sent.
    pub target: Bytes,
    /// The fields.
    pub fields: Fields,
    /// The whole body.
    pub body: Bytes,
    /// Whether the client keeps the connection after the response.
    pub keep_alive: bool,
}

/// A server's side of a connection.
#[derive(Debug)]
pub struct ServerCodec {
    body_limit: usize,
    heads: HeadReader,
    /// The request whose body is coming.
    current: Option<PartialRequest>,
}

#[derive(Debug)]
struct PartialRequest {
    /// Without its body.
    request: Request,
    body: Body,
    received: BytesMut,
}

impl ServerCodec {
    /// `body_limit` in bytes; a longer body is an error as soon as its length is known.
    pub fn new(body_limit: usize) -> Self {
        ServerCodec {
            body_limit,
            heads: HeadReader::default(),
            current: None,
        }
    }

    /// Whether a head has come whose body has not.
    pub fn is_mid_message(&self) -> bool {
        self.current.is_some()
    }

    /// The next head, or `None` until more has come.
    fn take_head(&mut self, buffer: &mut BytesMut) -> Result<Option<PartialRequest>, HttpError> {
        const EMPTY_LINE: &[u8] = b"\r\n";
        // An empty line or two before a request are left over from the one before (RFC 9112, 2.2).
        while buffer.starts_with(EMPTY_LINE) {
            buffer.advance(EMPTY_LINE.len());
            self.heads.restart();
        }
        let head = self.heads.take(buffer, check_part)?;
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
        if matches!(current.body, Body::Length(left) if left > self.body_limit as u64) {
            return Err(HttpError::BodyTooLong);
        }
        while let Some(piece) = current.body.take(buffer)? {
            match piece {
                Piece::Data(data) if current.received.len() + data.len() > self.body_limit => {
                    return Err(HttpError::BodyTooLong);
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
        _ => HttpError::Unreadable("the head of a request"),
    }
}

fn check_part(part: &[u8]) -> Result<(), HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    httparse::Request::new(&mut headers)
        .parse(part)
        .map(drop)
        .map_err(head_error)
}

fn read_head(head: &Bytes) -> Result<PartialRequest, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let end = parsed.parse(head).map_err(head_error)?;
    if end != httparse::Status::Complete(head.len()) {
        return Err(HttpError::Unreadable("the head ends too soon"));
    }
    let slice = |text: Option<&str>| head.slice_ref(text.unwrap_or_default().as_bytes());
    let is_http_1_1 = parsed.version == Some(1);
    let fields = Fields::of(head, parsed.headers);
    let body = Body::of(&fields, Body::Length(0))?;
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
