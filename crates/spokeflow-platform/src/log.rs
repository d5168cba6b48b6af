use std::sync::atomic::{AtomicU64, Ordering};

use tracing_subscriber::EnvFilter;

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum LogForm {
    /// `key=value` text.
    Text,
    Json,
}

/// Logs to standard error. Errors: a filter that cannot be read.
pub fn start_log(filter: &str, form: LogForm) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|e| format!("--log: '{filter}': {e}"))?;
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false);
    match form {
        LogForm::Text => log.with_ansi(false).init(),
        LogForm::Json => log.json().flatten_event(true).init(),
    }
    Ok(())
}

/// Lines that a peer can cause: so many a second, the rest counted.
pub struct Sparing {
    second: AtomicU64,
    lines: AtomicU64,
}

impl Sparing {
    const LINES: u64 = 10;

    pub const fn new() -> Self {
        Sparing {
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
        }
    }

    /// Whether a line may be written in this second; with it, how many were kept back in the one before.
    pub fn line(&self, second: u64) -> Option<u64> {
        let kept_back = if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines
                .swap(0, Ordering::Relaxed)
                .saturating_sub(Self::LINES)
        } else {
            0
        };
        (self.lines.fetch_add(1, Ordering::Relaxed) < Self::LINES).then_some(kept_back)
    }
}

#[cfg(test)]
mod tests {
    use super::Sparing;

    #[test]
    fn ten_lines_a_second_and_the_rest_counted() {
        let sparing = Sparing::new();
        assert_eq!((0..25).filter(|_| sparing.line(1).is_some()).count(), 10);
        assert_eq!(sparing.line(2), Some(15));
        assert_eq!(sparing.line(2), Some(0));
    }
}
