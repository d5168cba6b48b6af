//! The decision module: one `Router` a process, told what happens by calls, answering through `Egress`.
//!
//! Call `Router::new` with the deployment's terms, then `at` with the time and one method for each thing that
//! happens, in order. A command runs the chain intake, lane, exposure, placement, dispatch; what comes back
//! runs through settle, health and the judge. `docs/design.md` tells what was kept, what was added, and why.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::state::{
    CandidateSet, Command, Delivery, Hosts, LatencyCount, OperationState, StartSpans,
    StickyAssignment, Window,
};
use crate::*;
type Out<'a> = &'a mut dyn Egress;
const SECOND: Micros = 1_000_000;
const MS: Micros = SECOND / 1000;
const BEAT: Micros = 20 * MS;
/// Part of the cap that the lane takes, and how far keys follow the machines above it: others need room too.
const LANE_OF_CAP: f64 = 0.7;
const REPIN_OF_CAP: f64 = 0.9;
/// How far the lane runs ahead of its machines' part where the earlier ones are on their way out.
const AHEAD: f64 = 1.25;
const LANE_GROWS: Micros = 2 * SECOND;
const PIN_IDLE: Micros = 10 * SECOND;
/// Taken off each judged delivery beside the earlier build's rate, and off the reports of wrong answers.
const FAIL_MARGIN: f64 = 0.02;
const WRONG_MARGIN: f64 = 0.01;
/// Failures at the earlier build, as a share, that halve what one more proves.
const NOISE: f64 = 0.05;
/// What the desk's counts of one op type and period weigh, and slowness there that is laid to chance.
const COUNT_WEIGHT: f64 = 1.5;
const COUNT_MARGIN: f64 = 0.3;
/// How many times fewer fit hosts than before the trial excuse at most.
const MOST_FEWER: f64 = 1.4;
const SEND_BACK_AT: f64 = 4.0;
const HOLD_AT: f64 = 2.0;
const QUIET_BELOW: f64 = 1.0;
/// Slowness, as a logarithm, that is laid to chance, and what one unit beyond it weighs in the judge's sum.
const LATE_MARGIN: f64 = 0.6;
const LATE_WEIGHT: f64 = 0.4;
/// Slowness of a zone, op type or customer against the best one from which it is theirs alone.
const FAR: f64 = 1.2;
/// Answers that a router needs from a build before it votes on it.
const ENOUGH_ANSWERS: u32 = 3;
/// Hosts that must speak against a build at most: a router meets few of many.
const MOST_VOICES: f64 = 8.0;
/// Routers that each host is met by at least: uneven traffic evens out.
pub const ROUTERS_PER_HOST: f64 = 60.0;
/// Answers that convict at the least, of which a router of mean traffic gets so many before all follow.
const CONVICTS: f64 = SEND_BACK_AT / (LATE_WEIGHT * (2.0 - LATE_MARGIN));
/// How long nothing comes back from a host before it may count as mute.
const MUTE_FOR: Micros = 600 * MS;
/// Part of what the told multiple allows a cold host that is sent to it.
const COLD_PART: f64 = 0.9;
/// Share of the commands that may be delivered again at a guess, and the most saved up.
const SPARE_PER_COMMAND: f64 = 0.1;
const SPARE_AT_MOST: f64 = 10.0;
/// Parts of the service target: at hosts before they are crowded, median time before some are refused,
/// waiting for a place, and before a second delivery where the host looks sick.
const CROWDED_PART: f64 = 0.4;
const STRAINED_PART: f64 = 0.5;
const HOLD_PART: f64 = 0.3;
const DOUBT_PART: f64 = 0.35;
/// Share of deliveries without a connection from which a router keeps to hosts that it has one to, how long
/// one is taken to stand after an answer, and seconds in which a load report loses most of its worth.
const MOST_REFUSED: f64 = 0.15;
const LINK_LASTS: Micros = 10 * SECOND;
const REPORT_FADES: f64 = 6.0;

#[derive(Default)]
pub struct Router {
    now: Micros,
    ops: Vec<OperationState>,
    chance: Rng,
    index: BTreeMap<HostId, usize>,
    hosts: Hosts,
    /// By zone, by op type and by customer, how much slower than usual answers come, as a logarithm.
    ways: [Vec<f64>; 3],
    cmds: BTreeMap<CommandId, Command>,
    /// By customer, the commands that wait for a place.
    held: Vec<VecDeque<CommandId>>,
    pins: BTreeMap<Key, StickyAssignment>,
    /// The released build that has answered keys whose pins are no longer kept.
    all_bound: Option<BuildId>,
    taken: Window<usize>,
    exposed: Window<(usize, BuildId)>,
    news: Option<RolloutStatus>,
    stage_began: Micros,
    own_turn: Micros,
    lane_build: BuildId,
    lane: f64,
    spare: f64,
    beaten: Micros,
    swept: Micros,
    // Failures of each op type, own slowness, reported wrong answers, slowness that all hosts share.
    sums: Vec<f64>,
    old_fails: Vec<f64>,
    /// By customer, answers and failures of late at hosts of any build.
    by_share: Vec<[f64; 2]>,
    usual_load: [f64; 3],
    /// Commands asked, answered and given up for want of a place, fading over some seconds.
    flow: [f64; 3],
    /// Answers a second that a whole host gives this router.
    pace: f64,
    /// Seconds that whole hosts have been there for, fading as the commands do.
    lived: f64,
    born: Micros,
    own_index: u32,
    seen: u32,
    seen_in_stage: u32,
    old_lag: f64,
    /// Of the desk's counts: trial deliveries in this stage, the last period's end, the last two in all.
    counted_in_stage: f64,
    period: Micros,
    traffic: [f64; 2],
    usual_traffic: f64,
    /// Of late: own deliveries lost, a build's failures among them, the share not connected, the mean load.
    losses: [f64; 2],
    refused: f64,
    busy: f64,
    vote: Option<(BuildId, u8, RolloutVote)>,
    vote_stands_until: Micros,
    vote_again_at: Micros,
    vote_out: bool,
    ask_list_at: Option<Micros>,
    ask_pause: Micros,
    served: Vec<f64>,
    fig: DerivedConfig,
}

impl Router {
    pub fn new(terms: &ServiceConfig, seed: u64, now: Micros, out: Out) -> Self {
        out.wake(now + BEAT);
        if terms.list_requires_subscription {
            out.watch_list();
        }
        Router {
            now,
            ops: terms.ops.iter().map(OperationState::new).collect(),
            served: vec![0.0; terms.tenant_quotas.len().max(1)],
            held: vec![VecDeque::new(); terms.tenant_quotas.len().max(1)],
            sums: vec![0.0; terms.ops.len() + 3],
            old_fails: vec![0.0; terms.ops.len()],
            by_share: vec![[0.0; 2]; terms.tenant_quotas.len().max(1)],
            chance: Rng::new(seed),
            beaten: now,
            born: now,
            spare: SPARE_AT_MOST / 2.0,
            ask_list_at: terms.list_requires_subscription.then_some(now + 5 * SECOND),
            own_index: terms.own_index,
            hosts: Hosts::new(terms.own_index, figures(terms).starts, now),
            fig: figures(terms),
            ..Router::default()
        }
    }

    /// Goes by other terms from the next call on. What was counted, sent and pinned stays: no window begins
    /// anew. The op types, windows and one-way rules have to be the same as before, and as many customers.
    pub fn reconfigure(&mut self, terms: &ServiceConfig) {
        self.fig = figures(terms);
        self.hosts.set_spans(self.fig.starts);
    }

    /// Sets the time for the calls that follow.
    pub fn set_time(&mut self, now: Micros) -> &mut Self {
        self.now = now;
        self.hosts.advance(now);
        self
    }

