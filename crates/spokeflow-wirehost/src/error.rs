//! Errors in the input, with their position, and errors of reading and writing.

use std::io;

use spokeflow_settings::SettingsError;

/// The error that ends the program.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    #[error("batch header, byte {byte}: {problem}")]
    Header { byte: usize, problem: Problem },
    /// `byte` is the offset from the beginning of the batch.
    #[error("record {record}, byte {byte} of its batch: {problem}")]
    Record {
        record: usize,
        byte: usize,
        problem: Problem,
    },
    #[error("cannot write the reply to standard output: {0}")]
    Write(#[source] io::Error),
}

/// The reason of an error at a position in the input.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Problem {
    #[error("input truncated: got {received} of the 16 bytes of the header")]
    TruncatedHeader { received: usize },
    #[error("input truncated: got {received} of {expected} bytes of records")]
    TruncatedRecords { received: usize, expected: usize },
    #[error("record truncated: expected {expected} more bytes, got {remaining}")]
    TruncatedField { expected: usize, remaining: usize },
    #[error("unexpected bytes after the {records} records that the batch header counts")]
    TrailingBytes { records: usize },
    #[error("the clock is {0}, expected a finite number of seconds")]
    ClockNotFinite(f64),
    #[error("the field is {0}, expected a finite number")]
    NotFinite(f64),
    #[error("an event without a router: expected a For record before it")]
    NoRouter,
    #[error("list number {0} is out of range: expected 0 to 15")]
    ListNumber(u8),
    #[error("list mode {0} is not known: expected 0 to 3")]
    UnknownListMode(u8),
    #[error("endpoint state {0} is not known: expected 0 to 2")]
    UnknownEndpointState(u8),
    #[error("rollout state {0} is not known: expected 0 to 3")]
    UnknownRolloutState(u8),
    #[error("result {0} is not known: expected 100 or 301 to 307")]
    UnknownResult(u16),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("cannot read from standard input: {0}")]
    Read(#[from] io::Error),
}
