//! Reads the settings object into the decision module's configuration. The platform's configuration and the first
//! message of the external simulator that drives `spokeflow-wirehost` (not of `spokeflow-simulator`) both contain this
//! object, and share this reader so that they cannot diverge. Unknown keys are ignored.

mod error;
mod object;
mod settings;

pub use error::SettingsError;
pub use settings::{micros_from_seconds, Settings};
