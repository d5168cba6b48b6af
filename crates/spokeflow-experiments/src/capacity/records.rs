//! Raw records of measurement runs, as the measuring programs write them.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{read_text, CapacityError};

/// The part of the deployment whose cost is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// The request path of a router.
    #[serde(rename = "router data side", alias = "router_data_side")]
    RouterData,
    /// The part of a router that follows the control plane.
    #[serde(rename = "router control side", alias = "router_control_side")]
    RouterControl,
    /// A router of the scale run that runs only its control side.
    #[serde(rename = "hollow router", alias = "hollow_router")]
    HollowRouter,
    /// A complete router process of the scale run.
    #[serde(rename = "real router", alias = "real_router")]
    RealRouter,
    /// A control-plane node that votes, as leader or follower.
    #[serde(rename = "voter")]
    Voter,
    /// The voter that is the leader.
    #[serde(rename = "voter leader", alias = "voter_leader")]
    VoterLeader,
    /// A voter that is a follower.
    #[serde(rename = "voter follower", alias = "voter_follower")]
    VoterFollower,
    /// A relay between voters and routers; not implemented yet.
    #[serde(rename = "relay or cache", alias = "relay_or_cache")]
    Relay,
    /// The source of the host list.
    #[serde(rename = "list source", alias = "list_source")]
    ListSource,
    /// The controller of releases.
    #[serde(rename = "release controller", alias = "release_controller")]
    ReleaseController,
    /// The operator's command line tool.
    #[serde(rename = "operator's tool")]
    Tool,
    /// All routers together.
    #[serde(rename = "fleet")]
    Fleet,
    /// The measuring program itself, on the same machine.
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

/// Names and values of the parameters that were held constant while one size changed.
pub(super) type FixedParameters = BTreeMap<String, serde_json::Value>;

/// One measured value at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The role that has the cost.
    pub role: Role,
    /// Name of the measured quantity.
    pub quantity: String,
    /// Unit of the value.
    pub unit: String,
    /// Phase of the run in which the value was measured, such as `quiet`.
    pub phase: String,
    /// Name of the size that `size` gives, such as `hosts`.
    pub size_of: String,
    /// Size at which the value was measured.
    pub size: f64,
    /// The measured value.
    pub value: f64,
    /// Smallest value of repeated runs; `None` if the run was not repeated.
    pub min: Option<f64>,
    /// Largest value of repeated runs; `None` if the run was not repeated.
    pub max: Option<f64>,
    /// Items over which `min` and `max` are taken, such as the processes of one run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread_of: Option<String>,
    /// Number of runs that the value is computed from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runs: Option<u32>,
    /// Parameters that were held constant over the sizes.
    #[serde(rename = "held")]
    pub fixed: FixedParameters,
    /// The command that measured it.
    pub command: String,
    /// Date of the run, YYYY-MM-DD.
    pub date: String,
}

/// The report of a run, of which only the records are read.
#[derive(Deserialize)]
struct Report {
    figures: Vec<Record>,
}

/// Reads the records of one run. The file holds either a list of records or a report with the records in `figures`.
///
/// # Errors
/// Returns an error if the file cannot be read, or names the first entry that is missing, unknown, of a wrong type or
/// out of range.
pub fn read_records(file: &Path) -> Result<Vec<Record>, CapacityError> {
    let text = read_text(file)?;
    let records = match text.trim_start().starts_with('{') {
        true => parse_json::<Report>(file, &text)?.figures,
        false => parse_json(file, &text)?,
    };
    for (n, record) in records.iter().enumerate() {
        if let Some((entry, problem)) = record.first_invalid_entry() {
            return Err(CapacityError::new(file, format!("[{n}].{entry}"), problem));
        }
    }
    Ok(records)
}

impl Record {
    /// Returns the first entry that is not valid and a description of the problem, or `None` if all are valid.
    fn first_invalid_entry(&self) -> Option<(&'static str, String)> {
        let texts = [
            ("quantity", &self.quantity),
            ("unit", &self.unit),
            ("phase", &self.phase),
            ("size_of", &self.size_of),
            ("command", &self.command),
            ("date", &self.date),
        ];
        if let Some((entry, text)) = texts.iter().find(|(_, text)| text.trim().is_empty()) {
            return Some((entry, empty_text_problem(text)));
        }
        if !is_size(self.size) {
            return Some(("size", size_problem(self.size)));
        }
        if !is_value(self.value) {
            return Some(("value", value_problem(self.value)));
        }
        (!is_spread(self.min, self.value, self.max))
            .then(|| ("min", spread_problem(self.min, self.value, self.max)))
    }
}

/// Largest size and value that are accepted.
const MAX_VALUE: f64 = 1e15;
/// Relative rounding error that a mean of equal numbers may have.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Returns the error message for a text that is empty or blank.
pub(super) fn empty_text_problem(text: &str) -> String {
    format!("expected a non-empty text, got \"{text}\"")
}

/// Returns the error message for a size that is out of range.
pub(super) fn size_problem(size: f64) -> String {
    format!("expected a number above 0 and at most 1e15, got {size}")
}

/// Returns the error message for a value that is out of range.
pub(super) fn value_problem(value: f64) -> String {
    format!("expected a number from 0 to 1e15, got {value}")
}

/// Returns the error message for a value that is not within its minimum and maximum.
pub(super) fn spread_problem(min: Option<f64>, value: f64, max: Option<f64>) -> String {
    let optional = |bound: Option<f64>| bound.map_or("null".to_string(), |bound| bound.to_string());
    format!(
        "expected min from 0 to value, and max from value to 1e15, got min {}, value {value}, max {}",
        optional(min),
        optional(max)
    )
}

/// Returns whether a size is in the permitted range.
pub(super) fn is_size(size: f64) -> bool {
    size > 0.0 && size <= MAX_VALUE
}

/// Returns whether a measured value is in the permitted range.
pub(super) fn is_value(value: f64) -> bool {
    (0.0..=MAX_VALUE).contains(&value)
}

/// Returns whether a value lies within its minimum and maximum, as far as these are known.
pub(super) fn is_spread(min: Option<f64>, value: f64, max: Option<f64>) -> bool {
    let rounding = value * ROUNDING_TOLERANCE;
    min.is_none_or(|min| (0.0..=value + rounding).contains(&min))
        && max.is_none_or(|max| (value - rounding..=MAX_VALUE).contains(&max))
}

/// Parses JSON. The error names the entry that is not valid.
pub(super) fn parse_json<T: serde::de::DeserializeOwned>(
    file: &Path,
    text: &str,
) -> Result<T, CapacityError> {
    let mut document = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut document).map_err(|error| {
        let entry = error.path().to_string();
        CapacityError::new(file, entry, error.into_inner())
    })?;
    document
        .end()
        .map_err(|error| CapacityError::new(file, "", error))?;
    Ok(value)
}
