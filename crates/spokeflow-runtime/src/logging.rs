//! Logging to standard error, in the form of the `tracing` library.

use tracing_subscriber::filter::ParseError;
use tracing_subscriber::EnvFilter;

/// Form of the log lines.
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
    #[error("--log: '{filter}': {source}")]
    Filter {
        /// The filter as given.
        filter: String,
        /// What the library says of it.
        source: ParseError,
    },
}

/// Starts logging to standard error, filtered by `filter`, such as `info` or levels by target. To be called once.
///
/// # Errors
///
/// [`LogSetupError::Filter`] where the filter cannot be parsed.
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
