//! Decodes listings from the bytes of a watch's response, without I/O.

use bytes::BytesMut;
use thiserror::Error;

use crate::endpoint_table::Listing;

/// Number of brackets that are open within the object of a host: of the listing, of its members, of the host.
const HOST_DEPTH: usize = 3;

/// Maximum sizes of a listing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListingLimits {
    /// Length in bytes.
    pub(crate) size: usize,
    /// Number of hosts.
    pub(crate) hosts: usize,
}

/// The reason why the bytes received are not a listing.
#[derive(Debug, Error)]
pub(crate) enum ListingError {
    #[error("not a valid listing object: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("object of more than {limit} bytes, which memory does not allow")]
    TooLong { limit: usize },
    #[error("more than {limit} hosts, which memory does not allow")]
    TooManyHosts { limit: usize },
}

/// Decoder of a sequence of listings, each a JSON object on one line or over several.
pub(crate) struct ListingDecoder {
    limits: ListingLimits,
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
    /// Number of hosts in the scanned bytes.
    hosts: usize,
}

impl ListingDecoder {
    pub(crate) fn new(limits: ListingLimits) -> Self {
        ListingDecoder {
            limits,
            text: BytesMut::new(),
            scanned: 0,
            depth: 0,
            quoted: false,
            escaped: false,
            parse_at: 0,
            hosts: 0,
        }
    }

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
                b'{' | b'[' => {
                    self.depth += 1;
                    self.hosts += usize::from(self.depth == HOST_DEPTH);
                }
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
    /// The text is not a valid listing, or is longer or has more hosts than the limits allow.
    pub(crate) fn next(&mut self) -> Result<Option<Listing>, ListingError> {
        let is_complete = self.scan_to_object_end();
        self.check_limits()?;
        if !is_complete && self.text.len() < self.parse_at {
            return Ok(None);
        }
        let mut parser = serde_json::Deserializer::from_slice(&self.text).into_iter::<Listing>();
        let parsed = parser.next();
        let end = parser.byte_offset();
        match parsed {
            Some(Ok(listing)) => {
                // A copy: the rest must not keep the memory of a long listing.
                let rest = BytesMut::from(&self.text[end..]);
                *self = ListingDecoder {
                    text: rest,
                    ..ListingDecoder::new(self.limits)
                };
                Ok(Some(listing))
            }
            None => {
                // Only white space, which discovery sends while nothing changes.
                *self = ListingDecoder::new(self.limits);
                Ok(None)
            }
            Some(Err(error)) if !error.is_eof() => Err(error.into()),
            Some(Err(_)) => {
                self.parse_at = 2 * self.text.len();
                Ok(None)
            }
        }
    }

    /// Checks the scanned bytes against the limits.
    fn check_limits(&self) -> Result<(), ListingError> {
        let ListingLimits { size, hosts } = self.limits;
        if self.scanned > size {
            return Err(ListingError::TooLong { limit: size });
        }
        if self.hosts > hosts {
            return Err(ListingError::TooManyHosts { limit: hosts });
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/listing_decoder.rs"]
mod tests;
