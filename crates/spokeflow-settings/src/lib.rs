//! The settings object that the simulator's first message and the platform's configuration both hold, turned into
//! the decision module's configuration: one reader, so that the two cannot drift apart. Unknown keys are passed over.

mod error;
mod object;
mod settings;

pub use error::SettingsError;
pub use settings::{micros_from_seconds, Settings};