    /// The figures about hosts, for tests that compare them with plain definitions.
    #[doc(hidden)]
    pub fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    // ---- The list ----

    pub fn on_endpoints(&mut self, kind: ListKind, lines: &[Endpoint], out: Out) {
        if kind != ListKind::Cached {
            (self.ask_list_at, self.ask_pause) = (None, 0);
        }
        if kind != ListKind::Changes {
            self.hosts.retain_listed(lines);
        }
        for line in lines {
            let h = *self
                .index
                .entry(line.host)
                .or_insert_with(|| self.hosts.add(line));
            self.hosts.update(h, line);
        }
        self.place_held(out);
    }

    pub fn on_list_failure(&mut self) {
        // The notice does not say whether a subscription still stands: asking again is the only safe reading.
        self.ask_pause = (self.ask_pause * 2).clamp(SECOND / 2, 4 * SECOND);
        let pause = self.ask_pause as usize;
        self.ask_list_at = Some(self.now + (pause + self.chance.below(pause / 2)) as Micros);
    }

    // ---- The desk's news ----

    pub fn on_rollout_status(&mut self, news: RolloutStatus, out: Out) {
        let before = self.news.replace(news);
        let same_build = before.is_some_and(|b| b.build == news.build);
        if !same_build {
            self.seen = 0;
            self.sums.fill(0.0);
            self.hosts.clear_evidence();
        }
        if !same_build || before.is_some_and(|b| b.stage != news.stage || b.state != news.state) {
            self.stage_began = self.now - news.age;
            (self.seen_in_stage, self.counted_in_stage) = (0, 0.0);
            (self.vote, self.vote_again_at) = (None, self.now);
            self.own_turn = (self.chance.fraction() * self.fig.vote_span) as Micros;
        }
        if self.sent_back(news.build) {
            // A send-back returns keys to the earlier build and opens the way that one-way rules closed.
            self.pins.retain(|_, pin| {
                pin.answered_by = pin.answered_by.filter(|b| *b != news.build);
                pin.build != news.build || pin.answered_by.is_some()
            });
        }
        self.beat(out);
    }

    pub fn on_vote_outcome(&mut self, answer: VoteOutcome) {
        self.vote_out = false;
        if answer == VoteOutcome::Counted {
            (self.vote_again_at, self.vote_stands_until) =
                (self.now, self.now + self.fig.vote_life * 7 / 10);
        } else {
            let pause = if answer == VoteOutcome::Stale {
                SECOND
            } else {
                200 * MS
            };
            (self.vote_again_at, self.vote) = (
                self.now + pause + self.chance.below(200_000) as Micros,
                None,
            );
        }
    }

    fn on_trial(&self, build: BuildId) -> bool {
        match &self.news {
            None => self.hosts.oldest_build().is_some_and(|b| b < build),
            Some(n) => build > n.build || (build == n.build && n.state != RolloutState::Released),
        }
    }

    fn cap(&self, build: BuildId) -> f64 {
        self.news
            .filter(|n| n.build == build)
            .map_or(self.fig.first_cap, |n| n.exposure_cap)
    }

    fn sent_back(&self, build: BuildId) -> bool {
        let back = |s| matches!(s, RolloutState::RollingBack | RolloutState::Withdrawn);
        self.news.is_some_and(|n| n.build == build && back(n.state))
    }

    /// Whether one-way rules hold keys at this build: the newest that was told, or one after it.
    fn binds(&self, build: BuildId) -> bool {
        self.fig.one_way && self.news.is_none_or(|n| build >= n.build) && !self.sent_back(build)
    }

    // ---- Intake ----

    pub fn on_command(
        &mut self,
        cmd: CommandId,
        op: OpType,
        share: TenantId,
        key: Key,
        left: Micros,
        out: Out,
    ) {
        let op = usize::from(op.0);
        if op >= self.ops.len() {
            return out.nack(cmd, None);
        }
        self.flow[0] += 1.0;
        self.taken.push(self.now, op * usize::from(self.fig.by_op));
        self.spare = (self.spare + SPARE_PER_COMMAND).min(SPARE_AT_MOST);
        let place = unit(if key.0 == 0 {
            u64::from(cmd.0) | 1 << 40
        } else {
            key.0
        });
        let (taken, until, deliveries) = (self.now, self.now + left, Vec::new());
        let share = (share.0 as usize).min(self.fig.shares.len() - 1);
        let command = Command {
            operation: op,
            key,
            tenant: share,
            key_position: place,
            received_at: taken,
            deadline: until,
            answered: false,
            deliveries,
        };
        self.cmds.insert(cmd, command);
        if self.chance.fraction() > (-self.strain(op)).exp() {
            return self.abort(cmd, out);
        }
        if self.now >= self.waits_until(&self.cmds[&cmd]) {
            self.route(cmd, out);
        } else {
            self.held[share].push_back(cmd);
            self.place_held(out);
        }
    }

    /// Guards against queues so long that most is served too late, where traffic is too thin for a bound:
    /// only what brings the median time back to half the service target is taken.
    fn strain(&self, op: usize) -> f64 {
        let returns: f64 = self
            .ops
            .iter()
            .map(|o| o.acks * o.latency_objective / SECOND as f64)
            .sum();
        let thin = CROWDED_PART * returns < 2.0 && self.detour(1, op) == 0.0;
        [0.0, self.ops[op].overload - STRAINED_PART.ln()][usize::from(thin)]
    }

    /// Runs the chain for a command that is owed an answer; says whether a delivery went out.
    fn route(&mut self, cmd: CommandId, out: Out) -> bool {
        let Some(c) = self.cmds.get(&cmd).filter(|c| !c.answered) else {
            return false;
        };
        let (key, op) = (c.key, c.operation);
        let pin = self
            .pins
            .get(&key)
            .filter(|_| self.fig.one_way && key.0 != 0);
        let last = pin.and_then(|p| p.newest_build());
        let floor = last
            .max(self.all_bound.filter(|_| key.0 != 0))
            .filter(|b| self.binds(*b));
        let mut full = false;
        for build in self.choose_builds(c, floor).into_iter().flatten() {
            if !self.room(build, op) {
                full = true;
            } else if let Some(host) = self.place(cmd, build) {
                if key.0 != 0 {
                    // One delivery that goes back takes no key off the trial.
                    let back = self
                        .pins
                        .get(&key)
                        .is_some_and(|p| build < p.build && self.on_trial(p.build));
                    let pin = self.pins.entry(key).or_default();
                    (pin.build, pin.used_at) = (if back { pin.build } else { build }, self.now);
                }
                self.dispatch(cmd, host, out);
                return true;
            }
        }
        let waits = |c: &&Command| c.deliveries.iter().all(|d| !d.open);
        let Some(c) = self.cmds.get(&cmd).filter(waits) else {
            return false;
        };
        // A known key at a full counter under one-way rules is refused at once: it comes when there is room.
        if full && last.is_some() || self.now >= self.waits_until(c) {
            self.flow[2] += 1.0;
            self.abort(cmd, out);
        } else {
            self.held[c.tenant].push_back(cmd);
        }
        false
    }

    /// Those that wait go by what their customer has had of its share: the ones far beyond it wait in vain.
    /// Ends where the hosts are full, so that many which wait cost no more with each that comes or goes.
    fn place_held(&mut self, out: Out) {
        let had = |s: &usize| self.served[*s] / self.fig.shares[*s];
        let mut order: Vec<usize> = (0..self.held.len())
            .filter(|s| !self.held[*s].is_empty())
            .collect();
        order.sort_by(|a, b| had(a).total_cmp(&had(b)));
        for s in order {
            let mut waiting = std::mem::take(&mut self.held[s]);
            let mut n = 0;
            while let Some(&cmd) = waiting.get(n) {
                // An op type that waits everywhere keeps nobody behind it from a place.
                match self.cmds.get(&cmd).filter(|c| self.crowded(c.operation)) {
                    Some(c) if self.detour(1, c.operation) > 0.0 => n += 1,
                    Some(_) => break,
                    None => drop((waiting.remove(n), self.route(cmd, out))),
                }
            }
            self.held[s].append(&mut waiting);
        }
    }

