//! The commands of this module.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use clap::Args;
use serde::Serialize;

use super::collect::collect;
use super::encoded;
use super::error::{CapacityError, MeasureLoadError};
use super::page::Page;
use super::rows::rows;
use super::served::{self, ServedTerms};
use super::slopes::Slopes;
use super::target::Target;

/// Flags of `capacity`.
#[derive(Args)]
pub struct CapacityFlags {
    /// The target, as TOML
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_TARGET",
        default_value = "docs/capacity/target.toml"
    )]
    target: PathBuf,
    /// Measured lines, as `collect-slopes` writes them
    #[arg(
        long,
        env = "SPOKEFLOW_LAB_SLOPES",
        default_value = "docs/capacity/slopes.json"
    )]
    slopes: PathBuf,
    /// Prints the rows as JSON
    #[arg(long)]
    json: bool,
}

/// Flags of `collect-slopes`.
#[derive(Args)]
pub struct CollectFlags {
    /// Folder of raw runs
    #[arg(long, env = "SPOKEFLOW_LAB_RUNS", default_value = "docs/capacity/runs")]
    runs: PathBuf,
    /// Where the lines go
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
    /// Where the records go
    #[arg(long, default_value = "docs/capacity/runs/bytes.json")]
    out: PathBuf,
    /// Day of the run, YYYY-MM-DD [default: today]
    #[arg(long)]
    date: Option<String>,
}

/// Flags of `measure-load`.
#[derive(Args)]
pub struct MeasureLoadFlags {
    /// Numbers of hosts, split by commas
    #[arg(long, value_delimiter = ',', default_values_t = [38, 120, 300, 1000])]
    hosts: Vec<u32>,
    /// Requests a second
    #[arg(long, default_value_t = 300)]
    rate: u64,
    /// Seconds measured in each run, after four that are not
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Runs of the router, and as many of the pass-through, at each number of hosts
    #[arg(long, default_value_t = 2)]
    runs: u32,
    /// Time until a host answers
    #[arg(long, default_value = "150ms", value_parser = humantime::parse_duration)]
    answer_after: Duration,
    /// Where the records go
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

/// Prints the page, or its rows as JSON.
///
/// # Errors
/// The target or the lines, with the entry that does not fit.
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
    let of = flags.target.display();
    let by = flags.slopes.display();
    let command = format!("spokeflow-experiments capacity --target {of} --slopes {by}");
    Ok(Page {
        target: &target,
        slopes: &slopes,
        rows: &rows,
        command: &command,
    }
    .text())
}

/// Makes the measured lines from raw runs and writes them. Answers how many lines there are.
///
/// # Errors
/// A raw run, with the entry that does not fit, or the file that cannot be written.
pub fn collect_slopes(flags: &CollectFlags) -> Result<usize, CapacityError> {
    let slopes = collect(&flags.runs)?;
    write_json(&flags.out, &slopes)?;
    Ok(slopes.lines.len())
}

/// Measures encoded sizes and writes their records. Answers how many records there are.
///
/// # Errors
/// The file that cannot be written.
pub fn measure_bytes(flags: &MeasureBytesFlags) -> Result<usize, CapacityError> {
    let records = encoded::measure(&flags.date.clone().unwrap_or_else(today));
    write_json(&flags.out, &records)?;
    Ok(records.len())
}

/// Measures what a real router adds to a request and writes the records. Answers how many there are.
///
/// # Errors
/// Wrong use, a router that does not start, or the file that cannot be written.
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
    let terms = ServedTerms {
        hosts,
        rate,
        seconds,
        runs: *runs,
        answer_after: *answer_after,
    };
    let served = served::measure(&terms, &today())?;
    write_json(out, &served.records)?;
    match served.failure {
        Some(failure) => Err(MeasureLoadError::Incomplete {
            failure,
            records: served.records.len(),
            file: out.clone(),
        }),
        None => Ok(served.records.len()),
    }
}

fn today() -> String {
    let now = humantime::format_rfc3339_seconds(SystemTime::now()).to_string();
    now.chars().take("YYYY-MM-DD".len()).collect()
}

fn write_json(file: &Path, value: &impl Serialize) -> Result<(), CapacityError> {
    let fault = |error: &dyn std::fmt::Display| CapacityError::new(file, "", error);
    let text = serde_json::to_string_pretty(value).map_err(|error| fault(&error))?;
    std::fs::write(file, text + "\n").map_err(|error| fault(&error))
}
