//! What is known of each host, in parallel arrays under a dense index, and figures over all of them that are kept
//! as hosts change. Nothing here decides; `docs/scaling.md` lists the figures.

use std::collections::{BTreeMap, BTreeSet};

use super::{Member, Pool, ReadyHosts, RecentStarts};
use crate::{unit, BuildId, Endpoint, EndpointState, HostId, Micros};

/// Above one part of so many of a pool's hosts, checking all of them costs less than looking up the doubtful ones.
const MANY: usize = 4;
/// The age of a process that started before anyone can say.
const LONG_AGO: Micros = Micros::MAX / 2;

/// Since when a started process counts as recent, for each of the uses of that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartSpans {
    /// Its capacity still grows.
    pub warming: Micros,
    /// What it is sent is bounded.
    pub bounded: Micros,
    /// It counts as young.
    pub young: Micros,
}

#[derive(Default)]
pub struct Hosts {
    own_index: u32,
    now: Micros,
    line: Vec<Endpoint>,
    build: Vec<BuildId>,
    rank: Vec<f64>,
    in_flight: Vec<u32>,
    answers: Vec<u32>,
    strikes: Vec<u32>,
    shut_until: Vec<Micros>,
    mute_since: Vec<Micros>,
    blame: Vec<f64>,
    /// Sent in the last slot of time, and which that was.
    pub sent: Vec<u32>,
    pub slot: Vec<Micros>,
    /// How much slower than usual the host answers, as a logarithm.
    pub lag: Vec<f64>,
    /// How busy its cores are, 0 to 1, as its last report said; NaN before the first, and when that came.
    pub busy: Vec<f64>,
    pub busy_at: Vec<Micros>,
    /// When it last answered over a connection that has not been refused since.
    pub linked_at: Vec<Micros>,
    /// How many hosts were last said to run each build, ready or not.
    builds: BTreeMap<BuildId, usize>,
    ready: BTreeMap<BuildId, ReadyHosts>,
    /// What stands for a build without ready hosts.
    none_ready: ReadyHosts,
    ready_count: usize,
    spans: StartSpans,
    warming: RecentStarts,
    bounded: RecentStarts,
    young: RecentStarts,
    /// Ready hosts with a strike, or shut until a time that may be past.
    troubled: BTreeSet<usize>,
    /// Hosts with something out, by when something last came back.
    silent: BTreeSet<(Micros, usize)>,
    /// Hosts with a part in the judge's sum.
    blamed: BTreeSet<usize>,
}

impl Hosts {
    /// No hosts yet. The own index decides the order of hosts by hash.
    pub fn new(own_index: u32, spans: StartSpans, now: Micros) -> Self {
        let mut hosts = Hosts {
            own_index,
            now,
            ..Hosts::default()
        };
        hosts.set_spans(spans);
        hosts
    }

    /// Goes by other spans, counted anew for all hosts.
    pub fn set_spans(&mut self, spans: StartSpans) {
        if spans == self.spans {
            return;
        }
        let ready: Vec<usize> = self
            .ready
            .values()
            .flat_map(|r| r.by_index().iter().copied())
            .collect();
        ready.iter().for_each(|&h| self.leave(h));
        self.spans = spans;
        self.warming = RecentStarts::new(spans.warming);
        self.bounded = RecentStarts::new(spans.bounded);
        self.young = RecentStarts::new(spans.young);
        ready.iter().for_each(|&h| self.join(h));
    }

    /// Sets the time, which does not go backwards.
    pub fn advance(&mut self, now: Micros) {
        self.now = now;
        while let Some(h) = self.warming.pop_over(now) {
            let size = self.line[h].size;
            self.ready.entry(self.build[h]).or_default().warm_up(size);
        }
        while let Some(h) = self.bounded.pop_over(now) {
            self.ready.entry(self.build[h]).or_default().unbound(h);
        }
        while self.young.pop_over(now).is_some() {}
    }

    /// Takes in a host that the list names for the first time; [`Hosts::update`] follows.
    pub fn add(&mut self, line: &Endpoint) -> usize {
        let h = self.line.len();
        let build = line.build.unwrap_or_default();
        self.line.push(Endpoint {
            state: EndpointState::Gone,
            ..*line
        });
        self.build.push(build);
        *self.builds.entry(build).or_default() += 1;
        self.rank.push(unit(
            u64::from(line.host.0) << 32 | u64::from(self.own_index),
        ));
        [&mut self.in_flight, &mut self.sent]
            .into_iter()
            .for_each(|v| v.push(0));
        [&mut self.answers, &mut self.strikes]
            .into_iter()
            .for_each(|v| v.push(0));
        [
            &mut self.shut_until,
            &mut self.mute_since,
            &mut self.busy_at,
            &mut self.linked_at,
        ]
        .into_iter()
        .for_each(|v| v.push(Micros::MIN));
        self.busy.push(f64::NAN);
        [&mut self.lag, &mut self.blame]
            .into_iter()
            .for_each(|v| v.push(0.0));
        self.slot.push(Micros::MIN);
        h
    }

