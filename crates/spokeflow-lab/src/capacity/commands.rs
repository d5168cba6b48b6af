//! The commands of this module.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

use clap::Args;
use serde::Serialize;

use super::collect::collect;
use super::encoded;
use super::error::CapacityError;
use super::page::Page;
use super::rows::rows;
use super::slopes::Slopes;
use super::target::Target;

#[derive(Args)]
pub struct CapacityFlags {
    /// The target, as TOML
    #[arg(long, env = "SPOKEFLOW_LAB_TARGET", default_value = "docs/capacity/target.toml")]
    target: PathBuf,
    /// Measured lines, as `collect-slopes` writes them
    #[arg(long, env = "SPOKEFLOW_LAB_SLOPES", default_value = "docs/capacity/slopes.json")]
    slopes: PathBuf,
    /// Prints the rows as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct CollectFlags {
    /// Folder of raw runs
    #[arg(long, env = "SPOKEFLOW_LAB_RUNS", default_value = "docs/capacity/runs")]
    runs: PathBuf,
    /// Where the lines go
    #[arg(long, env = "SPOKEFLOW_LAB_SLOPES", default_value = "docs/capacity/slopes.json")]
    out: PathBuf,
}

#[derive(Args)]
pub struct MeasureFlags {
    /// Where the records go
    #[arg(long, default_value = "docs/capacity/runs/bytes.json")]
    out: PathBuf,
    /// Day of the run, YYYY-MM-DD [default: today]
    #[arg(long)]
    date: Option<String>,
}

/// Prints the page, or its rows as JSON.
///
/// Errors: the target or the lines, with the entry that does not fit.
pub fn capacity(flags: &CapacityFlags) -> Result<String, CapacityError> {
    let target = Target::read(&flags.target)?;
    let slopes = Slopes::read(&flags.slopes)?;
    let rows = rows(&target, &slopes);
    if flags.json {
        let text = serde_json::to_string_pretty(&rows);
        return text.map(|text| text + "\n").map_err(|e| CapacityError::new(&flags.slopes, "", e));
    }
    let (of, by) = (flags.target.display(), flags.slopes.display());
    let command = format!("spokeflow-lab capacity --target {of} --slopes {by}");
    Ok(Page { target: &target, slopes: &slopes, rows: &rows, command: &command }.text())
}

/// Makes the measured lines from raw runs and writes them. Answers how many lines there are.
///
/// Errors: a raw run, with the entry that does not fit, or the file that cannot be written.
pub fn collect_slopes(flags: &CollectFlags) -> Result<usize, CapacityError> {
    let slopes = collect(&flags.runs)?;
    write_json(&flags.out, &slopes)?;
    Ok(slopes.lines.len())
}

/// Measures encoded sizes and writes their records. Answers how many records there are.
///
/// Errors: the file that cannot be written.
pub fn measure_bytes(flags: &MeasureFlags) -> Result<usize, CapacityError> {
    let records = encoded::measure(&flags.date.clone().unwrap_or_else(today));
    write_json(&flags.out, &records)?;
    Ok(records.len())
}

fn today() -> String {
    let now = humantime::format_rfc3339_seconds(SystemTime::now()).to_string();
    now.chars().take("YYYY-MM-DD".len()).collect()
}

fn write_json(file: &Path, value: &impl Serialize) -> Result<(), CapacityError> {
    let fault = |e: &dyn std::fmt::Display| CapacityError::new(file, "", e);
    let text = serde_json::to_string_pretty(value).map_err(|e| fault(&e))?;
    std::fs::write(file, text + "\n").map_err(|e| fault(&e))
}