    /// Gives up on those that have waited in vain while the hosts were full.
    fn lapse(&mut self, out: Out) {
        let over = |cmd: &CommandId| {
            self.cmds
                .get(cmd)
                .filter(|c| !c.answered)
                .is_none_or(|c| self.now >= self.waits_until(c))
        };
        let due: Vec<CommandId> = self.held.iter().flatten().copied().filter(over).collect();
        let over: BTreeSet<CommandId> = due.iter().copied().collect();
        self.held
            .iter_mut()
            .for_each(|held| held.retain(|cmd| !over.contains(cmd)));
        for cmd in due {
            self.route(cmd, out);
        }
    }

    fn waits_until(&self, c: &Command) -> Micros {
        (c.received_at + (self.ops[c.operation].latency_objective * HOLD_PART) as Micros)
            .min(c.deadline - 2 * BEAT)
    }

    // ---- Lane ----

    /// The builds to try, best first. Pins keep a key at its build; the lane takes keys to the one on trial.
    fn choose_builds(&self, c: &Command, floor: Option<BuildId>) -> [Option<BuildId>; 2] {
        let (stable, trial) = self.candidates();
        let open = |b: &BuildId| floor.is_none_or(|f| *b >= f);
        let (stable, trial) = (stable.filter(open), trial.filter(open));
        let (Some(new), Some(old)) = (trial, stable) else {
            return [stable, trial];
        };
        // What a build on trial has failed gets its further delivery where it is known to work.
        if self.sent_back(new) || c.deliveries.iter().any(|d| self.on_trial(d.build)) {
            return [stable, trial];
        }
        // A few keys may carry much of the traffic: the lane's come no faster than its machines bear, and no
        // more follow than the earlier build's machines have become fewer.
        let exposed = self.exposed.count(|(_, build)| build == new) as f64;
        let bears = self.trial_share(new, old) * self.taken.len().max(1) as f64;
        let pin = self
            .pins
            .get(&c.key)
            .filter(|p| c.key.0 != 0 && self.now - p.used_at < PIN_IDLE);
        let ahead = if pin.is_none() && self.fig.rolling {
            AHEAD
        } else {
            1.0
        };
        let takes_new = pin.is_some_and(|p| p.build == new)
            || c.key_position < self.lane && ahead * bears > exposed;
        [
            if takes_new { trial } else { stable },
            stable.filter(|_| takes_new),
        ]
    }

    /// The newest build that is free for all, and the newest on trial, each with a ready host.
    fn candidates(&self) -> (Option<BuildId>, Option<BuildId>) {
        let builds = || self.hosts.ready_builds().map(|(build, _)| build).rev();
        (
            builds().find(|b| !self.on_trial(*b)),
            builds().find(|b| self.on_trial(*b)),
        )
    }

    /// What part of the present capacity runs the build on trial, cold hosts counted by what they can do.
    fn trial_share(&self, new: BuildId, old: BuildId) -> f64 {
        // Side by side, each trial host bears what each earlier one did before the trial.
        let warmth = |age| self.warmth(age);
        let all = self.hosts.sum_sizes(warmth, |build| {
            build == old || self.fig.rolling && build > old
        });
        (self.hosts.sum_sizes(warmth, |build| build == new) / all.max(1e-9)).min(1.0)
    }

    /// The least part of its capacity that a host of an age can have.
    fn warmth(&self, age: Micros) -> f64 {
        let part = age.min(self.fig.warm_within) as f64 / self.fig.warm_within as f64;
        self.fig.cold_from + (1.0 - self.fig.cold_from) * part
    }

    /// The lane grows towards its part of the cap, as far as the trial machines listed ready bear it, and
    /// follows the machines where the earlier build is left with fewer than its keys need. It never shrinks.
    fn grow_lane(&mut self) {
        let spent = (self.now - self.beaten) as f64 / LANE_GROWS as f64;
        let (stable, Some(new)) = self.candidates() else {
            return;
        };
        self.lane = if self.lane_build == new {
            self.lane
        } else {
            0.0
        };
        self.lane_build = new;
        let cap = self.cap(new).max(0.0);
        let share = stable.map_or(1.0, |old| self.trial_share(new, old));
        let follow = share.min(if cap < 1.0 { REPIN_OF_CAP * cap } else { 1.0 });
        let ahead = if self.fig.rolling { AHEAD } else { 1.0 };
        let aim = (LANE_OF_CAP * cap).min(ahead * share).max(follow);
        self.lane = self
            .lane
            .max(aim.min(self.lane + spent * aim.max(0.02)))
            .min(cap);
    }

    fn room(&mut self, build: BuildId, op: usize) -> bool {
        if !self.on_trial(build) {
            return true;
        }
        let cap = self.cap(build);
        let stage = self
            .news
            .filter(|n| n.build == build)
            .map_or(0, |n| n.stage);
        if cap <= 0.0
            || (stage < self.fig.guarded_stages && self.ops[op].repeat != Repeat::Idempotent)
        {
            return false;
        }
        self.forget_window();
        let slot = op * usize::from(self.fig.by_op);
        let taken = self.taken.count(|s| s == slot) as f64;
        let sent = self.exposed.count(|kind| kind == (slot, build)) as f64;
        sent + 1.0 <= self.fig.free + cap * taken
    }

    fn forget_window(&mut self) {
        let from = self.now - self.fig.span;
        self.taken.forget_before(from + 1);
        self.exposed.forget_before(from);
    }

    // ---- Placement ----

    /// Two random choices among the fit hosts of a build, by fewest own commands in flight.
    fn place(&mut self, cmd: CommandId, build: BuildId) -> Option<usize> {
        let c = &self.cmds[&cmd];
        if self.crowded(c.operation) {
            return None;
        }
        let rules = &self.ops[c.operation];
        let repeats_anywhere = rules.repeats_anywhere();
        let ran_at = c
            .deliveries
            .iter()
            .find(|d| d.may_have_run)
            .map(|d| self.hosts.endpoint(d.host));
        let bound = ran_at.filter(|_| !repeats_anywhere);
        let drops_repeats = |line: &Endpoint| match (bound, rules.scope) {
            (None, _) | (_, DeduplicationScope::All) => true,
            (Some(b), DeduplicationScope::Zone) => b.zone == line.zone,
            (Some(b), DeduplicationScope::Cell) => b.cell == line.cell,
            (Some(b), DeduplicationScope::Unknown) => b.host == line.host,
        };
        let tried = |h: usize| c.deliveries.iter().any(|d| d.host == h);
        let check_all = bound.is_some() || self.refused > MOST_REFUSED;
        let usable = |mut pool: CandidateSet, of_own| {
            let named = c.deliveries.iter().map(|d| d.host);
            self.hosts
                .mark_suspects(&mut pool, check_all, self.now - MUTE_FOR, named);
            pool.retain(|h| {
                drops_repeats(self.hosts.endpoint(h)) && self.may_take(h, of_own) && !tried(h)
            });
            pool
        };
        let (near, of_own) = self.near(build);
        let mut untried = usable(near, of_own);
        if untried.is_empty() {
            untried = usable(self.hosts.candidates(build), 0.2);
        }
        let mut pool = untried.clone();
        pool.retain(|h| self.now >= self.hosts.ejected_until(h) && !self.mute(h));
        if pool.len() * 3 < untried.len() {
            // Most hosts seem unfit at once: that is this router's view or its zone's links, not the hosts.
            pool = untried;
        }
        // Hosts that take no new connection go on serving over the ones that stand.
        let linked = |h: usize| self.now.saturating_sub(self.hosts.connected_at(h)) < LINK_LASTS;
        if self.refused > MOST_REFUSED && pool.any(linked) {
            pool.retain(linked);
        }
        // What runs at most once goes where answers come back; others try a host under suspicion.
        let proven = |h: usize| self.hosts.consecutive_failures(h) == 0;
        if (rules.repeat == Repeat::AtMostOnce || self.spare < 1.0) && pool.any(proven) {
            pool.retain(proven);
        }
        if pool.is_empty() {
            return None;
        }
        let largest = self.hosts.largest_size(&pool);
        let (a, b) = (self.draw(&pool, largest), self.draw(&pool, largest));
        Some(if self.press(b) < self.press(a) { b } else { a })
    }

