//! Batches of records on standard input.

use std::io::{self, Read};

use spokeflow_core::Micros;
use spokeflow_settings::micros_from_seconds;

use crate::error::{Problem, WireError};

/// Bytes of a batch's header: length of the records (4), their number (4), the clock in seconds (8), big-endian.
pub(crate) const HEADER_SIZE: usize = 16;

/// What the header of a batch says of its records.
pub(crate) struct BatchHeader {
    /// Their number.
    pub(crate) count: usize,
    /// When they happened.
    pub(crate) now: Micros,
}

/// Fills `records` with those of the next batch; `None` at the end of input.
pub(crate) fn read_batch(
    input: &mut impl Read,
    records: &mut Vec<u8>,
) -> Result<Option<BatchHeader>, WireError> {
    let mut header = [0; HEADER_SIZE];
    let have = fill(input, &mut header)?;
    if have == 0 {
        return Ok(None);
    }
    if have < header.len() {
        return Err(header_error(have, Problem::TruncatedHeader { have }));
    }
    let [l0, l1, l2, l3, c0, c1, c2, c3, clock @ ..] = header;
    let clock = f64::from_be_bytes(clock);
    if !clock.is_finite() {
        return Err(header_error(8, Problem::ClockNotFinite));
    }
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    read_records(input, records, length)?;
    Ok(Some(BatchHeader {
        count: u32::from_be_bytes([c0, c1, c2, c3]) as usize,
        now: micros_from_seconds(clock),
    }))
}

fn read_records(
    input: &mut impl Read,
    records: &mut Vec<u8>,
    expected: usize,
) -> Result<(), WireError> {
    records.clear();
    let have = input
        .take(expected as u64)
        .read_to_end(records)
        .map_err(|error| header_error(HEADER_SIZE, error.into()))?;
    if have < expected {
        let problem = Problem::TruncatedRecords { have, expected };
        return Err(header_error(HEADER_SIZE + have, problem));
    }
    Ok(())
}

/// Reads until `into` is full or the input ends; returns the number of bytes read.
fn fill(input: &mut impl Read, into: &mut [u8]) -> Result<usize, WireError> {
    let mut have = 0;
    while have < into.len() {
        match input.read(&mut into[have..]) {
            Ok(0) => break,
            Ok(read) => have += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(header_error(have, error.into())),
        }
    }
    Ok(have)
}

fn header_error(byte: usize, problem: Problem) -> WireError {
    WireError::Header { byte, problem }
}
