//! What a day's report says: service, answers, what became of each build, rules. It is drawn up as the day goes,
//! so that a long day needs no more memory than a short one.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::check::{Broken, Checker, RuleConfig};
use crate::scenario::{BuildDefect, Scenario};
use crate::seen::{Observation, Standing};
use crate::{Micros, SECOND};

/// How a command went, retries and all.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub command: u64,
    pub op: usize,
    pub customer: usize,
    pub site: u16,
    pub due: Micros,
    pub tries: u32,
    pub end: End,
    /// From when the command was due to its end.
    pub took: Micros,
    pub build: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    Acked,
    /// Acked, and found wrong.
    Wrong,
    Nacked,
    Failed,
    GivenUp,
    Unreachable,
}

/// What happened in one stretch of the day. `at_s` is its beginning.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Interval {
    pub at_s: f64,
    /// Importance asked for and answered well, by op type and by customer.
    pub asked_by_op: Vec<f64>,
    pub good_by_op: Vec<f64>,
    pub asked_by_customer: Vec<f64>,
    pub good_by_customer: Vec<f64>,
    pub deliveries: u64,
    /// Of these, at a build on trial by the desk's own standing.
    pub at_trial: u64,
    pub votes_on: u64,
    pub votes_back: u64,
    pub stage: u8,
    /// As last told by whoever plays the day.
    pub in_flight: u64,
    pub cold_hosts: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub seconds: f64,
    pub routers: u32,
    pub hosts: u32,
    pub commands: u64,
    pub acked: u64,
    pub nacked: u64,
    pub failed: u64,
    pub given_up: u64,
    pub unreachable: u64,
    pub wrong: u64,
    pub tries: u64,
    pub deliveries: u64,
    /// Importance answered within the service target over importance asked for.
    pub service: f64,
    /// The same over the worst ten seconds.
    pub worst_ten_seconds: f64,
    pub by_op: Vec<(String, f64)>,
    pub by_customer: Vec<(String, f64)>,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub builds: Vec<BuildSummary>,
    /// Good builds that were voted back, and bad ones that were not.
    pub false_backs: u32,
    pub misses: u32,
    pub troubles: Vec<String>,
    pub broken: Vec<BrokenRule>,
    pub faults: Vec<String>,
    pub over_time: Vec<Interval>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BrokenRule {
    pub rule: u8,
    pub at_s: f64,
    pub what: String,
    pub messages: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BuildSummary {
    pub build: u16,
    pub flaw: String,
    pub offered_s: f64,
    pub end: String,
    /// From the offer to the end.
    pub after_s: Option<f64>,
}

/// Stretches that a day is cut into at most, each a second at least.
const STRETCHES: Micros = 240;

/// Takes in what is seen of a day.
pub struct RunRecorder {
    day: Scenario,
    checker: Checker,
    /// Importance asked for and answered well in each second of the day.
    by_second: Vec<[f64; 2]>,
    ends: [u64; 6],
    tries: u64,
    deliveries: u64,
    times: Histogram<u64>,
    stretch: Micros,
    over_time: Vec<Interval>,
    /// The desk's own standing: when, build, standing, stage.
    desk: Vec<(Micros, u16, Standing, u8)>,
    /// Builds that were voted back while they stood.
    voted_back: Vec<(Micros, u16)>,
    start: Micros,
}

fn seconds(t: Micros) -> f64 {
    t as f64 / SECOND as f64
}

impl RunRecorder {
    /// `start` is when the first command may be due.
    pub fn new(day: &Scenario, start: Micros) -> RunRecorder {
        RunRecorder {
            checker: Checker::new(RuleConfig::of(day)),
            by_second: Vec::new(),
            ends: [0; 6],
            tries: 0,
            deliveries: 0,
            times: Histogram::new(3).expect("three digits are allowed"),
            stretch: (day.length / STRETCHES).max(SECOND),
            over_time: Vec::new(),
            desk: Vec::new(),
            voted_back: Vec::new(),
            start,
            day: day.clone(),
        }
    }

    pub fn broken(&self) -> &[Broken] {
        self.checker.broken()
    }

    /// Of how many tries, commands and routers the checker keeps something in mind.
    pub fn kept(&self) -> [usize; 3] {
        self.checker.kept()
    }

    fn stretch(&mut self, at: Micros) -> &mut Interval {
        let n = ((at - self.start).max(0) / self.stretch) as usize;
        let (ops, customers) = (self.day.ops.len(), self.day.customers.len());
        while self.over_time.len() <= n {
            let at_s = seconds(self.over_time.len() as Micros * self.stretch);
            let stage = self.desk.last().map_or(0, |d| d.3);
            self.over_time.push(Interval {
                at_s,
                asked_by_op: vec![0.0; ops],
                good_by_op: vec![0.0; ops],
                asked_by_customer: vec![0.0; customers],
                good_by_customer: vec![0.0; customers],
                stage,
                ..Interval::default()
            });
        }
        &mut self.over_time[n]
    }

    pub fn see(&mut self, at: Micros, seen: &Observation) {
        self.checker.see(at, seen);
        match seen {
            Observation::Taken { .. } => self.tries += 1,
            Observation::Delivered { build, .. } => {
                self.deliveries += 1;
                let trial = self
                    .desk
                    .last()
                    .is_some_and(|d| d.1 == *build && d.2 == Standing::OnTrial);
                let s = self.stretch(at);
                s.deliveries += 1;
                s.at_trial += u64::from(trial);
            }
            Observation::Voted { build, verdict, .. } => {
                let back = verdict == "Back";
                let present = self
                    .desk
                    .last()
                    .is_some_and(|d| d.1 == *build && d.2 != Standing::GoingBack);
                if back && present && self.voted_back.last().is_none_or(|v| v.1 != *build) {
                    self.voted_back.push((at, *build));
                }
                let s = self.stretch(at);
                s.votes_back += u64::from(back);
                s.votes_on += u64::from(verdict == "On");
            }
            Observation::ReleaseController {
                build,
                stage,
                standing,
            } => {
                self.desk.push((at, *build, *standing, *stage));
                self.stretch(at).stage = *stage;
            }
            _ => {}
        }
    }

    /// How the fleet stands: commands held by hosts and hosts that are cold.
    pub fn stands(&mut self, at: Micros, in_flight: u64, cold_hosts: u64) {
        let s = self.stretch(at);
        (s.in_flight, s.cold_hosts) = (s.in_flight.max(in_flight), s.cold_hosts.max(cold_hosts));
    }

    pub fn ended(&mut self, o: &Outcome) {
        let op = &self.day.ops[o.op];
        let worth = op.importance;
        let good = o.end == End::Acked && o.took <= op.target;
        self.ends[o.end as usize] += 1;
        if o.end == End::Acked {
            self.times
                .record(o.took.max(1) as u64)
                .expect("grows as needed");
        }
        let n = ((o.due - self.start).max(0) / SECOND) as usize;
        if self.by_second.len() <= n {
            self.by_second.resize(n + 1, [0.0; 2]);
        }
        let gained = if good { worth } else { 0.0 };
        self.by_second[n][0] += worth;
        self.by_second[n][1] += gained;
        let (op, customer) = (o.op, o.customer);
        let s = self.stretch(o.due);
        s.asked_by_op[op] += worth;
        s.good_by_op[op] += gained;
        s.asked_by_customer[customer] += worth;
        s.good_by_customer[customer] += gained;
    }

    /// `faults`: what went wrong with the play itself. The breaks are explained where the trace is at hand.
    pub fn finish(self, faults: Vec<String>, trace: Option<&[(Micros, Observation)]>) -> Report {
        let day = &self.day;
        let part = |n: [f64; 2]| if n[0] > 0.0 { n[1] / n[0] } else { 1.0 };
        let sum = |s: &[[f64; 2]]| s.iter().fold([0.0; 2], |a, b| [a[0] + b[0], a[1] + b[1]]);
        let worst = self
            .by_second
            .windows(10)
            .map(|w| part(sum(w)))
            .fold(1.0, f64::min);
        let of = |n: usize,
                  asked: &dyn Fn(&Interval) -> &Vec<f64>,
                  good: &dyn Fn(&Interval) -> &Vec<f64>| {
            let both: Vec<[f64; 2]> = self
                .over_time
                .iter()
                .map(|s| [asked(s)[n], good(s)[n]])
                .collect();
            part(sum(&both))
        };
        let by_op = day.ops.iter().enumerate();
        let by_op = by_op.map(|(n, op)| {
            (
                op.name.to_string(),
                of(n, &|s: &Interval| &s.asked_by_op, &|s: &Interval| {
                    &s.good_by_op
                }),
            )
        });
        let by_customer = day.customers.iter().enumerate();
        let by_customer = by_customer.map(|(n, c)| {
            (
                c.name.to_string(),
                of(n, &|s: &Interval| &s.asked_by_customer, &|s: &Interval| {
                    &s.good_by_customer
                }),
            )
        });
        let (by_op, by_customer) = (by_op.collect(), by_customer.collect());
        let builds = self.stories();
        let flawed = |n: u16| {
            day.builds
                .iter()
                .any(|b| b.number == n && b.flaw != BuildDefect::None)
        };
        let back = |s: &&BuildSummary| s.end.starts_with("sent back");
        let false_backs = builds
            .iter()
            .filter(back)
            .filter(|s| !flawed(s.build))
            .count() as u32;
        let offered = |s: &&BuildSummary| s.end != "not offered";
        let misses = builds
            .iter()
            .filter(offered)
            .filter(|s| !back(s) && flawed(s.build))
            .count() as u32;
        let [acked, wrong, nacked, failed, given_up, unreachable] = self.ends;
        let service = part(sum(&self.by_second));
        let mut broken = self.checker.finish();
        if let Some(trace) = trace {
            crate::check::explain(&mut broken, trace);
        }
        let broken = broken.into_iter().map(|b| BrokenRule {
            rule: b.rule,
            at_s: seconds(b.at),
            what: b.what,
            messages: b.messages,
        });
        Report {
            scenario: day.name.clone(),
            seed: day.seed,
            seconds: seconds(day.length),
            routers: day.routers,
            hosts: day.hosts,
            commands: self.ends.iter().sum(),
            acked,
            nacked,
            failed,
            given_up,
            unreachable,
            wrong,
            tries: self.tries,
            deliveries: self.deliveries,
            service,
            worst_ten_seconds: worst,
            by_op,
            by_customer,
            p50_ms: self.times.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: self.times.value_at_quantile(0.99) as f64 / 1000.0,
            builds,
            false_backs,
            misses,
            troubles: day.troubles.iter().map(ToString::to_string).collect(),
            broken: broken.collect(),
            faults,
            over_time: self.over_time,
        }
    }

    fn stories(&self) -> Vec<BuildSummary> {
        let story = |build: &crate::scenario::Build| {
            let states: Vec<_> = self.desk.iter().filter(|d| d.1 == build.number).collect();
            let offered = states.first().map(|s| s.0);
            let ended = |standing| states.iter().find(|s| s.2 == standing);
            let after = |at: Micros| offered.map(|o| seconds(at - o));
            let (end, after_s) = match (ended(Standing::GoingBack), ended(Standing::Released)) {
                (Some(back), _) => {
                    let voted = self
                        .voted_back
                        .iter()
                        .any(|v| v.1 == build.number && v.0 <= back.0);
                    let why = if voted {
                        "sent back"
                    } else {
                        "taken off for the next"
                    };
                    (format!("{why} in stage {}", back.3 + 1), after(back.0))
                }
                (None, Some(released)) => ("released".into(), after(released.0)),
                (None, None) => match states.last() {
                    Some(last) => (format!("on trial, stage {}", last.3 + 1), None),
                    None => ("not offered".into(), None),
                },
            };
            let flaw = format!("{:?}", build.flaw);
            let offered_s = seconds(offered.map_or(0, |o| o - self.start));
            BuildSummary {
                build: build.number,
                flaw,
                offered_s,
                end,
                after_s,
            }
        };
        self.day
            .builds
            .iter()
            .filter(|b| b.number > 1)
            .map(story)
            .collect()
    }
}

impl Report {
    pub fn sound(&self) -> bool {
        self.broken.is_empty() && self.faults.is_empty()
    }

    pub fn text(&self) -> String {
        let mut t = String::new();
        let percent = |n: f64| format!("{:.1}%", 100.0 * n);
        let (routers, hosts) = (self.routers, self.hosts);
        let _ = writeln!(
            t,
            "{}, seed {}, {:.0} s, {routers} routers, {hosts} hosts",
            self.scenario, self.seed, self.seconds
        );
        for trouble in &self.troubles {
            let _ = writeln!(t, "  trouble   {trouble}");
        }
        for b in &self.builds {
            let after = b
                .after_s
                .map(|s| format!(" {s:.1} s after its offer"))
                .unwrap_or_default();
            let (build, flaw, at, end) = (b.build, &b.flaw, b.offered_s, &b.end);
            let _ = writeln!(
                t,
                "  build {build}   {flaw}, offered at {at:.1} s: {end}{after}"
            );
        }
        let _ = writeln!(
            t,
            "  commands  {}: {} acked, {} wrong, {} nacked, {} failed, {} given up, {} unreachable",
            self.commands,
            self.acked,
            self.wrong,
            self.nacked,
            self.failed,
            self.given_up,
            self.unreachable
        );
        let _ = writeln!(
            t,
            "  messages  {} tries, {} deliveries",
            self.tries, self.deliveries
        );
        let _ = writeln!(
            t,
            "  times     p50 {:.0} ms, p99 {:.0} ms",
            self.p50_ms, self.p99_ms
        );
        let ops: Vec<String> = self
            .by_op
            .iter()
            .map(|(n, s)| format!("{n} {}", percent(*s)))
            .collect();
        let (whole, worst) = (percent(self.service), percent(self.worst_ten_seconds));
        let _ = writeln!(
            t,
            "  service   {whole} in time, worst 10 s {worst} ({})",
            ops.join(", ")
        );
        let customers: Vec<String> = self
            .by_customer
            .iter()
            .map(|(n, s)| format!("{n} {}", percent(*s)))
            .collect();
        let _ = writeln!(t, "            {}", customers.join(", "));
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
                    let _ = writeln!(t, "  rule {rule}    BROKEN {} times", of_rule.len());
                    let _ = writeln!(
                        t,
                        "            first at {:.3} s: {}",
                        first.at_s, first.what
                    );
                    first.messages.iter().for_each(|m| {
                        let _ = writeln!(t, "              {m}");
                    });
                }
            }
        }
        t
    }
}