    pub fn update(&mut self, h: usize, line: &Endpoint) {
        let (before, build) = (self.line[h], line.build.unwrap_or(self.build[h]));
        let other_process = before.started_at != line.started_at || self.build[h] != build;
        if !other_process && before.state == line.state && before.size == line.size {
            self.line[h] = *line;
            return;
        }
        self.leave(h);
        if other_process {
            // Another process, maybe another machine: nothing learned of the one before holds.
            self.change_build(h, build);
            [&mut self.sent, &mut self.answers, &mut self.strikes]
                .into_iter()
                .for_each(|v| v[h] = 0);
            [&mut self.lag, &mut self.blame]
                .into_iter()
                .for_each(|v| v[h] = 0.0);
            self.blamed.remove(&h);
            (self.shut_until[h], self.linked_at[h]) = (Micros::MIN, Micros::MIN);
            self.busy[h] = f64::NAN;
        }
        self.line[h] = *line;
        self.join(h);
    }

    /// Marks those hosts as gone that no line names.
    pub fn keep_listed(&mut self, lines: &[Endpoint]) {
        let named: BTreeSet<HostId> = lines.iter().map(|line| line.host).collect();
        for h in 0..self.line.len() {
            if !named.contains(&self.line[h].host) {
                self.update(
                    h,
                    &Endpoint {
                        state: EndpointState::Gone,
                        ..self.line[h]
                    },
                );
            }
        }
    }

    fn change_build(&mut self, h: usize, build: BuildId) {
        let before = std::mem::replace(&mut self.build[h], build);
        *self.builds.entry(build).or_default() += 1;
        if let Some(count) = self.builds.get_mut(&before) {
            *count -= 1;
            if *count == 0 {
                self.builds.remove(&before);
            }
        }
    }

    pub fn now(&self) -> Micros {
        self.now
    }

    pub fn spans(&self) -> StartSpans {
        self.spans
    }

    // ---- Figures of one host ----

    /// How many hosts have ever been listed: their indexes are below it.
    pub fn len(&self) -> usize {
        self.line.len()
    }

    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// What the list last said.
    pub fn line(&self, h: usize) -> &Endpoint {
        &self.line[h]
    }

    /// The build that the list last named.
    pub fn build(&self, h: usize) -> BuildId {
        self.build[h]
    }

    /// The host's place, from 0 to 1, among all hosts in the order of their hash.
    pub fn rank(&self, h: usize) -> f64 {
        self.rank[h]
    }

    pub fn in_flight(&self, h: usize) -> u32 {
        self.in_flight[h]
    }

    /// Acked by the present process; errors take them away again.
    pub fn answers(&self, h: usize) -> u32 {
        self.answers[h]
    }

    pub fn strikes(&self, h: usize) -> u32 {
        self.strikes[h]
    }

    pub fn shut_until(&self, h: usize) -> Micros {
        self.shut_until[h]
    }

    /// Since when nothing has come back while something is out.
    pub fn mute_since(&self, h: usize) -> Micros {
        self.mute_since[h]
    }

    /// The host's part of the judge's sum.
    pub fn blame(&self, h: usize) -> f64 {
        self.blame[h]
    }

    /// A delivery has gone out to the host.
    pub fn add_in_flight(&mut self, h: usize) {
        if self.in_flight[h] == 0 {
            self.mute_since[h] = self.now;
            self.silent.insert((self.now, h));
        }
        self.in_flight[h] += 1;
    }

    /// A delivery at the host has ended.
    pub fn remove_in_flight(&mut self, h: usize) {
        self.in_flight[h] = self.in_flight[h].saturating_sub(1);
        if self.in_flight[h] == 0 {
            self.silent.remove(&(self.mute_since[h], h));
        }
    }

    /// Something has come back from the host.
    pub fn came_back(&mut self, h: usize) {
        let waited = self.silent.remove(&(self.mute_since[h], h));
        self.mute_since[h] = self.now;
        if waited {
            self.silent.insert((self.now, h));
        }
    }

