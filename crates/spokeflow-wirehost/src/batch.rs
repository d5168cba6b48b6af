//! Reads batches of records.

use std::io::{self, Read};

use spokeflow_core::Micros;
use spokeflow_settings::micros_from_seconds;

use crate::error::{Problem, WireError};

/// Size of a batch's header in bytes: length of the records (4), their number (4), the clock in seconds (8), all
/// big-endian.
pub(crate) const HEADER_SIZE: usize = 16;

/// Offset of the clock in the header, in bytes.
const CLOCK_OFFSET: usize = 8;

/// The header of a batch, without the length of its records.
pub(crate) struct BatchHeader {
    /// Number of records in the batch.
    pub(crate) count: usize,
    /// The time of all records in the batch.
    pub(crate) now: Micros,
}

/// Reads the next batch's records into `records` and returns its header, or `None` at the end of input.
pub(crate) fn read_batch(
    input: &mut impl Read,
    records: &mut Vec<u8>,
) -> Result<Option<BatchHeader>, WireError> {
    let mut header = [0; HEADER_SIZE];
    let received = fill(input, &mut header)?;
    if received == 0 {
        return Ok(None);
    }
    if received < header.len() {
        return Err(header_error(
            received,
            Problem::TruncatedHeader { received },
        ));
    }
    let [l0, l1, l2, l3, c0, c1, c2, c3, clock @ ..] = header;
    let clock = f64::from_be_bytes(clock);
    if !clock.is_finite() {
        return Err(header_error(CLOCK_OFFSET, Problem::ClockNotFinite(clock)));
    }
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    read_records(input, records, length)?;
    Ok(Some(BatchHeader {
        count: u32::from_be_bytes([c0, c1, c2, c3]) as usize,
        now: micros_from_seconds(clock),
    }))
}

/// Reads `expected` bytes of records into `records`.
fn read_records(
    input: &mut impl Read,
    records: &mut Vec<u8>,
    expected: usize,
) -> Result<(), WireError> {
    records.clear();
    let received = input
        .take(expected as u64)
        .read_to_end(records)
        .map_err(|error| header_error(HEADER_SIZE, error.into()))?;
    if received < expected {
        let problem = Problem::TruncatedRecords { received, expected };
        return Err(header_error(HEADER_SIZE + received, problem));
    }
    Ok(())
}

/// Reads until `into` is full or the input ends; returns the number of bytes read.
fn fill(input: &mut impl Read, into: &mut [u8]) -> Result<usize, WireError> {
    let mut received = 0;
    while received < into.len() {
        match input.read(&mut into[received..]) {
            Ok(0) => break,
            Ok(read) => received += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(header_error(received, error.into())),
        }
    }
    Ok(received)
}

fn header_error(byte: usize, problem: Problem) -> WireError {
    WireError::Header { byte, problem }
}
