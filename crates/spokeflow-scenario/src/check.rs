//! Decides the five rules from what was seen of a day: messages and effects at the hosts, nothing else. It
//! shares no code with the module's own accounting.
//!
//! A message is noted when a stand-in writes or reads it, which is up to `slack` from when the router handled
//! it. Each rule is judged in the router's favour by that much, so that a busy machine breaks none. What was
//! seen is taken one by one and forgotten when it can decide nothing more: days of any length fit.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use serde::Serialize;

use crate::scenario::{Repeat, Scenario};
use crate::seen::{AnswerKind, Observation, Phase, Process, ReplyKind, Standing};
use crate::{Micros, MS, SECOND};

/// The connect timeout of the routers of a day: what takes longer to connect was never sent.
const CONNECTING: Micros = 250 * MS;

#[derive(Clone, Debug)]
pub struct RuleConfig {
    pub repeats: Vec<Repeat>,
    pub drain_grace: Micros,
    pub exposure_free: f64,
    pub exposure_span: Micros,
    pub forward_only: bool,
    pub first_cap: f64,
    pub slack: Micros,
    /// How much later than the router sent it a delivery may be seen, beyond `slack`, since a connection had to be
    /// made for it first.
    pub connecting: Micros,
    /// How long after a try's deadline something may still be seen of it.
    pub linger: Micros,
}

