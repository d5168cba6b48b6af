//! Measured points as a flat JSON list, for the growth curves in `docs/capacity`.

use std::collections::BTreeMap;
use std::process::Command;

use serde::Serialize;

/// Names the file that the points are written to; nothing is written where it is not set.
const FILE_VARIABLE: &str = "SPOKEFLOW_POINTS";

#[derive(Debug, Serialize)]
pub struct Point {
    pub role: &'static str,
    pub quantity: &'static str,
    pub unit: &'static str,
    pub phase: &'static str,
    pub size_of: &'static str,
    pub size: u32,
    pub value: f64,
    pub min: f64,
    pub max: f64,
    /// What was the same for all sizes, and what shows that the point is sound.
    pub held: BTreeMap<&'static str, f64>,
    pub command: String,
    pub date: String,
}

impl Point {
    /// The median of the samples with their range; `samples` is not empty.
    pub fn of(mut samples: Vec<f64>, about: Point) -> Self {
        samples.sort_by(f64::total_cmp);
        let last = samples.len() - 1;
        Point {
            value: samples[last / 2],
            min: samples[0],
            max: samples[last],
            ..about
        }
    }
}

/// The present time in UTC, by the system's `date`; empty where there is none.
pub fn date() -> String {
    let output = Command::new("date")
        .args(["-u", "+%Y-%m-%dT%H:%M:%SZ"])
        .output();
    output
        .map(|o| String::from_utf8_lossy(&o.stdout).trim().to_string())
        .unwrap_or_default()
}

/// Writes the points to the file that `SPOKEFLOW_POINTS` names, if it does.
///
/// # Panics
/// Where the file cannot be written.
pub fn write(points: &[Point]) {
    let Some(path) = std::env::var_os(FILE_VARIABLE) else {
        return;
    };
    let text = serde_json::to_string_pretty(points).expect("plain values");
    std::fs::write(&path, text + "\n").expect("the file named by SPOKEFLOW_POINTS");
}
