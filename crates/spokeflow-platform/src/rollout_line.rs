//! The state of a rollout in the platform's form: fields of a line, or an object of the configuration.

use serde::Deserialize;
use spokeflow_proto::{RolloutPhase, RolloutUpdate};

/// The newest build's state, as the platform words it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RolloutLine {
    release: u16,
    tranche: u8,
    mode: String,
    exposure: f64,
    old_ms: u64,
}

impl RolloutLine {
    /// Parses the fields of a line, in the order in which the platform sends them.
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

    /// `None` where the mode is not known or the exposure is no fraction.
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