    /// One host of a pool, by chance, each as often as its size says.
    fn draw(&mut self, pool: &CandidateSet, largest: f64) -> usize {
        loop {
            let h = pool.nth(self.chance.below(pool.len()));
            let part = self.hosts.endpoint(h).size / largest;
            if part >= 1.0 || self.chance.fraction() < part {
                return h;
            }
        }
    }

    /// Own commands in flight, weighed by how slowly the host answers and, where it reports, by how long
    /// others' commands make one wait. A report says less the older it is.
    fn press(&self, h: usize) -> f64 {
        let crawl = self.hosts.slowdown(h).clamp(0.0, 2.0).exp();
        let age = self.now.saturating_sub(self.hosts.utilization_at(h)) as f64 / SECOND as f64;
        let told = self.hosts.utilization(h) - self.busy;
        let busy = self.busy
            + if told.is_nan() {
                0.0
            } else {
                told * (-age / REPORT_FADES).exp()
            };
        f64::from(self.hosts.in_flight(h) + 1) * crawl / (1.05 - busy)
    }

    /// Guards against a new connection for nearly every command: of a build's hosts that no detour leads to, a
    /// router with little traffic keeps to a few, its own by hash. Answers how much more traffic those get for that.
    fn near(&self, build: BuildId) -> (CandidateSet, f64) {
        let mut near = self.hosts.candidates(build);
        if (0..self.ways[0].len()).any(|zone| self.detour(0, zone) > 0.0) {
            near.mark_all_unverified();
            near.retain(|h| self.detour(0, self.hosts.endpoint(h).zone.0.into()) == 0.0);
        }
        let (met, sent) = (
            ROUTERS_PER_HOST / self.fig.fleet,
            0.75 * self.flow[0] / self.hosts.ready_count() as f64,
        );
        let own = ((near.len() as f64 * met.max(sent)).ceil() as usize).max(2);
        let others = near.len().saturating_sub(own);
        (
            self.hosts.first_by_rank(near, own),
            1.0 + others as f64 / own as f64,
        )
    }

    /// Guards against piling up: no more is out than lately came back within a part of the service target. It
    /// could harm where answers return after a gap. An op type that waits everywhere is counted by itself.
    fn crowded(&self, op: usize) -> bool {
        let base = 2.0 + 2.0 * self.hosts.ready_count() as f64 / self.fig.fleet;
        let wait = self.detour(1, op);
        let alike = |o: &usize| {
            if wait > 0.0 {
                *o == op
            } else {
                self.detour(1, *o) == 0.0
            }
        };
        let (mut out, mut returns) = (0, 0.0);
        for o in (0..self.ops.len()).filter(alike) {
            out += self.ops[o].in_flight;
            returns += self.ops[o].acks * self.ops[o].latency_objective / SECOND as f64;
        }
        f64::from(out) >= base + 1.1 * CROWDED_PART * returns
    }

    /// Guards against hosts that take work and answer nothing, long before their first time-out.
    fn mute(&self, h: usize) -> bool {
        let quiet = self.now.saturating_sub(self.hosts.quiet_since(h));
        let usual = || {
            self.ops
                .iter()
                .map(|o| o.baseline.exp())
                .fold(0.0, f64::max) as Micros
        };
        self.hosts.in_flight(h) > 0 && quiet > MUTE_FOR && quiet > 6 * usual()
    }

    /// A fresh host gets no more in flight than its answers have earned, and over each told span a router's
    /// own part of what the fleet may send it, drawn where under one. What is sent counts, for hosts that err
    /// fast. One that has failed gets one command at a time.
    fn may_take(&self, h: usize, of_own: f64) -> bool {
        let (host, age) = (self.hosts.endpoint(h).host.0, self.hosts.age(h));
        if age < self.fig.warm_within + SECOND {
            let (slot, begun) = (age / self.fig.fall_span, self.now - age);
            let sent = self.hosts.sent_in_slot(h, slot);
            // The first span is met by no other before it.
            let part = self.fig.cold_part * self.warmth(age) * self.pace * of_own
                / (1 + slot.min(1)) as f64;
            let drawn = unit(
                u64::from(host) << 32 ^ u64::from(self.own_index) << 12 ^ (begun + slot) as u64,
            );
            if f64::from(sent + 1) > part + drawn
                || self.hosts.in_flight(h) > 1 + self.hosts.answers(h)
            {
                return false;
            }
        }
        self.hosts.consecutive_failures(h) == 0 || self.hosts.in_flight(h) == 0
    }

    fn dispatch(&mut self, cmd: CommandId, host: usize, out: Out) {
        let (build, sent) = (self.hosts.build(host), self.now);
        let (on_trial, slot) = (
            self.on_trial(build),
            self.hosts.age(host) / self.fig.fall_span,
        );
        let Some(c) = self.cmds.get_mut(&cmd) else {
            return;
        };
        if on_trial {
            let slot = c.operation * usize::from(self.fig.by_op);
            self.exposed.push(sent, (slot, build));
        }
        c.deliveries.push(Delivery::new(host, build, sent));
        self.pins.entry(c.key).or_default().claim(build);
        self.hosts.add_in_flight(host);
        self.ops[c.operation].in_flight += 1;
        self.hosts.count_sent(host, slot);
        self.served[c.tenant] += 1.0;
        out.deliver(cmd, self.hosts.endpoint(host).host, None);
    }

    /// A second delivery for a command whose first is at a host that looks sick, where the op type allows a
    /// repeat: beside the first where copies may run together, else in its place.
    fn hurry(&mut self, out: Out) {
        let due = |c: &Command| {
            let last = c
                .deliveries
                .last()
                .filter(|d| d.open && !d.response_started && !c.answered);
            let Some(d) = last else { return false };
            let doubt = self.mute(d.host) || self.hosts.slowdown(d.host) > 0.7;
            let slow = (self.now - d.sent_at) as f64
                > self.ops[c.operation].latency_objective * DOUBT_PART;
            doubt && slow && self.may_redeliver(c) && c.deadline - self.now > 4 * BEAT
        };
        let due: Vec<CommandId> = self
            .cmds
            .iter()
            .filter(|(_, c)| due(c))
            .map(|(id, _)| *id)
            .collect();
        for cmd in due.into_iter().take(self.spare as usize) {
            if self.fig.side_by_side {
                self.spare -= f64::from(u8::from(self.route(cmd, out)));
            } else if self.fig.may_cancel {
                out.cancel(cmd, self.cmds[&cmd].deliveries.len() as u8 - 1);
            }
        }
    }

    pub fn on_response_started(&mut self, cmd: CommandId, nth: u8) {
        let delivery = |c: &mut Command| {
            c.deliveries
                .get_mut(usize::from(nth))
                .map(|d| d.response_started = true)
        };
        self.cmds.get_mut(&cmd).and_then(delivery);
    }

