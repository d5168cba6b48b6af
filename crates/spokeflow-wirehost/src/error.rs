//! What is wrong with the input, and where.

use std::io;

use spokeflow_settings::SettingsError;

/// Why the program ends.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    #[error("batch header, byte {byte}: {problem}")]
    Header { byte: usize, problem: Problem },
    /// `byte` counts from the beginning of the batch.
    #[error("record {record}, byte {byte} of its batch: {problem}")]
    Record {
        record: usize,
        byte: usize,
        problem: Problem,
    },
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
}

/// What is wrong at that place.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Problem {
    #[error("input ends within the 16 bytes of the header, after {have}")]
    TruncatedHeader { have: usize },
    #[error("input ends after {have} of {expected} bytes of records")]
    TruncatedRecords { have: usize, expected: usize },
    #[error("{expected} bytes expected, {left} left")]
    TruncatedField { expected: usize, left: usize },
    #[error("bytes follow the {records} records that the header counts")]
    TrailingBytes { records: usize },
    #[error("the clock is not a finite number")]
    ClockNotFinite,
    #[error("a number that is not finite")]
    NotFinite,
    #[error("an event before any For record")]
    NoRouter,
    #[error("list number {0} is over 15")]
    ListNumber(u8),
    #[error("list mode {0} is not known")]
    UnknownListMode(u8),
    #[error("endpoint state {0} is not known")]
    UnknownEndpointState(u8),
    #[error("rollout state {0} is not known")]
    UnknownRolloutState(u8),
    #[error("result {0} is not known")]
    UnknownResult(u16),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("cannot read: {0}")]
    Read(#[from] io::Error),
}