impl RuleConfig {
    pub fn of(day: &Scenario) -> RuleConfig {
        RuleConfig {
            repeats: day.ops.iter().map(|op| op.repeat).collect(),
            drain_grace: day.drain_grace,
            exposure_free: day.exposure_free,
            exposure_span: day.exposure_span,
            forward_only: day.forward_only,
            first_cap: day.cap(0),
            slack: 150 * MS,
            connecting: day
                .troubles
                .iter()
                .map(|t| {
                    if t.kind.slows_connects() {
                        CONNECTING
                    } else {
                        0
                    }
                })
                .max()
                .unwrap_or(0),
            linger: 30 * SECOND,
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

type Trace = [(Micros, Observation)];

/// All breaks, in the order of their times, with the messages that concern the first ones.
pub fn check(terms: &RuleConfig, seen: &Trace) -> Vec<Broken> {
    let mut checker = Checker::new(terms.clone());
    seen.iter().for_each(|(at, s)| checker.see(*at, s));
    let mut broken = checker.finish();
    explain(&mut broken, seen);
    broken
}

/// Puts the messages that concern them beside the first breaks.
pub fn explain(broken: &mut [Broken], seen: &Trace) {
    for b in broken.iter_mut().take(20) {
        let named = std::mem::take(&mut b.messages);
        b.messages = messages(seen, &named, b.at);
    }
}

/// Messages that concern a try or host: `named` holds `try N` or `host N`.
fn messages(seen: &Trace, named: &[String], at: Micros) -> Vec<String> {
    let concerns = |s: &Observation| match s {
        Observation::Taken { tried, .. }
        | Observation::Answered { tried, .. }
        | Observation::Left { tried }
        | Observation::Delivered { tried, .. }
        | Observation::Replied { tried, .. }
        | Observation::Ran { tried, .. } => named.contains(&format!("try {tried}")),
        Observation::Listed { lines, .. } => lines
            .iter()
            .any(|l| named.contains(&format!("host {}", l.0))),
        Observation::Fell { host } => named.contains(&format!("host {host}")),
        Observation::News { to, .. } => named.contains(&format!("router {}", to.router)),
        _ => false,
    };
    let near = seen
        .iter()
        .filter(|(t, _)| (at - t).abs() < 12 * SECOND)
        .filter(|(_, s)| concerns(s));
    near.take(24)
        .map(|(t, s)| format!("{:.3} {s:?}", *t as f64 / SECOND as f64))
        .collect()
}

struct Try {
    by: Process,
    command: u64,
    op: usize,
    key: u64,
    deadline: Micros,
    /// StartedJob when its router had been told to end, or judged without an answer.
    excused: bool,
    left: bool,
    answered: bool,
    nacked: Option<Micros>,
    /// Deliveries: when, number, and whether the host said that it did not look at it.
    out: Vec<(Micros, u64, bool)>,
}

#[derive(Default)]
struct View {
    /// By host, its build and since when it is closed for this router.
    hosts: HashMap<u32, (u16, Option<Micros>)>,
    /// When it was first told a whole list.
    whole: Option<Micros>,
    /// In order: when told, build, standing, cap.
    news: VecDeque<(Micros, u16, Standing, f64)>,
    taken: VecDeque<Micros>,
    /// Deliveries by build.
    sent: BTreeMap<u16, VecDeque<Micros>>,
    /// By key, the newest build that has answered it, and when.
    answered: HashMap<u64, (u16, Micros)>,
    killed: Option<Micros>,
    asked: Option<Micros>,
}

pub struct Checker {
    terms: RuleConfig,
    now: Micros,
    tries: HashMap<u64, Try>,
    /// Deadlines of tries, then when they are forgotten.
    due: BTreeSet<(Micros, u64)>,
    forget: VecDeque<(Micros, u64)>,
    /// By command, how often its effect happened, its tries, and the last time.
    ran: HashMap<u64, (u32, Vec<u64>, Micros)>,
    ran_last: VecDeque<(Micros, u64)>,
    views: BTreeMap<Process, View>,
    broken: Vec<Broken>,
    swept: Micros,
    seen: u64,
}

impl Checker {
    pub fn new(terms: RuleConfig) -> Checker {
        Checker {
            terms,
            now: 0,
            tries: HashMap::new(),
            due: BTreeSet::new(),
            forget: VecDeque::new(),
            ran: HashMap::new(),
            ran_last: VecDeque::new(),
            views: BTreeMap::new(),
            broken: Vec::new(),
            swept: 0,
            seen: 0,
        }
    }

    /// Breaks found so far.
    pub fn broken(&self) -> &[Broken] {
        &self.broken
    }

    /// Of how many tries, commands and routers something is kept in mind.
    pub fn kept(&self) -> [usize; 3] {
        [self.tries.len(), self.ran.len(), self.views.len()]
    }

    fn found(&mut self, rule: u8, at: Micros, what: String, messages: Vec<String>) {
        self.broken.push(Broken {
            rule,
            at,
            what,
            messages,
        });
    }

    /// Times never go back.
    pub fn see(&mut self, at: Micros, seen: &Observation) {
        self.pass(at);
        self.seen += 1;
        match seen {
            Observation::Taken {
                by,
                tried,
                command,
                op,
                key,
                patience,
            } => {
                let view = self.views.entry(*by).or_default();
                view.taken.push_back(at);
                let deadline = at + patience + self.terms.slack;
                let excused = view.asked.is_some();
                let t = Try {
                    by: *by,
                    command: *command,
                    op: usize::from(*op),
                    key: *key,
                    deadline,
                    excused,
                    left: false,
                    answered: false,
                    nacked: None,
                    out: Vec::new(),
                };
                self.tries.insert(*tried, t);
                self.due.insert((deadline, *tried));
            }
            Observation::Answered {
                by,
                tried,
                kind,
                build,
            } => self.answered(at, *by, *tried, *kind, *build),
            Observation::Left { tried } => {
                if let Some(t) = self.tries.get_mut(tried) {
                    t.left = true;
                }
            }
            Observation::Delivered {
                host,
                build,
                from,
                tried,
                delivery,
            } => {
                self.delivered_again(at, *tried, *delivery);
                self.delivered_where(at, *from, *host, *tried);
                self.exposed(at, *from, *host, *build, *tried);
            }
            Observation::Replied {
                tried,
                delivery,
                kind: ReplyKind::Full,
                ..
            } => {
                if let Some(t) = self.tries.get_mut(tried) {
                    t.out
                        .iter_mut()
                        .filter(|d| d.1 == *delivery)
                        .for_each(|d| d.2 = true);
                }
            }
            Observation::Ran {
                tried, command, op, ..
            } => self.ran(at, *tried, *command, usize::from(*op)),
            Observation::Listed { to, whole, lines } => {
                let view = self.views.entry(*to).or_default();
                if *whole {
                    view.whole.get_or_insert(at);
                    let named: BTreeSet<u32> = lines.iter().map(|l| l.0).collect();
                    let unnamed = view.hosts.iter_mut().filter(|(h, _)| !named.contains(h));
                    unnamed.for_each(|(_, host)| host.1 = host.1.or(Some(at)));
                }
                for (host, build, phase) in lines {
                    let known = view.hosts.entry(*host).or_insert((*build, None));
                    if *phase != Phase::Gone {
                        known.0 = *build;
                    }
                    known.1 = if *phase == Phase::Ready {
                        None
                    } else {
                        known.1.or(Some(at))
                    };
                }
            }
            Observation::News {
                to,
                build,
                standing,
                cap,
                ..
            } => {
                let view = self.views.entry(*to).or_default();
                view.news.push_back((at, *build, *standing, *cap));
                // Rule 5 speaks of the newest build told, on trial or released, and of later ones: one that has
                // not been released when the next is due goes back, and its keys with it.
                let back = matches!(standing, Standing::GoingBack | Standing::Withdrawn);
                view.answered
                    .retain(|_, a| a.0 > *build || a.0 == *build && !back);
            }
            Observation::RouterKilled(p) => self.views.entry(*p).or_default().killed = Some(at),
            Observation::RouterAsked(p) => self.views.entry(*p).or_default().asked = Some(at),
            // Rule 4: no cold host is pushed over.
            Observation::Fell { host } => {
                let what = format!("cold host {host} was sent more than it can bear");
                self.found(4, at, what, vec![format!("host {host}")]);
            }
            _ => {}
        }
    }

    /// Judges what is due by now and forgets what can decide nothing more.
    fn pass(&mut self, now: Micros) {
        self.now = self.now.max(now);
        while let Some((deadline, tried)) = self.due.first().copied().filter(|d| d.0 < self.now) {
            self.due.remove(&(deadline, tried));
            self.overdue(deadline, tried);
            self.forget.push_back((deadline + self.terms.linger, tried));
        }
        while let Some((_, tried)) = self.forget.pop_front_if(|f| f.0 < self.now) {
            self.forget_try(tried);
        }
        while let Some((at, command)) = self
            .ran_last
            .pop_front_if(|r| r.0 + 2 * self.terms.linger < self.now)
        {
            if self.ran.get(&command).is_some_and(|r| r.2 <= at) {
                self.ran.remove(&command);
            }
        }
        if self.now - self.swept > SECOND {
            self.swept = self.now;
            let (now, t) = (self.now, &self.terms);
            let window = t.exposure_span + t.drain_grace + 2 * t.slack + SECOND;
            for view in self.views.values_mut() {
                while view.taken.pop_front_if(|at| now - *at > window).is_some() {}
                view.sent
                    .values_mut()
                    .for_each(|sent| while sent.pop_front_if(|at| now - *at > window).is_some() {});
                view.sent.retain(|_, sent| !sent.is_empty());
                // The last of the news before the window still holds in it.
                while view.news.len() > 1 && now - view.news[1].0 > 2 * window {
                    view.news.pop_front();
                }
                view.hosts
                    .retain(|_, host| host.1.is_none_or(|since| now - since < 2 * t.linger));
                // No earlier build is left to which a key could go back.
                let oldest = view.hosts.values().map(|h| h.0).min().unwrap_or(0);
                view.answered.retain(|_, a| a.0 > oldest);
            }
            let done = |v: &View| {
                v.killed
                    .or(v.asked)
                    .is_some_and(|at| now - at > 2 * t.linger)
            };
            self.views.retain(|_, view| !done(view));
        }
    }

    /// Rule 1, first half: an answer in time.
    fn overdue(&mut self, deadline: Micros, tried: u64) {
        let Some(t) = self.tries.get(&tried) else {
            return;
        };
        // A killed router owes nothing more; one that is ending takes nothing new.
        let killed = self
            .views
            .get(&t.by)
            .and_then(|v| v.killed)
            .is_some_and(|at| at <= deadline);
        if !t.answered && !t.left && !t.excused && !killed {
            let what = format!(
                "no final answer in time: try {tried} of command {}",
                t.command
            );
            self.found(1, deadline, what, vec![format!("try {tried}")]);
        }
    }

    fn forget_try(&mut self, tried: u64) {
        let Some(t) = self.tries.remove(&tried) else {
            return;
        };
        // Rule 2: no nack without proof that nothing ran.
        let may_have_run = t.out.iter().any(|d| !d.2);
        if let Some(at) = t
            .nacked
            .filter(|_| self.terms.repeats[t.op] == Repeat::AtMostOnce && may_have_run)
        {
            let what = format!("nacked though it may have run: try {tried}");
            self.found(2, at, what, vec![format!("try {tried}")]);
        }
    }

    fn answered(&mut self, at: Micros, by: Process, tried: u64, kind: AnswerKind, build: u16) {
        let Some(t) = self.tries.get_mut(&tried) else {
            let what = format!("an answer long after its time, or to nothing: try {tried}");
            return self.found(1, at, what, vec![format!("try {tried}")]);
        };
        let (again, late) = (std::mem::replace(&mut t.answered, true), at > t.deadline);
        let (command, key) = (t.command, t.key);
        if kind == AnswerKind::Nacked {
            t.nacked = t.nacked.or(Some(at));
        }
        if again || late {
            let what = if again {
                "a second final answer"
            } else {
                "the final answer came too late"
            };
            // What was owed and came late has been found at its deadline.
            let known = !again
                && self
                    .broken
                    .iter()
                    .rev()
                    .take(64)
                    .any(|b| b.messages == [format!("try {tried}")]);
            if !known {
                self.found(
                    1,
                    at,
                    format!("{what}: try {tried} of command {command}"),
                    vec![format!("try {tried}")],
                );
            }
        }
        if kind == AnswerKind::Acked && key != 0 && self.terms.forward_only {
            let slack = self.terms.slack;
            let view = self.views.entry(by).or_default();
            // What a build still answers after it was sent back or another was announced binds no key.
            if view.unbound(at, slack, build) {
                return;
            }
            let a = view.answered.entry(key).or_insert((build, at));
            if build > a.0 {
                *a = (build, at);
            }
        }
    }

    /// Rule 2: no effect twice.
    fn ran(&mut self, at: Micros, tried: u64, command: u64, op: usize) {
        if self.terms.repeats[op] == Repeat::Redeliverable {
            return;
        }
        let ran = self.ran.entry(command).or_insert((0, Vec::new(), at));
        (ran.0, ran.2) = (ran.0 + 1, at);
        if !ran.1.contains(&tried) {
            ran.1.push(tried);
        }
        let (times, tries) = (ran.0, ran.1.iter().map(|t| format!("try {t}")).collect());
        self.ran_last.push_back((at, command));
        if times > 1 {
            self.found(
                2,
                at,
                format!("the effect of command {command} happened {times} times"),
                tries,
            );
        }
    }

    /// Rule 2: no redelivery without proof that nothing ran.
    fn delivered_again(&mut self, at: Micros, tried: u64, delivery: u64) {
        let slack = self.terms.slack;
        let Some(t) = self.tries.get_mut(&tried) else {
            return;
        };
        let open = t.out.iter().find(|d| !d.2).map(|d| d.0);
        t.out.push((at, delivery, false));
        let wrong = match (self.terms.repeats[t.op], open) {
            (Repeat::AtMostOnce, Some(_)) => "delivered again without proof that it had not run",
            (Repeat::Deduplicated(memory), Some(first)) if at - first > memory + slack => {
                "delivered again after its mark is remembered"
            }
            _ => return,
        };
        self.found(
            2,
            at,
            format!("{wrong}: try {tried}"),
            vec![format!("try {tried}")],
        );
    }

    /// Rule 3: nothing new to a drained or gone host past the grace.
    fn delivered_where(&mut self, at: Micros, from: Process, host: u32, tried: u64) {
        let view = self.views.entry(from).or_default();
        // A host that no list has named for long is as good as gone.
        let since = view.hosts.get(&host).map_or(view.whole, |h| h.1);
        if let Some(since) =
            since.filter(|since| at - since > self.terms.drain_grace + self.terms.slack)
        {
            let late = (at - since) as f64 / SECOND as f64;
            let what =
                format!("try {tried} went to host {host} {late:.2} s after it was told to drain");
            self.found(
                3,
                at,
                what,
                vec![format!("try {tried}"), format!("host {host}")],
            );
        }
    }

    /// Rule 5: exposure within the cap, and forward-only keys.
    fn exposed(&mut self, at: Micros, from: Process, host: u32, build: u16, tried: u64) {
        let key = self.tries.get(&tried).map_or(0, |t| t.key);
        let view = self.views.entry(from).or_default();
        let build = view.hosts.get(&host).map_or(build, |h| h.0);
        view.sent.entry(build).or_default().push_back(at);
        let over = over_cap(&self.terms, view, at, build);
        let newer = view
            .answered
            .get(&key)
            .filter(|a| a.0 > build && at - a.1 > self.terms.slack);
        let newer = newer
            .filter(|_| self.terms.forward_only && key != 0)
            .map(|a| a.0);
        let newer = newer.filter(|b| !view.unbound(at, self.terms.slack, *b));
        let messages = || vec![format!("try {tried}"), format!("router {}", from.router)];
        if let Some(what) = over {
            self.found(5, at, format!("router {}: {what}", from.router), messages());
        }
        if let Some(newer) = newer {
            let what =
                format!("key {key} went to build {build} after build {newer} had answered it");
            self.found(5, at, what, messages());
        }
    }

    /// The day is over: what is not due yet was not owed yet.
    pub fn finish(mut self) -> Vec<Broken> {
        let mut left: Vec<u64> = self.tries.keys().copied().collect();
        left.sort_unstable();
        left.into_iter().for_each(|tried| self.forget_try(tried));
        self.broken.sort_by_key(|b| b.at);
        self.broken
    }
}

impl View {
    /// Whether the router may have known by then that this build goes back, or that a later one is the newest.
    fn unbound(&self, at: Micros, slack: Micros, build: u16) -> bool {
        let free = |n: &(Micros, u16, Standing, f64)| {
            n.1 > build || n.1 == build && matches!(n.2, Standing::GoingBack | Standing::Withdrawn)
        };
        self.states(at, slack).any(free)
    }

    /// What the router may go by at some time within `span` before `at`: the states told then, and the last one
    /// before.
    fn states(
        &self,
        at: Micros,
        span: Micros,
    ) -> impl Iterator<Item = &(Micros, u16, Standing, f64)> {
        let upto = self.news.partition_point(|n| n.0 <= at);
        let from = self
            .news
            .partition_point(|n| n.0 <= at - span)
            .min(upto)
            .saturating_sub(1);
        self.news.range(from..upto)
    }
}

fn over_cap(terms: &RuleConfig, view: &View, at: Micros, build: u16) -> Option<String> {
    let free =
        |n: &(Micros, u16, Standing, f64)| n.1 > build || n.1 == build && n.2 == Standing::Released;
    let mut recent = view.states(at, terms.slack).peekable();
    recent.peek()?;
    if recent.any(free) {
        return None;
    }
    let cap_of =
        |n: &(Micros, u16, Standing, f64)| if n.1 == build { n.3 } else { terms.first_cap };
    // A lower cap binds after the grace, and deliveries are counted anew from then.
    let span = terms.drain_grace + terms.slack;
    let cap = view.states(at, span).map(cap_of).fold(0.0, f64::max);
    // Until its first news a router goes by stage 0, and what lowers that binds after the grace as well.
    let unannounced = view.news.front().is_some_and(|n| n.0 > at - span);
    let cap = if unannounced {
        cap.max(terms.first_cap)
    } else {
        cap
    };
    let upto = view.news.partition_point(|n| n.0 <= at);
    let pairs = view.news.range(..upto).zip(view.news.range(..upto).skip(1));
    let lowered = pairs
        .filter(|(a, b)| cap_of(b) < cap_of(a))
        .map(|(_, b)| b.0 + terms.drain_grace);
    let anew = lowered
        .filter(|t| *t <= at)
        .max()
        .unwrap_or(Micros::MIN / 2);
    let from = (at - terms.exposure_span).max(anew);
    let seen_by = terms.slack + terms.connecting;
    let sent = view
        .sent
        .get(&build)
        .map_or(0, |s| s.len() - s.partition_point(|t| *t <= from + seen_by));
    let taken = view.taken.len() - view.taken.partition_point(|t| *t <= from - terms.slack);
    if cap <= 0.0 {
        return Some(format!("a delivery at build {build} at cap 0"));
    }
    let may = terms.exposure_free + cap * taken as f64;
    (sent as f64 > may + 1e-6).then(|| {
        let cap = cap * 100.0;
        format!(
            "{sent} deliveries at build {build} in the window, {may:.1} allowed ({cap:.1}% of {taken} taken)"
        )
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::seen::Observation::*;

    const P: Process = Process {
        router: 0,
        start: 0,
    };

    fn terms() -> RuleConfig {
        RuleConfig {
            repeats: vec![
                Repeat::Redeliverable,
                Repeat::Deduplicated(5 * SECOND),
                Repeat::AtMostOnce,
            ],
            drain_grace: SECOND,
            exposure_free: 1.0,
            exposure_span: 4 * SECOND,
            forward_only: true,
            first_cap: 0.1,
            slack: 100 * MS,
            connecting: 0,
            linger: 30 * SECOND,
        }
    }

    fn taken(tried: u64, op: u16) -> Observation {
        Taken {
            by: P,
            tried,
            command: tried,
            op,
            key: 9,
            patience: SECOND,
        }
    }

    fn delivered(tried: u64, host: u32, delivery: u64) -> Observation {
        Delivered {
            host,
            build: 1,
            from: P,
            tried,
            delivery,
        }
    }

    fn answered(tried: u64, kind: AnswerKind) -> Observation {
        Answered {
            by: P,
            tried,
            kind,
            build: 1,
        }
    }

    /// Rules broken by what was seen at these milliseconds.
    fn rules(seen: &[(Micros, Observation)]) -> Vec<u8> {
        let seen: Vec<_> = seen.iter().map(|(t, s)| (t * MS, s.clone())).collect();
        check(&terms(), &seen).iter().map(|b| b.rule).collect()
    }

    /// The same for traces that leave out answers, which these tests are not about.
    fn others(seen: &[(Micros, Observation)]) -> Vec<u8> {
        rules(seen).into_iter().filter(|rule| *rule != 1).collect()
    }

    #[test]
    fn one_answer_in_time_is_owed() {
        let end = (9_000, Fault { what: "end".into() });
        let (ack, nack) = (
            answered(1, AnswerKind::Acked),
            answered(1, AnswerKind::Nacked),
        );
        assert!(rules(&[(0, taken(1, 0)), (900, ack.clone()), end.clone()]).is_empty());
        assert_eq!(rules(&[(0, taken(1, 0)), end.clone()]), [1]);
        assert_eq!(
            rules(&[(0, taken(1, 0)), (1200, ack.clone()), end.clone()]),
            [1]
        );
        assert_eq!(
            rules(&[
                (0, taken(1, 0)),
                (100, ack.clone()),
                (200, nack),
                end.clone()
            ]),
            [1]
        );
        assert!(rules(&[(0, taken(1, 0)), (500, RouterKilled(P)), end.clone()]).is_empty());
        assert!(rules(&[
            (0, RouterAsked(P)),
            (10, taken(1, 0)),
            (500, RouterEnded(P)),
            end.clone()
        ])
        .is_empty());
        assert_eq!(
            rules(&[
                (0, taken(1, 0)),
                (10, RouterAsked(P)),
                (500, RouterEnded(P)),
                end
            ]),
            [1]
        );
    }

    #[test]
    fn an_effect_twice_and_a_delivery_or_nack_without_proof_are_found() {
        let ran = |tried, op| Ran {
            host: 1,
            build: 1,
            tried,
            command: 1,
            op,
        };
        let full = Replied {
            host: 1,
            tried: 1,
            delivery: 1,
            kind: ReplyKind::Full,
        };
        assert_eq!(others(&[(0, ran(1, 2)), (10, ran(2, 2))]), [2]);
        assert!(others(&[(0, ran(1, 0)), (10, ran(2, 0))]).is_empty());
        let again = [
            (0, taken(1, 2)),
            (1, delivered(1, 1, 1)),
            (9, delivered(1, 2, 2)),
        ];
        assert_eq!(others(&again), [2]);
        let proven = [
            (0, taken(1, 2)),
            (1, delivered(1, 1, 1)),
            (5, full),
            (9, delivered(1, 2, 2)),
        ];
        assert!(others(&proven).is_empty());
        let nacked = [
            (0, taken(1, 2)),
            (1, delivered(1, 1, 1)),
            (9, answered(1, AnswerKind::Nacked)),
        ];
        assert_eq!(others(&nacked), [2]);
        assert!(others(&[(0, taken(1, 2)), (9, answered(1, AnswerKind::Nacked))]).is_empty());
        let late = [
            (0, taken(1, 1)),
            (1, delivered(1, 1, 1)),
            (5_200, delivered(1, 2, 2)),
        ];
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
            let at = |t, host| {
                vec![
                    (0, ready.clone()),
                    (10, close.clone()),
                    (t, delivered(1, host, 1)),
                ]
            };
            assert!(others(&at(1_000, 1)).is_empty());
            assert_eq!(others(&at(1_200, 1)), [3]);
            assert!(others(&at(1_200, 2)).is_empty());
        }
        assert_eq!(others(&[(5, Fell { host: 3 })]), [4]);
    }

    #[test]
    fn exposure_is_counted_over_the_window_and_a_lower_cap_binds_after_the_grace() {
        let news = |standing, cap| News {
            to: P,
            build: 1,
            stage: 0,
            standing,
            cap,
        };
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
        // Found by a hunt (drawn day 458): a router that has just started sends by stage 0 and hears then that
        // the build goes back; what it had sent by then may leave within the grace.
        let first = |at| {
            let back = news(Standing::GoingBack, 0.0);
            vec![(0, taken(1, 0)), (100, back), (at, delivered(1, 1, 1))]
        };
        assert!(others(&first(105)).is_empty());
        assert_eq!(others(&first(1_300)), [5]);
        let mut back = seen.clone();
        back.push((2_200, news(Standing::GoingBack, 0.0)));
        back.push((3_500, delivered(5, 1, 9)));
        assert_eq!(others(&back), [5]);
    }

    /// Bad day 23 in simulated time: a delivery that had waited 0.21 s for its connection was seen within the window
    /// from whose beginning on it no longer counted at the router.
    #[test]
    fn a_delivery_counts_from_when_it_was_sent_and_not_from_when_its_connection_stood() {
        let mut seen = vec![(
            0,
            News {
                to: P,
                build: 1,
                stage: 0,
                standing: Standing::OnTrial,
                cap: 0.1,
            },
        )];
        seen.push((1_250, delivered(1, 1, 1)));
        seen.extend((0..20).map(|n| (3_000 + n, taken(n as u64 + 1, 0))));
        seen.extend((0..4).map(|n| (5_100 + 10 * n, delivered(n as u64 + 2, 1, n as u64 + 2))));
        let count = |connecting| {
            let seen: Vec<_> = seen.iter().map(|(t, s)| (t * MS, s.clone())).collect();
            let terms = RuleConfig {
                connecting,
                ..terms()
            };
            check(&terms, &seen).iter().filter(|b| b.rule == 5).count()
        };
        assert_eq!((count(0), count(250 * MS)), (2, 1));
    }

    #[test]
    fn a_key_goes_to_no_earlier_build_until_the_new_one_goes_back() {
        let lines = vec![(1, 1, Phase::Ready), (2, 2, Phase::Ready)];
        let start = [
            (
                0,
                Listed {
                    to: P,
                    whole: true,
                    lines,
                },
            ),
            (
                0,
                News {
                    to: P,
                    build: 2,
                    stage: 4,
                    standing: Standing::OnTrial,
                    cap: 1.0,
                },
            ),
            (10, taken(1, 0)),
            (
                20,
                Answered {
                    by: P,
                    tried: 1,
                    kind: AnswerKind::Acked,
                    build: 2,
                },
            ),
            (300, taken(2, 0)),
        ];
        let mut seen = start.to_vec();
        seen.push((400, delivered(2, 1, 1)));
        assert_eq!(others(&seen), [5]);
        let mut seen = start.to_vec();
        seen.push((
            350,
            News {
                to: P,
                build: 2,
                stage: 4,
                standing: Standing::GoingBack,
                cap: 0.0,
            },
        ));
        seen.push((400, delivered(2, 1, 1)));
        assert!(others(&seen).is_empty());
        // Found by a hunt (drawn days 153 and 348): what was still out at the build when it was sent back is
        // answered by it, and the next build's news come before the key's next command.
        seen.pop();
        seen.push((
            360,
            Answered {
                by: P,
                tried: 2,
                kind: AnswerKind::Acked,
                build: 2,
            },
        ));
        seen.push((
            700,
            News {
                to: P,
                build: 3,
                stage: 0,
                standing: Standing::OnTrial,
                cap: 0.1,
            },
        ));
        seen.push((1_000, taken(3, 0)));
        seen.push((1_100, delivered(3, 1, 1)));
        assert!(others(&seen).is_empty());
    }

    /// `day --seed 13` on sockets and 31337: build 2 is taken off for build 3, unreleased; build 3 is withdrawn and the
    /// hosts go back to build 1.
    #[test]
    fn a_key_is_bound_to_the_newest_build_told_and_to_none_before_it() {
        let lines = vec![
            (1, 1, Phase::Ready),
            (2, 2, Phase::Ready),
            (3, 3, Phase::Ready),
        ];
        let tell = |build, standing, cap| News {
            to: P,
            build,
            stage: 4,
            standing,
            cap,
        };
        let ack = |tried, build| Answered {
            by: P,
            tried,
            kind: AnswerKind::Acked,
            build,
        };
        let start = [
            (
                0,
                Listed {
                    to: P,
                    whole: true,
                    lines,
                },
            ),
            (0, tell(2, Standing::OnTrial, 1.0)),
            (10, taken(1, 0)),
            (20, ack(1, 2)),
            (300, tell(3, Standing::OnTrial, 1.0)),
            (310, taken(2, 0)),
        ];
        let mut seen = start.to_vec();
        seen.push((600, delivered(2, 1, 1)));
        assert!(
            others(&seen).is_empty(),
            "build 2 went back when build 3 came"
        );
        seen.splice(
            6..,
            [
                (320, ack(2, 3)),
                (600, taken(3, 0)),
                (610, delivered(3, 2, 1)),
            ],
        );
        assert_eq!(others(&seen), [5], "build 3 stands");
        seen.splice(
            7..,
            [(400, tell(3, Standing::Withdrawn, 0.0)), (600, taken(3, 0))],
        );
        seen.push((700, delivered(3, 1, 1)));
        assert!(others(&seen).is_empty(), "build 3 went back");
    }

    #[test]
    fn a_long_day_is_judged_in_bounded_memory() {
        let mut checker = Checker::new(terms());
        let news = News {
            to: P,
            build: 2,
            stage: 4,
            standing: Standing::Released,
            cap: 1.0,
        };
        checker.see(
            0,
            &Listed {
                to: P,
                whole: true,
                lines: vec![(1, 2, Phase::Ready)],
            },
        );
        let mut most = 0;
        for n in 1..40_000 {
            let at = n as Micros * 10 * MS;
            checker.see(
                at,
                &Taken {
                    by: P,
                    tried: n,
                    command: n,
                    op: 1,
                    key: n,
                    patience: SECOND,
                },
            );
            checker.see(
                at,
                &Delivered {
                    host: 1,
                    build: 2,
                    from: P,
                    tried: n,
                    delivery: n,
                },
            );
            checker.see(
                at,
                &Ran {
                    host: 1,
                    build: 2,
                    tried: n,
                    command: n,
                    op: 1,
                },
            );
            checker.see(
                at,
                &Answered {
                    by: P,
                    tried: n,
                    kind: AnswerKind::Acked,
                    build: 2,
                },
            );
            if n % 400 == 0 {
                checker.see(at, &news);
            }
            most = most.max(checker.kept()[0] + checker.kept()[1]);
        }
        // A hundred a second for a deadline of a second and half a minute, commands for twice that.
        assert!(most < 10_500, "{most}");
        let view = &checker.views[&P];
        assert!(view.taken.len() < 800 && view.sent[&2].len() < 800 && view.news.len() < 20);
        assert!(
            view.answered.len() < 200,
            "nothing is left to go back to: {}",
            view.answered.len()
        );
        assert!(checker.finish().is_empty());
    }
}