    pub fn on_attempt_outcome(
        &mut self,
        cmd: CommandId,
        nth: u8,
        end: AttemptOutcome,
        took: Micros,
        done: bool,
        out: Out,
    ) {
        let Some(c) = self.cmds.get_mut(&cmd) else {
            return;
        };
        let Some(d) = c.deliveries.get_mut(usize::from(nth)).filter(|d| d.open) else {
            return;
        };
        (d.open, d.may_have_run) = (false, end.may_have_run());
        let (h, build, op, key, share) = (d.host, d.build, c.operation, c.key, c.tenant);
        self.hosts.remove_in_flight(h);
        self.ops[op].in_flight -= 1;
        // What errs at once is no load: it must not excuse slowness.
        let at_once = end == AttemptOutcome::Error && nth == 0;
        self.flow[0] = (self.flow[0] - f64::from(u8::from(at_once))).max(0.0);
        if matches!(end, AttemptOutcome::Acked | AttemptOutcome::TimedOut) {
            let rules = &mut self.ops[op];
            let step = if took as f64 > rules.latency_objective * rules.overload.exp() {
                0.2
            } else {
                -0.2
            };
            rules.overload = (rules.overload + step).clamp(-2.0, 1.0);
        }
        if !matches!(end, AttemptOutcome::Acked | AttemptOutcome::NotSent) {
            self.losses = [0.95 * self.losses[0] + 1.0, 0.95 * self.losses[1]];
        }
        if self.hosts.build(h) == build {
            self.judge(h, op, share, end, took);
            self.health(h, end);
        }
        let acked = f64::from(u8::from(end == AttemptOutcome::Acked));
        self.ops[op].acks += acked;
        self.flow[1] += acked;
        let newest = build.max(self.hosts.build(h));
        // An answer may have been written that nobody could read: it binds the key as well.
        let binds = key.0 != 0
            && !self.sent_back(newest)
            && end.may_have_run()
            && end != AttemptOutcome::Error;
        let pin = self.pins.entry(key).or_default();
        pin.release(build);
        pin.answered_by = pin.answered_by.max(Some(newest).filter(|_| binds));
        if done || self.cmds[&cmd].answered {
            self.finish(cmd, out);
        } else {
            self.settle(cmd, end.may_have_run(), out);
        }
        self.place_held(out);
    }

    /// After a delivery without an ack: another one where the op type allows it, else the final answer.
    fn settle(&mut self, cmd: CommandId, guess: bool, out: Out) {
        let Some(c) = self.cmds.get(&cmd) else { return };
        let open = c.deliveries.iter().any(|d| d.open);
        if !open
            && (c.deadline - self.now < 2 * BEAT
                || !self.may_redeliver(c)
                || guess && self.spare < 1.0)
        {
            self.abort(cmd, out);
        } else if !open {
            self.spare -= f64::from(u8::from(guess));
            self.route(cmd, out);
        }
    }

