//! An operation of the service, parsed from the text of a flag.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use spokeflow_core::{DeduplicationScope, Repeat};

use crate::duration::DurationError;
use crate::parse_duration;

/// An operation and the guarantees of the service for it:
/// `NAME:REPEAT:target=TIME:timeout=TIME:importance=NUMBER[:memory=TIME][:streamed]`.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationFlag {
    /// Name of the operation, unique in the service.
    pub name: String,
    /// Whether a command may be delivered again.
    pub repeat: Repeat,
    /// Which hosts recognise a repeated delivery.
    pub scope: DeduplicationScope,
    /// How long a host recognises a repeated delivery (`memory=`).
    pub memory: Duration,
    /// The latency objective (`target=`).
    pub target: Duration,
    /// The client's deadline (`timeout=`).
    pub timeout: Duration,
    /// Weight relative to other operations, above 0.
    pub importance: f64,
    /// Whether responses are streamed.
    pub streamed: bool,
}

/// The text of an operation's flag cannot be parsed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OperationFlagError {
    /// The text starts with a colon, or is empty.
    #[error("the name is missing")]
    NameMissing,
    /// The second part is not a known [`Repeat`] with its scope.
    #[error("'{0}' is not redeliverable, at-most-once or deduplicated/SCOPE")]
    Repeat(String),
    /// A duration cannot be parsed.
    #[error(transparent)]
    Duration(#[from] DurationError),
    /// `importance=` is not a number.
    #[error("'{0}' is not importance=NUMBER")]
    Importance(String),
    /// A part has none of the known keys.
    #[error("'{0}' is not target=, timeout=, memory=, importance= or streamed")]
    Part(String),
}

impl OperationFlag {
    fn named(name: &str, repeat: Repeat, scope: DeduplicationScope) -> Self {
        OperationFlag {
            name: name.to_string(),
            repeat,
            scope,
            memory: Duration::ZERO,
            target: Duration::ZERO,
            timeout: Duration::ZERO,
            importance: 1.0,
            streamed: false,
        }
    }

    fn apply(&mut self, part: &str) -> Result<(), OperationFlagError> {
        let (key, value) = part.split_once('=').unwrap_or((part, ""));
        match key {
            "target" => self.target = parse_duration(value)?,
            "timeout" => self.timeout = parse_duration(value)?,
            "memory" => self.memory = parse_duration(value)?,
            "importance" => {
                let number = value.parse();
                self.importance =
                    number.map_err(|_| OperationFlagError::Importance(part.to_string()))?;
            }
            "streamed" if value.is_empty() => self.streamed = true,
            _ => return Err(OperationFlagError::Part(part.to_string())),
        }
        Ok(())
    }
}

fn parse_repeat(text: &str) -> Result<(Repeat, DeduplicationScope), OperationFlagError> {
    Ok(match text {
        "redeliverable" => (Repeat::Idempotent, DeduplicationScope::Unknown),
        "at-most-once" => (Repeat::AtMostOnce, DeduplicationScope::Unknown),
        "deduplicated/all" => (Repeat::Deduplicated, DeduplicationScope::All),
        "deduplicated/zone" => (Repeat::Deduplicated, DeduplicationScope::Zone),
        "deduplicated/cell" => (Repeat::Deduplicated, DeduplicationScope::Cell),
        "deduplicated/host" => (Repeat::Deduplicated, DeduplicationScope::Unknown),
        other => return Err(OperationFlagError::Repeat(other.to_string())),
    })
}

fn repeat_text(repeat: Repeat, scope: DeduplicationScope) -> &'static str {
    match (repeat, scope) {
        (Repeat::Idempotent, _) => "redeliverable",
        (Repeat::AtMostOnce, _) => "at-most-once",
        (Repeat::Deduplicated, DeduplicationScope::All) => "deduplicated/all",
        (Repeat::Deduplicated, DeduplicationScope::Zone) => "deduplicated/zone",
        (Repeat::Deduplicated, DeduplicationScope::Cell) => "deduplicated/cell",
        (Repeat::Deduplicated, DeduplicationScope::Unknown) => "deduplicated/host",
    }
}

impl FromStr for OperationFlag {
    type Err = OperationFlagError;

    fn from_str(text: &str) -> Result<Self, OperationFlagError> {
        let mut parts = text.split(':');
        let name = parts.next().filter(|name| !name.is_empty());
        let name = name.ok_or(OperationFlagError::NameMissing)?;
        let (repeat, scope) = parse_repeat(parts.next().unwrap_or_default())?;
        let mut operation = OperationFlag::named(name, repeat, scope);
        for part in parts {
            operation.apply(part)?;
        }
        Ok(operation)
    }
}

/// Writes the flag's text, with durations in whole microseconds.
impl fmt::Display for OperationFlag {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{}:{}:target={}us:timeout={}us:memory={}us:importance={}",
            self.name,
            repeat_text(self.repeat, self.scope),
            self.target.as_micros(),
            self.timeout.as_micros(),
            self.memory.as_micros(),
            self.importance,
        )?;
        if self.streamed {
            f.write_str(":streamed")?;
        }
        Ok(())
    }
}
