//! The file that `GW_CONFIG` names.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use spokeflow_proto::RolloutUpdate;
use spokeflow_settings::Settings;

use crate::endpoint_table::Listing;
use crate::limits::{Limits, MIN_DESCRIPTORS};
use crate::rollout_line::RolloutLine;

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

#[derive(Clone, Debug, Deserialize)]
struct Deployer {
    address: SocketAddr,
    #[serde(default)]
    news: Option<RolloutLine>,
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
    pub settings: Settings,
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
        let settings = Settings::parse(file.settings.to_string().as_bytes())
            .map_err(|e| fault(e.to_string()))?;
        if settings.config.ops.is_empty() {
            return Err(fault("settings name no op type".into()).into());
        }
        let twice = |names: &[String]| (1..names.len()).any(|n| names[..n].contains(&names[n]));
        if twice(&settings.ops) || twice(&settings.customers) || twice(&settings.zones) {
            return Err(
                fault("settings name an op type, a customer or a zone twice".into()).into(),
            );
        }
        if file.limits.sockets < MIN_DESCRIPTORS {
            let sockets = file.limits.sockets;
            return Err(fault(format!(
                "limits.sockets {sockets}: {MIN_DESCRIPTORS} at least are needed"
            ))
            .into());
        }
        let news = match &file.deployer.news {
            None => None,
            Some(stage) => Some(
                stage
                    .to_news()
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
            settings,
        })
    }
}
