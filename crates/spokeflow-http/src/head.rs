use bytes::{Bytes, BytesMut};

use crate::{HttpFault, HEAD_LIMIT};

/// Fields of one head at most.
pub const FIELDS_AT_MOST: usize = 64;

/// The fields of a head, by name in any case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    /// Every value under this name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// The value where the name stands exactly once.
    pub fn only<'a>(&'a self, name: &'a str) -> Option<&'a Bytes> {
        let mut values = self.all(name);
        let first = values.next();
        first.filter(|_| values.next().is_none())
    }

    pub fn has(&self, name: &str, word: &str) -> bool {
        let words = |value: &Bytes| {
            value
                .split(|b| *b == b',')
                .any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        };
        self.all(name).any(words)
    }
}

/// Cuts a head off once it is whole. `early` looks at parts of one: what cannot become a head is a fault before
/// its end has come.
pub fn take_head(
    buf: &mut BytesMut,
    looked: &mut usize,
    early: fn(&[u8]) -> Result<(), HttpFault>,
) -> Result<Option<Bytes>, HttpFault> {
    let from = looked.saturating_sub(3).min(buf.len());
    let end = buf[from..]
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| from + at + 4);
    if end.unwrap_or(buf.len()) > HEAD_LIMIT {
        return Err(HttpFault::HeadTooLong);
    }
    let Some(end) = end else {
        if *looked < buf.len() {
            early(buf)?;
        }
        *looked = buf.len();
        return Ok(None);
    };
    *looked = 0;
    let head = buf.split_to(end).freeze();
    // A line that ends without a carriage return ends a head for some readers only.
    match head
        .iter()
        .enumerate()
        .any(|(n, b)| *b == b'\n' && (n == 0 || head[n - 1] != b'\r'))
    {
        true => Err(HttpFault::Unreadable(
            "a line ends without a carriage return",
        )),
        false => Ok(Some(head)),
    }
}

impl Fields {
    pub(crate) fn of(head: &Bytes, parsed: &[httparse::Header]) -> Fields {
        let field =
            |h: &httparse::Header| (head.slice_ref(h.name.as_bytes()), head.slice_ref(h.value));
        Fields(parsed.iter().map(field).collect())
    }
}
