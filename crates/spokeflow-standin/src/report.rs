//! What a day's report says: service, answers, what became of each build, rules.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::clients::{End, Outcome};
use crate::day::Played;
use crate::tap::{Seen, Standing};
use crate::{Micros, SECOND};

#[derive(Debug, Serialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub seconds: f64,
    pub commands: usize,
    pub acked: usize,
    pub nacked: usize,
    pub failed: usize,
    pub given_up: usize,
    pub unreachable: usize,
    pub wrong: usize,
    pub tries: u64,
    pub deliveries: usize,
    /// Importance answered within the service target over importance asked for.
    pub service: f64,
    /// The same over the worst ten seconds.
    pub worst_ten_seconds: f64,
    pub by_op: Vec<(String, f64)>,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub builds: Vec<BuildStory>,
    pub troubles: Vec<String>,
    pub broken: Vec<crate::check::Broken>,
    pub faults: Vec<String>,
}

#[derive(Debug, Serialize)]
pub struct BuildStory {
    pub build: u16,
    pub flaw: String,
    pub offered_s: f64,
    pub end: String,
    /// From the offer to the end.
    pub after_s: Option<f64>,
}

fn seconds(t: Micros) -> f64 {
    t as f64 / SECOND as f64
}

impl Report {
    pub fn of(played: &Played) -> Report {
        let day = &played.day;
        let worth = |o: &Outcome| day.ops[o.op].importance;
        let served = |o: &Outcome| o.end == End::Acked && o.took <= day.ops[o.op].target;
        let service = |part: &dyn Fn(&Outcome) -> bool| {
            let asked: f64 = played.outcomes.iter().filter(|o| part(o)).map(worth).sum();
            let good: f64 = played.outcomes.iter().filter(|o| part(o) && served(o)).map(worth).sum();
            good / asked.max(1e-9)
        };
        let count = |end: End| played.outcomes.iter().filter(|o| o.end == end).count();
        let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
        let acked = played.outcomes.iter().filter(|o| o.end == End::Acked);
        acked.for_each(|o| times.record(o.took.max(1) as u64).expect("grows as needed"));
        let (first, last) = (
            played.outcomes.iter().map(|o| o.due).min().unwrap_or(0),
            played.outcomes.iter().map(|o| o.due).max().unwrap_or(0),
        );
        let windows = (0..).map(|n| first + n * SECOND).take_while(|from| from + 10 * SECOND <= last);
        let worst = windows.map(|from| service(&|o| (from..from + 10 * SECOND).contains(&o.due)));
        Report {
            scenario: day.name.clone(),
            seed: day.seed,
            seconds: seconds(day.length),
            commands: played.outcomes.len(),
            acked: count(End::Acked),
            nacked: count(End::Nacked),
            failed: count(End::Failed),
            given_up: count(End::GivenUp),
            unreachable: count(End::Unreachable),
            wrong: count(End::Wrong),
            tries: played.outcomes.iter().map(|o| u64::from(o.tries)).sum(),
            deliveries: played.seen.iter().filter(|s| matches!(s.1, Seen::Delivered { .. })).count(),
            service: service(&|_| true),
            worst_ten_seconds: worst.fold(1.0, f64::min),
            by_op: (0..day.ops.len()).map(|n| (day.ops[n].name.into(), service(&|o| o.op == n))).collect(),
            p50_ms: times.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: times.value_at_quantile(0.99) as f64 / 1000.0,
            builds: stories(played),
            troubles: day.troubles.iter().map(ToString::to_string).collect(),
            broken: played.broken.clone(),
            faults: played.faults.clone(),
        }
    }

    pub fn sound(&self) -> bool {
        self.broken.is_empty() && self.faults.is_empty()
    }

    pub fn text(&self) -> String {
        let mut t = String::new();
        let percent = |n: f64| format!("{:.1}%", 100.0 * n);
        let _ = writeln!(t, "{}, seed {}, {:.0} s", self.scenario, self.seed, self.seconds);
        for trouble in &self.troubles {
            let _ = writeln!(t, "  trouble   {trouble}");
        }
        for b in &self.builds {
            let after = b.after_s.map(|s| format!(" {s:.1} s after its offer")).unwrap_or_default();
            let (build, flaw, at, end) = (b.build, &b.flaw, b.offered_s, &b.end);
            let _ = writeln!(t, "  build {build}   {flaw}, offered at {at:.1} s: {end}{after}");
        }
        let _ = writeln!(
            t,
            "  commands  {}: {} acked, {} wrong, {} nacked, {} failed, {} given up, {} unreachable",
            self.commands, self.acked, self.wrong, self.nacked, self.failed, self.given_up, self.unreachable
        );
        let _ = writeln!(t, "  messages  {} tries, {} deliveries", self.tries, self.deliveries);
        let _ = writeln!(t, "  times     p50 {:.0} ms, p99 {:.0} ms", self.p50_ms, self.p99_ms);
        let ops: Vec<String> = self.by_op.iter().map(|(n, s)| format!("{n} {}", percent(*s))).collect();
        let (whole, worst) = (percent(self.service), percent(self.worst_ten_seconds));
        let _ = writeln!(t, "  service   {whole} in time, worst 10 s {worst} ({})", ops.join(", "));
        for fault in &self.faults {
            let _ = writeln!(t, "  fault     {fault}");
        }
        for rule in 1..=5 {
            let of_rule: Vec<_> = self.broken.iter().filter(|b| b.rule == rule).collect();
            match of_rule.first() {
                None => {
                    let _ = writeln!(t, "  rule {rule}    kept");
                }
                Some(first) => {
                    let at = seconds(first.at);
                    let _ = writeln!(t, "  rule {rule}    BROKEN {} times", of_rule.len());
                    let _ = writeln!(t, "            first at {at:.3} s: {}", first.what);
                    first.messages.iter().for_each(|m| {
                        let _ = writeln!(t, "              {m}");
                    });
                }
            }
        }
        t
    }
}

fn stories(played: &Played) -> Vec<BuildStory> {
    let story = |build: &crate::scenario::Build| {
        let states = played.seen.iter().filter_map(|(at, s)| match s {
            Seen::Desk { build: b, standing, stage } if *b == build.number => Some((*at, *standing, *stage)),
            _ => None,
        });
        let states: Vec<_> = states.collect();
        let offered = states.first().map(|s| s.0);
        let ended = |standing| states.iter().find(|s| s.1 == standing);
        let after = |s: &(Micros, Standing, u8)| offered.map(|o| seconds(s.0 - o));
        let (end, after_s) = match (ended(Standing::GoingBack), ended(Standing::Released)) {
            (Some(back), _) => {
                let voted = |s: &(Micros, Seen)| {
                    matches!(&s.1, Seen::Voted { build: b, verdict, .. }
                        if *b == build.number && verdict == "Back" && s.0 <= back.0)
                };
                let why = if played.seen.iter().any(voted) { "sent back" } else { "taken off for the next" };
                (format!("{why} in stage {}", back.2 + 1), after(back))
            }
            (None, Some(released)) => ("released".into(), after(released)),
            (None, None) => match states.last() {
                Some(last) => (format!("on trial, stage {}", last.2 + 1), None),
                None => ("not offered".into(), None),
            },
        };
        let flaw = format!("{:?}", build.flaw);
        BuildStory { build: build.number, flaw, offered_s: seconds(offered.unwrap_or(0)), end, after_s }
    };
    played.day.builds.iter().filter(|b| b.number > 1).map(story).collect()
}
