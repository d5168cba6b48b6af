//! Raw records of measuring runs, as the measuring programs write them.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{read_text, CapacityError};

/// Who has a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    #[serde(rename = "router data side", alias = "router_data_side")]
    RouterData,
    #[serde(rename = "router control side", alias = "router_control_side")]
    RouterControl,
    #[serde(rename = "hollow router", alias = "hollow_router")]
    HollowRouter,
    #[serde(rename = "real router", alias = "real_router")]
    RealRouter,
    #[serde(rename = "voter")]
    Voter,
    #[serde(rename = "voter leader", alias = "voter_leader")]
    VoterLeader,
    #[serde(rename = "voter follower", alias = "voter_follower")]
    VoterFollower,
    #[serde(rename = "relay or cache", alias = "relay_or_cache")]
    Relay,
    #[serde(rename = "list source", alias = "list_source")]
    ListSource,
    #[serde(rename = "release controller", alias = "release_controller")]
    ReleaseController,
    #[serde(rename = "operator's tool")]
    Tool,
    #[serde(rename = "fleet")]
    Fleet,
    /// What measures, on the same machine.
    #[serde(rename = "harness")]
    Harness,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Role::RouterData => "router data side",
            Role::RouterControl => "router control side",
            Role::HollowRouter => "hollow router",
            Role::RealRouter => "real router",
            Role::Voter => "voter",
            Role::VoterLeader => "voter leader",
            Role::VoterFollower => "voter follower",
            Role::Relay => "relay or cache",
            Role::ListSource => "list source",
            Role::ReleaseController => "release controller",
            Role::Tool => "operator's tool",
            Role::Fleet => "fleet",
            Role::Harness => "harness",
        })
    }
}

/// What was kept alike while one size changed.
pub type Held = BTreeMap<String, serde_json::Value>;

/// One measured value at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    pub role: Role,
    pub quantity: String,
    pub unit: String,
    /// What went on meanwhile, such as `quiet`.
    pub phase: String,
    /// What `size` counts, such as `hosts`.
    pub size_of: String,
    pub size: f64,
    pub value: f64,
    /// Spread over repeated runs; none where the run was not repeated.
    pub min: Option<f64>,
    pub max: Option<f64>,
    /// What the spread is taken over, such as the processes of one run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread_of: Option<String>,
    pub held: Held,
    pub command: String,
    pub date: String,
}

/// Reads one run's records.
///
/// Errors: the file, and the entry that is missing, unknown or of a wrong type.
pub fn read_records(file: &Path) -> Result<Vec<Record>, CapacityError> {
    parse_json(file, &read_text(file)?)
}

/// Reads JSON and names the entry that does not fit.
pub fn parse_json<T: serde::de::DeserializeOwned>(file: &Path, text: &str) -> Result<T, CapacityError> {
    let mut document = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut document).map_err(|fault| {
        let entry = fault.path().to_string();
        CapacityError::new(file, entry, fault.into_inner())
    })?;
    document.end().map_err(|fault| CapacityError::new(file, "", fault))?;
    Ok(value)
}