    pub fn set_answers(&mut self, h: usize, answers: u32) {
        self.set_heard(h, |hosts| hosts.answers[h] = answers);
    }

    /// Sets the host's part of the judge's sum, 0 or above.
    pub fn set_blame(&mut self, h: usize, blame: f64) {
        self.set_heard(h, |hosts| hosts.blame[h] = blame);
        if blame > 0.0 {
            self.blamed.insert(h);
        } else {
            self.blamed.remove(&h);
        }
    }

    /// Sets all hosts' parts to 0.
    pub fn clear_blame(&mut self) {
        while let Some(h) = self.blamed.pop_first() {
            self.set_heard(h, |hosts| hosts.blame[h] = 0.0);
        }
    }

    /// Sets how often the host has failed in a row, and until when it is shut.
    pub fn set_trouble(&mut self, h: usize, strikes: u32, shut_until: Micros) {
        (self.strikes[h], self.shut_until[h]) = (strikes, shut_until);
        self.note_trouble(h);
    }

    /// Forgets which hosts were shut for a time that is over.
    pub fn forget_trouble(&mut self) {
        let (strikes, shut_until, now) = (&self.strikes, &self.shut_until, self.now);
        self.troubled
            .retain(|&h| strikes[h] > 0 || shut_until[h] > now);
    }

    fn note_trouble(&mut self, h: usize) {
        if self.is_ready(h) && (self.strikes[h] > 0 || self.shut_until[h] > self.now) {
            self.troubled.insert(h);
        }
    }

    fn is_heard(&self, h: usize) -> bool {
        self.answers[h] > 0 || self.blame[h] > 0.0
    }

    fn set_heard(&mut self, h: usize, change: impl FnOnce(&mut Self)) {
        let before = self.is_heard(h);
        change(self);
        let after = self.is_heard(h);
        if before != after && self.is_ready(h) {
            self.ready
                .entry(self.build[h])
                .or_default()
                .set_heard(before, after);
        }
    }

    // ---- Figures of the ready hosts ----

    pub fn is_ready(&self, h: usize) -> bool {
        self.line[h].state == EndpointState::Ready
    }

    fn member(&self, h: usize, warm: bool, bounded: bool) -> Member {
        Member {
            host: h,
            size: self.line[h].size,
            started: self.line[h].started_at.unwrap_or(0),
            warm,
            bounded,
            heard: self.is_heard(h),
        }
    }

    fn join(&mut self, h: usize) {
        if !self.is_ready(h) {
            return;
        }
        let (started, now) = (self.line[h].started_at, self.now);
        let warms = self.warming.insert(started, h, now);
        let bounded = self.bounded.insert(started, h, now);
        self.young.insert(started, h, now);
        let member = self.member(h, !warms, bounded);
        self.ready
            .entry(self.build[h])
            .or_default()
            .join(member, &self.rank);
        self.ready_count += 1;
        self.note_trouble(h);
    }

    fn leave(&mut self, h: usize) {
        if !self.is_ready(h) {
            return;
        }
        let started = self.line[h].started_at;
        let warms = self.warming.remove(started, h);
        let bounded = self.bounded.remove(started, h);
        self.young.remove(started, h);
        let member = self.member(h, !warms, bounded);
        if let Some(ready) = self.ready.get_mut(&self.build[h]) {
            ready.leave(member, &self.rank);
            if ready.is_empty() {
                self.ready.remove(&self.build[h]);
            }
        }
        self.ready_count -= 1;
        self.troubled.remove(&h);
    }

    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// The builds that have a ready host, with those hosts' figures, oldest first.
    pub fn ready_builds(&self) -> impl DoubleEndedIterator<Item = (BuildId, &ReadyHosts)> {
        self.ready.iter().map(|(build, ready)| (*build, ready))
    }

    /// The ready hosts of a build; there may be none.
    pub fn ready_with(&self, build: BuildId) -> &ReadyHosts {
        self.ready.get(&build).unwrap_or(&self.none_ready)
    }

    /// The oldest build of any host, ready or not.
    pub fn oldest_build(&self) -> Option<BuildId> {
        self.builds.keys().next().copied()
    }

