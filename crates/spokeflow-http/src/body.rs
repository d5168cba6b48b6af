use bytes::{Buf, Bytes, BytesMut};

use crate::{Fields, HttpFault, HEAD_LIMIT};

/// How much of a body is still to come.
#[derive(Debug, PartialEq)]
pub enum Body {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    /// Fields after the last chunk, and bytes of them so far.
    Trailer(usize),
    UntilClose,
}

#[derive(Debug, PartialEq)]
pub enum Piece {
    Data(Bytes),
    End,
}

impl Body {
    /// RFC 9112, 6.3. A length beside a transfer coding may hide another message: a fault, not a choice.
    pub fn of(fields: &Fields, without: Body) -> Result<Body, HttpFault> {
        let codings = fields.all("transfer-encoding").count();
        let lengths = fields.all("content-length").count();
        match (codings, lengths) {
            (0, 0) => Ok(without),
            (0, 1) => {
                let text = fields.only("content-length").expect("counted");
                let digits =
                    !text.is_empty() && text.len() <= 18 && text.iter().all(u8::is_ascii_digit);
                let number = std::str::from_utf8(text).ok().and_then(|t| t.parse().ok());
                number
                    .filter(|_| digits)
                    .map(Body::Length)
                    .ok_or(HttpFault::Lengths("no number"))
            }
            (1, 0) => {
                let coding = fields.only("transfer-encoding").expect("counted");
                let chunked = coding.eq_ignore_ascii_case(b"chunked");
                chunked
                    .then_some(Body::ChunkSize)
                    .ok_or(HttpFault::Lengths("a coding that is not known"))
            }
            _ => Err(HttpFault::Lengths("said more than once")),
        }
    }

    /// The next piece, or `None` until more has come. After `End` nothing more of the buffer is touched.
    pub fn take(&mut self, buf: &mut BytesMut) -> Result<Option<Piece>, HttpFault> {
        loop {
            match self {
                Body::Length(0) => return Ok(Some(Piece::End)),
                Body::Length(left) | Body::Chunk(left) if *left > 0 => {
                    let n = (*left).min(buf.len() as u64);
                    *left -= n;
                    return Ok((n > 0).then(|| Piece::Data(buf.split_to(n as usize).freeze())));
                }
                Body::Length(_) => unreachable!("zero is matched above"),
                Body::UntilClose => {
                    return Ok((!buf.is_empty()).then(|| Piece::Data(buf.split().freeze())));
                }
                Body::Chunk(_) => *self = Body::ChunkEnd,
                Body::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(HttpFault::Lengths("a chunk goes on past its size"));
                    }
                    buf.advance(2);
                    *self = Body::ChunkSize;
                }
                Body::ChunkSize => {
                    let Some(line) = take_line(buf, 256)? else {
                        return Ok(None);
                    };
                    let digits = line
                        .split(|b| *b == b';')
                        .next()
                        .unwrap_or_default()
                        .trim_ascii_end();
                    let plain = !digits.is_empty()
                        && digits.len() <= 15
                        && digits.iter().all(u8::is_ascii_hexdigit);
                    let size = std::str::from_utf8(digits)
                        .ok()
                        .and_then(|t| u64::from_str_radix(t, 16).ok());
                    *self = match size.filter(|_| plain) {
                        Some(0) => Body::Trailer(0),
                        Some(size) => Body::Chunk(size),
                        None => return Err(HttpFault::Lengths("a chunk's size is no number")),
                    };
                }
                Body::Trailer(seen) => {
                    let Some(line) = take_line(buf, HEAD_LIMIT)? else {
                        return Ok(None);
                    };
                    *seen += line.len() + 2;
                    if line.is_empty() {
                        *self = Body::Length(0);
                    } else if *seen > HEAD_LIMIT {
                        return Err(HttpFault::HeadTooLong);
                    }
                }
            }
        }
    }
}

fn take_line(buf: &mut BytesMut, most: usize) -> Result<Option<Bytes>, HttpFault> {
    let Some(at) = buf.iter().take(most).position(|b| *b == b'\n') else {
        return if buf.len() >= most {
            Err(HttpFault::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let line = buf.split_to(at + 1).freeze();
    match line.strip_suffix(b"\r\n") {
        Some(text) => Ok(Some(line.slice_ref(text))),
        None => Err(HttpFault::Unreadable(
            "a line ends without a carriage return",
        )),
    }
}
