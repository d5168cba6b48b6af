use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::body::{Body, Piece};
use crate::head::{take_head, FIELDS_AT_MOST};
use crate::{Fields, HttpFault};

/// One request, read whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub method: Bytes,
    pub target: Bytes,
    pub fields: Fields,
    pub body: Bytes,
    /// Whether the client keeps the connection after the answer.
    pub stays: bool,
}

/// What a server sends back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
    /// Seconds after which to come back.
    pub retry_after: Option<f64>,
    pub close: bool,
}

/// A server's side of a connection.
#[derive(Debug)]
pub struct ServerCodec {
    body_limit: usize,
    looked: usize,
    /// The request whose body is coming.
    coming: Option<(Request, Body, BytesMut)>,
}

impl ServerCodec {
    /// `body_limit` in bytes; a longer body is a fault as soon as its length is known.
    pub fn new(body_limit: usize) -> Self {
        ServerCodec {
            body_limit,
            looked: 0,
            coming: None,
        }
    }

    /// Whether a head has come whose body has not.
    pub fn within(&self) -> bool {
        self.coming.is_some()
    }
}

fn fault(e: httparse::Error) -> HttpFault {
    match e {
        httparse::Error::TooManyHeaders => HttpFault::HeadTooLong,
        _ => HttpFault::Unreadable("the head of a request"),
    }
}

fn early(part: &[u8]) -> Result<(), HttpFault> {
    let mut room = [httparse::EMPTY_HEADER; FIELDS_AT_MOST];
    httparse::Request::new(&mut room)
        .parse(part)
        .map(drop)
        .map_err(fault)
}

fn read_head(head: &Bytes) -> Result<(Request, Body), HttpFault> {
    let mut room = [httparse::EMPTY_HEADER; FIELDS_AT_MOST];
    let mut parsed = httparse::Request::new(&mut room);
    if parsed.parse(head).map_err(fault)? != httparse::Status::Complete(head.len()) {
        return Err(HttpFault::Unreadable("the head ends too soon"));
    }
    let text = |t: Option<&str>| head.slice_ref(t.unwrap_or("").as_bytes());
    let (method, target) = (text(parsed.method), text(parsed.path));
    let newest = parsed.version == Some(1);
    let fields = Fields::of(head, parsed.headers);
    let stays = newest && !fields.has("connection", "close");
    let body = Body::of(&fields, Body::Length(0))?;
    Ok((
        Request {
            method,
            target,
            fields,
            body: Bytes::new(),
            stays,
        },
        body,
    ))
}

impl Decoder for ServerCodec {
    type Item = Request;
    type Error = HttpFault;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Request>, HttpFault> {
        if self.coming.is_none() {
            // An empty line or two before a request are left over from the one before (RFC 9112, 2.2).
            while buf.starts_with(b"\r\n") {
                buf.advance(2);
                self.looked = 0;
            }
            let Some(head) = take_head(buf, &mut self.looked, early)? else {
                return Ok(None);
            };
            let (request, body) = read_head(&head)?;
            self.coming = Some((request, body, BytesMut::new()));
        }
        let (_, body, got) = self.coming.as_mut().expect("set above");
        if matches!(body, Body::Length(n) if *n > self.body_limit as u64) {
            return Err(HttpFault::BodyTooLong);
        }
        loop {
            match body.take(buf)? {
                None => return Ok(None),
                Some(Piece::Data(data)) if got.len() + data.len() > self.body_limit => {
                    return Err(HttpFault::BodyTooLong)
                }
                Some(Piece::Data(data)) => got.extend_from_slice(&data),
                Some(Piece::End) => {
                    let (request, _, body) = self.coming.take().expect("set above");
                    return Ok(Some(Request {
                        body: body.freeze(),
                        ..request
                    }));
                }
            }
        }
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<Request>, HttpFault> {
        match self.decode(buf)? {
            None if self.coming.is_some() || !buf.is_empty() => Err(HttpFault::Truncated),
            request => Ok(request),
        }
    }
}

impl Encoder<Answer> for ServerCodec {
    type Error = HttpFault;

    fn encode(&mut self, answer: Answer, buf: &mut BytesMut) -> Result<(), HttpFault> {
        write_answer(&answer, buf);
        Ok(())
    }
}

pub fn write_answer(answer: &Answer, buf: &mut BytesMut) {
    let reason = match answer.status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        _ => "Failed",
    };
    buf.reserve(160 + answer.body.len());
    buf.put_slice(
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Length: {}\r\n",
            answer.status,
            answer.body.len()
        )
        .as_bytes(),
    );
    if let Some(seconds) = answer.retry_after {
        buf.put_slice(format!("Retry-After: {seconds:.3}\r\n").as_bytes());
    }
    if answer.close {
        buf.put_slice(b"Connection: close\r\n");
    }
    buf.put_slice(b"\r\n");
    buf.put_slice(&answer.body);
}
