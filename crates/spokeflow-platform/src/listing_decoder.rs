//! Decodes listings from the bytes of a watch's response, without I/O.

use bytes::BytesMut;
use thiserror::Error;

use crate::endpoint_table::Listing;

/// Maximum length of a listing, in bytes.
const MAX_LISTING_SIZE: usize = 4 << 20;

/// The reason why the bytes received are not a listing.
#[derive(Debug, Error)]
pub(crate) enum ListingError {
    #[error("not a valid listing object: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("object of more than {MAX_LISTING_SIZE} bytes is incomplete")]
    TooLong,
}

/// Decoder of a sequence of listings, each a JSON object on one line or over several.
#[derive(Default)]
pub(crate) struct ListingDecoder {
    text: BytesMut,
    /// Number of bytes of `text` that have been scanned.
    scanned: usize,
    /// Number of brackets that are open after the scanned bytes.
    depth: usize,
    /// Whether the scanned bytes end inside a string.
    quoted: bool,
    /// Whether the next byte is escaped by a backslash in a string.
    escaped: bool,
    /// Length of `text` at which it is parsed although it is incomplete. It doubles with each attempt, so that invalid
    /// text is found early and a long listing costs only a few parses.
    parse_at: usize,
}

impl ListingDecoder {
    /// Appends bytes of the response.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.text.extend_from_slice(data);
    }

    /// Whether a part of an object has been received.
    pub(crate) fn is_mid_object(&self) -> bool {
        !self.text.is_empty()
    }

    /// Scans the text up to the end of an object. Returns whether it has found one.
    fn scan_to_object_end(&mut self) -> bool {
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

    /// Takes the next listing; `None` until it is complete.
    ///
    /// # Errors
    ///
    /// The text is not a valid listing, or is incomplete and longer than [`MAX_LISTING_SIZE`].
    pub(crate) fn next(&mut self) -> Result<Option<Listing>, ListingError> {
        if !self.scan_to_object_end() && self.text.len() < self.parse_at {
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
                // Only white space, which discovery sends while nothing changes.
                *self = ListingDecoder::default();
                Ok(None)
            }
            Some(Err(error)) if !error.is_eof() => Err(error.into()),
            Some(Err(_)) if self.text.len() > MAX_LISTING_SIZE => Err(ListingError::TooLong),
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