    /// The memory counts from the first delivery, whether or not it ran: it was out when the next was sent.
    fn may_redeliver(&self, c: &Command) -> bool {
        let rules = &self.ops[c.operation];
        let ran = c.deliveries.iter().any(|d| d.may_have_run);
        let allowed = match rules.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => {
                !ran || self.now + BEAT < c.deliveries[0].sent_at + rules.deduplication_window
            }
            Repeat::AtMostOnce => !ran,
        };
        allowed && c.deliveries.len() < self.fig.delivery_cap
    }

    /// The final answer where nothing more can be done: a nack wherever trying again is harmless.
    pub fn abort(&mut self, cmd: CommandId, out: Out) {
        let Some(c) = self.cmds.get(&cmd) else { return };
        let rules = &self.ops[c.operation];
        let any_drops =
            rules.repeat == Repeat::Deduplicated && rules.scope == DeduplicationScope::All;
        let never_ran = c.deliveries.iter().all(|d| !d.may_have_run);
        if never_ran || any_drops || rules.repeat == Repeat::Idempotent {
            let come_back = rules.latency_objective / 4.0 * (1.0 + self.chance.fraction());
            out.nack(
                cmd,
                self.fig
                    .longest_return
                    .map(|most| most.min(come_back as Micros)),
            );
        } else {
            out.fail(cmd);
        }
        self.finish(cmd, out);
    }

    /// Ends a command that is answered, or that its client has left.
    pub fn finish(&mut self, cmd: CommandId, out: Out) {
        let Some(c) = self.cmds.get_mut(&cmd) else {
            return;
        };
        let open =
            |d: &Delivery| self.fig.may_cancel && !c.answered && d.open && !d.response_started;
        let open = c.deliveries.iter().enumerate().filter(|(_, d)| open(d));
        open.for_each(|(n, _)| out.cancel(cmd, n as u8));
        c.answered = true;
        if c.deliveries.iter().all(|d| !d.open) {
            self.cmds.remove(&cmd);
        }
    }

    // ---- Health ----

    pub fn on_load_report(&mut self, host: HostId, busy: f64) {
        let Some(&h) = self.index.get(&host) else {
            return;
        };
        self.hosts.set_utilization(h, busy.clamp(0.0, 1.0));
        self.busy += 0.05 * (self.hosts.utilization(h) - self.busy);
    }

    fn health(&mut self, h: usize, end: AttemptOutcome) {
        let refused = f64::from(u8::from(end == AttemptOutcome::NotConnected));
        self.refused += 0.05 * (refused - self.refused);
        if matches!(
            end,
            AttemptOutcome::Acked | AttemptOutcome::Error | AttemptOutcome::Rejected
        ) {
            self.hosts.set_connected_at(h, self.now);
        }
        match end {
            AttemptOutcome::Acked => {
                // It answers: a connection broke, or one command erred, and not the host.
                if self.hosts.consecutive_failures(h) > 0 {
                    self.hosts.set_suspicion(h, 0, self.now);
                }
                self.hosts
                    .set_answers(h, self.hosts.answers(h).saturating_add(1));
            }
            // Fast errors draw traffic by fewest in flight: who errs or breaks loses what its answers earned.
            AttemptOutcome::Error | AttemptOutcome::Reset => {
                self.hosts.set_answers(h, self.hosts.answers(h) / 2);
                if self.hosts.answers(h) == 0 {
                    self.strike(h, SECOND / 2);
                }
            }
            AttemptOutcome::Rejected => {
                let until = self.hosts.ejected_until(h).max(self.now + 100 * MS);
                self.hosts
                    .set_suspicion(h, self.hosts.consecutive_failures(h), until);
            }
            AttemptOutcome::NotConnected => {
                self.hosts.set_connected_at(h, Micros::MIN);
                self.learn_way(0, self.hosts.endpoint(h).zone.0.into(), 2.0);
                self.strike(h, SECOND / 2);
            }
            AttemptOutcome::TimedOut if self.mute(h) || self.hosts.consecutive_failures(h) > 0 => {
                self.strike(h, SECOND)
            }
            _ => {}
        }
        if !matches!(
            end,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotConnected
        ) {
            self.hosts.response_received(h);
        }
    }

    fn learn_way(&mut self, kind: usize, n: usize, late: f64) {
        let ways = &mut self.ways[kind];
        ways.resize(ways.len().max(n + 1), f64::NAN);
        ways[n] = if ways[n].is_nan() {
            0.15 * late
        } else {
            ways[n] + 0.15 * (late - ways[n])
        };
    }

    /// By how much one zone, op type or customer is slower than the best, where that is far: a slow way, or
    /// what waits at every host alike, is neither the host's doing nor the build's.
    fn detour(&self, kind: usize, n: usize) -> f64 {
        let best = self.ways[kind]
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        self.ways[kind]
            .get(n)
            .map(|way| way - best)
            .filter(|&more| more > FAR)
            .unwrap_or(0.0)
    }

    fn strike(&mut self, h: usize, pause: Micros) {
        if self.now >= self.hosts.ejected_until(h) {
            let strikes = self.hosts.consecutive_failures(h);
            self.hosts
                .set_suspicion(h, strikes + 1, self.now + (pause << strikes.min(3)));
        }
    }

    // ---- The judge ----

    fn judge(&mut self, h: usize, op: usize, share: usize, end: AttemptOutcome, took: Micros) {
        let build = self.hosts.build(h);
        let failed = match end {
            AttemptOutcome::Acked => 0.0,
            AttemptOutcome::Error => 1.0,
            // Ways break connections too, and one crash breaks all that was out at the host: that is one
            // failure, of one that does little else; a time-out is none where it answered nobody.
            AttemptOutcome::Reset
                if self.hosts.answers(h) < 2 && self.now >= self.hosts.ejected_until(h) =>
            {
                1.0
            }
            AttemptOutcome::TimedOut if (took as f64) < self.ops[op].latency_objective => return,
            AttemptOutcome::TimedOut if self.detour(1, op) > 0.0 => {
                return self.learn_way(1, op, 2.0)
            }
            // A full fleet times out too: that is slowness, which more traffic excuses, and no failure.
            AttemptOutcome::TimedOut
                if !self.mute(h) && self.hosts.consecutive_failures(h) == 0 =>
            {
                0.0
            }
            _ => return,
        };
        let acked = end == AttemptOutcome::Acked;
        self.losses[1] += failed;
        self.by_share.iter_mut().flatten().for_each(|n| *n *= 0.98);
        let erred = f64::from(u8::from(end == AttemptOutcome::Error));
        self.by_share[share] = [
            self.by_share[share][0] + 1.0,
            self.by_share[share][1] + erred,
        ];
        let time = (took.max(1) as f64).ln() + self.warmth(self.hosts.age(h)).ln();
        // A mean of few answers may be off by chance; of many, one is very unlucky and speaks for all.
        let (rests_on, usual) = (
            f64::from(self.ops[op].baseline_samples),
            self.ops[op].baseline,
        );
        let known = rests_on >= 5.0;
        let luck = if self.fig.fleet > ROUTERS_PER_HOST {
            (2.0 * self.fig.fleet.ln()).sqrt()
        } else {
            1.0
        };
        let unsure = (luck / rests_on.sqrt() - 0.25).max(0.0);
        let slower = if acked {
            (time - usual - unsure).clamp(-2.0, 2.0)
        } else {
            2.0 * (1.0 - failed)
        };
        let late = if known { slower } else { 0.0 };
        let ways = [
            (0, self.hosts.endpoint(h).zone.0.into()),
            (1, op),
            (2, share),
        ];
        ways.iter()
            .filter(|_| known)
            .for_each(|&(kind, n)| self.learn_way(kind, n, late));
        let late = late
            - ways
                .map(|(kind, n)| self.detour(kind, n))
                .into_iter()
                .fold(0.0, f64::max);
        let lag = self.hosts.slowdown(h);
        self.hosts.set_slowdown(h, lag + 0.15 * (late - lag));
        if known {
            self.judge_shared(late);
        }
        let newest = self
            .news
            .is_some_and(|n| build >= n.build && !self.sent_back(n.build));
        if newest && self.hosts.oldest_build().is_some_and(|b| b < build) {
            self.seen += 1;
            self.seen_in_stage += 1;
            let wrong = &mut self.sums[self.ops.len() + 1];
            *wrong = (*wrong - self.fig.wrong_margin).max(0.0);
            let usual = self.old_fails[op].max(self.ops[op].controller_loss * self.blamed());
            // Where much fails anyway, a failure more says less.
            let gain = (failed - usual) * NOISE / (NOISE + usual) - FAIL_MARGIN;
            // Of thin traffic each failure says more: chance brings few of them together.
            self.add(
                h,
                op,
                gain * self.proof(share) * (self.fig.fleet / ROUTERS_PER_HOST).clamp(1.0, 1.5),
            );
            if known {
                let excused = self.old_lag.max(self.by_load());
                let gain = LATE_WEIGHT * (late - excused - LATE_MARGIN);
                self.add(h, self.ops.len(), gain.min(self.fig.few * gain));
            }
            return;
        }
        self.old_fails[op] += 0.02 * (failed - self.old_fails[op]);
        self.old_lag += 0.05 * (late - self.old_lag);
        // Thin traffic goes on learning in the first stages, from the earlier build's hosts.
        let few = self.ops[op].baseline_samples < 20 && self.lane < 0.2;
        if acked && (few || self.news.is_none_or(|n| n.state != RolloutState::Canary)) {
            let rules = &mut self.ops[op];
            rules.baseline_samples += 1;
            rules.baseline += (time - rules.baseline) / f64::from(rules.baseline_samples.min(200));
        }
    }

    /// What a failure proves for a customer whose commands err at every host, far beyond the others'.
    fn proof(&self, share: usize) -> f64 {
        let [own, failed] = self.by_share[share];
        let others = self
            .by_share
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != share);
        let rest = others
            .map(|(_, n)| (n[1] + 1.0) / (n[0] + 2.0))
            .fold(1.0, f64::min);
        let beyond = (failed - failed.sqrt()) / (own + 1.0) - rest;
        FAIL_MARGIN / (FAIL_MARGIN + beyond.max(0.0))
    }

    /// Two in five of a build's hosts (in a large fleet of those heard) convict it, two at least of three,
    /// for slowness always: each brings its part. It could harm where a build fails rarely on many hosts.
    fn add(&mut self, h: usize, which: usize, gain: f64) {
        let ready = self.hosts.ready_with(self.hosts.build(h));
        let peers = ready.len();
        let heard = if self.fig.fleet > ROUTERS_PER_HOST {
            ready.observed()
        } else {
            peers
        };
        let voices = [0.5, 0.5, 1.5].get(peers).copied();
        let voices = voices.unwrap_or((0.4 * heard as f64).clamp(2.0, MOST_VOICES));
        let most = SEND_BACK_AT
            / if which == self.ops.len() {
                voices.max(1.5)
            } else {
                voices
            };
        let gain = if gain > 0.0 {
            gain.min((most - self.hosts.evidence(h)).max(0.0))
        } else {
            gain
        };
        self.hosts
            .set_evidence(h, (self.hosts.evidence(h) + gain).max(0.0));
        self.sums[which] = (self.sums[which] + gain).max(0.0);
        if self.sum() <= 0.0 {
            self.hosts.clear_evidence();
        }
    }

    /// Failures add up over the op types; slowness is another proof, and one answer counts in one only.
    fn sum(&self) -> f64 {
        let (fails, late) = self.sums.split_at(self.ops.len());
        late.iter().copied().fold(fails.iter().sum(), f64::max)
    }

    /// Commands asked and answered of late, and one alone, for each whole host's worth of fit capacity.
    fn load(&self) -> [f64; 3] {
        let open =
            |h| self.hosts.consecutive_failures(h) == 0 && self.now >= self.hosts.ejected_until(h);
        let able = self.hosts.sum_ready(|age| self.warmth(age), open);
        let filled = 1.0 - (-(self.now - self.born) as f64 / (4 * SECOND) as f64).exp();
        [
            self.flow[0] / filled.max(0.1),
            self.flow[1] / filled.max(0.1),
            1.0,
        ]
        .map(|n| n / able.max(1.0))
    }

    /// The slowness that more load or less capacity than before the trial explains; retries, up to a bound.
    fn by_load(&self) -> f64 {
        let (now, usual) = (self.load(), self.usual_load);
        let [asked, answered, lost] = [0, 1, 2].map(|n| 1.5 * (now[n] / usual[n].max(1e-9)).ln());
        let slower = asked.min(1.0).max(answered).max(lost).clamp(0.0, 1.5);
        // A fleet that sheds and yet answers as much as before is full: that is load, whatever was asked. One
        // that has just turned over was cold, and has the queue of that time to work off.
        let full = self.flow[2] > 0.05 * self.flow[0] && now[1] > 0.95 * usual[1];
        [slower * f64::from(u8::from(usual[1] > 0.0)), 1.5]
            [usize::from(full || 2 * self.hosts.recently_started() > self.hosts.ready_count())]
    }

    /// Guards against a build that slows the earlier hosts too: from its trial on every answer counts against
    /// the time before, less what traffic explains. It could harm where else the whole fleet slows.
    fn judge_shared(&mut self, late: f64) {
        let judged = self.seen > 0 && self.usual_load[1] > 0.0;
        if judged && self.news.is_some_and(|n| n.state == RolloutState::Canary) {
            // One of many routers sees by its own traffic only a part of what loads the hosts.
            let gain = LATE_WEIGHT * (late.min(1.5) - self.by_load() - LATE_MARGIN);
            let sum = self.sums.last_mut().expect("made at start");
            *sum = (*sum + gain.min(self.fig.few.min(ROUTERS_PER_HOST / self.fig.fleet) * gain))
                .max(0.0);
        }
    }

    /// What the desk counted of all routers' deliveries stands in for answers where a router sees few. One
    /// period brings a part of the proof at most. It could harm where troubles strike trial hosts only.
    pub fn on_controller_stats(&mut self, count: ControllerStats) {
        let (op, n) = (usize::from(count.op.0), f64::from(count.sampled));
        let Some(news) = self.news.filter(|_| op < self.ops.len() && n > 0.0) else {
            return;
        };
        let (on_trial, ended) = (news.state == RolloutState::Canary, self.now - count.age);
        if ended > self.period + SECOND / 4 {
            let pace = if self.usual_traffic > 0.0 { 0.3 } else { 1.0 };
            if !on_trial && self.traffic[0] > 0.0 {
                self.usual_traffic += pace * (self.traffic[0] - self.usual_traffic);
            }
            (self.period, self.traffic) = (ended, [0.0, self.traffic[0]]);
        }
        let lost = f64::from(count.failed).min(n);
        let (acked, mean) = (n - lost, count.mean_latency as f64 / SECOND as f64);
        self.traffic[0] += acked;
        let (waits, blamed, last) = (self.detour(1, op) > 0.0, self.blamed(), self.sums.len() - 1);
        let fewer = (self.load()[2] / self.usual_load[2].max(1e-9)).min(MOST_FEWER);
        let rules = &mut self.ops[op];
        let LatencyCount {
            answered,
            seconds: time,
        } = rules.controller_count;
        let slower = |usual: f64| (mean.max(1e-6) / usual.max(1e-6)).ln().clamp(-2.0, 2.0);
        // More answers or fewer hosts than before explain slowness; losses may be the build's own doing.
        let more = fewer.max(self.traffic[1].max(self.traffic[0]) / self.usual_traffic.max(1.0));
        let more = 1.5 * more.ln().max(0.0);
        let (usual, weight) = (
            rules.controller_baseline,
            COUNT_WEIGHT * acked / (acked + 12.0),
        );
        if count.build < news.build || self.hosts.oldest_build().is_none_or(|b| b >= news.build) {
            rules.controller_count = LatencyCount {
                answered: 0.8 * answered + acked,
                seconds: 0.8 * time + mean * acked,
            };
            rules.controller_loss = (lost / (n + 4.0)).max(0.8 * rules.controller_loss);
            if !on_trial {
                rules.controller_baseline =
                    rules.controller_count.seconds / rules.controller_count.answered.max(1.0);
            }
        } else if !waits && on_trial {
            self.counted_in_stage += n;
            let gain = blamed * (lost - n * rules.controller_loss) - n * FAIL_MARGIN;
            self.sums[op] = (self.sums[op] + gain.min(COUNT_WEIGHT / 2.0)).max(0.0);
            if answered >= 10.0 {
                let late = &mut self.sums[last - 2];
                let gain = weight * (slower(time / answered) - more - LATE_MARGIN);
                *late = (*late + gain).max(0.0);
            }
        }
        if on_trial && !waits && usual > 0.0 && self.counted_in_stage > 0.0 {
            let shared = &mut self.sums[last];
            *shared = (*shared + weight * (slower(usual).min(1.5) - more - COUNT_MARGIN)).max(0.0);
        }
    }

    /// Of what the desk calls lost, that part which would count as a failure if it were this router's own.
    fn blamed(&self) -> f64 {
        (self.losses[1] + 1.0) / (self.losses[0] + 1.0)
    }

    pub fn on_wrong_answer(&mut self, host: HostId, since: Micros) {
        let Some(&h) = self.index.get(&host) else {
            return;
        };
        // An answer of the process before this one says nothing of its build.
        let build = self.hosts.build(h);
        let before = self
            .hosts
            .endpoint(h)
            .started_at
            .is_some_and(|at| self.now - since < at);
        if !before && self.news.is_some_and(|n| build >= n.build) && !self.sent_back(build) {
            self.sums[self.ops.len() + 1] += self.fig.complaint_weight;
        }
    }

    fn verdict(&self) -> Option<(BuildId, u8, RolloutVote)> {
        let news = self
            .news
            .filter(|n| matches!(n.state, RolloutState::Canary | RolloutState::Released))?;
        let on_trial = news.state == RolloutState::Canary;
        // Once released, going back means a cold start of the whole fleet: it wants twice the proof.
        let proof = SEND_BACK_AT * if on_trial { 1.0 } else { 2.0 };
        if f64::from(self.seen) + self.counted_in_stage >= f64::from(ENOUGH_ANSWERS)
            && self.sum() >= proof
        {
            return Some((news.build, news.stage, RolloutVote::RollBack));
        }
        if !on_trial || self.fig.gate == Gate::Clocked {
            return (on_trial && self.sum() > HOLD_AT).then_some((
                news.build,
                news.stage,
                RolloutVote::Hold,
            ));
        }
        let ready = self.hosts.ready_with(news.build);
        let (count, latest) = (ready.len(), ready.latest_start().unwrap_or(0));
        let share = self
            .fig
            .stage_shares
            .get(usize::from(news.stage))
            .copied()
            .unwrap_or(1.0);
        let earlier = self
            .hosts
            .ready_builds()
            .filter(|(build, _)| self.fig.rolling || *build < news.build);
        let earlier: usize = earlier.map(|(_, ready)| ready.len()).sum();
        let all = count > 0 && count as f64 >= (share * earlier as f64).floor();
        let unlisted = Micros::from(!all && latest <= self.stage_began);
        let waited = self.now - latest.max(self.stage_began) - unlisted * 8 * SECOND;
        // Where one vote is enough, the fleet has seen many times what a quiet router has; but the one that
        // speaks against a build has to see enough of it alone, the more so the more hosts follow.
        let more = self
            .fig
            .stage_shares
            .get(usize::from(news.stage) + 1)
            .map_or(0.0, |next| next - share);
        let (alike, more) = if self.fig.gate == Gate::Majority {
            (1, 0.0)
        } else {
            (self.fig.fleet as u32, more)
        };
        let enough = (ENOUGH_ANSWERS * ENOUGH_ANSWERS / alike).clamp(1, ENOUGH_ANSWERS);
        let known = self.seen_in_stage >= enough || self.counted_in_stage >= f64::from(3 * enough);
        let met = self.fig.even * share * waited as f64 / SECOND as f64;
        // A release takes twice the proof to undo and may wait: all hosts run the build by then.
        let last = usize::from(news.stage) + 1 >= self.fig.stage_shares.len();
        let waits = last && self.fig.gate == Gate::Single && self.fig.fleet > ROUTERS_PER_HOST
            || met < CONVICTS * more;
        let pauses = if known && !waits { 1 } else { 3 };
        // Side by side a stage is cheaply taken back and a release is not: its vote waits for all traffic.
        let beside = !self.fig.rolling && (!last || all && waited >= 4 * self.fig.go_wait);
        let due = beside || self.fig.rolling && waited >= pauses * self.fig.go_wait + self.own_turn;
        let go = self.sum() < QUIET_BELOW && due;
        go.then_some((news.build, news.stage, RolloutVote::Promote))
    }

    fn cast(&mut self, out: Out) {
        if self.vote_out && self.now >= self.vote_again_at {
            // The desk never answered: the vote may count or not, so it is cast anew.
            (self.vote_out, self.vote) = (false, None);
        }
        let (want, stands) = (self.verdict(), self.now < self.vote_stands_until);
        if self.vote_out || self.now < self.vote_again_at || (want == self.vote && stands) {
            return;
        }
        // A vote for going on must not stand while doubts have come up.
        let doubted = self.vote.filter(|v| v.2 != RolloutVote::RollBack && stands);
        if let Some((build, stage, verdict)) =
            want.or(doubted.map(|v| (v.0, v.1, RolloutVote::Abstain)))
        {
            out.vote(build, stage, verdict);
            (self.vote, self.vote_out) = (want, true);
            self.vote_again_at = self.now + self.fig.vote_wait + SECOND / 2;
            self.vote_stands_until = self.now + self.fig.vote_wait;
        }
    }

    // ---- The beat ----

    pub fn on_timer(&mut self, out: Out) {
        self.beat(out);
        out.wake(self.now + BEAT);
    }

    fn beat(&mut self, out: Out) {
        let fade = (-(self.now - self.beaten) as f64 / SECOND as f64).exp();
        self.ops.iter_mut().for_each(|o| o.acks *= fade);
        // Forgotten in time, so that a way that has been mended is tried again.
        self.ways
            .iter_mut()
            .flatten()
            .for_each(|way| *way *= fade.powf(0.1));
        self.served.iter_mut().for_each(|s| *s *= fade);
        self.flow = self.flow.map(|f| f * fade.powf(0.25));
        self.grow_lane();
        self.forget_window();
        // Guards against a storm, a fleet most of which has died, a start beside few cold hosts: only answers
        // count, the dead's while they lived, over the time in which a whole host may answer one router once.
        let whole = self.hosts.sum_ready(|age| self.warmth(age), |_| true);
        self.lived =
            self.lived * fade.powf(0.25) + whole * (self.now - self.beaten) as f64 / SECOND as f64;
        let once = self.fig.fleet
            * self
                .ops
                .iter()
                .map(|o| o.latency_objective)
                .fold(0.0, f64::max)
            / SECOND as f64;
        let young = u8::from(self.now < self.born + 5 * SECOND);
        let pace = self.flow[1].max(young.into()) / self.lived.max(once);
        // A fleet that answers little for a while can still do what it did.
        self.pace += (pace - self.pace) * if pace > self.pace { 0.02 } else { 0.001 };
        if self.news.is_none_or(|n| n.state != RolloutState::Canary)
            && self.now > self.born + 2 * SECOND
        {
            let (load, pace) = (
                self.load(),
                if self.usual_load[1] > 0.0 { 0.01 } else { 1.0 },
            );
            self.usual_load
                .iter_mut()
                .zip(load)
                .for_each(|(usual, load)| *usual += pace * (load - *usual));
        }
        self.beaten = self.now;
        self.hosts.forget_suspects();
        self.place_held(out);
        self.lapse(out);
        self.hurry(out);
        self.cast(out);
        if self.ask_list_at.is_some_and(|at| self.now >= at) {
            self.ask_list_at = Some(self.now + 5 * SECOND);
            out.watch_list();
        }
        if self.now - self.swept >= SECOND / 2 {
            self.swept = self.now;
            // Earlier builds bind no key, and once one is released all keys are taken for answered by it.
            let from = self.news.map(|n| {
                n.build
                    .0
                    .saturating_add((n.state == RolloutState::Released).into())
            });
            // A delivery may stay out for longer than a pin without use: its answer binds the key as well.
            let kept = |p: &StickyAssignment| {
                p.claims > 0 || p.answered_by.is_some_and(|b| Some(b.0) >= from)
            };
            self.pins.retain(|_, p| {
                let stays = self.now - p.used_at < PIN_IDLE || self.fig.one_way && kept(p);
                self.all_bound = self.all_bound.max(p.answered_by.filter(|_| !stays));
                stays
            });
        }
    }
}

