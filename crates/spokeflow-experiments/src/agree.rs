//! Compares reports of runs in simulated time with those of the same runs on sockets: whether the simulation and the
//! real programs agree. The module `agreement` checks whether the routers of a simulated fleet agree with each other.

use spokeflow_scenario::report::{BuildSummary, Report};

/// Column heads of [`rows`].
pub const HEAD: [&str; 10] = [
    "day",
    "seed",
    "commands",
    "service",
    "acked %",
    "nacked %",
    "failed or left %",
    "p50 ms",
    "p99 ms",
    "builds",
];

/// The reports of a scenario that was played on sockets and in simulated time.
pub struct Pair {
    /// The report of the run on sockets, with real routers.
    pub sockets: Report,
    /// The report of the run in simulated time, with engines only.
    pub simulated: Report,
}

/// A figure of a report, printed with `digits` decimal places.
struct Figure {
    value: fn(&Report) -> f64,
    digits: usize,
}

/// The figures in the order of their columns.
const FIGURES: [Figure; 6] = [
    Figure {
        value: |report| report.service,
        digits: 3,
    },
    Figure {
        value: |report| percent(report.acked, report),
        digits: 1,
    },
    Figure {
        value: |report| percent(report.nacked, report),
        digits: 1,
    },
    Figure {
        value: |report| percent(unanswered(report), report),
        digits: 1,
    },
    Figure {
        value: |report| report.p50_ms,
        digits: 0,
    },
    Figure {
        value: |report| report.p99_ms,
        digits: 0,
    },
];

fn percent(part: u64, report: &Report) -> f64 {
    100.0 * part as f64 / report.commands.max(1) as f64
}

/// Returns the number of commands without an ack or nack.
fn unanswered(report: &Report) -> u64 {
    report.failed + report.given_up + report.unreachable
}

/// Formats the pairs as rows under [`HEAD`], with cells `SOCKETS / SIMULATED`. The last row holds the mean differences,
/// simulated minus sockets, and the mean absolute differences.
pub fn rows(pairs: &[Pair]) -> Vec<Vec<String>> {
    let mut rows: Vec<Vec<String>> = pairs.iter().map(row).collect();
    rows.push(mean_row(pairs));
    rows
}

fn row(pair: &Pair) -> Vec<String> {
    let Pair { sockets, simulated } = pair;
    let mut row = vec![
        sockets.scenario.clone(),
        sockets.seed.to_string(),
        format!("{} / {}", sockets.commands, simulated.commands),
    ];
    row.extend(FIGURES.iter().map(|Figure { value, digits }| {
        format!(
            "{:.digits$} / {:.digits$}",
            value(sockets),
            value(simulated)
        )
    }));
    row.push(format!("{} / {}", builds(sockets), builds(simulated)));
    row
}

/// Formats how each build ended, and after how many seconds.
fn builds(report: &Report) -> String {
    let ends: Vec<String> = report.builds.iter().map(build_end).collect();
    ends.join(", ")
}

fn build_end(build: &BuildSummary) -> String {
    let after = build
        .after_s
        .map(|seconds| format!(" {seconds:.0} s"))
        .unwrap_or_default();
    let end = if build.end.starts_with("taken") {
        "taken off"
    } else {
        build.end.as_str()
    };
    format!("{end}{after}")
}

fn mean_row(pairs: &[Pair]) -> Vec<String> {
    let count = pairs.len().max(1) as f64;
    let mut row = vec!["mean difference".to_string(), String::new(), String::new()];
    for Figure { value, digits } in &FIGURES {
        let differences: Vec<f64> = pairs
            .iter()
            .map(|pair| value(&pair.simulated) - value(&pair.sockets))
            .collect();
        let mean = differences.iter().sum::<f64>() / count;
        let mean_absolute = differences
            .iter()
            .map(|difference| difference.abs())
            .sum::<f64>()
            / count;
        row.push(format!("{mean:+.digits$} (size {mean_absolute:.digits$})"));
    }
    row.push(String::new());
    row
}
