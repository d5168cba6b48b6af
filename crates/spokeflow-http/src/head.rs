//! Heads of messages: where they end, and their fields.

use bytes::{Bytes, BytesMut};

use crate::HttpError;

/// Bytes of a head, or of the trailer of a chunked body, at most.
pub const HEAD_LIMIT: usize = 8 << 10;
/// Fields of one head at most.
pub(crate) const MAX_FIELDS: usize = 64;
/// The empty line that ends a head, with the end of the line before.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The fields of a head, by name in any case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields(Vec<Field>);

#[derive(Clone, Debug, PartialEq)]
struct Field {
    name: Bytes,
    value: Bytes,
}

impl Fields {
    /// The fields that the parser has found in `head`, without a copy.
    pub(crate) fn of(head: &Bytes, parsed: &[httparse::Header]) -> Fields {
        let field = |header: &httparse::Header| Field {
            name: head.slice_ref(header.name.as_bytes()),
            value: head.slice_ref(header.value),
        };
        Fields(parsed.iter().map(field).collect())
    }

    /// Every value under this name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name.as_bytes()))
            .map(|field| &field.value)
    }

    /// The value of a field that is there exactly once.
    pub fn single<'a>(&'a self, name: &'a str) -> Option<&'a Bytes> {
        let mut values = self.all(name);
        let first = values.next();
        first.filter(|_| values.next().is_none())
    }

    /// Whether a field of this name lists this token, in any case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let is_token = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.all(name)
            .any(|value| value.split(|byte| *byte == b',').any(is_token))
    }
}

/// Finds the end of each head on one connection.
#[derive(Debug, Default)]
pub(crate) struct HeadReader {
    /// Bytes of the buffer in which no head ends.
    searched: usize,
}

impl HeadReader {
    /// Has the next head begin anew, after bytes in front of it were dropped.
    pub(crate) fn restart(&mut self) {
        self.searched = 0;
    }

    /// Cuts a head off once it is complete. `check_part` is given parts of one: what cannot become a head is an error
    /// before its end has come.
    pub(crate) fn take(
        &mut self,
        buffer: &mut BytesMut,
        check_part: fn(&[u8]) -> Result<(), HttpError>,
    ) -> Result<Option<Bytes>, HttpError> {
        // The end may have come in part.
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
                check_part(buffer)?;
            }
            self.searched = buffer.len();
            return Ok(None);
        };
        self.restart();
        let head = buffer.split_to(end).freeze();
        if has_bare_line_feed(&head) {
            return Err(HttpError::Unreadable(
                "a line ends without a carriage return",
            ));
        }
        Ok(Some(head))
    }
}

/// A line that ends without a carriage return ends a head for some readers only.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let starts_with_one = head.starts_with(b"\n");
    let contains_one = |pair: &[u8]| pair[1] == b'\n' && pair[0] != b'\r';
    starts_with_one || head.windows(2).any(contains_one)
}
