//! Bodies: how long they are, and the pieces in which they come.

use bytes::{Buf, Bytes, BytesMut};

use crate::{Fields, HttpError, HEAD_LIMIT};

/// Digits of a length at most: any such number fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;
/// Hexadecimal digits of a chunk's size at most: any such number fits into 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
/// Bytes of the line with a chunk's size and its extensions at most.
const CHUNK_SIZE_LINE_LIMIT: usize = 256;

/// How much of a body is still to come.
#[derive(Debug, PartialEq)]
pub(crate) enum Body {
    /// So many bytes.
    Length(u64),
    /// The line with the size of the next chunk.
    ChunkSize,
    /// So many bytes of this chunk.
    Chunk(u64),
    /// The end of the line behind a chunk.
    ChunkEnd,
    /// Fields after the last chunk, of which so many bytes have come.
    Trailer(usize),
    /// All until the connection ends.
    UntilClose,
}

/// A piece of a body.
#[derive(Debug, PartialEq)]
pub(crate) enum Piece {
    Data(Bytes),
    /// The body is complete.
    End,
}

impl Body {
    /// The body that these fields announce (RFC 9112, 6.3); `unannounced` where they say nothing. A length beside a
    /// transfer coding may hide another message: an error, not a choice.
    pub(crate) fn of(fields: &Fields, unannounced: Body) -> Result<Body, HttpError> {
        let codings = fields.all("transfer-encoding").count();
        let lengths = fields.all("content-length").count();
        match (codings, lengths) {
            (0, 0) => Ok(unannounced),
            (0, 1) => content_length(fields).ok_or(HttpError::Lengths("no number")),
            (1, 0) if is_chunked(fields) => Ok(Body::ChunkSize),
            (1, 0) => Err(HttpError::Lengths("a coding that is not known")),
            _ => Err(HttpError::Lengths("said more than once")),
        }
    }

    /// The next piece, or `None` until more has come. After `End` nothing more of the buffer is touched.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Piece>, HttpError> {
        loop {
            match self {
                Body::Length(0) => return Ok(Some(Piece::End)),
                Body::Chunk(0) => *self = Body::ChunkEnd,
                Body::Length(left) | Body::Chunk(left) => return Ok(take_data(buffer, left)),
                Body::UntilClose => {
                    let mut left = u64::MAX;
                    return Ok(take_data(buffer, &mut left));
                }
                Body::ChunkEnd => {
                    let Some(end) = buffer.first_chunk::<2>() else {
                        return Ok(None);
                    };
                    if end != b"\r\n" {
                        return Err(HttpError::Lengths("a chunk goes on past its size"));
                    }
                    buffer.advance(end.len());
                    *self = Body::ChunkSize;
                }
                Body::ChunkSize => {
                    let Some(line) = take_line(buffer, CHUNK_SIZE_LINE_LIMIT)? else {
                        return Ok(None);
                    };
                    *self = match chunk_size(&line) {
                        Some(0) => Body::Trailer(0),
                        Some(size) => Body::Chunk(size),
                        None => return Err(HttpError::Lengths("a chunk's size is no number")),
                    };
                }
                Body::Trailer(received) => {
                    let Some(line) = take_line(buffer, HEAD_LIMIT)? else {
                        return Ok(None);
                    };
                    *received += line.len() + b"\r\n".len();
                    if line.is_empty() {
                        *self = Body::Length(0);
                    } else if *received > HEAD_LIMIT {
                        return Err(HttpError::HeadTooLong);
                    }
                }
            }
        }
    }
}

fn content_length(fields: &Fields) -> Option<Body> {
    let text = fields.single("content-length")?;
    // The parser of numbers would take a sign as well.
    let is_decimal =
        !text.is_empty() && text.len() <= MAX_LENGTH_DIGITS && text.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(text).ok()?.parse().ok()?;
    is_decimal.then_some(Body::Length(number))
}

fn is_chunked(fields: &Fields) -> bool {
    let coding = fields.single("transfer-encoding");
    coding.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked"))
}

/// The size in front of a chunk's extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    // The parser of numbers would take a sign as well.
    let is_hexadecimal = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok()?;
    let size = u64::from_str_radix(text, 16).ok()?;
    is_hexadecimal.then_some(size)
}

/// What the buffer has of the `left` bytes; `None` where it is empty.
fn take_data(buffer: &mut BytesMut, left: &mut u64) -> Option<Piece> {
    let length = (*left).min(buffer.len() as u64);
    *left -= length;
    let data = buffer.split_to(length as usize).freeze();
    (!data.is_empty()).then_some(Piece::Data(data))
}

/// A line without its end, once it has come; longer than `limit` bytes it is an error.
fn take_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, HttpError> {
    let line_feed = buffer.iter().take(limit).position(|byte| *byte == b'\n');
    let Some(index) = line_feed else {
        return if buffer.len() >= limit {
            Err(HttpError::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(index + 1).freeze();
    match line.strip_suffix(b"\r\n") {
        Some(text) => Ok(Some(line.slice_ref(text))),
        None => Err(HttpError::Unreadable(
            "a line ends without a carriage return",
        )),
    }
}
