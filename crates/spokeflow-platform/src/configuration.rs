//! The file that `GW_CONFIG` names.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use spokeflow_proto::RolloutUpdate;
use spokeflow_settings::{Settings, SettingsError};
use thiserror::Error;

use crate::endpoint_table::Listing;
use crate::limits::{Limits, MIN_DESCRIPTORS};
use crate::rollout_line::RolloutLine;

/// The file, in the platform's words.
#[derive(Clone, Debug, Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// A hexadecimal number.
    #[serde(default)]
    seed: String,
    limits: Limits,
    deployer: Deployer,
    #[serde(default)]
    known: Option<Listing>,
    settings: serde_json::Value,
}

/// The release controller, and the rollout as it was when the file was written.
#[derive(Clone, Debug, Deserialize)]
struct Deployer {
    address: SocketAddr,
    #[serde(default, rename = "news")]
    rollout: Option<RolloutLine>,
}

/// What a router is configured with.
pub(crate) struct Configuration {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    /// The release controller.
    pub(crate) deployer: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) limits: Limits,
    /// The rollout as it was when the file was written.
    pub(crate) rollout: Option<RolloutUpdate>,
    /// The hosts as they were when the file was written.
    pub(crate) known: Option<Listing>,
    pub(crate) settings: Settings,
}

/// Why a file is no configuration.
#[derive(Debug, Error)]
pub(crate) enum ConfigurationError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("settings name no op type")]
    NoOperations,
    #[error("settings name an op type, a customer or a zone twice")]
    RepeatedName,
    #[error("limits.sockets {0}: {MIN_DESCRIPTORS} at least are needed")]
    TooFewDescriptors(u64),
    #[error("deployer.news is no state of a build")]
    Rollout,
    #[error("seed '{0}' is no hexadecimal number")]
    Seed(String),
}

impl ConfigurationError {
    /// Whether the file is no whole text: it may be in the middle of being replaced.
    pub(crate) fn is_incomplete_file(&self) -> bool {
        match self {
            ConfigurationError::Io(error) => error.kind() == io::ErrorKind::NotFound,
            ConfigurationError::Json(error) => error.is_eof() || error.is_syntax(),
            _ => false,
        }
    }
}

impl Configuration {
    /// # Errors
    ///
    /// The file cannot be read, or something in it does not fit.
    pub(crate) fn read(path: &Path) -> Result<Configuration, ConfigurationError> {
        let text = std::fs::read(path)?;
        let file: File = serde_json::from_slice(&text)?;
        let settings = Settings::parse(file.settings.to_string().as_bytes())?;
        check_settings(&settings)?;
        if file.limits.sockets < MIN_DESCRIPTORS {
            return Err(ConfigurationError::TooFewDescriptors(file.limits.sockets));
        }
        let rollout = file.deployer.rollout.as_ref();
        let rollout = rollout
            .map(|line| line.to_update().ok_or(ConfigurationError::Rollout))
            .transpose()?;
        let seed = u64::from_str_radix(&file.seed, 16);
        Ok(Configuration {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            deployer: file.deployer.address,
            seed: seed.map_err(|_| ConfigurationError::Seed(file.seed))?,
            limits: file.limits,
            rollout,
            known: file.known,
            settings,
        })
    }
}

/// The platform's routers find operations, tenants and zones by their names.
fn check_settings(settings: &Settings) -> Result<(), ConfigurationError> {
    if settings.config.ops.is_empty() {
        return Err(ConfigurationError::NoOperations);
    }
    let names = [&settings.ops, &settings.customers, &settings.zones];
    if names.into_iter().any(|names| has_repeated(names)) {
        return Err(ConfigurationError::RepeatedName);
    }
    Ok(())
}

fn has_repeated(names: &[String]) -> bool {
    let mut rest = names;
    while let Some((name, others)) = rest.split_first() {
        if others.contains(name) {
            return true;
        }
        rest = others;
    }
    false
}
