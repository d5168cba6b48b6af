//! Raw records of measuring runs, as the measuring programs write them.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{read_text, CapacityError};

/// Who has a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// A router as it carries requests.
    #[serde(rename = "router data side", alias = "router_data_side")]
    RouterData,
    /// A router as it follows the control plane.
    #[serde(rename = "router control side", alias = "router_control_side")]
    RouterControl,
    /// A router of the scale run, with its control side alone.
    #[serde(rename = "hollow router", alias = "hollow_router")]
    HollowRouter,
    /// A whole router process of the scale run.
    #[serde(rename = "real router", alias = "real_router")]
    RealRouter,
    /// A control-plane node that votes, leader or not.
    #[serde(rename = "voter")]
    Voter,
    /// The leading voter.
    #[serde(rename = "voter leader", alias = "voter_leader")]
    VoterLeader,
    /// A voter that follows.
    #[serde(rename = "voter follower", alias = "voter_follower")]
    VoterFollower,
    /// A relay between voters and routers; there is none yet.
    #[serde(rename = "relay or cache", alias = "relay_or_cache")]
    Relay,
    /// The source of the host list.
    #[serde(rename = "list source", alias = "list_source")]
    ListSource,
    /// What steers releases.
    #[serde(rename = "release controller", alias = "release_controller")]
    ReleaseController,
    /// The operator's command line.
    #[serde(rename = "operator's tool")]
    Tool,
    /// All routers together.
    #[serde(rename = "fleet")]
    Fleet,
    /// What measures, on the same machine.
    #[serde(rename = "harness")]
    Harness,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
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
pub(super) type FixedParameters = BTreeMap<String, serde_json::Value>;

/// One measured value at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Who has the cost.
    pub role: Role,
    /// What was measured.
    pub quantity: String,
    /// Of the value.
    pub unit: String,
    /// What went on meanwhile, such as `quiet`.
    pub phase: String,
    /// What `size` counts, such as `hosts`.
    pub size_of: String,
    /// At which the value was measured.
    pub size: f64,
    /// The measured value.
    pub value: f64,
    /// Smallest of repeated runs; none where the run was not repeated.
    pub min: Option<f64>,
    /// Largest of repeated runs.
    pub max: Option<f64>,
    /// What the spread is taken over, such as the processes of one run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread_of: Option<String>,
    /// Runs that the value is of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runs: Option<u32>,
    /// Parameters that stay the same over the sizes.
    #[serde(rename = "held")]
    pub fixed: FixedParameters,
    /// The command that measured it.
    pub command: String,
    /// Of the run, YYYY-MM-DD.
    pub date: String,
}

/// A run's own report, of which only the records are looked at.
#[derive(Deserialize)]
struct Report {
    figures: Vec<Record>,
}

/// Reads one run's records, as a list or within its report.
///
/// # Errors
/// The file, and the entry that is missing, unknown, of a wrong type or out of its limits.
pub fn read_records(file: &Path) -> Result<Vec<Record>, CapacityError> {
    let text = read_text(file)?;
    let records = match text.trim_start().starts_with('{') {
        true => parse_json::<Report>(file, &text)?.figures,
        false => parse_json(file, &text)?,
    };
    for (n, record) in records.iter().enumerate() {
        if let Some((entry, wanted)) = record.fault() {
            return Err(CapacityError::new(
                file,
                format!("[{n}].{entry}"),
                format!("{wanted} wanted"),
            ));
        }
    }
    Ok(records)
}

impl Record {
    /// The first entry that is out of its limits, and what is wanted there.
    fn fault(&self) -> Option<(&'static str, &'static str)> {
        let texts = [
            ("quantity", &self.quantity),
            ("unit", &self.unit),
            ("phase", &self.phase),
            ("size_of", &self.size_of),
            ("command", &self.command),
            ("date", &self.date),
        ];
        if let Some((entry, _)) = texts.iter().find(|(_, text)| text.trim().is_empty()) {
            return Some((entry, "a text"));
        }
        if !is_size(self.size) {
            return Some(("size", "a number above 0 and at most 1e15"));
        }
        if !is_value(self.value) {
            return Some(("value", "a number from 0 to 1e15"));
        }
        (!is_spread(self.min, self.value, self.max)).then_some(("min", SPREAD))
    }
}

/// Largest size and value that are believed.
const SANE: f64 = 1e15;
/// Part of a value by which a mean of equal numbers may miss them.
const ROUNDING: f64 = 1e-9;
/// What is wanted of a spread.
pub(super) const SPREAD: &str = "min from 0 to value, and max from value to 1e15";

/// Whether something can be measured at this size.
pub(super) fn is_size(size: f64) -> bool {
    size > 0.0 && size <= SANE
}

pub(super) fn is_value(value: f64) -> bool {
    (0.0..=SANE).contains(&value)
}

/// Whether a value lies within its spread, as far as that is known.
pub(super) fn is_spread(min: Option<f64>, value: f64, max: Option<f64>) -> bool {
    let rounding = value * ROUNDING;
    min.is_none_or(|min| (0.0..=value + rounding).contains(&min))
        && max.is_none_or(|max| (value - rounding..=SANE).contains(&max))
}

/// Reads JSON and names the entry that does not fit.
pub(super) fn parse_json<T: serde::de::DeserializeOwned>(
    file: &Path,
    text: &str,
) -> Result<T, CapacityError> {
    let mut document = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut document).map_err(|fault| {
        let entry = fault.path().to_string();
        CapacityError::new(file, entry, fault.into_inner())
    })?;
    document
        .end()
        .map_err(|fault| CapacityError::new(file, "", fault))?;
    Ok(value)
}
