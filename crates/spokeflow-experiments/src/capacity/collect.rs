//! Puts the records of all raw runs together into measured lines.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use super::error::CapacityError;
use super::records::{read_records, FixedParameters, Record};
use super::slopes::{Line, Point, Slopes};

/// What records of one line have in common.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    run: String,
    role: String,
    quantity: String,
    phase: String,
    per: String,
    unit: String,
    /// Sizes that were fixed, as text: JSON values have no order.
    fixed: Vec<String>,
}

/// What tells two sweeps over one size apart; other entries of `held` may differ from point to point.
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

/// Reads every raw run of a folder, in the order of their names, and makes the lines of it.
///
/// # Errors
/// The folder or a file in it, with the entry that does not fit.
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
    let fault = |error: std::io::Error| CapacityError::new(runs, "", error);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(runs).map_err(fault)? {
        let file = entry.map_err(fault)?.path();
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
            "no raw run (*.json) in this folder",
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
        fixed: fixed_sizes(record),
    }
}

fn fixed_sizes(record: &Record) -> Vec<String> {
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

/// What all records have alike, except the size that changes.
fn fixed_in_all(records: &[Record]) -> FixedParameters {
    let Some(first) = records.first() else {
        return FixedParameters::new();
    };
    let alike = |name: &str, value: &serde_json::Value| {
        records
            .iter()
            .all(|record| record.fixed.get(name) == Some(value))
    };
    let fixed = first
        .fixed
        .iter()
        .filter(|(name, value)| **name != first.size_of && alike(name, value));
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
        fixed: fixed_in_all(&records),
        command: first.command.clone(),
        date: first.date.clone(),
        run: key.run,
        points: points(&records),
    })
}

/// One point for each size: the median of its records, and the spread of all.
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
    let repeated = values.len() > 1;
    let lows = records
        .iter()
        .filter_map(|record| record.min.or(repeated.then_some(record.value)));
    let highs = records
        .iter()
        .filter_map(|record| record.max.or(repeated.then_some(record.value)));
    Point {
        size,
        value,
        min: lows.reduce(f64::min),
        max: highs.reduce(f64::max),
    }
}

/// Lines that differ only in what was fixed, or in their unit, get a number behind their id.
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
