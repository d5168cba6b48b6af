//! The inputs of a router as bytes. The same inputs through the engine give the same outputs.
//!
//! A recording is a mark with the version of the form, the seed and the time of the start, then one entry for each
//! input: length of the body (4 bytes), checksum of the body (4 bytes), body (postcard). Numbers are big-endian.

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

use crate::Input;

const MARK: &[u8; 8] = b"SPKFREC1";
/// The mark, the seed and the time of the start.
const HEAD_LENGTH: usize = 24;
/// Length and checksum in front of the body of an entry.
const ENTRY_HEAD_LENGTH: usize = 8;

/// What could be read of a recording.
#[derive(Debug, PartialEq)]
pub struct Recording {
    /// The seed of the engine.
    pub seed: u64,
    /// The time at which the engine was started.
    pub start: Micros,
    /// In order of time.
    pub inputs: Vec<RecordedInput>,
    /// Why reading ended before the end of the bytes; what was read up to there holds.
    pub error: Option<TornEntryError>,
}

/// An input and when the engine was given it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedInput {
    /// The engine's time.
    pub at: Micros,
    /// What happened.
    pub input: Input,
}

/// The bytes do not begin with the head of a recording of this version.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a recording of this version")]
pub struct NotARecordingError;

/// An entry is torn or damaged.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("torn at byte {offset}: {complete} inputs before it are complete")]
pub struct TornEntryError {
    /// Inputs in front of it.
    pub complete: usize,
    /// Where the entry begins, in bytes from the beginning of the recording.
    pub offset: usize,
}

impl Recording {
    /// The head of a recording, to be written first.
    pub fn head(seed: u64, start: Micros) -> Vec<u8> {
        let mut head = MARK.to_vec();
        head.extend(seed.to_be_bytes());
        head.extend(start.to_be_bytes());
        head
    }

    /// One input, ready to be appended.
    pub fn entry(at: Micros, input: &Input) -> Vec<u8> {
        // The form of `RecordedInput`, without a copy of the input.
        let body = postcard::to_stdvec(&(at, input)).expect("plain types always serialize");
        let mut entry = (body.len() as u32).to_be_bytes().to_vec();
        entry.extend(checksum(&body).to_be_bytes());
        entry.extend(body);
        entry
    }

    /// Reads a recording up to its first fault.
    ///
    /// # Errors
    ///
    /// [`NotARecordingError`] where the head cannot be read. A fault after it is in [`Recording::error`] instead,
    /// beside the inputs in front of it.
    pub fn read(bytes: &[u8]) -> Result<Recording, NotARecordingError> {
        let mut recording = read_head(bytes).ok_or(NotARecordingError)?;
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
    /// Bytes of the whole entry.
    length: usize,
}

fn read_head(bytes: &[u8]) -> Option<Recording> {
    let rest = bytes.strip_prefix(MARK)?;
    let (seed, rest) = rest.split_first_chunk()?;
    let (start, _) = rest.split_first_chunk()?;
    Some(Recording {
        seed: u64::from_be_bytes(*seed),
        start: Micros::from_be_bytes(*start),
        inputs: Vec::new(),
        error: None,
    })
}

/// The entry at the beginning of `bytes`; `None` where it is torn or damaged.
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

/// FNV-1a, 32 bits: enough to tell a torn entry from a whole one.
fn checksum(bytes: &[u8]) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(PRIME)
    })
}
