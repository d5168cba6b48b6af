//! Decides the five rules from what the tap saw: messages on the sockets and effects at the hosts, nothing else.
//!
//! A message is noted when a stand-in writes or reads it, which is up to `slack` from when the router handled
//! it. Each rule is judged in the router's favour by that much, so that a busy machine breaks none.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::scenario::{Repeat, Scenario};
use crate::tap::{AnswerKind, Phase, Process, ReplyKind, Seen, Standing};
use crate::{Micros, MS, SECOND};

#[derive(Clone, Debug)]
pub struct RuleTerms {
    pub repeats: Vec<Repeat>,
    pub drain_grace: Micros,
    pub exposure_free: f64,
    pub exposure_span: Micros,
    pub forward_only: bool,
    pub first_cap: f64,
    pub slack: Micros,
}

impl RuleTerms {
    pub fn of(day: &Scenario) -> RuleTerms {
        RuleTerms {
            repeats: day.ops.iter().map(|op| op.repeat).collect(),
            drain_grace: day.drain_grace,
            exposure_free: day.exposure_free,
            exposure_span: day.exposure_span,
            forward_only: day.forward_only,
            first_cap: day.cap(0),
            slack: 150 * MS,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// 1 to 5, as the rules are numbered in `docs/rules.md`.
    pub rule: u8,
    pub at: Micros,
    pub what: String,
    /// What was seen of the command or host concerned, with times in seconds.
    pub messages: Vec<String>,
}

type Trace = [(Micros, Seen)];

/// All breaks, in the order of their times.
pub fn check(terms: &RuleTerms, seen: &Trace) -> Vec<Broken> {
    let tries = tries(seen);
    let mut broken = answers(terms, seen, &tries);
    broken.extend(effects(terms, seen, &tries));
    broken.extend(drains(terms, seen));
    broken.extend(cold_hosts(seen));
    broken.extend(exposure(terms, seen, &tries));
    broken.sort_by_key(|b| b.at);
    for b in broken.iter_mut().take(20) {
        let named = std::mem::take(&mut b.messages);
        b.messages = messages(seen, &named, b.at);
    }
    broken
}

/// Messages that concern a try or host: `named` holds `try N` or `host N`.
fn messages(seen: &Trace, named: &[String], at: Micros) -> Vec<String> {
    let concerns = |s: &Seen| match s {
        Seen::Taken { tried, .. }
        | Seen::Answered { tried, .. }
        | Seen::Left { tried }
        | Seen::Delivered { tried, .. }
        | Seen::Replied { tried, .. }
        | Seen::Ran { tried, .. } => named.contains(&format!("try {tried}")),
        Seen::Listed { lines, .. } => lines.iter().any(|l| named.contains(&format!("host {}", l.0))),
        Seen::Fell { host } => named.contains(&format!("host {host}")),
        Seen::News { to, .. } => named.contains(&format!("router {}", to.router)),
        _ => false,
    };
    let near = seen.iter().filter(|(t, s)| concerns(s) && (at - t).abs() < 12 * SECOND);
    near.take(24).map(|(t, s)| format!("{:.3} {s:?}", *t as f64 / SECOND as f64)).collect()
}

struct Try {
    at: Micros,
    by: Process,
    command: u64,
    op: usize,
    key: u64,
    patience: Micros,
    answers: Vec<(Micros, AnswerKind, u16)>,
    left: bool,
}

fn tries(seen: &Trace) -> BTreeMap<u64, Try> {
    let mut tries = BTreeMap::new();
    for (at, s) in seen {
        match s {
            Seen::Taken { by, tried, command, op, key, patience } => {
                let (at, by, command, key, patience) = (*at, *by, *command, *key, *patience);
                let op = usize::from(*op);
                tries
                    .insert(*tried, Try { at, by, command, op, key, patience, answers: vec![], left: false });
            }
            Seen::Answered { tried, kind, build, .. } => {
                if let Some(t) = tries.get_mut(tried) {
                    t.answers.push((*at, *kind, *build));
                }
            }
            Seen::Left { tried } => {
                if let Some(t) = tries.get_mut(tried) {
                    t.left = true;
                }
            }
            _ => {}
        }
    }
    tries
}

/// Rule 1: exactly one final answer in time, nothing after.
fn answers(terms: &RuleTerms, seen: &Trace, tries: &BTreeMap<u64, Try>) -> Vec<Broken> {
    let end = seen.last().map_or(0, |s| s.0);
    let mut stopped: HashMap<Process, Micros> = HashMap::new();
    let mut asked: HashMap<Process, Micros> = HashMap::new();
    for (at, s) in seen {
        match s {
            Seen::RouterKilled(p) => drop(stopped.insert(*p, *at)),
            Seen::RouterAsked(p) => drop(asked.insert(*p, *at)),
            _ => {}
        }
    }
    let mut broken = Vec::new();
    for (n, t) in tries {
        let deadline = t.at + t.patience + terms.slack;
        let mut found = |at, what: &str| {
            let what = format!("{what}: try {n} of command {}", t.command);
            broken.push(Broken { rule: 1, at, what, messages: vec![format!("try {n}")] });
        };
        match t.answers[..] {
            [] => {
                // A killed router owes nothing more; one that is ending takes nothing new.
                let killed = stopped.get(&t.by).is_some_and(|k| *k <= deadline);
                let ending = asked.get(&t.by).is_some_and(|a| t.at >= *a);
                if !t.left && !killed && !ending && deadline < end {
                    found(deadline, "no final answer in time");
                }
            }
            [(at, ..)] if at > deadline => found(at, "the final answer came too late"),
            [_] => {}
            [_, (at, ..), ..] => found(at, "a second final answer"),
        }
    }
    broken
}

/// Rule 2: no effect twice, and no redelivery or nack without proof that nothing ran.
fn effects(terms: &RuleTerms, seen: &Trace, tries: &BTreeMap<u64, Try>) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut ran: HashMap<u64, u32> = HashMap::new();
    // By try, its deliveries: when, number, and whether the host said that it did not look at it.
    let mut out: BTreeMap<u64, Vec<(Micros, u64, bool)>> = BTreeMap::new();
    for (at, s) in seen {
        match s {
            Seen::Ran { tried, command, op, .. } => {
                let times = ran.entry(*command).or_insert(0);
                *times += 1;
                if *times > 1 && terms.repeats[usize::from(*op)] != Repeat::Redeliverable {
                    let all =
                        tries.iter().filter(|t| t.1.command == *command).map(|t| format!("try {}", t.0));
                    let what = format!("the effect of command {command} happened {times} times");
                    let mut messages: Vec<String> = all.collect();
                    messages.push(format!("try {tried}"));
                    broken.push(Broken { rule: 2, at: *at, what, messages });
                }
            }
            Seen::Delivered { tried, delivery, .. } => {
                let earlier = out.entry(*tried).or_default();
                if let Some(t) = tries.get(tried) {
                    let open = earlier.iter().find(|d| !d.2);
                    let wrong = match (terms.repeats[t.op], open) {
                        (Repeat::AtMostOnce, Some(_)) => {
                            Some("delivered again without proof that it had not run")
                        }
                        (Repeat::Deduplicated(memory), Some(first))
                            if at - first.0 > memory + terms.slack =>
                        {
                            Some("delivered again after its mark is remembered")
                        }
                        _ => None,
                    };
                    if let Some(what) = wrong {
                        let what = format!("{what}: try {tried}");
                        broken.push(Broken {
                            rule: 2,
                            at: *at,
                            what,
                            messages: vec![format!("try {tried}")],
                        });
                    }
                }
                earlier.push((*at, *delivery, false));
            }
            Seen::Replied { tried, delivery, kind: ReplyKind::Full, .. } => {
                let of_try = out.entry(*tried).or_default();
                of_try.iter_mut().filter(|d| d.1 == *delivery).for_each(|d| d.2 = true);
            }
            _ => {}
        }
    }
    for (n, t) in tries.iter().filter(|(_, t)| terms.repeats[t.op] == Repeat::AtMostOnce) {
        let nacked = t.answers.iter().find(|a| a.1 == AnswerKind::Nacked);
        let may_have_run = out.get(n).is_some_and(|d| d.iter().any(|d| !d.2));
        if let Some((at, ..)) = nacked.filter(|_| may_have_run) {
            let what = format!("nacked though it may have run: try {n}");
            broken.push(Broken { rule: 2, at: *at, what, messages: vec![format!("try {n}")] });
        }
    }
    broken
}

/// Rule 3: nothing new to a drained or gone host past the grace.
fn drains(terms: &RuleTerms, seen: &Trace) -> Vec<Broken> {
    let mut closed: HashMap<Process, BTreeMap<u32, Option<Micros>>> = HashMap::new();
    let mut broken = Vec::new();
    for (at, s) in seen {
        match s {
            Seen::Listed { to, whole, lines } => {
                let hosts = closed.entry(*to).or_default();
                if *whole {
                    let unnamed = hosts.iter_mut().filter(|(h, _)| !lines.iter().any(|l| l.0 == **h));
                    unnamed.for_each(|(_, since)| *since = since.or(Some(*at)));
                }
                for (host, _, phase) in lines {
                    let since = hosts.entry(*host).or_default();
                    if *phase == Phase::Ready {
                        *since = None;
                    } else {
                        since.get_or_insert(*at);
                    }
                }
            }
            Seen::Delivered { host, from, tried, .. } => {
                let since = closed.get(from).and_then(|hosts| hosts.get(host)).copied().flatten();
                if let Some(since) = since.filter(|since| at - since > terms.drain_grace + terms.slack) {
                    let late = (at - since) as f64 / SECOND as f64;
                    let what =
                        format!("try {tried} went to host {host} {late:.2} s after it was told to drain");
                    let messages = vec![format!("try {tried}"), format!("host {host}")];
                    broken.push(Broken { rule: 3, at: *at, what, messages });
                }
            }
            _ => {}
        }
    }
    broken
}

/// Rule 4: no cold host is pushed over.
fn cold_hosts(seen: &Trace) -> Vec<Broken> {
    let fell = |(at, s): &(Micros, Seen)| match s {
        Seen::Fell { host } => {
            let what = format!("cold host {host} was sent more than it can bear");
            Some(Broken { rule: 4, at: *at, what, messages: vec![format!("host {host}")] })
        }
        _ => None,
    };
    seen.iter().filter_map(fell).collect()
}

#[derive(Default)]
struct View {
    builds: HashMap<u32, u16>,
    /// In order: when told, build, standing, cap, and the cap's last lowering by then.
    news: Vec<(Micros, u16, Standing, f64)>,
    taken: Vec<Micros>,
    /// Deliveries by build.
    sent: Vec<(Micros, u16)>,
    /// By key, the newest build that has answered it, and when.
    answered: HashMap<u64, (u16, Micros)>,
}

impl View {
    /// What the router may go by at some time within `span` before `at`: the states told then, and the last one
    /// before.
    fn states(&self, at: Micros, span: Micros) -> &[(Micros, u16, Standing, f64)] {
        let upto = self.news.partition_point(|n| n.0 <= at);
        let from = self.news[..upto].partition_point(|n| n.0 <= at - span).saturating_sub(1);
        &self.news[from..upto]
    }
}

/// Rule 5: exposure within the cap, and forward-only keys.
fn exposure(terms: &RuleTerms, seen: &Trace, tries: &BTreeMap<u64, Try>) -> Vec<Broken> {
    let mut views: HashMap<Process, View> = HashMap::new();
    let mut broken = Vec::new();
    for (at, s) in seen {
        match s {
            Seen::Listed { to, lines, .. } => {
                let view = views.entry(*to).or_default();
                view.builds.extend(lines.iter().filter(|l| l.2 != Phase::Gone).map(|l| (l.0, l.1)));
            }
            Seen::News { to, build, standing, cap, .. } => {
                let view = views.entry(*to).or_default();
                view.news.push((*at, *build, *standing, *cap));
                if matches!(standing, Standing::GoingBack | Standing::Withdrawn) {
                    view.answered.retain(|_, a| a.0 != *build);
                }
            }
            Seen::Taken { by, .. } => views.entry(*by).or_default().taken.push(*at),
            Seen::Answered { by, tried, kind: AnswerKind::Acked, build } => {
                let key = tries.get(tried).map_or(0, |t| t.key);
                if key != 0 {
                    let a = views.entry(*by).or_default().answered.entry(key).or_insert((*build, *at));
                    if *build > a.0 {
                        *a = (*build, *at);
                    }
                }
            }
            Seen::Delivered { host, build, from, tried, .. } => {
                let view = views.entry(*from).or_default();
                let build = view.builds.get(host).copied().unwrap_or(*build);
                view.sent.push((*at, build));
                let mut found = |what: String| {
                    let messages = vec![format!("try {tried}"), format!("router {}", from.router)];
                    broken.push(Broken { rule: 5, at: *at, what, messages });
                };
                if let Some(what) = over_cap(terms, view, *at, build) {
                    found(format!("router {}: {what}", from.router));
                }
                let key = tries.get(tried).map_or(0, |t| t.key);
                let newer = view.answered.get(&key).filter(|a| a.0 > build && at - a.1 > terms.slack);
                let stands = |b: u16| {
                    let back = |n: &(Micros, u16, Standing, f64)| {
                        n.1 == b && matches!(n.2, Standing::GoingBack | Standing::Withdrawn)
                    };
                    !view.states(*at, terms.slack).iter().any(back)
                };
                if let Some((b, _)) = newer.filter(|a| terms.forward_only && key != 0 && stands(a.0)) {
                    found(format!("key {key} went to build {build} after build {b} had answered it"));
                }
            }
            _ => {}
        }
    }
    broken
}

fn over_cap(terms: &RuleTerms, view: &View, at: Micros, build: u16) -> Option<String> {
    let recent = view.states(at, terms.slack);
    let free = |n: &(Micros, u16, Standing, f64)| n.1 > build || n.1 == build && n.2 == Standing::Released;
    if recent.is_empty() || recent.iter().any(free) {
        return None;
    }
    let cap_of = |n: &(Micros, u16, Standing, f64)| if n.1 == build { n.3 } else { terms.first_cap };
    // A lower cap binds after the grace, and deliveries are counted anew from then.
    let within = view.states(at, terms.drain_grace + terms.slack);
    let cap = within.iter().map(cap_of).fold(0.0, f64::max);
    let upto = view.news.partition_point(|n| n.0 <= at);
    let lowered = view.news[..upto].windows(2).filter(|w| cap_of(&w[1]) < cap_of(&w[0]));
    let anew =
        lowered.map(|w| w[1].0 + terms.drain_grace).filter(|t| *t <= at).max().unwrap_or(Micros::MIN / 2);
    let from = (at - terms.exposure_span).max(anew);
    let sent = view.sent.iter().rev().take_while(|s| s.0 > from + terms.slack);
    let sent = sent.filter(|s| s.1 == build).count() as f64;
    let taken = view.taken.iter().rev().take_while(|t| **t > from - terms.slack).count() as f64;
    if cap <= 0.0 {
        return Some(format!("a delivery at build {build} at cap 0"));
    }
    let may = terms.exposure_free + cap * taken;
    (sent > may + 1e-6).then(|| {
        let (cap, taken) = (cap * 100.0, taken as u64);
        format!(
            "{sent} deliveries at build {build} in the window, {may:.1} allowed ({cap:.1}% of {taken} taken)"
        )
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tap::Seen::*;

    const P: Process = Process { router: 0, start: 0 };

    fn terms() -> RuleTerms {
        RuleTerms {
            repeats: vec![Repeat::Redeliverable, Repeat::Deduplicated(5 * SECOND), Repeat::AtMostOnce],
            drain_grace: SECOND,
            exposure_free: 1.0,
            exposure_span: 4 * SECOND,
            forward_only: true,
            first_cap: 0.1,
            slack: 100 * MS,
        }
    }

    fn taken(tried: u64, op: u16) -> Seen {
        Taken { by: P, tried, command: tried, op, key: 9, patience: SECOND }
    }

    fn delivered(tried: u64, host: u32, delivery: u64) -> Seen {
        Delivered { host, build: 1, from: P, tried, delivery }
    }

    fn answered(tried: u64, kind: AnswerKind) -> Seen {
        Answered { by: P, tried, kind, build: 1 }
    }

    /// Rules broken by what was seen at these milliseconds.
    fn rules(seen: &[(Micros, Seen)]) -> Vec<u8> {
        let seen: Vec<_> = seen.iter().map(|(t, s)| (t * MS, s.clone())).collect();
        check(&terms(), &seen).iter().map(|b| b.rule).collect()
    }

    /// The same for traces that leave out answers, which these tests are not about.
    fn others(seen: &[(Micros, Seen)]) -> Vec<u8> {
        rules(seen).into_iter().filter(|rule| *rule != 1).collect()
    }

    #[test]
    fn one_answer_in_time_is_owed() {
        let end = (9_000, Trouble { what: "end".into() });
        let (ack, nack) = (answered(1, AnswerKind::Acked), answered(1, AnswerKind::Nacked));
        assert!(rules(&[(0, taken(1, 0)), (900, ack.clone()), end.clone()]).is_empty());
        assert_eq!(rules(&[(0, taken(1, 0)), end.clone()]), [1]);
        assert_eq!(rules(&[(0, taken(1, 0)), (1200, ack.clone()), end.clone()]), [1]);
        assert_eq!(rules(&[(0, taken(1, 0)), (100, ack.clone()), (200, nack), end.clone()]), [1]);
        assert!(rules(&[(0, taken(1, 0)), (500, RouterKilled(P)), end.clone()]).is_empty());
        assert!(
            rules(&[(0, RouterAsked(P)), (10, taken(1, 0)), (500, RouterEnded(P)), end.clone()]).is_empty()
        );
        assert_eq!(rules(&[(0, taken(1, 0)), (10, RouterAsked(P)), (500, RouterEnded(P)), end]), [1]);
    }

    #[test]
    fn an_effect_twice_and_a_delivery_or_nack_without_proof_are_found() {
        let ran = |tried, op| Ran { host: 1, build: 1, tried, command: 1, op };
        let full = Replied { host: 1, tried: 1, delivery: 1, kind: ReplyKind::Full };
        assert_eq!(others(&[(0, ran(1, 2)), (10, ran(2, 2))]), [2]);
        assert!(others(&[(0, ran(1, 0)), (10, ran(2, 0))]).is_empty());
        let again = [(0, taken(1, 2)), (1, delivered(1, 1, 1)), (9, delivered(1, 2, 2))];
        assert_eq!(others(&again), [2]);
        let proven = [(0, taken(1, 2)), (1, delivered(1, 1, 1)), (5, full), (9, delivered(1, 2, 2))];
        assert!(others(&proven).is_empty());
        let nacked = [(0, taken(1, 2)), (1, delivered(1, 1, 1)), (9, answered(1, AnswerKind::Nacked))];
        assert_eq!(others(&nacked), [2]);
        assert!(others(&[(0, taken(1, 2)), (9, answered(1, AnswerKind::Nacked))]).is_empty());
        let late = [(0, taken(1, 1)), (1, delivered(1, 1, 1)), (5_200, delivered(1, 2, 2))];
        assert_eq!(others(&late), [2]);
    }

    #[test]
    fn a_drain_binds_after_its_grace_and_a_whole_list_closes_what_it_leaves_out() {
        let listed = |lines: &[(u32, Phase)], whole| Listed {
            to: P,
            whole,
            lines: lines.iter().map(|l| (l.0, 1, l.1)).collect(),
        };
        let ready = listed(&[(1, Phase::Ready), (2, Phase::Ready)], true);
        let drain = listed(&[(1, Phase::Draining)], false);
        let less = listed(&[(2, Phase::Ready)], true);
        for close in [drain, less] {
            let at = |t, host| vec![(0, ready.clone()), (10, close.clone()), (t, delivered(1, host, 1))];
            assert!(others(&at(1_000, 1)).is_empty());
            assert_eq!(others(&at(1_200, 1)), [3]);
            assert!(others(&at(1_200, 2)).is_empty());
        }
        assert_eq!(others(&[(5, Fell { host: 3 })]), [4]);
    }

    #[test]
    fn exposure_is_counted_over_the_window_and_a_lower_cap_binds_after_the_grace() {
        let news = |standing, cap| News { to: P, build: 1, stage: 0, standing, cap };
        let on = news(Standing::OnTrial, 0.1);
        let mut seen = vec![(0, on.clone())];
        seen.extend((0..20).map(|n| (1_000 + n, taken(n as u64 + 1, 0))));
        seen.extend((0..3).map(|n| (2_000 + n, delivered(n as u64 + 1, 1, n as u64))));
        assert!(others(&seen).is_empty(), "one free and a tenth of twenty");
        let mut over = seen.clone();
        over.push((2_100, delivered(4, 1, 4)));
        assert_eq!(others(&over), [5]);
        over[0].1 = news(Standing::Released, 1.0);
        assert!(others(&over).is_empty());
        let mut back = seen.clone();
        back.push((2_200, news(Standing::GoingBack, 0.0)));
        back.push((3_500, delivered(5, 1, 9)));
        assert_eq!(others(&back), [5]);
    }

    #[test]
    fn a_key_goes_to_no_earlier_build_until_the_new_one_goes_back() {
        let lines = vec![(1, 1, Phase::Ready), (2, 2, Phase::Ready)];
        let start = [
            (0, Listed { to: P, whole: true, lines }),
            (0, News { to: P, build: 2, stage: 4, standing: Standing::OnTrial, cap: 1.0 }),
            (10, taken(1, 0)),
            (20, Answered { by: P, tried: 1, kind: AnswerKind::Acked, build: 2 }),
            (300, taken(2, 0)),
        ];
        let mut seen = start.to_vec();
        seen.push((400, delivered(2, 1, 1)));
        assert_eq!(others(&seen), [5]);
        let mut seen = start.to_vec();
        seen.push((350, News { to: P, build: 2, stage: 4, standing: Standing::GoingBack, cap: 0.0 }));
        seen.push((400, delivered(2, 1, 1)));
        assert!(others(&seen).is_empty());
    }
}
