//! Writes measured points as a flat JSON list, for the growth curves in `docs/capacity`.

use std::collections::BTreeMap;
use std::process::Command;

use serde::Serialize;

/// Environment variable with the path of the file that the points are written to; nothing is
/// written if it is not set.
const FILE_VARIABLE: &str = "SPOKEFLOW_POINTS";

/// One measured value with its range and the conditions of the measurement.
#[derive(Debug, Serialize)]
pub(crate) struct Point {
    pub(crate) role: &'static str,
    pub(crate) quantity: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) phase: &'static str,
    pub(crate) size_of: &'static str,
    pub(crate) size: u32,
    pub(crate) value: f64,
    pub(crate) min: f64,
    pub(crate) max: f64,
    /// The parameters that were equal for all sizes, and counts that show whether the point is
    /// valid.
    pub(crate) held: BTreeMap<&'static str, f64>,
    pub(crate) command: String,
    pub(crate) date: String,
}

impl Point {
    /// Sets the value to the median of the samples, and the range to theirs; `samples` must not be
    /// empty.
    pub(crate) fn from_samples(mut samples: Vec<f64>, description: Point) -> Self {
        samples.sort_by(f64::total_cmp);
        let last = samples.len() - 1;
        Point {
            value: samples[last / 2],
            min: samples[0],
            max: samples[last],
            ..description
        }
    }
}

/// The present time in UTC by the `date` program; empty if it cannot be run.
pub(crate) fn date() -> String {
    let output = Command::new("date")
        .args(["-u", "+%Y-%m-%dT%H:%M:%SZ"])
        .output();
    output
        .map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string())
        .unwrap_or_default()
}

/// Writes the points to the file named by `SPOKEFLOW_POINTS`, if that is set.
///
/// # Panics
/// If the file cannot be written.
pub(crate) fn write(points: &[Point]) {
    let Some(path) = std::env::var_os(FILE_VARIABLE) else {
        return;
    };
    let text = serde_json::to_string_pretty(points).expect("points serialize to JSON");
    std::fs::write(&path, text + "\n").expect("the file named by SPOKEFLOW_POINTS is writable");
}
