//! Reading of message heads: where a head ends, and its fields.

use bytes::{Buf, Bytes, BytesMut};

use crate::HttpError;

/// Maximum length of a head, or of the trailer of a chunked body, in bytes.
pub const HEAD_LIMIT: usize = 8 << 10;
/// Maximum number of fields in a head.
pub(crate) const MAX_FIELDS: usize = 64;
/// The empty line that ends a head, preceded by the end of the last field line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The fields of a head; names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields(Vec<Field>);

#[derive(Clone, Debug, PartialEq)]
struct Field {
    name: Bytes,
    value: Bytes,
}

impl Fields {
    /// Returns the fields that the parser found in `head`, as slices of it that share its memory.
    pub(crate) fn from_parsed(head: &Bytes, parsed: &[httparse::Header]) -> Fields {
        let field = |header: &httparse::Header| Field {
            name: head.slice_ref(header.name.as_bytes()),
            value: head.slice_ref(header.value),
        };
        Fields(parsed.iter().map(field).collect())
    }

    /// Returns the values of all fields of this name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|field| &field.value)
    }

    /// Returns the value of the field of this name if there is exactly one.
    pub fn single<'a>(&'a self, name: &'a str) -> Option<&'a Bytes> {
        let mut values = self.all(name);
        let first = values.next();
        first.filter(|_| values.next().is_none())
    }

    /// Whether a field of this name lists this token; tokens are compared without regard to case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let is_token = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.all(name)
            .any(|value| value.split(|byte| *byte == b',').any(is_token))
    }
}

/// Finds the end of each head on one connection.
#[derive(Debug, Default)]
pub(crate) struct HeadReader {
    /// Length of the start of the buffer that has been searched and contains no end of a head, in bytes.
    searched: usize,
}

impl HeadReader {
    /// Starts the search again, after bytes in front of the next head were dropped.
    pub(crate) fn restart(&mut self) {
        self.searched = 0;
    }

    /// Takes a head out of the buffer; `None` until it is complete. `check_prefix` is called with the bytes of an
    /// incomplete head, so that bytes that cannot become a head are an error before the end of the head arrives.
    pub(crate) fn take(
        &mut self,
        buffer: &mut BytesMut,
        check_prefix: fn(&[u8]) -> Result<(), HttpError>,
    ) -> Result<Option<Bytes>, HttpError> {
        // The bytes searched before may end with a part of `HEAD_END`.
        let overlap = HEAD_END.len() - 1;
        let from = self.searched.saturating_sub(overlap).min(buffer.len());
        let end = buffer[from..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)
            .map(|index| from + index + HEAD_END.len());
        if end.unwrap_or(buffer.len()) > HEAD_LIMIT {
            return Err(HttpError::HeadTooLong);
        }
        let Some(end) = end else {
            if self.searched < buffer.len() {
                check_prefix(buffer)?;
            }
            self.searched = buffer.len();
            return Ok(None);
        };
        self.restart();
        // A copy: what is kept of the head must not keep the whole buffer in memory.
        let head = Bytes::copy_from_slice(&buffer[..end]);
        buffer.advance(end);
        if has_bare_line_feed(&head) {
            return Err(HttpError::Unreadable("line ends without a carriage return"));
        }
        Ok(Some(head))
    }
}

/// Whether a line ends without a carriage return: only some readers take it for a line end, so two readers could
/// find different ends of the head.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let starts_with_line_feed = head.starts_with(b"\n");
    let is_bare_line_feed = |pair: &[u8]| pair[1] == b'\n' && pair[0] != b'\r';
    starts_with_line_feed || head.windows(2).any(is_bare_line_feed)
}
