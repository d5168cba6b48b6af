//! Tables of results for the terminal, as Markdown and as CSV. They hold no wall-clock times, so the same runs give the
//! same tables.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::store::StoredResult;

/// Column heads of [`rows`].
pub const HEAD: [&str; 13] = [
    "day",
    "size",
    "terms",
    "who",
    "days",
    "service",
    "+-",
    "worst 10 s",
    "p99 ms",
    "score",
    "good sent back",
    "bad missed",
    "days with a rule broken",
];

/// Half-width of a 95% interval of a normal distribution, in standard errors.
const NORMAL_QUANTILE_95: f64 = 1.96;

/// The least gain in service of full sight over random for which a score is computed: below it, the score would be
/// noise.
const MIN_GAIN: f64 = 1e-6;

/// A table could not be written as CSV.
#[derive(Debug, Error)]
pub enum TableError {
    /// A row could not be written.
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// The written CSV is not UTF-8.
    #[error(transparent)]
    NotText(#[from] std::string::FromUtf8Error),
}

/// What the runs of a group have in common: everything except the seed. Tables are sorted by these fields in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    /// The name of the scenario.
    pub scenario: String,
    /// The name of the deployment size.
    pub size: String,
    /// The overrides of settings, as written on the command line.
    pub overrides: String,
    /// The name of the routing strategy.
    pub strategy: String,
}

impl GroupKey {
    /// Returns the key of the group that a result belongs to.
    pub fn of(stored: &StoredResult) -> Self {
        GroupKey {
            scenario: stored.scenario.clone(),
            size: stored.size.clone(),
            overrides: stored.overrides.clone(),
            strategy: stored.strategy.clone(),
        }
    }

    /// Returns the key of the same runs by another strategy.
    fn with_strategy(&self, strategy: &str) -> Self {
        GroupKey {
            strategy: strategy.to_string(),
            ..self.clone()
        }
    }
}

/// Aggregate figures of the runs of a group.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// What the runs have in common.
    pub key: GroupKey,
    /// The number of runs.
    pub runs: usize,
    /// The mean service, 0 to 1.
    pub service: f64,
    /// Half the width of the 95% confidence interval of the mean service, by the normal approximation: runs are taken
    /// as independent draws from one distribution, and their mean as normally distributed.
    pub service_half_width: f64,
    /// The mean over the runs of the service in each run's worst ten seconds.
    pub worst_ten_seconds: f64,
    /// The mean over the runs of the 99th percentile of latency, in milliseconds.
    pub p99_ms: f64,
    /// The service on a scale from random (0) to full sight (1), over the seeds that the group and both baselines have
    /// played. `None` if full sight does not gain on random there.
    pub score: Option<f64>,
    /// Good builds that were rolled back, of `good_builds`.
    pub false_rollbacks: u32,
    /// Good builds that were offered.
    pub good_builds: u32,
    /// Bad builds that were not rolled back, of `bad_builds`.
    pub missed_builds: u32,
    /// Bad builds that were offered.
    pub bad_builds: u32,
    /// Runs in which a rule was broken.
    pub broken_runs: usize,
}

/// Results by the key of their group.
type Grouped<'a> = BTreeMap<GroupKey, Vec<&'a StoredResult>>;

/// Groups the results by scenario, size, overrides and strategy, and computes the figures of each group. Sorted by key.
pub fn groups(results: &[StoredResult]) -> Vec<Group> {
    let mut grouped = Grouped::new();
    for stored in results {
        grouped
            .entry(GroupKey::of(stored))
            .or_default()
            .push(stored);
    }
    grouped
        .iter()
        .map(|(key, runs)| group(key, runs, score(&grouped, key)))
        .collect()
}

