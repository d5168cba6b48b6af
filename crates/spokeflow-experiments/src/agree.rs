//! How far a day in simulated time agrees with the same day on sockets.

use spokeflow_scenario::report::Report;

pub struct Pair {
    pub sockets: Report,
    pub simulated: Report,
}

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

fn both(sockets: String, simulated: String) -> String {
    format!("{sockets} / {simulated}")
}

/// Sockets before, simulated after the stroke; the last row holds the mean differences, simulated less sockets.
pub fn rows(pairs: &[Pair]) -> Vec<Vec<String>> {
    let percent = |n: u64, r: &Report| 100.0 * n as f64 / r.commands.max(1) as f64;
    let lost = |r: &Report| r.failed + r.given_up + r.unreachable;
    let builds = |r: &Report| {
        let end = |b: &spokeflow_scenario::report::BuildSummary| {
            let after = b.after_s.map(|s| format!(" {s:.0} s")).unwrap_or_default();
            let end = if b.end.starts_with("taken") {
                "taken off"
            } else {
                b.end.as_str()
            };
            format!("{end}{after}")
        };
        r.builds.iter().map(end).collect::<Vec<_>>().join(", ")
    };
    type Figure<'a> = Box<dyn Fn(&Report) -> f64 + 'a>;
    let figures: Vec<(Figure, usize)> = vec![
        (Box::new(|r| r.service), 3),
        (Box::new(|r| percent(r.acked, r)), 1),
        (Box::new(|r| percent(r.nacked, r)), 1),
        (Box::new(|r| percent(lost(r), r)), 1),
        (Box::new(|r| r.p50_ms), 0),
        (Box::new(|r| r.p99_ms), 0),
    ];
    let mut rows: Vec<Vec<String>> = pairs
        .iter()
        .map(|p| {
            let (a, b) = (&p.sockets, &p.simulated);
            let mut row = vec![a.scenario.clone(), a.seed.to_string()];
            row.push(both(a.commands.to_string(), b.commands.to_string()));
            row.extend(
                figures
                    .iter()
                    .map(|(f, n)| both(format!("{:.n$}", f(a)), format!("{:.n$}", f(b)))),
            );
            row.push(both(builds(a), builds(b)));
            row
        })
        .collect();
    let n = pairs.len().max(1) as f64;
    let mut mean = vec!["mean difference".to_string(), String::new(), String::new()];
    for (f, digits) in &figures {
        let d = pairs
            .iter()
            .map(|p| f(&p.simulated) - f(&p.sockets))
            .sum::<f64>()
            / n;
        let size = pairs
            .iter()
            .map(|p| (f(&p.simulated) - f(&p.sockets)).abs())
            .sum::<f64>()
            / n;
        mean.push(format!("{d:+.digits$} (size {size:.digits$})"));
    }
    mean.push(String::new());
    rows.push(mean);
    rows
}
