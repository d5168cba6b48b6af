//! Plays many runs in parallel and stores each result when its run ends, so that an interrupted sweep resumes with the
//! runs that have no result yet.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use indicatif::{ProgressBar, ProgressStyle};
use spokeflow_simulator::play;
use thiserror::Error;

use crate::charts::{self, ChartError};
use crate::plan::{fnv1a, PlannedRun};
use crate::store::{Store, StoreError, StoredResult};
use crate::tables::{self, GroupKey, TableError};

/// Capacity of the queue between worker threads and the store: large enough that workers do not wait for a single write
/// to the disk.
const RESULT_QUEUE_CAPACITY: usize = 64;

/// Runs between two progress lines, which replace the progress bar where standard error is not a terminal.
const RUNS_PER_PROGRESS_LINE: usize = 50;

/// A sweep ended early, or its files could not be written.
#[derive(Debug, Error)]
pub enum SweepError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A table could not be formatted.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A chart could not be written.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// The folder or a table could not be written.
    #[error("cannot write tables to --out {}: {source}", folder.display())]
    Out {
        /// The output folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Returns the label of this program in the store: its version and a hash of the executable, so that results of two
/// builds stay apart.
pub fn current_build() -> String {
    let bytes = std::env::current_exe()
        .and_then(std::fs::read)
        .unwrap_or_default();
    let hash = fnv1a(&bytes);
    format!("{}-{:08x}", env!("CARGO_PKG_VERSION"), hash >> 32)
}

/// Plays the runs without a result in the store. Returns the results of all `runs`, in the order of the store.
///
/// # Errors
/// The store cannot be read or written.
pub fn sweep(
    store: &Store,
    build: &str,
    runs: &[PlannedRun],
    jobs: usize,
) -> Result<Vec<StoredResult>, StoreError> {
    let mut missing = Vec::new();
    for run in runs {
        if !store.has(build, &run.key())? {
            missing.push(run);
        }
    }
    let stored_count = runs.len() - missing.len();
    if stored_count > 0 {
        eprintln!("{stored_count} of {} runs are in the store", runs.len());
    }
    let mut progress = Progress::new(runs.len(), stored_count);
    let outcome = play_into(store, build, &missing, jobs, &mut progress);
    progress.bar.finish_and_clear();
    outcome?;
    let planned: BTreeSet<RunId> = runs.iter().map(RunId::of_planned).collect();
    let mut results = store.all()?;
    results.retain(|stored| stored.build == build && planned.contains(&RunId::of_stored(stored)));
    Ok(results)
}

/// The identity of a run among those of one build.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RunId {
    group: GroupKey,
    seed: u64,
}

impl RunId {
    fn of_planned(run: &PlannedRun) -> Self {
        RunId {
            group: GroupKey {
                scenario: run.scenario_name.clone(),
                size: run.size.clone(),
                overrides: run.overrides.clone(),
                strategy: run.strategy.to_string(),
            },
            seed: run.seed,
        }
    }

    fn of_stored(stored: &StoredResult) -> Self {
        RunId {
            group: GroupKey::of(stored),
            seed: stored.seed,
        }
    }
}

/// The progress display: a bar on a terminal, lines elsewhere.
struct Progress {
    bar: ProgressBar,
    done: usize,
    total: usize,
}

impl Progress {
    fn new(total: usize, done: usize) -> Self {
        let bar = ProgressBar::new(total as u64);
        let template = "{pos} of {len} runs, {elapsed} elapsed, {eta} left {wide_msg}";
        if let Ok(style) = ProgressStyle::with_template(template) {
            bar.set_style(style);
        }
        bar.set_position(done as u64);
        Progress { bar, done, total }
    }

    fn add_run(&mut self) {
        self.bar.inc(1);
        self.done += 1;
        let is_line_due =
            self.done.is_multiple_of(RUNS_PER_PROGRESS_LINE) || self.done == self.total;
        if self.bar.is_hidden() && is_line_due {
            eprintln!("{} of {} runs done", self.done, self.total);
        }
    }
}

/// Plays the runs on `jobs` threads and stores their results on this one, until all are stored or a write fails.
fn play_into(
    store: &Store,
    build: &str,
    runs: &[&PlannedRun],
    jobs: usize,
    progress: &mut Progress,
) -> Result<(), StoreError> {
    let next = AtomicUsize::new(0);
    let (sender, receiver) =
        mpsc::sync_channel::<(&PlannedRun, StoredResult)>(RESULT_QUEUE_CAPACITY);
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, runs.len().max(1)) {
            let sender = sender.clone();
            let next = &next;
            scope.spawn(move || {
                while let Some(run) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    if sender.send((run, play_planned(run, build))).is_err() {
                        return;
                    }
                }
            });
        }
        // The loop below ends when the last worker has dropped its sender.
        drop(sender);
        // Consumes the receiver: a failed write drops it, so the next send of each worker fails and the worker ends.
        for (run, stored) in receiver {
            store.put(&run.key(), &stored)?;
            progress.add_run();
        }
        Ok(())
    })
}

fn play_planned(run: &PlannedRun, build: &str) -> StoredResult {
    let mut report = play(&run.scenario, run.strategy, true).report;
    // The curves are only charted for single runs; in a sweep they would take megabytes.
    report.over_time.clear();
    StoredResult {
        build: build.to_string(),
        scenario: run.scenario_name.clone(),
        seed: run.seed,
        size: run.size.clone(),
        overrides: run.overrides.clone(),
        strategy: run.strategy.to_string(),
        report,
    }
}

/// Writes the table and chart of results into a folder: `name.md`, `name.csv`, `name.svg` and `name.png`. Returns the
/// table as text.
///
/// # Errors
/// A file cannot be written.
pub fn write_out(
    results: &[StoredResult],
    folder: &Path,
    name: &str,
) -> Result<String, SweepError> {
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
    charts::draw_services(folder, name, &groups)?;
    Ok(tables::text(&tables::HEAD, &rows))
}
