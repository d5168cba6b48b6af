//! Recordings: the inputs of a router as bytes. Replaying them through the engine gives the same outputs.
//!
//! A recording begins with a head: magic bytes that include the format version, the seed and the time of the start.
//! One entry for each input follows: length of the body (4 bytes), checksum of the body (4 bytes), body (postcard).
//! Numbers are big-endian.

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

use crate::Input;

/// Magic bytes at the beginning of a recording, with the format version.
const MAGIC: &[u8; 8] = b"SPKFREC1";
/// Bytes of the magic bytes, the seed and the time of the start.
const HEAD_LENGTH: usize = 24;
/// Bytes of the length and the checksum before the body of an entry.
const ENTRY_HEAD_LENGTH: usize = 8;

/// A recording, as far as it could be read.
#[derive(Debug, PartialEq)]
pub struct Recording {
    /// The seed of the engine.
    pub seed: u64,
    /// The time at which the engine was started.
    pub start: Micros,
    /// The inputs, in order of time.
    pub inputs: Vec<RecordedInput>,
    /// Why reading stopped before the end of the bytes, or `None`. The inputs read before are valid.
    pub error: Option<TornEntryError>,
}

/// An input and when the engine was given it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedInput {
    /// The time of the input, by the engine's clock.
    pub at: Micros,
    /// The input itself.
    pub input: Input,
}

/// The bytes do not begin with the head of a recording of this version.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "not a recording of this version: expected a head of {HEAD_LENGTH} bytes that begins with SPKFREC1, \
     got {length} bytes that begin with '{beginning}'"
)]
pub struct NotARecordingError {
    /// Number of bytes that were to be read.
    pub length: usize,
    /// The bytes in place of the magic bytes, as ASCII with escapes.
    pub beginning: String,
}

impl NotARecordingError {
    fn new(bytes: &[u8]) -> Self {
        let beginning = &bytes[..bytes.len().min(MAGIC.len())];
        NotARecordingError {
            length: bytes.len(),
            beginning: beginning.escape_ascii().to_string(),
        }
    }
}

/// An entry of a recording is truncated or corrupt.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("recording entry at byte {offset} is truncated or corrupt; {complete} complete inputs precede it")]
pub struct TornEntryError {
    /// Number of complete inputs before the entry.
    pub complete: usize,
    /// Offset of the entry in bytes from the beginning of the recording.
    pub offset: usize,
}

impl Recording {
    /// Returns the head of a recording, which must be written first.
    pub fn head(seed: u64, start: Micros) -> Vec<u8> {
        let mut head = MAGIC.to_vec();
        head.extend(seed.to_be_bytes());
        head.extend(start.to_be_bytes());
        head
    }

    /// Returns the entry of one input, which must be appended to the recording.
    pub fn entry(at: Micros, input: &Input) -> Vec<u8> {
        // Encodes the same way as `RecordedInput`, without a copy of the input.
        let body = postcard::to_stdvec(&(at, input)).expect("inputs always serialize to postcard");
        let mut entry = (body.len() as u32).to_be_bytes().to_vec();
        entry.extend(checksum(&body).to_be_bytes());
        entry.extend(body);
        entry
    }

    /// Reads a recording up to the first entry that is truncated or corrupt.
    ///
    /// # Errors
    ///
    /// [`NotARecordingError`] if the head cannot be read. An entry that cannot be read is reported in
    /// [`Recording::error`] instead, together with the inputs before it.
    pub fn read(bytes: &[u8]) -> Result<Recording, NotARecordingError> {
        let mut recording = read_head(bytes).ok_or_else(|| NotARecordingError::new(bytes))?;
        let mut offset = HEAD_LENGTH;
        while offset < bytes.len() {
            let Some(entry) = read_entry(&bytes[offset..]) else {
                recording.error = Some(TornEntryError {
                    complete: recording.inputs.len(),
                    offset,
                });
                break;
            };
            recording.inputs.push(entry.recorded);
            offset += entry.length;
        }
        Ok(recording)
    }
}

struct Entry {
    recorded: RecordedInput,
    /// Length of the whole entry in bytes.
    length: usize,
}

fn read_head(bytes: &[u8]) -> Option<Recording> {
    let rest = bytes.strip_prefix(MAGIC)?;
    let (seed, rest) = rest.split_first_chunk()?;
    let (start, _) = rest.split_first_chunk()?;
    Some(Recording {
        seed: u64::from_be_bytes(*seed),
        start: Micros::from_be_bytes(*start),
        inputs: Vec::new(),
        error: None,
    })
}

/// Reads the entry at the beginning of `bytes`; `None` if it is truncated or corrupt.
fn read_entry(bytes: &[u8]) -> Option<Entry> {
    let (body_length, rest) = bytes.split_first_chunk()?;
    let (expected, rest) = rest.split_first_chunk()?;
    let body_length = u32::from_be_bytes(*body_length) as usize;
    let body = rest.get(..body_length)?;
    if checksum(body) != u32::from_be_bytes(*expected) {
        return None;
    }
    Some(Entry {
        recorded: postcard::from_bytes(body).ok()?,
        length: ENTRY_HEAD_LENGTH + body_length,
    })
}

/// 32-bit FNV-1a, which is enough to distinguish a truncated entry from a complete one.
fn checksum(bytes: &[u8]) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(PRIME)
    })
}
