//! Groups the records of all raw runs into measured lines.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use super::error::CapacityError;
use super::records::{read_records, FixedParameters, Record};
use super::slopes::{Line, Point, Slopes};

/// The attributes that all records of one line share.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    run: String,
    role: String,
    quantity: String,
    phase: String,
    per: String,
    unit: String,
    /// The sizes that were held constant, as text because JSON values have no order.
    fixed: Vec<String>,
}

/// Entries of `held` that distinguish two sweeps over the same size. Other entries of `held` may differ from point to
/// point of one line.
const SWEEP_SIZES: [&str; 9] = [
    "routers",
    "hosts",
    "tenants",
    "voters",
    "changes_per_minute",
    "fleet_size",
    "commands_per_s",
    "real",
    "hollow_per_process",
];

/// Reads every raw run of a folder, in the order of the file names, and returns the lines made of their records.
///
/// # Errors
/// Returns an error if the folder or a file in it cannot be read, or names the first entry that is not valid.
pub fn collect(runs: &Path) -> Result<Slopes, CapacityError> {
    let mut lines = Vec::new();
    for file in run_files(runs)? {
        let records = read_records(&file)?;
        let run = file
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        lines.extend(lines_of(&run, records));
    }
    number_equal_ids(&mut lines);
    let slopes = Slopes { lines };
    slopes.check(runs)?;
    Ok(slopes)
}

fn run_files(runs: &Path) -> Result<Vec<PathBuf>, CapacityError> {
    let to_error = |error: std::io::Error| CapacityError::new(runs, "", error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(runs).map_err(to_error)? {
        let file = entry.map_err(to_error)?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(file);
        }
    }
    if files.is_empty() {
        return Err(CapacityError::new(
            runs,
            "",
            "expected at least one raw run (*.json) in this folder, got none",
        ));
    }
    files.sort();
    Ok(files)
}

fn lines_of(run: &str, records: Vec<Record>) -> Vec<Line> {
    let mut by_line: BTreeMap<Key, Vec<Record>> = BTreeMap::new();
    for record in records {
        by_line.entry(key(run, &record)).or_default().push(record);
    }
    by_line
        .into_iter()
        .filter_map(|(key, records)| line(key, records))
        .collect()
}

fn key(run: &str, record: &Record) -> Key {
    Key {
        run: run.to_string(),
        role: record.role.to_string(),
        quantity: record.quantity.clone(),
        phase: record.phase.clone(),
        per: record.size_of.clone(),
        unit: record.unit.clone(),
        fixed: fixed_sweep_sizes(record),
    }
}

fn fixed_sweep_sizes(record: &Record) -> Vec<String> {
    let changing = record.size_of.replace('-', "_");
    let fixed = SWEEP_SIZES
        .iter()
        .filter_map(|name| Some((*name, record.fixed.get(*name)?)));
    // The size that changes is listed again under its own name.
    let others =
        fixed.filter(|(name, value)| *name != changing || value.as_f64() != Some(record.size));
    others
        .map(|(name, value)| format!("{name} {value}"))
        .collect()
}

/// Returns the parameters that have the same value in all records, except the size that changes.
fn parameters_fixed_in_all(records: &[Record]) -> FixedParameters {
    let Some(first) = records.first() else {
        return FixedParameters::new();
    };
    let is_constant = |name: &str, value: &serde_json::Value| {
        records
            .iter()
            .all(|record| record.fixed.get(name) == Some(value))
    };
    let fixed = first
        .fixed
        .iter()
        .filter(|(name, value)| **name != first.size_of && is_constant(name, value));
    fixed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn line(key: Key, records: Vec<Record>) -> Option<Line> {
    let first = records.first()?;
    let run = key.run.strip_suffix(".json").unwrap_or(&key.run);
    Some(Line {
        id: format!(
            "{run}: {}, {}, {}, by {}",
            key.role, key.quantity, key.phase, key.per
        ),
        role: first.role,
        quantity: key.quantity,
        unit: key.unit,
        per: key.per,
        phase: key.phase,
        fixed: parameters_fixed_in_all(&records),
        command: first.command.clone(),
        date: first.date.clone(),
        run: key.run,
        points: points(&records),
    })
}

/// Returns one point for each size: the median of its records, and their overall minimum and maximum.
fn points(records: &[Record]) -> Vec<Point> {
    let mut sizes: Vec<f64> = records.iter().map(|record| record.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
        .into_iter()
        .map(|size| {
            point(
                size,
                records
                    .iter()
                    .filter(|record| record.size == size)
                    .collect(),
            )
        })
        .collect()
}

fn point(size: f64, records: Vec<&Record>) -> Point {
    let mut values: Vec<f64> = records.iter().map(|record| record.value).collect();
    values.sort_by(f64::total_cmp);
    let value = values[(values.len() - 1) / 2];
    let is_repeated = values.len() > 1;
    let minima = records
        .iter()
        .filter_map(|record| record.min.or(is_repeated.then_some(record.value)));
    let maxima = records
        .iter()
        .filter_map(|record| record.max.or(is_repeated.then_some(record.value)));
    Point {
        size,
        value,
        min: minima.reduce(f64::min),
        max: maxima.reduce(f64::max),
    }
}

/// Appends a number to the ids of lines that differ only in their fixed parameters or their unit, to make ids unique.
fn number_equal_ids(lines: &mut [Line]) {
    let mut count_by_id: BTreeMap<String, usize> = BTreeMap::new();
    for line in lines {
        let count = count_by_id.entry(line.id.clone()).or_default();
        *count += 1;
        if *count > 1 {
            line.id = format!("{} ({count})", line.id);
        }
    }
}
