//! Reads the settings object into the decision module's configuration. The simulator's first message and the
//! platform's configuration both contain this object, and share this reader so that they cannot diverge. Unknown keys
//! are ignored.

mod error;
mod object;
mod settings;

pub use error::SettingsError;
pub use settings::{micros_from_seconds, Settings};
