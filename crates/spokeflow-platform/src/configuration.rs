//! The file that `GW_CONFIG` names.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use spokeflow_proto::{RolloutPhase, RolloutUpdate};
use spokeflow_settings::Settings;

use crate::roster::Listing;
use crate::serve::OTHERS;

/// Descriptors without which nothing can be served: two clients' and one host's beside all others.
const FEWEST: u64 = OTHERS + 3;

#[derive(Clone, Debug, Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    deployer: Deployer,
    #[serde(default)]
    known: Option<Listing>,
    settings: serde_json::Value,
}

/// What the platform grants this router.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Parts of a core.
    #[serde(default = "one")]
    pub cores: f64,
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
struct Deployer {
    address: SocketAddr,
    #[serde(default)]
    news: Option<Stage>,
}

/// The newest build's state, as the platform words it.
#[derive(Clone, Debug, Deserialize)]
pub struct Stage {
    release: u16,
    tranche: u8,
    mode: String,
    exposure: f64,
    old_ms: u64,
}

impl Stage {
    /// From the words of a line, in the order in which the platform says them.
    pub fn of_words(words: &[&str]) -> Option<Stage> {
        let [release, tranche, mode, exposure, old_ms] = words else {
            return None;
        };
        Some(Stage {
            release: release.parse().ok()?,
            tranche: tranche.parse().ok()?,
            mode: mode.to_string(),
            exposure: exposure.parse().ok()?,
            old_ms: old_ms.parse().ok()?,
        })
    }

    /// `None` where a word is not known or a number cannot be one.
    pub fn news(&self) -> Option<RolloutUpdate> {
        let standing = match self.mode.as_str() {
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
                phase: standing,
                exposure_cap: self.exposure as f32,
                age_us: self.old_ms.saturating_mul(1000),
            })
    }
}

/// All that a router is told at its start.
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub deployer: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub news: Option<RolloutUpdate>,
    pub known: Option<Listing>,
    pub told: Settings,
}

/// Why a file is no configuration, in one line.
#[derive(Debug)]
pub struct ConfigurationFault {
    pub what: String,
    /// It is no whole text: it may be in the middle of being replaced.
    pub torn: bool,
}

impl From<String> for ConfigurationFault {
    fn from(what: String) -> Self {
        ConfigurationFault { what, torn: false }
    }
}

impl Configuration {
    /// Errors: what cannot be read or does not fit, and where.
    pub fn read(path: &Path) -> Result<Configuration, ConfigurationFault> {
        let fault = |what: String| format!("{}: {what}", path.display());
        let torn = |what: String, torn| ConfigurationFault {
            what: fault(what),
            torn,
        };
        let text = std::fs::read(path)
            .map_err(|e| torn(e.to_string(), e.kind() == std::io::ErrorKind::NotFound))?;
        let file: File = serde_json::from_slice(&text)
            .map_err(|e| torn(e.to_string(), e.is_eof() || e.is_syntax()))?;
        let told = Settings::parse(file.settings.to_string().as_bytes())
            .map_err(|error| fault(error.to_string()))?;
        if told.config.ops.is_empty() {
            return Err(fault("settings name no op type".into()).into());
        }
        let twice = |names: &[String]| (1..names.len()).any(|n| names[..n].contains(&names[n]));
        if twice(&told.ops) || twice(&told.customers) || twice(&told.zones) {
            return Err(
                fault("settings name an op type, a customer or a zone twice".into()).into(),
            );
        }
        if file.limits.sockets < FEWEST {
            let sockets = file.limits.sockets;
            return Err(fault(format!(
                "limits.sockets {sockets}: {FEWEST} at least are needed"
            ))
            .into());
        }
        let news = match &file.deployer.news {
            None => None,
            Some(stage) => Some(
                stage
                    .news()
                    .ok_or_else(|| fault("deployer.news is no state of a build".into()))?,
            ),
        };
        let seed = u64::from_str_radix(&file.seed, 16);
        Ok(Configuration {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            deployer: file.deployer.address,
            seed: seed
                .map_err(|_| fault(format!("seed '{}' is no hexadecimal number", file.seed)))?,
            limits: file.limits,
            news,
            known: file.known,
            told,
        })
    }
}
