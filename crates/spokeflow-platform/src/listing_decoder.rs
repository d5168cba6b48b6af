//! Decodes the listings of a watch out of the bytes of its answer, without I/O.

use bytes::BytesMut;
use thiserror::Error;

use crate::endpoint_table::Listing;

/// Bytes of one listing at most.
const MAX_LISTING: usize = 4 << 20;

/// Why what has come is no listing.
#[derive(Debug, Error)]
pub(crate) enum ListingError {
    #[error("an object that cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("an object that does not end")]
    TooLong,
}

/// Listings as JSON objects, one behind another: each on a line of its own, or laid out over several.
#[derive(Default)]
pub(crate) struct ListingDecoder {
    text: BytesMut,
    /// Bytes scanned, and what they leave open: brackets, a string, an escape in it.
    scanned: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// Text that is not whole is parsed as far as it goes when it has doubled, so that nonsense is found early and
    /// a long list costs no more than a few passes.
    parse_at: usize,
}

impl ListingDecoder {
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.text.extend_from_slice(data);
    }

    /// Whether an object has begun and is not whole.
    pub(crate) fn is_mid_object(&self) -> bool {
        !self.text.is_empty()
    }

    /// Scans what has come until an object may be whole; says whether one may.
    fn closes(&mut self) -> bool {
        while let Some(byte) = self.text.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = self.quoted,
                b'"' => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        return true;
                    }
                }
                _ => {}
            }
        }
        false
    }

    /// The next whole listing.
    ///
    /// # Errors
    ///
    /// What has come is none, or is longer than any may be.
    pub(crate) fn next(&mut self) -> Result<Option<Listing>, ListingError> {
        if !self.closes() && self.text.len() < self.parse_at {
            return Ok(None);
        }
        let mut parser = serde_json::Deserializer::from_slice(&self.text).into_iter::<Listing>();
        let parsed = parser.next();
        let end = parser.byte_offset();
        match parsed {
            Some(Ok(listing)) => {
                let rest = self.text.split_off(end);
                *self = ListingDecoder {
                    text: rest,
                    ..ListingDecoder::default()
                };
                Ok(Some(listing))
            }
            None => {
                // White space: nothing changes.
                *self = ListingDecoder::default();
                Ok(None)
            }
            Some(Err(error)) if !error.is_eof() => Err(error.into()),
            Some(Err(_)) if self.text.len() > MAX_LISTING => Err(ListingError::TooLong),
            Some(Err(_)) => {
                self.parse_at = 2 * self.text.len();
                Ok(None)
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/listing_decoder.rs"]
mod tests;
