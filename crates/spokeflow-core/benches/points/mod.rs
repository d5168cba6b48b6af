//! Measured points as a flat JSON list, for the growth curves in `docs/capacity`.

use std::collections::BTreeMap;
use std::process::Command;

use serde::Serialize;

/// Names the file that the points are written to; nothing is written where it is not set.
const FILE_VARIABLE: &str = "SPOKEFLOW_POINTS";

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
    /// What was the same for all sizes, and what shows that the point is sound.
    pub(crate) held: BTreeMap<&'static str, f64>,
    pub(crate) command: String,
    pub(crate) date: String,
}

impl Point {
    /// The median of the samples with their range; `samples` is not empty.
    pub(crate) fn of(mut samples: Vec<f64>, description: Point) -> Self {
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

/// The present time in UTC, by the system's `date`; empty where there is none.
pub(crate) fn date() -> String {
    let output = Command::new("date")
        .args(["-u", "+%Y-%m-%dT%H:%M:%SZ"])
        .output();
    output
        .map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string())
        .unwrap_or_default()
}

/// Writes the points to the file that `SPOKEFLOW_POINTS` names, if it does.
///
/// # Panics
/// Where the file cannot be written.
pub(crate) fn write(points: &[Point]) {
    let Some(path) = std::env::var_os(FILE_VARIABLE) else {
        return;
    };
    let text = serde_json::to_string_pretty(points).expect("plain values");
    std::fs::write(&path, text + "\n").expect("the file named by SPOKEFLOW_POINTS");
}
