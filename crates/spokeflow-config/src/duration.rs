//! Durations with units, as flags give them.

use std::time::Duration;

/// A text is no duration with its unit.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{source}; a time with its unit, such as 250ms or 1.2s")]
pub struct DurationError {
    /// What the library says of it.
    #[from]
    source: humantime::DurationError,
}

/// Parses a duration with its unit, such as `250ms`, `1.2s` or `1m 30s`. A value parser for clap.
///
/// # Errors
///
/// [`DurationError`], which says what is wrong and shows the form.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    humantime::parse_duration(text)
        .or_else(|error| fractional_seconds(text).ok_or(error))
        .map_err(DurationError::from)
}

/// `1.2s`, which the library does not read.
fn fractional_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.strip_suffix('s')?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
