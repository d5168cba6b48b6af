//! Tables of results: for the terminal, as Markdown and as CSV. They hold no times of the machine, so that the
//! same runs give the same tables.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::store::Stored;

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

/// Half-width of a normal distribution's 95% interval, in standard errors.
const NORMAL_95: f64 = 1.96;

/// Where full sight gains less service than this over random, scores would be noise.
const LEAST_GAIN: f64 = 1e-6;

/// A table that could not be written as CSV.
#[derive(Debug, Error)]
pub enum TableError {
    /// A row could not be written.
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// What was written is not text.
    #[error(transparent)]
    NotText(#[from] std::string::FromUtf8Error),
}

/// What runs of one group have in common: all but the seed. The order of fields is the order of rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the size.
    pub size: String,
    /// Changed settings, as written.
    pub overrides: String,
    /// Who decided.
    pub strategy: String,
}

impl GroupKey {
    /// The group that a result belongs to.
    pub fn of(stored: &Stored) -> Self {
        GroupKey {
            scenario: stored.scenario.clone(),
            size: stored.size.clone(),
            overrides: stored.overrides.clone(),
            strategy: stored.strategy.clone(),
        }
    }

    /// The same runs by another strategy.
    fn by_strategy(&self, strategy: &str) -> Self {
        GroupKey {
            strategy: strategy.to_string(),
            ..self.clone()
        }
    }
}

/// Figures of the runs of one group.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// What they have in common.
    pub key: GroupKey,
    /// How many runs.
    pub days: usize,
    /// Mean service, 0 to 1.
    pub service: f64,
    /// Half of the interval that holds the mean 95 times in 100, runs taken as drawn alike.
    pub service_by: f64,
    /// Mean of each run's worst ten seconds of service.
    pub worst_ten_seconds: f64,
    /// Mean of each run's 99th percentile of latency, in milliseconds.
    pub p99_ms: f64,
    /// Between random (0) and full sight (1), on the seeds that both have played.
    pub score: Option<f64>,
    /// Good builds that were rolled back, of `good_builds`.
    pub false_backs: u32,
    /// Good builds offered.
    pub good_builds: u32,
    /// Bad builds that were released, of `bad_builds`.
    pub misses: u32,
    /// Bad builds offered.
    pub bad_builds: u32,
    /// Runs in which a rule was broken.
    pub broken: usize,
}

/// Results by what they have in common.
type Grouped<'a> = BTreeMap<GroupKey, Vec<&'a Stored>>;

/// The figures by scenario, size, overrides and strategy, in the order of names.
pub fn groups(results: &[Stored]) -> Vec<Group> {
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

fn group(key: &GroupKey, runs: &[&Stored], score: Option<f64>) -> Group {
    let count = runs.len() as f64;
    let mean = |figure: &dyn Fn(&Stored) -> f64| {
        runs.iter().map(|stored| figure(stored)).sum::<f64>() / count
    };
    let service = mean(&|stored| stored.report.service);
    let spread = mean(&|stored| (stored.report.service - service).powi(2)).sqrt();
    Group {
        key: key.clone(),
        days: runs.len(),
        service,
        service_by: NORMAL_95 * spread / (count - 1.0).max(1.0).sqrt(),
        worst_ten_seconds: mean(&|stored| stored.report.worst_ten_seconds),
        p99_ms: mean(&|stored| stored.report.p99_ms),
        score,
        false_backs: runs.iter().map(|stored| stored.report.false_backs).sum(),
        good_builds: builds_offered(runs, false),
        misses: runs.iter().map(|stored| stored.report.misses).sum(),
        bad_builds: builds_offered(runs, true),
        broken: runs
            .iter()
            .filter(|stored| !stored.report.broken.is_empty())
            .count(),
    }
}

fn builds_offered(runs: &[&Stored], defective: bool) -> u32 {
    runs.iter()
        .flat_map(|stored| &stored.report.builds)
        .filter(|build| build.end != "not offered")
        .filter(|build| (build.flaw != "None") == defective)
        .count() as u32
}

/// Sums of service over the seeds that a group, random and full sight have all played.
fn score(grouped: &Grouped, key: &GroupKey) -> Option<f64> {
    let own = service_by_seed(grouped, key);
    let random = service_by_seed(grouped, &key.by_strategy("random"));
    let full_sight = service_by_seed(grouped, &key.by_strategy("full-sight"));
    let common: Vec<u64> = own
        .keys()
        .filter(|seed| random.contains_key(seed) && full_sight.contains_key(seed))
        .copied()
        .collect();
    let sum = |services: &BTreeMap<u64, f64>| common.iter().map(|seed| services[seed]).sum::<f64>();
    let gain = sum(&full_sight) - sum(&random);
    (gain > LEAST_GAIN).then(|| (sum(&own) - sum(&random)) / gain)
}

fn service_by_seed(grouped: &Grouped, key: &GroupKey) -> BTreeMap<u64, f64> {
    let runs = grouped.get(key).map(Vec::as_slice).unwrap_or_default();
    runs.iter()
        .map(|stored| (stored.seed, stored.report.service))
        .collect()
}

/// The groups as rows under [`HEAD`].
pub fn rows(groups: &[Group]) -> Vec<Vec<String>> {
    groups.iter().map(row).collect()
}

fn row(group: &Group) -> Vec<String> {
    vec![
        group.key.scenario.clone(),
        group.key.size.clone(),
        group.key.overrides.clone(),
        group.key.strategy.clone(),
        group.days.to_string(),
        format!("{:.4}", group.service),
        format!("{:.4}", group.service_by),
        format!("{:.4}", group.worst_ten_seconds),
        format!("{:.0}", group.p99_ms),
        group
            .score
            .map_or("-".into(), |score| format!("{score:.3}")),
        format!("{} of {}", group.false_backs, group.good_builds),
        format!("{} of {}", group.misses, group.bad_builds),
        group.broken.to_string(),
    ]
}

/// A table for the terminal, without borders or trailing blanks.
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

/// A table in Markdown.
pub fn markdown(head: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | ").replace('\n', " "));
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    let rule = format!("|{}\n", " --- |".repeat(head.len()));
    let body: String = rows.iter().map(|row| line(row)).collect();
    line(&head) + &rule + &body
}

/// A table as CSV.
///
/// # Errors
/// A row has another number of cells than the head.
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
