//! Plays many days on all cores, writes each result as it comes, and goes on where an earlier sweep was cut off.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use indicatif::{ProgressBar, ProgressStyle};
use spokeflow_simulator::play;

use crate::charts;
use crate::plan::{fnv1a, Cell};
use crate::store::{Store, Stored};
use crate::tables;

/// The program that plays: its version and a number of its text, so that results of two builds are told apart.
pub fn own_build() -> String {
    let bytes = std::env::current_exe()
        .and_then(std::fs::read)
        .unwrap_or_default();
    let sum = fnv1a(&bytes);
    format!("{}-{:08x}", env!("CARGO_PKG_VERSION"), sum >> 32)
}

/// Plays what the store does not have. Answers the results of these cells, in their order. Errors: the store.
pub fn sweep(
    store: &Store,
    build: &str,
    cells: &[Cell],
    jobs: usize,
) -> Result<Vec<Stored>, String> {
    let mut missing = Vec::new();
    for (n, cell) in cells.iter().enumerate() {
        if !store.has(build, &cell.key())? {
            missing.push(n);
        }
    }
    if missing.len() < cells.len() {
        eprintln!(
            "{} of {} days are in the store",
            cells.len() - missing.len(),
            cells.len()
        );
    }
    let bar = ProgressBar::new(cells.len() as u64);
    if let Ok(style) =
        ProgressStyle::with_template("{pos} of {len} days, {elapsed} gone, {eta} left {wide_msg}")
    {
        bar.set_style(style);
    }
    bar.set_position((cells.len() - missing.len()) as u64);
    let next = AtomicUsize::new(0);
    let (to, from) = mpsc::sync_channel::<(usize, Stored)>(64);
    let (mut written, mut quiet) = (Ok(()), cells.len() - missing.len());
    std::thread::scope(|s| {
        for _ in 0..jobs.clamp(1, missing.len().max(1)) {
            let (to, next, missing) = (to.clone(), &next, &missing);
            s.spawn(move || {
                while let Some(&n) = missing.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if to.send((n, one(&cells[n], build))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(to);
        for (n, stored) in &from {
            written = store.put(&cells[n].key(), &stored);
            if written.is_err() {
                break;
            }
            bar.inc(1);
            quiet += 1;
            if bar.is_hidden() && (quiet % 50 == 0 || quiet == cells.len()) {
                eprintln!("{quiet} of {} days", cells.len());
            }
        }
        // Those that still play find nobody to hand their result to, and end.
        drop(from);
    });
    bar.finish_and_clear();
    written?;
    let wanted: std::collections::BTreeMap<_, _> = cells
        .iter()
        .map(|c| {
            (
                (
                    c.scenario_name.clone(),
                    c.size.clone(),
                    c.overrides.clone(),
                    c.strategy.to_string(),
                    c.seed,
                ),
                (),
            )
        })
        .collect();
    let all = store.all()?;
    let of = |s: &Stored| {
        (
            s.day.clone(),
            s.size.clone(),
            s.terms.clone(),
            s.who.clone(),
            s.seed,
        )
    };
    Ok(all
        .into_iter()
        .filter(|s| s.build == build && wanted.contains_key(&of(s)))
        .collect())
}

pub fn one(cell: &Cell, build: &str) -> Stored {
    let mut report = play(&cell.scenario, cell.strategy, true).report;
    // Curves are for single days; a sweep would keep megabytes of them.
    report.over_time.clear();
    Stored {
        build: build.to_string(),
        day: cell.scenario_name.clone(),
        seed: cell.seed,
        size: cell.size.clone(),
        terms: cell.overrides.clone(),
        who: cell.strategy.to_string(),
        report,
    }
}

/// Tables and charts of results into a folder. Answers the table as text. Errors: a file cannot be written.
pub fn write_out(all: &[Stored], folder: &Path, name: &str) -> Result<String, String> {
    let fault = |e: std::io::Error| format!("--out {}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(fault)?;
    let groups = tables::groups(all);
    let (head, rows) = (tables::head(), tables::rows(&groups));
    std::fs::write(
        folder.join(format!("{name}.md")),
        tables::markdown(&head, &rows),
    )
    .map_err(fault)?;
    std::fs::write(
        folder.join(format!("{name}.csv")),
        tables::comma(&head, &rows)?,
    )
    .map_err(fault)?;
    charts::services(folder, name, &groups)?;
    Ok(tables::text(&head, &rows))
}
