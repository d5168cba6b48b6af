use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::body::{Body, Piece};
use crate::head::{take_head, FIELDS_AT_MOST};
use crate::{Fields, HttpFault};

/// An answer as it comes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    Head {
        status: u16,
        fields: Fields,
    },
    Data(Bytes),
    /// The answer is whole. Whatever else is in the buffer does not belong to it.
    End,
}

/// A client's side of a connection, for one answer after another. Answers of 1xx are passed over (RFC 9110, 15.2).
#[derive(Debug)]
pub struct AnswerCodec {
    body_limit: u64,
    looked: usize,
    coming: Option<(Body, u64)>,
}

impl AnswerCodec {
    /// `body_limit` in bytes; a longer body is a fault as soon as its length is known.
    pub fn new(body_limit: u64) -> Self {
        AnswerCodec {
            body_limit,
            looked: 0,
            coming: None,
        }
    }

    /// Whether a head has come whose body has not ended.
    pub fn within(&self) -> bool {
        self.coming.is_some()
    }
}

fn early(part: &[u8]) -> Result<(), HttpFault> {
    // The parser passes over empty lines ahead of the head; no answer begins with one.
    if !part.starts_with(&b"HTTP/1."[..part.len().min(7)]) {
        return Err(HttpFault::Unreadable("the head of an answer"));
    }
    let mut room = [httparse::EMPTY_HEADER; FIELDS_AT_MOST];
    let fault = |_| HttpFault::Unreadable("the head of an answer");
    httparse::Response::new(&mut room)
        .parse(part)
        .map(drop)
        .map_err(fault)
}

fn read_head(head: &Bytes) -> Result<(u16, Fields, Body), HttpFault> {
    early(head)?;
    let mut room = [httparse::EMPTY_HEADER; FIELDS_AT_MOST];
    let mut parsed = httparse::Response::new(&mut room);
    let whole = parsed
        .parse(head)
        .is_ok_and(|s| s == httparse::Status::Complete(head.len()));
    let Some(status) = parsed
        .code
        .filter(|code| whole && (100..600).contains(code))
    else {
        return Err(HttpFault::Unreadable("the head of an answer"));
    };
    let fields = Fields::of(head, parsed.headers);
    let body = match status {
        100..=199 | 204 | 304 => Body::Length(0),
        _ => Body::of(&fields, Body::UntilClose)?,
    };
    Ok((status, fields, body))
}

impl Decoder for AnswerCodec {
    type Item = Part;
    type Error = HttpFault;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Part>, HttpFault> {
        while self.coming.is_none() {
            let Some(head) = take_head(buf, &mut self.looked, early)? else {
                return Ok(None);
            };
            let (status, fields, body) = read_head(&head)?;
            match status {
                // Another protocol was not asked for.
                101 => return Err(HttpFault::Unreadable("an answer that was not asked for")),
                100..=199 => {}
                _ => {
                    if matches!(body, Body::Length(n) if n > self.body_limit) {
                        return Err(HttpFault::BodyTooLong);
                    }
                    self.coming = Some((body, 0));
                    return Ok(Some(Part::Head { status, fields }));
                }
            }
        }
        let (body, got) = self.coming.as_mut().expect("set above");
        Ok(match body.take(buf)? {
            None => None,
            Some(Piece::Data(data)) => {
                *got += data.len() as u64;
                if *got > self.body_limit {
                    return Err(HttpFault::BodyTooLong);
                }
                Some(Part::Data(data))
            }
            Some(Piece::End) => {
                self.coming = None;
                Some(Part::End)
            }
        })
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<Part>, HttpFault> {
        match self.decode(buf)? {
            None if matches!(self.coming, Some((Body::UntilClose, _))) => {
                self.coming = None;
                Ok(Some(Part::End))
            }
            None if self.coming.is_some() || !buf.is_empty() => Err(HttpFault::Truncated),
            part => Ok(part),
        }
    }
}
