//! Why settings cannot be read.

/// Why settings cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is no such object.
    #[error("settings do not parse: {0}")]
    Parse(#[from] serde_json::Error),
    /// The way in which votes move a rollout is none of the known ones.
    #[error("settings: gate_mode '{0}' is not known")]
    UnknownGateMode(String),
}