    /// Ready hosts whose capacity still grows.
    pub fn warming(&self) -> impl Iterator<Item = usize> + '_ {
        self.warming.iter()
    }

    /// Ready hosts of the span in which what they are sent is bounded.
    pub fn bounded(&self) -> impl Iterator<Item = usize> + '_ {
        self.bounded.iter()
    }

    /// How many ready hosts are young.
    pub fn young_count(&self) -> usize {
        self.young.len()
    }

    /// Ready hosts with a strike or shut; some may be open again.
    pub fn troubled(&self) -> impl Iterator<Item = usize> + '_ {
        self.troubled.iter().copied()
    }

    /// Hosts with something out from which nothing has come back since before a time.
    pub fn silent_since(&self, before: Micros) -> impl Iterator<Item = usize> + '_ {
        self.silent.range(..(before, 0)).map(|(_, h)| *h)
    }

    /// Hosts with a part in the judge's sum.
    pub fn blamed(&self) -> impl Iterator<Item = usize> + '_ {
        self.blamed.iter().copied()
    }

    /// Time since the process started, a very long one where the list does not say.
    pub fn age(&self, h: usize) -> Micros {
        self.line[h]
            .started_at
            .map_or(LONG_AGO, |at| (self.now - at).max(0))
    }

    /// Sums a weight by age over the ready hosts that count. All hosts past the warming span weigh alike, and only
    /// troubled ones may not count.
    pub fn sum_ready(&self, weight: impl Fn(Micros) -> f64, counts: impl Fn(usize) -> bool) -> f64 {
        let warm: usize = self.ready.values().map(|ready| ready.warm().0).sum();
        let is_warm = |h: usize| !self.warming.contains(self.line[h].started_at, h);
        let left_out = self
            .troubled()
            .filter(|&h| is_warm(h) && !counts(h))
            .count();
        let warming = self.warming().filter(|&h| counts(h));
        (warm - left_out) as f64 * weight(LONG_AGO)
            + warming.map(|h| weight(self.age(h))).sum::<f64>()
    }

    /// Sums size times a weight by age over the ready hosts of some builds. All hosts past the warming span weigh
    /// alike.
    pub fn sum_sizes(&self, weight: impl Fn(Micros) -> f64, of: impl Fn(BuildId) -> bool) -> f64 {
        let warm: f64 = self
            .ready_builds()
            .filter(|(build, _)| of(*build))
            .map(|(_, r)| r.warm().1)
            .sum();
        let warming = self.warming().filter(|&h| of(self.build[h]));
        warm * weight(LONG_AGO)
            + warming
                .map(|h| weight(self.age(h)) * self.line[h].size)
                .sum::<f64>()
    }

    // ---- Pools ----

    /// The ready hosts of a build by index.
    pub fn pool(&self, build: BuildId) -> Pool {
        Pool::new(build, self.ready_with(build).by_index().clone())
    }

    /// The pool itself, or where it has more hosts than `count`, the first of them by hash.
    pub fn first_by_rank(&self, pool: Pool, count: usize) -> Pool {
        if count >= pool.len() {
            return pool;
        }
        let ready = self.ready_with(pool.build());
        if pool.len() == ready.len() {
            return Pool::new(pool.build(), ready.by_rank().clone()).first(count);
        }
        let mut hosts: Vec<usize> = pool.iter().collect();
        hosts.sort_unstable_by(|&a, &b| self.rank[a].total_cmp(&self.rank[b]).then(a.cmp(&b)));
        Pool::new(pool.build(), hosts.into()).first(count)
    }

    /// Makes those hosts of a pool doubtful of which something may speak against a delivery: they started of late,
    /// have a strike, are shut, have been silent since before a time, or are named. Or all.
    pub fn doubt(
        &self,
        pool: &mut Pool,
        all: bool,
        silent: Micros,
        named: impl Iterator<Item = usize>,
    ) {
        let build = pool.build();
        let ready = self.ready_with(build);
        let [by_index, by_rank] = ready.bounded_positions();
        let few = if all { 0 } else { pool.len() / MANY };
        let here = |h: &usize| self.is_ready(*h) && self.build[*h] == build;
        let others = self
            .troubled()
            .chain(self.silent_since(silent))
            .chain(named)
            .filter(here);
        let others: Vec<usize> = others.take(few + 1).collect();
        if all || others.len() > few {
            pool.doubt_all();
        } else if pool.is_ordered_as(ready.by_index()) {
            pool.doubt(
                by_index,
                others.into_iter().filter_map(|h| ready.index_position(h)),
            );
        } else if pool.is_ordered_as(ready.by_rank()) {
            pool.doubt(
                by_rank,
                others
                    .into_iter()
                    .map(|h| ready.rank_position(&self.rank, h)),
            );
        } else {
            pool.doubt_all();
        }
    }

    /// The largest size of a pool's hosts.
    pub fn largest_size(&self, pool: &Pool) -> f64 {
        pool.largest(
            |h| self.line[h].size,
            self.ready_with(pool.build()).largest_size(),
        )
    }
}