/// The told terms as decisions use them.
#[derive(Default)]
struct DerivedConfig {
    shares: Vec<f64>,
    fleet: f64,
    delivery_cap: usize,
    side_by_side: bool,
    may_cancel: bool,
    longest_return: Option<Micros>,
    cold_from: f64,
    warm_within: Micros,
    starts: StartSpans,
    fall_span: Micros,
    cold_part: f64,
    gate: Gate,
    first_cap: f64,
    stage_shares: Vec<f64>,
    free: f64,
    span: Micros,
    by_op: bool,
    guarded_stages: u8,
    one_way: bool,
    rolling: bool,
    go_wait: Micros,
    /// Commands a second of a router of mean traffic; how long the desk takes for all votes.
    even: f64,
    vote_span: f64,
    vote_life: Micros,
    vote_wait: Micros,
    /// Less than 1 where so few routers send a build back that the hastiest would decide for all.
    few: f64,
    complaint_weight: f64,
    wrong_margin: f64,
}

/// What decisions use of the told terms.
fn figures(terms: &ServiceConfig) -> DerivedConfig {
    let quorum = terms.gate != Gate::Single && terms.rollback_votes > 0;
    let fleet = f64::from(terms.fleet_size.max(1));
    let few = if quorum {
        (f64::from(terms.rollback_votes) / fleet / 0.2).min(1.0)
    } else {
        1.0
    };
    // Where a quorum decides, one report lets a router speak: false ones strike few at a time.
    let alone = (0.375 / terms.complaint_share.max(0.05)).clamp(1.0, 2.5);
    let warm = terms.warm_up_time.max(1);
    let complaint_weight = if quorum {
        1.3 * SEND_BACK_AT * few
    } else {
        alone
    };
    DerivedConfig {
        shares: if terms.tenant_quotas.is_empty() {
            vec![1.0]
        } else {
            terms.tenant_quotas.clone()
        },
        fleet,
        delivery_cap: terms.delivery_cap.min(4) as usize,
        side_by_side: terms.may_hedge,
        may_cancel: terms.may_cancel,
        rolling: terms.rolling,
        longest_return: terms
            .may_name_retry_after
            .then_some(terms.longest_retry_after),
        cold_from: terms.slow_start_from.clamp(0.05, 1.0),
        warm_within: warm,
        starts: StartSpans {
            warming: warm,
            bounded: warm + SECOND,
            recent: 3 * warm,
        },
        fall_span: terms.overload_window.max(1),
        cold_part: COLD_PART * terms.overload_multiple * terms.overload_window as f64
            / SECOND as f64,
        gate: terms.gate,
        first_cap: terms.stage_caps.first().copied().unwrap_or(0.0),
        stage_shares: terms.stage_shares.clone(),
        free: terms.exposure_allowance,
        span: terms.exposure_window,
        by_op: terms.exposure_by_op,
        guarded_stages: terms.guarded_stages,
        one_way: terms.forward_only,
        // The desk's clock starts about a second after the machines run; a vote before that stands idle.
        go_wait: terms.stage_bake + SECOND,
        even: terms
            .tenant_quotas
            .iter()
            .copied()
            .reduce(|a, b| a + b)
            .unwrap_or(f64::INFINITY)
            / fleet,
        vote_span: 2.0 * fleet / terms.votes_per_second * SECOND as f64,
        vote_life: terms.vote_lifetime,
        vote_wait: terms.vote_timeout,
        few,
        complaint_weight,
        wrong_margin: WRONG_MARGIN * if quorum { 2.0 } else { 1.0 },
    }
}
