//! Plays many runs on all cores, writes each result as it comes, and goes on where an earlier sweep was cut off.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use indicatif::{ProgressBar, ProgressStyle};
use spokeflow_simulator::play;
use thiserror::Error;

use crate::charts::{self, ChartError};
use crate::plan::{fnv1a, Cell};
use crate::store::{Store, StoreError, Stored};
use crate::tables::{self, GroupKey, TableError};

/// Results on their way to the store: enough that players do not wait for one write to the disk.
const RESULTS_QUEUED: usize = 64;

/// Without a terminal, a line tells of the progress after so many runs.
const RUNS_BETWEEN_LINES: usize = 50;

/// Why a sweep ended early, or its files were not written.
#[derive(Debug, Error)]
pub enum SweepError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A table could not be made.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A chart could not be written.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// A table could not be written.
    #[error("--out {}: {source}", folder.display())]
    Out {
        /// Where it was to go.
        folder: PathBuf,
        /// What the system says.
        source: io::Error,
    },
}

/// The program that plays: its version and a number of its text, so that results of two builds are told apart.
pub fn own_build() -> String {
    let bytes = std::env::current_exe()
        .and_then(std::fs::read)
        .unwrap_or_default();
    let sum = fnv1a(&bytes);
    format!("{}-{:08x}", env!("CARGO_PKG_VERSION"), sum >> 32)
}

/// Plays what the store does not have. Answers the results of these cells, in the order of the store.
///
/// # Errors
/// The store cannot be read or written.
pub fn sweep(
    store: &Store,
    build: &str,
    cells: &[Cell],
    jobs: usize,
) -> Result<Vec<Stored>, StoreError> {
    let mut missing = Vec::new();
    for cell in cells {
        if !store.has(build, &cell.key())? {
            missing.push(cell);
        }
    }
    let stored = cells.len() - missing.len();
    if stored > 0 {
        eprintln!("{stored} of {} days are in the store", cells.len());
    }
    let mut progress = Progress::new(cells.len(), stored);
    let written = play_into(store, build, &missing, jobs, &mut progress);
    progress.bar.finish_and_clear();
    written?;
    let planned: BTreeSet<RunId> = cells.iter().map(RunId::of_cell).collect();
    let mut results = store.all()?;
    results.retain(|stored| stored.build == build && planned.contains(&RunId::of_stored(stored)));
    Ok(results)
}

/// What tells the runs of one build apart.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RunId {
    group: GroupKey,
    seed: u64,
}

impl RunId {
    fn of_cell(cell: &Cell) -> Self {
        RunId {
            group: GroupKey {
                scenario: cell.scenario_name.clone(),
                size: cell.size.clone(),
                overrides: cell.overrides.clone(),
                strategy: cell.strategy.to_string(),
            },
            seed: cell.seed,
        }
    }

    fn of_stored(stored: &Stored) -> Self {
        RunId {
            group: GroupKey::of(stored),
            seed: stored.seed,
        }
    }
}

/// A bar on a terminal, lines elsewhere.
struct Progress {
    bar: ProgressBar,
    done: usize,
    total: usize,
}

impl Progress {
    fn new(total: usize, done: usize) -> Self {
        let bar = ProgressBar::new(total as u64);
        let template = "{pos} of {len} days, {elapsed} gone, {eta} left {wide_msg}";
        if let Ok(style) = ProgressStyle::with_template(template) {
            bar.set_style(style);
        }
        bar.set_position(done as u64);
        Progress { bar, done, total }
    }

    fn add_run(&mut self) {
        self.bar.inc(1);
        self.done += 1;
        let line_is_due = self.done.is_multiple_of(RUNS_BETWEEN_LINES) || self.done == self.total;
        if self.bar.is_hidden() && line_is_due {
            eprintln!("{} of {} days", self.done, self.total);
        }
    }
}

/// Plays the cells on `jobs` threads and writes their results on this one, until all are written or a write fails.
fn play_into(
    store: &Store,
    build: &str,
    cells: &[&Cell],
    jobs: usize,
    progress: &mut Progress,
) -> Result<(), StoreError> {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::sync_channel::<(&Cell, Stored)>(RESULTS_QUEUED);
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, cells.len().max(1)) {
            let sender = sender.clone();
            let next = &next;
            scope.spawn(move || {
                while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if sender.send((cell, play_cell(cell, build))).is_err() {
                        return;
                    }
                }
            });
        }
        // The receiver ends when the last player has dropped its own.
        drop(sender);
        // By value: after a failed write it is dropped, and the players find nobody to send to and end.
        for (cell, stored) in receiver {
            store.put(&cell.key(), &stored)?;
            progress.add_run();
        }
        Ok(())
    })
}

fn play_cell(cell: &Cell, build: &str) -> Stored {
    let mut report = play(&cell.scenario, cell.strategy, true).report;
    // Curves are for single runs; a sweep would keep megabytes of them.
    report.over_time.clear();
    Stored {
        build: build.to_string(),
        scenario: cell.scenario_name.clone(),
        seed: cell.seed,
        size: cell.size.clone(),
        overrides: cell.overrides.clone(),
        strategy: cell.strategy.to_string(),
        report,
    }
}

/// Writes tables and charts of results into a folder: `name.md`, `name.csv`, `name.svg` and `name.png`. Answers
/// the table as text.
///
/// # Errors
/// A file cannot be written.
pub fn write_out(results: &[Stored], folder: &Path, name: &str) -> Result<String, SweepError> {
    let out_error = |source| SweepError::Out {
        folder: folder.to_path_buf(),
        source,
    };
    std::fs::create_dir_all(folder).map_err(out_error)?;
    let groups = tables::groups(results);
    let rows = tables::rows(&groups);
    let markdown = tables::markdown(&tables::HEAD, &rows);
    std::fs::write(folder.join(format!("{name}.md")), markdown).map_err(out_error)?;
    let csv = tables::comma_separated(&tables::HEAD, &rows)?;
    std::fs::write(folder.join(format!("{name}.csv")), csv).map_err(out_error)?;
    charts::services(folder, name, &groups)?;
    Ok(tables::text(&tables::HEAD, &rows))
}
