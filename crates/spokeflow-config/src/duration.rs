//! Durations with units, as flags give them.

use std::time::Duration;

/// Parses a duration with its unit, such as `250ms`, `1.2s` or `1m 30s`. A value parser for clap.
///
/// # Errors
///
/// One line for the user that says what is wrong and shows the form.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|e| format!("{e}; a time with its unit, such as 250ms or 1.2s"))
        .or_else(|error| fractional_seconds(text).ok_or(error))
}

/// `1.2s`, which the library does not read.
fn fractional_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.strip_suffix('s')?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
