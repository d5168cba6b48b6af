//! Logging to standard error, in the form of the `tracing` library.

use tracing_subscriber::filter::ParseError;
use tracing_subscriber::EnvFilter;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// `key=value` text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogSetupError {
    /// The filter cannot be parsed.
    #[error("--log: invalid filter '{filter}': {source}")]
    Filter {
        /// The filter as given.
        filter: String,
        /// The parser's error.
        source: ParseError,
    },
}

/// Starts logging to standard error, filtered by `filter`, such as `info` or levels by target. Must be called once
/// only.
///
/// # Errors
///
/// [`LogSetupError::Filter`] if the filter cannot be parsed.
pub fn init_logging(filter: &str, format: LogFormat) -> Result<(), LogSetupError> {
    let env_filter = EnvFilter::try_new(filter).map_err(|source| LogSetupError::Filter {
        filter: filter.to_string(),
        source,
    })?;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(env_filter)
        .with_writer(std::io::stderr)
        .with_target(false);
    match format {
        LogFormat::Text => subscriber.with_ansi(false).init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    Ok(())
}
