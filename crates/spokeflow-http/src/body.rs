//! Reading of message bodies: their framing, and the pieces in which they arrive.

use bytes::{Buf, Bytes, BytesMut};

use crate::{Fields, HttpError, HEAD_LIMIT};

/// Maximum number of digits in `Content-Length`: every such number fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;
/// Maximum number of hexadecimal digits in a chunk size: every such number fits into 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
/// Maximum length of the line with a chunk's size and its extensions, in bytes.
pub(crate) const CHUNK_SIZE_LINE_LIMIT: usize = 256;

/// The part of a body that is still to be read.
#[derive(Debug, PartialEq)]
pub(crate) enum Body {
    /// This many bytes.
    Length(u64),
    /// The line with the size of the next chunk.
    ChunkSize,
    /// This many bytes of the current chunk.
    Chunk(u64),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// The trailer fields after the last chunk, of which this many bytes have been read.
    Trailer(usize),
    /// All bytes until the connection ends.
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
    /// Returns the body that the header fields announce (RFC 9112, 6.3), or `default` if they announce none.
    /// `Content-Length` together with `Transfer-Encoding` may hide a second message (request smuggling), so it is an
    /// error.
    pub(crate) fn from_fields(fields: &Fields, default: Body) -> Result<Body, HttpError> {
        let codings = fields.all("transfer-encoding").count();
        let lengths = fields.all("content-length").count();
        match (codings, lengths) {
            (0, 0) => Ok(default),
            (0, 1) => content_length(fields).ok_or(HttpError::InvalidLength(
                "Content-Length is not a decimal number or has too many digits",
            )),
            (1, 0) if is_chunked(fields) => Ok(Body::ChunkSize),
            (1, 0) => Err(HttpError::InvalidLength("Transfer-Encoding is not chunked")),
            _ => Err(HttpError::InvalidLength(
                "more than one Content-Length or Transfer-Encoding field",
            )),
        }
    }

    /// Returns the length of a body of which nothing has been read, in bytes, if it is known.
    pub(crate) fn length(&self) -> Option<usize> {
        match self {
            Body::Length(length) => usize::try_from(*length).ok(),
            _ => None,
        }
    }

    /// Takes the next piece out of the buffer; `None` until more bytes have been read. Once it has returned `End`, it
    /// leaves the rest of the buffer alone.
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
                        return Err(HttpError::InvalidLength(
                            "chunk data continues past the chunk size",
                        ));
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
                        None => {
                            return Err(HttpError::InvalidLength(
                                "chunk size is not a hexadecimal number or has too many digits",
                            ))
                        }
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
                    } else if !is_field_line(&line) {
                        return Err(HttpError::InvalidLength(
                            "bytes that are no field line follow the last chunk",
                        ));
                    }
                }
            }
        }
    }
}

fn content_length(fields: &Fields) -> Option<Body> {
    let text = fields.single("content-length")?;
    // `parse` also accepts a sign, so the digits are checked as well.
    let is_decimal =
        !text.is_empty() && text.len() <= MAX_LENGTH_DIGITS && text.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(text).ok()?.parse().ok()?;
    is_decimal.then_some(Body::Length(number))
}

fn is_chunked(fields: &Fields) -> bool {
    let coding = fields.single("transfer-encoding");
    coding.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked"))
}

/// Parses the size in front of a chunk's extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    // `parse` also accepts a sign, so the digits are checked as well.
    let is_hexadecimal = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok()?;
    let size = u64::from_str_radix(text, 16).ok()?;
    is_hexadecimal.then_some(size)
}

/// Whether a line of a trailer is a field: a name, a colon and a value (RFC 9112, 5).
fn is_field_line(line: &[u8]) -> bool {
    let mut parsed = [httparse::EMPTY_HEADER];
    let line = [line, b"\r\n\r\n"].concat();
    let end = httparse::parse_headers(&line, &mut parsed);
    end.is_ok_and(|end| end.is_complete())
}

/// Takes up to `left` bytes out of the buffer and subtracts them from `left`; `None` if there are none.
fn take_data(buffer: &mut BytesMut, left: &mut u64) -> Option<Piece> {
    let length = (*left).min(buffer.len() as u64);
    *left -= length;
    let data = buffer.split_to(length as usize).freeze();
    (!data.is_empty()).then_some(Piece::Data(data))
}

/// Takes a line out of the buffer and returns it without its line end; `None` until its end has been read. A line
/// longer than `limit` bytes is an error.
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
        None => Err(HttpError::Unreadable("line ends without a carriage return")),
    }
}
