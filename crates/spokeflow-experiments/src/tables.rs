//! Tables of results: for the terminal, as Markdown and as CSV. They hold no times of the machine, so that the
//! same days give the same tables.

use std::collections::BTreeMap;

use crate::store::Stored;

/// Days of one kind that one played.
#[derive(Clone, Debug, Default)]
pub struct Group {
    pub name: [String; 4],
    pub days: usize,
    pub service: f64,
    /// Half of the interval that holds the mean 95 times in 100, days taken as drawn alike.
    pub service_by: f64,
    pub worst_ten_seconds: f64,
    pub p99_ms: f64,
    /// Between random (0) and full sight (1), on the days that both have played.
    pub score: Option<f64>,
    pub false_backs: u32,
    pub good_builds: u32,
    pub misses: u32,
    pub bad_builds: u32,
    pub broken: usize,
}

/// By day, size, terms and who, in the order of names.
pub fn groups(all: &[Stored]) -> Vec<Group> {
    let mut by: BTreeMap<[String; 4], Vec<&Stored>> = BTreeMap::new();
    for s in all {
        by.entry([
            s.day.clone(),
            s.size.clone(),
            s.terms.clone(),
            s.who.clone(),
        ])
        .or_default()
        .push(s);
    }
    let service = |name: &[String; 4], who: &str| -> BTreeMap<u64, f64> {
        let [day, size, terms, _] = name.clone();
        let of = by
            .get(&[day, size, terms, who.to_string()])
            .map(Vec::as_slice)
            .unwrap_or_default();
        of.iter().map(|s| (s.seed, s.report.service)).collect()
    };
    let made = by.iter().map(|(name, of)| {
        let n = of.len() as f64;
        let mean = |f: &dyn Fn(&Stored) -> f64| of.iter().map(|s| f(s)).sum::<f64>() / n;
        let service_mean = mean(&|s| s.report.service);
        let spread = mean(&|s| (s.report.service - service_mean).powi(2)).sqrt();
        let (random, full) = (service(name, "random"), service(name, "full-sight"));
        let own: BTreeMap<u64, f64> = of.iter().map(|s| (s.seed, s.report.service)).collect();
        let both: Vec<[f64; 3]> = own
            .iter()
            .filter_map(|(seed, s)| Some([*s, *random.get(seed)?, *full.get(seed)?]))
            .collect();
        let sum = |k: usize| both.iter().map(|b| b[k]).sum::<f64>();
        let room = sum(2) - sum(1);
        let builds = |flawed: bool| {
            let offered = of
                .iter()
                .flat_map(|s| &s.report.builds)
                .filter(|b| b.end != "not offered");
            offered.filter(|b| (b.flaw != "None") == flawed).count() as u32
        };
        Group {
            name: name.clone(),
            days: of.len(),
            service: service_mean,
            service_by: 1.96 * spread / (n - 1.0).max(1.0).sqrt(),
            worst_ten_seconds: mean(&|s| s.report.worst_ten_seconds),
            p99_ms: mean(&|s| s.report.p99_ms),
            score: (room > 1e-6).then(|| (sum(0) - sum(1)) / room),
            false_backs: of.iter().map(|s| s.report.false_backs).sum(),
            good_builds: builds(false),
            misses: of.iter().map(|s| s.report.misses).sum(),
            bad_builds: builds(true),
            broken: of.iter().filter(|s| !s.report.broken.is_empty()).count(),
        }
    });
    made.collect()
}

pub const HEAD: [&str; 12] = [
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
];

pub fn rows(groups: &[Group]) -> Vec<Vec<String>> {
    let row = |g: &Group| {
        let mut row = g.name.to_vec();
        row.extend([
            g.days.to_string(),
            format!("{:.4}", g.service),
            format!("{:.4}", g.service_by),
            format!("{:.4}", g.worst_ten_seconds),
            format!("{:.0}", g.p99_ms),
            g.score.map_or("-".into(), |s| format!("{s:.3}")),
            format!("{} of {}", g.false_backs, g.good_builds),
            format!("{} of {}", g.misses, g.bad_builds),
            g.broken.to_string(),
        ]);
        row
    };
    groups.iter().map(row).collect()
}

pub fn head() -> Vec<&'static str> {
    let mut head = HEAD.to_vec();
    head.push("days with a rule broken");
    head
}

pub fn text(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = comfy_table::Table::new();
    table
        .load_style(comfy_table::presets::NOTHING)
        .set_header(head);
    rows.iter().for_each(|row| {
        table.add_row(row);
    });
    table
        .lines()
        .map(|line| line.trim_end().to_string() + "\n")
        .collect()
}

pub fn markdown(head: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | ").replace('\n', " "));
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    let rule = format!("|{}\n", " --- |".repeat(head.len()));
    let body: String = rows.iter().map(|row| line(row)).collect();
    line(&head) + &rule + &body
}

/// Errors: none but of the library, named.
pub fn comma(head: &[&str], rows: &[Vec<String>]) -> Result<String, String> {
    let mut out = csv::Writer::from_writer(Vec::new());
    out.write_record(head).map_err(|e| e.to_string())?;
    for row in rows {
        out.write_record(row).map_err(|e| e.to_string())?;
    }
    let bytes = out.into_inner().map_err(|e| e.to_string())?;
    String::from_utf8(bytes).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use spokeflow_scenario::scenario::Scenario;
    use spokeflow_scenario::SECOND;
    use spokeflow_simulator::{play, StrategyKind};

    #[test]
    fn scores_lie_between_random_and_full_sight_on_the_days_that_both_played() {
        let report = play(&Scenario::plain(1, 5 * SECOND), StrategyKind::Engine, false).report;
        let stored = |who: &str, seed, service| {
            let mut report = report.clone();
            report.service = service;
            let text = |t: &str| t.to_string();
            Stored {
                build: text("b"),
                day: text("plain"),
                seed,
                size: text("small"),
                terms: text("usual"),
                who: text(who),
                report,
            }
        };
        let all = [
            stored("random", 1, 0.5),
            stored("engine", 1, 0.8),
            stored("full-sight", 1, 0.9),
            // Not played by the others: it must not count for the score.
            stored("engine", 2, 0.1),
        ];
        let made = groups(&all);
        let of = |who: &str| made.iter().find(|g| g.name[3] == who).unwrap();
        assert!((of("engine").score.unwrap() - 0.75).abs() < 1e-9);
        assert_eq!(
            (of("random").score, of("full-sight").score),
            (Some(0.0), Some(1.0))
        );
        assert!((of("engine").service - 0.45).abs() < 1e-9);
        let csv = comma(&head(), &rows(&made)).unwrap();
        assert_eq!(csv.lines().count(), 4);
        assert!(markdown(&head(), &rows(&made)).starts_with("| day | size |"));
    }
}
