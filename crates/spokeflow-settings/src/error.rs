//! Errors of reading settings.

/// The reason why a settings object cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not a JSON settings object.
    #[error("settings do not parse: {0}")]
    Parse(#[from] serde_json::Error),
    /// The gate mode, which says whose votes promote a build, is unknown.
    #[error("settings: unknown gate_mode '{0}', expected 'single', 'majority' or 'clocked'")]
    UnknownGateMode(String),
}
