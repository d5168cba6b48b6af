//! The state of a rollout in the platform's form: the fields of a line, or an object in the configuration.

use serde::Deserialize;
use spokeflow_proto::{RolloutPhase, RolloutUpdate};

/// What a state must contain to be accepted, for error messages.
pub(crate) const EXPECTED_STATE: &str =
    "mode IN_PROGRESS, ROLLING_BACK, COMPLETE or ROLLED_BACK and an exposure from 0 to 1";

/// The state of the newest build's rollout, in the platform's terms.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RolloutLine {
    /// Number of the build.
    release: u16,
    /// Number of the stage.
    tranche: u8,
    /// Phase of the rollout.
    mode: String,
    /// Exposure cap, a fraction.
    exposure: f64,
    /// Age of the state, in milliseconds.
    old_ms: u64,
}

impl RolloutLine {
    /// Parses the fields of a line, in the order in which the platform sends them; `None` if their number is wrong or
    /// one is not a valid number.
    pub(crate) fn parse(words: &[&str]) -> Option<RolloutLine> {
        let [release, tranche, mode, exposure, old_ms] = words else {
            return None;
        };
        Some(RolloutLine {
            release: release.parse().ok()?,
            tranche: tranche.parse().ok()?,
            mode: mode.to_string(),
            exposure: exposure.parse().ok()?,
            old_ms: old_ms.parse().ok()?,
        })
    }

    /// Converts the state to the engine's form; `None` if the mode is unknown or the exposure is not from 0 to 1.
    pub(crate) fn to_update(&self) -> Option<RolloutUpdate> {
        let phase = match self.mode.as_str() {
            "IN_PROGRESS" => RolloutPhase::Canary,
            "ROLLING_BACK" => RolloutPhase::RollingBack,
            "COMPLETE" => RolloutPhase::Released,
            "ROLLED_BACK" => RolloutPhase::Withdrawn,
            _ => return None,
        };
        (0.0..=1.0)
            .contains(&self.exposure)
            .then_some(RolloutUpdate {
                build: self.release,
                stage: self.tranche,
                phase,
                exposure_cap: self.exposure as f32,
                age_us: self.old_ms.saturating_mul(1000),
            })
    }
}