fn group(key: &GroupKey, runs: &[&StoredResult], score: Option<f64>) -> Group {
    let count = runs.len() as f64;
    let mean = |figure: &dyn Fn(&StoredResult) -> f64| {
        runs.iter().map(|stored| figure(stored)).sum::<f64>() / count
    };
    let service = mean(&|stored| stored.report.service);
    let spread = mean(&|stored| (stored.report.service - service).powi(2)).sqrt();
    Group {
        key: key.clone(),
        runs: runs.len(),
        service,
        service_half_width: NORMAL_QUANTILE_95 * spread / (count - 1.0).max(1.0).sqrt(),
        worst_ten_seconds: mean(&|stored| stored.report.worst_ten_seconds),
        p99_ms: mean(&|stored| stored.report.p99_ms),
        score,
        false_rollbacks: runs.iter().map(|stored| stored.report.false_backs).sum(),
        good_builds: builds_offered(runs, false),
        missed_builds: runs.iter().map(|stored| stored.report.misses).sum(),
        bad_builds: builds_offered(runs, true),
        broken_runs: runs
            .iter()
            .filter(|stored| !stored.report.broken.is_empty())
            .count(),
    }
}

fn builds_offered(runs: &[&StoredResult], defective: bool) -> u32 {
    runs.iter()
        .flat_map(|stored| &stored.report.builds)
        .filter(|build| build.end != "not offered")
        .filter(|build| (build.flaw != "None") == defective)
        .count() as u32
}

/// Computes the score from the sums of service over the seeds that the group, random and full sight have all played.
fn score(grouped: &Grouped, key: &GroupKey) -> Option<f64> {
    let own = service_by_seed(grouped, key);
    let random = service_by_seed(grouped, &key.with_strategy("random"));
    let full_sight = service_by_seed(grouped, &key.with_strategy("full-sight"));
    let common: Vec<u64> = own
        .keys()
        .filter(|seed| random.contains_key(seed) && full_sight.contains_key(seed))
        .copied()
        .collect();
    let sum = |services: &BTreeMap<u64, f64>| common.iter().map(|seed| services[seed]).sum::<f64>();
    let gain = sum(&full_sight) - sum(&random);
    (gain > MIN_GAIN).then(|| (sum(&own) - sum(&random)) / gain)
}

fn service_by_seed(grouped: &Grouped, key: &GroupKey) -> BTreeMap<u64, f64> {
    let runs = grouped.get(key).map(Vec::as_slice).unwrap_or_default();
    runs.iter()
        .map(|stored| (stored.seed, stored.report.service))
        .collect()
}

/// Formats the groups as rows under [`HEAD`].
pub fn rows(groups: &[Group]) -> Vec<Vec<String>> {
    groups.iter().map(row).collect()
}

fn row(group: &Group) -> Vec<String> {
    vec![
        group.key.scenario.clone(),
        group.key.size.clone(),
        group.key.overrides.clone(),
        group.key.strategy.clone(),
        group.runs.to_string(),
        format!("{:.4}", group.service),
        format!("{:.4}", group.service_half_width),
        format!("{:.4}", group.worst_ten_seconds),
        format!("{:.0}", group.p99_ms),
        group
            .score
            .map_or("-".into(), |score| format!("{score:.3}")),
        format!("{} of {}", group.false_rollbacks, group.good_builds),
        format!("{} of {}", group.missed_builds, group.bad_builds),
        group.broken_runs.to_string(),
    ]
}

/// Formats a table for the terminal, without borders and trailing spaces.
pub fn text(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = comfy_table::Table::new();
    table
        .load_style(comfy_table::presets::NOTHING)
        .set_header(head);
    for row in rows {
        table.add_row(row);
    }
    table
        .lines()
        .map(|line| line.trim_end().to_string() + "\n")
        .collect()
}

/// Formats a table as Markdown.
pub fn markdown(head: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | ").replace('\n', " "));
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    let separator = format!("|{}\n", " --- |".repeat(head.len()));
    let body: String = rows.iter().map(|row| line(row)).collect();
    line(&head) + &separator + &body
}

/// Formats a table as CSV.
///
/// # Errors
/// A row and the head differ in their number of cells.
pub fn comma_separated(head: &[&str], rows: &[Vec<String>]) -> Result<String, TableError> {
    let mut bytes = Vec::new();
    let mut writer = csv::Writer::from_writer(&mut bytes);
    writer.write_record(head)?;
    for row in rows {
        writer.write_record(row)?;
    }
    writer.flush().map_err(csv::Error::from)?;
    drop(writer);
    Ok(String::from_utf8(bytes)?)
}
