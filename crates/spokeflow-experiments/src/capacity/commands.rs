//! The `capacity`, `collect-slopes`, `measure-bytes` and `measure-load` subcommands.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use clap::Args;
use serde::Serialize;

use super::collect::collect;
use super::encoded;
use super::error::{CapacityError, MeasureLoadError};
use super::page::Page;
use super::rows::rows;
use super::served::{self, LoadParameters};
use super::slopes::Slopes;
use super::target::Target;

/// Flags of `capacity`.
#[derive(Args)]
pub struct CapacityFlags {
    /// File of the target, in TOML
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_TARGET",
        default_value = "docs/capacity/target.toml"
    )]
    target: PathBuf,
    /// File of the measured lines, as `collect-slopes` writes it
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_SLOPES",
        default_value = "docs/capacity/slopes.json"
    )]
    slopes: PathBuf,
    /// Print the rows as JSON instead of the page
    #[arg(long)]
    json: bool,
}

/// Flags of `collect-slopes`.
#[derive(Args)]
pub struct CollectFlags {
    /// Folder of raw runs
    #[arg(long, env = "SPOKEFLOW_LAB_RUNS", default_value = "docs/capacity/runs")]
    runs: PathBuf,
    /// File to write the measured lines to
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_SLOPES",
        default_value = "docs/capacity/slopes.json"
    )]
    out: PathBuf,
}

/// Flags of `measure-bytes`.
#[derive(Args)]
pub struct MeasureBytesFlags {
    /// File to write the records to
    #[arg(long, default_value = "docs/capacity/runs/bytes.json")]
    out: PathBuf,
    /// Date of the run, YYYY-MM-DD [default: today]
    #[arg(long)]
    date: Option<String>,
}

/// Flags of `measure-load`.
#[derive(Args)]
pub struct MeasureLoadFlags {
    /// Numbers of hosts to measure with, separated by commas
    #[arg(long, value_delimiter = ',', default_values_t = [38, 120, 300, 1000])]
    hosts: Vec<u32>,
    /// Requests per second
    #[arg(long, default_value_t = 300)]
    rate: u64,
    /// Seconds measured in each run, after a warm-up of four seconds
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Runs of the router at each number of hosts, and as many of the pass-through
    #[arg(long, default_value_t = 2)]
    runs: u32,
    /// Response time of a host
    #[arg(long, default_value = "150ms", value_parser = humantime::parse_duration)]
    answer_after: Duration,
    /// File to write the records to
    #[arg(long, default_value = "docs/capacity/runs/load.json")]
    out: PathBuf,
}

impl MeasureLoadFlags {
    fn check(&self) -> Result<(), MeasureLoadError> {
        let needed = [self.rate, self.seconds, u64::from(self.runs)];
        if self.hosts.is_empty() || self.hosts.contains(&0) || needed.contains(&0) {
            return Err(MeasureLoadError::Flags);
        }
        Ok(())
    }
}

/// Returns the text of the page, or its rows as JSON.
///
/// # Errors
/// Returns an error if the target or the measured lines cannot be read, or names the first entry that is not valid.
pub fn capacity(flags: &CapacityFlags) -> Result<String, CapacityError> {
    let target = Target::read(&flags.target)?;
    let slopes = Slopes::read(&flags.slopes)?;
    let rows = rows(&target, &slopes);
    if flags.json {
        let text = serde_json::to_string_pretty(&rows);
        return text
            .map(|text| text + "\n")
            .map_err(|error| CapacityError::new(&flags.slopes, "", error));
    }
    let target_file = flags.target.display();
    let slopes_file = flags.slopes.display();
    let command =
        format!("spokeflow-experiments capacity --target {target_file} --slopes {slopes_file}");
    Ok(Page {
        target: &target,
        slopes: &slopes,
        rows: &rows,
        command: &command,
    }
    .text())
}

/// Makes the measured lines from raw runs, writes them and returns their number.
///
/// # Errors
/// Returns an error if a raw run is not valid or the output file cannot be written.
pub fn collect_slopes(flags: &CollectFlags) -> Result<usize, CapacityError> {
    let slopes = collect(&flags.runs)?;
    write_json(&flags.out, &slopes)?;
    Ok(slopes.lines.len())
}

/// Measures encoded sizes, writes their records and returns the number of records.
///
/// # Errors
/// Returns an error if the output file cannot be written.
pub fn measure_bytes(flags: &MeasureBytesFlags) -> Result<usize, CapacityError> {
    let records = encoded::measure(&flags.date.clone().unwrap_or_else(today));
    write_json(&flags.out, &records)?;
    Ok(records.len())
}

/// Measures the time that a real router adds to a request, writes the records and returns their number.
///
/// # Errors
/// Returns an error if a flag is 0, the testbed cannot start, a run fails or the output file cannot be written. The
/// records measured before a failed run are written.
pub fn measure_load(flags: &MeasureLoadFlags) -> Result<usize, MeasureLoadError> {
    flags.check()?;
    let MeasureLoadFlags {
        hosts,
        rate,
        seconds,
        runs,
        answer_after,
        out,
    } = flags;
    let hosts = hosts.clone();
    let rate = *rate;
    let seconds = *seconds;
    let parameters = LoadParameters {
        hosts,
        rate,
        seconds,
        runs: *runs,
        answer_after: *answer_after,
    };
    let measured = served::measure(&parameters, &today())?;
    write_json(out, &measured.records)?;
    match measured.failure {
        Some(failure) => Err(MeasureLoadError::Incomplete {
            failure,
            records: measured.records.len(),
            file: out.clone(),
        }),
        None => Ok(measured.records.len()),
    }
}

fn today() -> String {
    let now = humantime::format_rfc3339_seconds(SystemTime::now()).to_string();
    now.chars().take("YYYY-MM-DD".len()).collect()
}

fn write_json(file: &Path, value: &impl Serialize) -> Result<(), CapacityError> {
    let to_error = |error: &dyn std::fmt::Display| CapacityError::new(file, "", error);
    let text = serde_json::to_string_pretty(value).map_err(|error| to_error(&error))?;
    std::fs::write(file, text + "\n").map_err(|error| to_error(&error))
}
