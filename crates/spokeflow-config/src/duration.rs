//! Parses durations with units, as given in flags.

use std::time::Duration;

/// The text is not a duration with a unit.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{source}; use a duration with a unit, such as 250ms or 1.2s")]
pub struct DurationError {
    /// The error of the `humantime` library.
    #[from]
    source: humantime::DurationError,
}

/// Parses a duration with its unit, such as `250ms`, `1.2s` or `1m 30s`. A value parser for clap.
///
/// # Errors
///
/// The text is not a duration with a unit; the message shows the expected form.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    humantime::parse_duration(text)
        .or_else(|error| fractional_seconds(text).ok_or(error))
        .map_err(DurationError::from)
}

/// Parses fractional seconds such as `1.2s`, which `humantime` rejects.
fn fractional_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.strip_suffix('s')?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
