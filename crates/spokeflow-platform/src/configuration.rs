//! The configuration file, whose path is in `GW_CONFIG`.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use spokeflow_proto::RolloutUpdate;
use spokeflow_settings::{Settings, SettingsError};
use thiserror::Error;

use crate::endpoint_table::Listing;
use crate::limits::{Limits, MIN_DESCRIPTORS};
use crate::rollout_line::{RolloutLine, EXPECTED_STATE};

/// The configuration file, in the platform's form.
#[derive(Clone, Debug, Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Seed of the random draws, a hexadecimal number.
    #[serde(default)]
    seed: String,
    limits: Limits,
    deployer: Deployer,
    #[serde(default)]
    known: Option<Listing>,
    settings: serde_json::Value,
}

/// The release controller, and the state of the rollout when the file was written.
#[derive(Clone, Debug, Deserialize)]
struct Deployer {
    address: SocketAddr,
    #[serde(default, rename = "news")]
    rollout: Option<RolloutLine>,
}

/// The configuration of a router.
pub(crate) struct Configuration {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    /// Address of the release controller.
    pub(crate) release_controller: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) limits: Limits,
    /// State of the rollout when the file was written.
    pub(crate) rollout: Option<RolloutUpdate>,
    /// The host list when the file was written.
    pub(crate) known: Option<Listing>,
    pub(crate) settings: Settings,
}

/// The reason why a file is not a valid configuration.
#[derive(Debug, Error)]
pub(crate) enum ConfigurationError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("settings: no operation, expected at least one")]
    NoOperations,
    #[error("settings: {kind} '{name}' is listed more than once")]
    RepeatedName { kind: &'static str, name: String },
    #[error("limits.sockets: {0} file descriptors, expected at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors(u64),
    #[error("deployer.news: {0:?} is not a rollout state, expected {EXPECTED_STATE}")]
    Rollout(RolloutLine),
    #[error("seed: '{0}' is not a hexadecimal number of at most 64 bits")]
    Seed(String),
}

impl ConfigurationError {
    /// Whether the file is missing or is not valid JSON, as may happen while it is being replaced.
    pub(crate) fn is_incomplete_file(&self) -> bool {
        match self {
            ConfigurationError::Io(error) => error.kind() == io::ErrorKind::NotFound,
            ConfigurationError::Json(error) => error.is_eof() || error.is_syntax(),
            _ => false,
        }
    }
}

impl Configuration {
    /// Reads and checks the configuration file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a value in it is not valid.
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
            .map(|line| {
                let update = line.to_update();
                update.ok_or_else(|| ConfigurationError::Rollout(line.clone()))
            })
            .transpose()?;
        let seed = u64::from_str_radix(&file.seed, 16);
        Ok(Configuration {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            release_controller: file.deployer.address,
            seed: seed.map_err(|_| ConfigurationError::Seed(file.seed))?,
            limits: file.limits,
            rollout,
            known: file.known,
            settings,
        })
    }
}

/// Checks that there is an operation and that no name is listed twice: requests and listings refer to operations,
/// tenants and zones by name.
fn check_settings(settings: &Settings) -> Result<(), ConfigurationError> {
    if settings.config.ops.is_empty() {
        return Err(ConfigurationError::NoOperations);
    }
    let lists = [
        ("operation", &settings.ops),
        ("tenant", &settings.customers),
        ("zone", &settings.zones),
    ];
    for (kind, names) in lists {
        if let Some(name) = repeated_name(names) {
            let name = name.to_string();
            return Err(ConfigurationError::RepeatedName { kind, name });
        }
    }
    Ok(())
}

/// Returns the first name that occurs again later in the list.
fn repeated_name(names: &[String]) -> Option<&str> {
    let mut rest = names;
    while let Some((name, others)) = rest.split_first() {
        if others.contains(name) {
            return Some(name);
        }
        rest = others;
    }
    None
}
