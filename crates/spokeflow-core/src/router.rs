//! The decision module: one `Router` a process, told what happens by calls, answering through `Egress`.
//!
//! How to call it: `Router::new` with the deployment's terms, then one method for each thing that happens
//! (`listed`, `told`, `command`, `delivery_ended`, `woken`, ...), in order, each with the present time. It acts
//! by calls on the `Egress` given along (`egress.rs`); terms, ids and news are plain types (`terms.rs`, `ids.rs`).
//!
//! A command runs the chain intake, lane, exposure, placement, dispatch; what comes back runs through settle,
//! health and the judge. `docs/design.md` tells what was kept of the design and what was added, and why.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    BuildId, Chance, CommandId, DeliveryEnd, Egress, Gate, HostId, HostLine, HostPhase, Key, ListKind,
    Micros, OpType, Repeat, RepeatScope, ServiceTerms, ShareId, StageNews, Standing, Verdict, VoteAnswer,
    ZoneId,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// How often what no event drives is looked at: holds, silent hosts, votes.
const BEAT: Micros = 20 * MS;
/// Part of the cap that the lane takes by itself; the rest is left to further deliveries and to chance.
const LANE_OF_CAP: f64 = 0.7;
/// How far keys follow the machines above that, so that keys which may not leave still find room.
const REPIN_OF_CAP: f64 = 0.9;
const LANE_GROWS: Micros = 2 * SECOND;
const PIN_IDLE: Micros = 10 * SECOND;
/// Taken off each judged delivery beside the earlier build's failure rate.
const FAIL_MARGIN: f64 = 0.05;
const SEND_BACK_AT: f64 = 4.0;
const HOLD_AT: f64 = 2.0;
/// A build is quiet below this.
const QUIET_BELOW: f64 = 1.0;
/// Slowness, as a logarithm against the time before the trial, that is laid to chance and load.
const LATE_MARGIN: f64 = 0.35;
/// What one unit of such slowness beyond the margin weighs in the judge's sum.
const LATE_WEIGHT: f64 = 0.5;
/// Answers that a router needs from a build before it votes on it.
const ENOUGH_ANSWERS: u32 = 3;
/// Share of the commands that may be delivered a second time at a guess (no answer yet, or an error).
const SPARE_PER_COMMAND: f64 = 0.2;
const SPARE_AT_MOST: f64 = 10.0;

struct OpRules {
    repeat: Repeat,
    scope: RepeatScope,
    memory: Micros,
    target: Micros,
    /// Mean logarithm of the time to an answer, its count, learned only while no build is on trial.
    usual: f64,
    usual_seen: u32,
}

struct Delivery {
    host: usize,
    build: BuildId,
    sent: Micros,
    open: bool,
    may_have_run: bool,
    started: bool,
}

struct Command {
    op: usize,
    key: Key,
    place: f64,
    taken: Micros,
    until: Micros,
    ended: bool,
    held: bool,
    hedge_at: Micros,
    deliveries: Vec<Delivery>,
}

struct Pin {
    build: BuildId,
    used: Micros,
    /// The newest build that has answered this key: under one-way rules no way leads below it.
    answered_by: Option<BuildId>,
}

/// Figures about hosts, in parallel arrays under a dense index.
#[derive(Default)]
struct Hosts {
    id: Vec<HostId>,
    build: Vec<BuildId>,
    build_before: Vec<BuildId>,
    cell: Vec<u16>,
    zone: Vec<ZoneId>,
    phase: Vec<HostPhase>,
    started: Vec<Option<Micros>>,
    in_flight: Vec<u32>,
    answers: Vec<u32>,
    strikes: Vec<u32>,
    shut_until: Vec<Micros>,
    errors: Vec<f64>,
    lag: Vec<f64>,
    /// Since when nothing at all has come back while something is out.
    mute_since: Vec<Micros>,
    blame: Vec<f64>,
}

struct PeerView {
    at: Micros,
    build: BuildId,
    sum: f64,
    seen: u32,
}

pub struct Router {
    ops: Vec<OpRules>,
    chance: Chance,
    index: BTreeMap<HostId, usize>,
    hosts: Hosts,
    cmds: BTreeMap<CommandId, Command>,
    held: VecDeque<CommandId>,
    pins: BTreeMap<Key, Pin>,
    taken: VecDeque<(Micros, usize)>,
    exposed: VecDeque<(Micros, usize, BuildId)>,
    news: Option<StageNews>,
    stage_began: Micros,
    lane_build: BuildId,
    lane: f64,
    lane_moved: Micros,
    spare: f64,
    // The judge.
    sum: f64,
    seen: u32,
    seen_in_stage: u32,
    old_fails: f64,
    old_lag: f64,
    peers: BTreeMap<u32, PeerView>,
    told_peers: Micros,
    vote: Option<(BuildId, u8, Verdict)>,
    vote_stands_until: Micros,
    vote_again_at: Micros,
    vote_out: bool,
    ask_list_at: Option<Micros>,
    ask_backoff: Micros,
    swept: Micros,
    // Derived at start.
    ask_list: bool,
    own_index: u32,
    delivery_cap: usize,
    side_by_side: bool,
    may_cancel: bool,
    may_tell: bool,
    longest_return: Option<Micros>,
    cold_from: f64,
    warm_within: Micros,
    gate: Gate,
    stage_caps: Vec<f64>,
    stage_shares: Vec<f64>,
    free: f64,
    span: Micros,
    by_op: bool,
    guarded_stages: u8,
    one_way: bool,
    go_wait: Micros,
    vote_life: Micros,
    vote_wait: Micros,
    complaint_weight: f64,
}

impl Router {
    pub fn new(terms: &ServiceTerms, seed: u64, now: Micros, out: &mut impl Egress) -> Self {
        let ops = terms.ops.iter().map(|op| OpRules {
            repeat: op.repeat,
            scope: op.repeat_scope,
            memory: op.repeat_memory,
            target: op.service_target,
            usual: 0.0,
            usual_seen: 0,
        });
        out.wake(now + BEAT);
        if terms.list_must_be_asked {
            out.watch_list();
        }
        Router {
            ops: ops.collect(),
            chance: Chance::new(seed),
            index: BTreeMap::new(),
            hosts: Hosts::default(),
            cmds: BTreeMap::new(),
            held: VecDeque::new(),
            pins: BTreeMap::new(),
            taken: VecDeque::new(),
            exposed: VecDeque::new(),
            news: None,
            stage_began: now,
            lane_build: BuildId(0),
            lane: 0.0,
            lane_moved: now,
            spare: SPARE_AT_MOST / 2.0,
            sum: 0.0,
            seen: 0,
            seen_in_stage: 0,
            old_fails: 0.0,
            old_lag: 0.0,
            peers: BTreeMap::new(),
            told_peers: now,
            vote: None,
            vote_stands_until: now,
            vote_again_at: now,
            vote_out: false,
            ask_list_at: terms.list_must_be_asked.then_some(now + 5 * SECOND),
            ask_backoff: SECOND / 2,
            swept: now,
            ask_list: terms.list_must_be_asked,
            own_index: terms.own_index,
            delivery_cap: terms.delivery_cap.min(4) as usize,
            side_by_side: terms.side_by_side,
            may_cancel: terms.may_cancel,
            may_tell: terms.may_tell && terms.gate == Gate::Majority,
            longest_return: terms.may_name_return.then_some(terms.longest_return),
            cold_from: terms.cold_from.clamp(0.05, 1.0),
            warm_within: terms.warm_within.max(1),
            gate: terms.gate,
            stage_caps: terms.stage_caps.clone(),
            stage_shares: terms.stage_shares.clone(),
            free: terms.exposure_free,
            span: terms.exposure_span,
            by_op: terms.exposure_by_op,
            guarded_stages: terms.guarded_stages,
            one_way: terms.forward_only,
            // The desk's clock starts about a second after the machines run; a vote before that stands idle.
            go_wait: terms.stage_bake + SECOND,
            vote_life: terms.vote_life,
            vote_wait: terms.vote_wait,
            complaint_weight: (0.3 / terms.complaint_share.max(0.05)).clamp(1.0, 2.0),
        }
    }

    // ---- The list -------------------------------------------------------------------------------------------

    pub fn listed(&mut self, now: Micros, kind: ListKind, lines: &[HostLine], out: &mut impl Egress) {
        if kind != ListKind::Remembered {
            self.ask_list_at = None;
            self.ask_backoff = SECOND / 2;
        }
        if kind != ListKind::Changes {
            let named: std::collections::BTreeSet<HostId> = lines.iter().map(|line| line.host).collect();
            for h in 0..self.hosts.id.len() {
                if !named.contains(&self.hosts.id[h]) {
                    self.hosts.phase[h] = HostPhase::Gone;
                }
            }
        }
        for line in lines {
            let h = *self.index.entry(line.host).or_insert_with(|| self.hosts.add(line));
            self.hosts.update(h, line);
        }
        self.place_held(now, out);
    }

    pub fn list_failed(&mut self, now: Micros, _out: &mut impl Egress) {
        // The notice does not say whether a subscription still stands: asking again is the only safe reading.
        if self.ask_list {
            let spread = self.chance.below(self.ask_backoff as usize / 2) as Micros;
            self.ask_list_at = Some(now + self.ask_backoff + spread);
            self.ask_backoff = (self.ask_backoff * 2).min(4 * SECOND);
        }
    }

    // ---- The desk's news --------------------------------------------------------------------------------------

    pub fn told(&mut self, now: Micros, news: StageNews, out: &mut impl Egress) {
        let before = self.news.replace(news);
        let same_build = before.is_some_and(|b| b.build == news.build);
        if !same_build {
            self.sum = 0.0;
            self.seen = 0;
            self.hosts.blame.iter_mut().for_each(|b| *b = 0.0);
        }
        if !same_build || before.is_some_and(|b| b.stage != news.stage || b.standing != news.standing) {
            self.stage_began = now - news.age;
            self.seen_in_stage = 0;
            self.vote = None;
            self.vote_again_at = now;
        }
        if matches!(news.standing, Standing::GoingBack | Standing::Withdrawn) {
            // A send-back returns keys to the earlier build, and opens the way that one-way rules had closed.
            self.pins.retain(|_, pin| {
                pin.answered_by = pin.answered_by.filter(|b| *b != news.build);
                pin.build != news.build
            });
        }
        self.beat(now, out);
    }

    pub fn vote_answered(&mut self, now: Micros, answer: VoteAnswer, _out: &mut impl Egress) {
        self.vote_out = false;
        match answer {
            VoteAnswer::Counted => self.vote_stands_until = now + self.vote_life * 7 / 10,
            VoteAnswer::Moot => self.vote_again_at = now + SECOND,
            _ => self.vote_again_at = now + 200 * MS + self.chance.below(200_000) as Micros,
        }
        if answer != VoteAnswer::Counted {
            self.vote = None;
        }
    }

    fn on_trial(&self, build: BuildId) -> bool {
        match &self.news {
            None => self.hosts.build.iter().any(|b| *b < build),
            Some(n) => build > n.build || (build == n.build && n.standing != Standing::Released),
        }
    }

    fn cap(&self, build: BuildId) -> f64 {
        match &self.news {
            Some(n) if n.build == build => n.cap,
            _ => self.stage_caps.first().copied().unwrap_or(0.0),
        }
    }

    fn sent_back(&self, build: BuildId) -> bool {
        self.news.is_some_and(|n| {
            n.build == build && matches!(n.standing, Standing::GoingBack | Standing::Withdrawn)
        })
    }

    // ---- Intake -------------------------------------------------------------------------------------------------

    #[allow(clippy::too_many_arguments)]
    pub fn command(
        &mut self,
        now: Micros,
        cmd: CommandId,
        op: OpType,
        key: Key,
        _share: ShareId,
        left: Micros,
        out: &mut impl Egress,
    ) {
        let op = usize::from(op.0);
        if op >= self.ops.len() {
            out.nack(cmd, None);
            return;
        }
        self.taken.push_back((now, self.slot(op)));
        self.spare = (self.spare + SPARE_PER_COMMAND).min(SPARE_AT_MOST);
        let place = unit(if key.0 == 0 { u64::from(cmd.0) | 1 << 40 } else { key.0 });
        self.cmds.insert(
            cmd,
            Command {
                op,
                key,
                place,
                taken: now,
                until: now + left,
                ended: false,
                held: false,
                hedge_at: Micros::MAX,
                deliveries: Vec::new(),
            },
        );
        self.route(now, cmd, out);
    }

    /// Runs the chain for a command that is owed an answer and has no delivery out, or needs one more.
    fn route(&mut self, now: Micros, cmd: CommandId, out: &mut impl Egress) {
        let Some(c) = self.cmds.get(&cmd) else { return };
        if c.ended {
            return;
        }
        let (key, place, op) = (c.key, c.place, c.op);
        let failed_on_trial = c.deliveries.iter().any(|d| !d.open && self.on_trial(d.build));
        let floor = self.pins.get(&key).and_then(|p| p.answered_by).filter(|_| self.one_way && key.0 != 0);
        let choice = self.choose_build(now, key, place, floor, failed_on_trial);
        let mut full = false;
        for build in choice.into_iter().flatten() {
            if floor.is_some_and(|f| build < f) {
                continue;
            }
            if !self.room(now, build, op) {
                full = true;
                continue;
            }
            if let Some(host) = self.place(now, cmd, build) {
                if key.0 != 0 {
                    let pin = self.pins.entry(key).or_insert(Pin { build, used: now, answered_by: None });
                    pin.build = build;
                    pin.used = now;
                }
                self.dispatch(now, cmd, host, out);
                return;
            }
        }
        let c = &self.cmds[&cmd];
        if c.deliveries.iter().any(|d| d.open) {
            return;
        }
        // A full counter under one-way rules is refused at once: the client comes back when there is room.
        if (full && floor.is_some()) || now >= self.hold_limit(c) || !self.may_redeliver(c, now) {
            self.give_up(now, cmd, out);
        } else if !c.held {
            self.held.push_back(cmd);
            self.cmds.get_mut(&cmd).expect("still held").held = true;
        }
    }

    /// How long a command may wait for a place: past that its answer would come too late to matter.
    fn hold_limit(&self, c: &Command) -> Micros {
        (c.taken + self.ops[c.op].target / 2).min(c.until - 2 * BEAT)
    }

    fn place_held(&mut self, now: Micros, out: &mut impl Egress) {
        for _ in 0..self.held.len() {
            let Some(cmd) = self.held.pop_front() else { break };
            if let Some(c) = self.cmds.get_mut(&cmd) {
                c.held = false;
                self.route(now, cmd, out);
            }
        }
    }

    // ---- Lane ---------------------------------------------------------------------------------------------------

    /// The builds to try, best first. Pins keep a key at its build; the lane takes keys to the build on trial.
    fn choose_build(
        &mut self,
        now: Micros,
        key: Key,
        place: f64,
        floor: Option<BuildId>,
        failed_on_trial: bool,
    ) -> [Option<BuildId>; 2] {
        let (stable, trial) = self.candidates();
        let (Some(trial), Some(old)) = (trial, stable) else { return [stable.or(trial), None] };
        if self.sent_back(trial) {
            return [stable, Some(trial)];
        }
        if floor.is_some_and(|f| f > old) {
            return [Some(trial), None];
        }
        if failed_on_trial {
            // What a build on trial has failed gets its further delivery where it is known to work.
            return [stable, Some(trial)];
        }
        let pinned = self.pins.get(&key).filter(|p| key.0 != 0 && now - p.used < PIN_IDLE).map(|p| p.build);
        let in_lane = place < self.lane;
        let takes_trial = match pinned {
            Some(build) if build == trial => true,
            // The earlier build's machines have become fewer than its share of the pinned keys.
            Some(_) => in_lane && self.trial_share(now, trial, old) > self.exposed_share(trial),
            None => in_lane,
        };
        if takes_trial {
            [Some(trial), stable]
        } else {
            [stable, None]
        }
    }

    /// The newest build that is free for all, and the newest on trial, each with a ready host.
    fn candidates(&self) -> (Option<BuildId>, Option<BuildId>) {
        let (mut stable, mut trial) = (None, None);
        for h in 0..self.hosts.id.len() {
            if self.hosts.phase[h] == HostPhase::Ready {
                let build = self.hosts.build[h];
                let best = if self.on_trial(build) { &mut trial } else { &mut stable };
                *best = (*best).max(Some(build));
            }
        }
        (stable, trial)
    }

    /// What part of the present capacity runs the build on trial, cold hosts counted by what they can do.
    fn trial_share(&self, now: Micros, trial: BuildId, old: BuildId) -> f64 {
        let (mut ours, mut all) = (0.0, 1e-9);
        for h in 0..self.hosts.id.len() {
            if self.hosts.phase[h] == HostPhase::Ready && self.hosts.build[h] >= old {
                let warmth = self.warmth(now, h);
                all += warmth;
                if self.hosts.build[h] == trial {
                    ours += warmth;
                }
            }
        }
        ours / all
    }

    fn exposed_share(&self, trial: BuildId) -> f64 {
        self.exposed.iter().filter(|e| e.2 == trial).count() as f64 / self.taken.len().max(1) as f64
    }

    fn warmth(&self, now: Micros, h: usize) -> f64 {
        match self.hosts.started[h] {
            Some(at) if now - at < self.warm_within => {
                let age = (now - at).max(0) as f64 / self.warm_within as f64;
                self.cold_from + (1.0 - self.cold_from) * age
            }
            _ => 1.0,
        }
    }

    /// The lane grows towards its part of the cap, as far as the trial machines listed ready bear it, and
    /// follows the machines where the earlier build is left with fewer than its keys need. It never shrinks.
    fn grow_lane(&mut self, now: Micros) {
        let spent = (now - self.lane_moved) as f64 / LANE_GROWS as f64;
        self.lane_moved = now;
        let (stable, trial) = self.candidates();
        let Some(trial) = trial else { return };
        if self.lane_build != trial {
            self.lane_build = trial;
            self.lane = 0.0;
        }
        let cap = self.cap(trial);
        let share = stable.map_or(1.0, |old| self.trial_share(now, trial, old));
        let own = (LANE_OF_CAP * cap).min(1.25 * share);
        let follow = share.min(if cap < 1.0 { REPIN_OF_CAP * cap } else { 1.0 });
        let aim = own.max(follow);
        self.lane = self.lane.max(aim.min(self.lane + spent * aim.max(0.02))).min(cap.max(0.0));
    }

    // ---- Exposure -----------------------------------------------------------------------------------------------

    fn slot(&self, op: usize) -> usize {
        if self.by_op {
            op
        } else {
            0
        }
    }

    fn room(&mut self, now: Micros, build: BuildId, op: usize) -> bool {
        if !self.on_trial(build) {
            return true;
        }
        let cap = self.cap(build);
        let stage = self.news.filter(|n| n.build == build).map_or(0, |n| n.stage);
        if cap <= 0.0 || (stage < self.guarded_stages && self.ops[op].repeat != Repeat::Redeliverable) {
            return false;
        }
        while self.taken.front().is_some_and(|t| t.0 <= now - self.span) {
            self.taken.pop_front();
        }
        while self.exposed.front().is_some_and(|t| t.0 < now - self.span) {
            self.exposed.pop_front();
        }
        let slot = self.slot(op);
        let taken = self.taken.iter().filter(|t| t.1 == slot).count() as f64;
        let sent = self.exposed.iter().filter(|t| t.1 == slot && t.2 == build).count() as f64;
        sent + 1.0 <= self.free + cap * taken
    }

    // ---- Placement ----------------------------------------------------------------------------------------------

    /// Two random choices among the fit hosts of a build, by fewest own commands in flight.
    fn place(&mut self, now: Micros, cmd: CommandId, build: BuildId) -> Option<usize> {
        let c = &self.cmds[&cmd];
        let rules = &self.ops[c.op];
        let bound = c.deliveries.iter().find(|d| d.may_have_run).map(|d| d.host);
        let fits_repeat = |h: usize| match (bound, rules.repeat, rules.scope) {
            (None, _, _) | (_, Repeat::Redeliverable, _) | (_, _, RepeatScope::All) => true,
            (Some(b), _, RepeatScope::Zone) => self.hosts.zone[b] == self.hosts.zone[h],
            (Some(b), _, RepeatScope::Cell) => self.hosts.cell[b] == self.hosts.cell[h],
            (Some(b), _, RepeatScope::Unknown) => b == h,
        };
        let ready: Vec<usize> = (0..self.hosts.id.len())
            .filter(|&h| {
                self.hosts.phase[h] == HostPhase::Ready && self.hosts.build[h] == build && fits_repeat(h)
            })
            .filter(|&h| self.hosts.in_flight[h] < self.in_flight_cap(now, h))
            .collect();
        let untried: Vec<usize> =
            ready.iter().copied().filter(|&h| c.deliveries.iter().all(|d| d.host != h)).collect();
        let open: Vec<usize> = untried.iter().copied().filter(|&h| self.fit(now, h)).collect();
        // What runs at most once is lost with a host that fails: it goes only where answers come back.
        let proven: Vec<usize> = open.iter().copied().filter(|&h| self.hosts.strikes[h] == 0).collect();
        let pool =
            if !proven.is_empty() && (rules.repeat == Repeat::AtMostOnce || proven.len() * 2 > open.len()) {
                // A host under suspicion is tried now and then by a command that may be delivered again.
                let tries = rules.repeat != Repeat::AtMostOnce && self.spare >= 1.0;
                if tries {
                    open
                } else {
                    proven
                }
            } else if open.len() * 3 >= untried.len() || untried.is_empty() {
                open
            } else {
                // Most hosts seem unfit at once: that is this router's view or its zone's links, not the hosts.
                untried
            };
        if pool.is_empty() {
            return None;
        }
        let a = pool[self.chance.below(pool.len())];
        let b = pool[self.chance.below(pool.len())];
        let weigh =
            |h: usize| f64::from(self.hosts.in_flight[h] + 1) * self.hosts.lag[h].clamp(0.0, 2.0).exp();
        Some(if weigh(b) < weigh(a) { b } else { a })
    }

    fn fit(&self, now: Micros, h: usize) -> bool {
        now >= self.hosts.shut_until[h] && !self.mute(now, h)
    }

    /// Guards against hosts that take work and answer nothing, long before their first time-out.
    fn mute(&self, now: Micros, h: usize) -> bool {
        let usual = self.ops.iter().map(|o| o.usual.exp()).fold(0.0, f64::max) as Micros;
        self.hosts.in_flight[h] > 0 && now - self.hosts.mute_since[h] > (6 * usual).max(600 * MS)
    }

    /// A fresh host, and one that has failed, may hold little at first and more with each answer.
    fn in_flight_cap(&self, now: Micros, h: usize) -> u32 {
        if self.hosts.strikes[h] > 0 {
            return 1;
        }
        match self.hosts.started[h] {
            Some(at) if now - at < self.warm_within + SECOND => 2 + self.hosts.answers[h] / 2,
            _ => u32::MAX,
        }
    }

    // ---- Dispatch -----------------------------------------------------------------------------------------------

    fn dispatch(&mut self, now: Micros, cmd: CommandId, host: usize, out: &mut impl Egress) {
        let build = self.hosts.build[host];
        let on_trial = self.on_trial(build);
        let Some(c) = self.cmds.get_mut(&cmd) else { return };
        let rules = &self.ops[c.op];
        let slot = if self.by_op { c.op } else { 0 };
        let last = c.deliveries.len() + 1 >= self.delivery_cap || rules.repeat == Repeat::AtMostOnce;
        let patience = (rules.target * 45 / 100).max((4.0 * rules.usual.exp()) as Micros);
        let mut until = None;
        c.hedge_at = Micros::MAX;
        if !last && now + patience + rules.target / 4 < c.until && self.spare >= 1.0 {
            if self.side_by_side {
                c.hedge_at = now + patience;
            } else {
                until = Some(now + patience);
            }
        }
        if on_trial {
            self.exposed.push_back((now, slot, build));
        }
        c.deliveries.push(Delivery {
            host,
            build,
            sent: now,
            open: true,
            may_have_run: true,
            started: false,
        });
        if self.hosts.in_flight[host] == 0 {
            self.hosts.mute_since[host] = now;
        }
        self.hosts.in_flight[host] += 1;
        out.deliver(cmd, self.hosts.id[host], until);
    }

    // ---- What comes back ------------------------------------------------------------------------------------------

    pub fn answer_started(&mut self, _now: Micros, cmd: CommandId, delivery: u8, out: &mut impl Egress) {
        let Some(c) = self.cmds.get_mut(&cmd) else { return };
        for (n, d) in c.deliveries.iter_mut().enumerate() {
            d.started |= n == usize::from(delivery);
            if d.open && !d.started && self.may_cancel {
                out.cancel(cmd, n as u8);
            }
        }
    }

    pub fn client_left(&mut self, now: Micros, cmd: CommandId, out: &mut impl Egress) {
        self.end(now, cmd, out);
    }

    #[allow(clippy::too_many_arguments)]
    pub fn delivery_ended(
        &mut self,
        now: Micros,
        cmd: CommandId,
        delivery: u8,
        host: HostId,
        end: DeliveryEnd,
        latency: Micros,
        finished: bool,
        out: &mut impl Egress,
    ) {
        let Some(&h) = self.index.get(&host) else { return };
        let Some(c) = self.cmds.get_mut(&cmd) else { return };
        let Some(d) = c.deliveries.get_mut(usize::from(delivery)).filter(|d| d.open) else { return };
        d.open = false;
        d.may_have_run = !matches!(end, DeliveryEnd::Full | DeliveryEnd::NotConnected | DeliveryEnd::NotSent);
        let (build, op, key, sent) = (d.build, c.op, c.key, d.sent);
        if !finished && now >= c.until {
            // The client's time is up: whatever else is known, the answer is owed now.
            c.hedge_at = Micros::MAX;
        }
        self.hosts.in_flight[h] = self.hosts.in_flight[h].saturating_sub(1);
        self.hosts.mute_since[h] =
            if end == DeliveryEnd::TimedOut { self.hosts.mute_since[h].max(sent) } else { now };
        self.health(now, h, end);
        let restarted = self.hosts.build[h] != build;
        if !restarted {
            self.judge(now, h, build, op, end, latency);
        }
        if end == DeliveryEnd::Acked && key.0 != 0 {
            let newest = build.max(self.hosts.build[h]);
            if !self.sent_back(newest) {
                let pin = self.pins.entry(key).or_insert(Pin { build, used: now, answered_by: None });
                pin.answered_by = pin.answered_by.max(Some(newest));
            }
        }
        if finished {
            self.end(now, cmd, out);
        } else {
            self.settle(now, cmd, end, out);
        }
        self.place_held(now, out);
    }

    /// After a delivery without an ack: another one where the op type allows it, else the final answer.
    fn settle(&mut self, now: Micros, cmd: CommandId, end: DeliveryEnd, out: &mut impl Egress) {
        let Some(c) = self.cmds.get(&cmd) else { return };
        if c.ended {
            self.forget_if_done(cmd);
            return;
        }
        if c.deliveries.iter().any(|d| d.open) {
            return;
        }
        let guessed = !matches!(end, DeliveryEnd::Full | DeliveryEnd::NotConnected | DeliveryEnd::NotSent);
        if c.until - now < 2 * BEAT || !self.may_redeliver(c, now) || (guessed && self.spare < 1.0) {
            self.give_up(now, cmd, out);
            return;
        }
        if guessed {
            self.spare -= 1.0;
        }
        self.route(now, cmd, out);
    }

    fn may_redeliver(&self, c: &Command, now: Micros) -> bool {
        let rules = &self.ops[c.op];
        let ran = c.deliveries.iter().filter(|d| d.may_have_run).map(|d| d.sent).min();
        c.deliveries.len() < self.delivery_cap
            && match (ran, rules.repeat) {
                (None, _) | (_, Repeat::Redeliverable) => true,
                (Some(first), Repeat::Deduplicated) => now + 10 * MS < first + rules.memory,
                (Some(_), Repeat::AtMostOnce) => false,
            }
    }

    /// The final answer where nothing more can be done: a nack wherever trying again is harmless.
    fn give_up(&mut self, now: Micros, cmd: CommandId, out: &mut impl Egress) {
        let Some(c) = self.cmds.get(&cmd) else { return };
        let rules = &self.ops[c.op];
        let ran = c.deliveries.iter().any(|d| d.may_have_run);
        let harmless = match rules.repeat {
            _ if !ran => true,
            Repeat::Redeliverable => true,
            Repeat::Deduplicated => rules.scope == RepeatScope::All,
            Repeat::AtMostOnce => false,
        };
        if harmless {
            let come_back = rules.target / 4 + self.chance.below(rules.target as usize / 4 + 1) as Micros;
            out.nack(cmd, self.longest_return.map(|most| come_back.min(most)));
        } else {
            out.fail(cmd);
        }
        self.end(now, cmd, out);
    }

    fn end(&mut self, _now: Micros, cmd: CommandId, out: &mut impl Egress) {
        let Some(c) = self.cmds.get_mut(&cmd) else { return };
        if !c.ended && self.may_cancel {
            for (n, _) in c.deliveries.iter().enumerate().filter(|(_, d)| d.open && !d.started) {
                out.cancel(cmd, n as u8);
            }
        }
        c.ended = true;
        self.forget_if_done(cmd);
    }

    fn forget_if_done(&mut self, cmd: CommandId) {
        if self.cmds.get(&cmd).is_some_and(|c| c.ended && c.deliveries.iter().all(|d| !d.open)) {
            self.cmds.remove(&cmd);
        }
    }

    // ---- Health -------------------------------------------------------------------------------------------------

    fn health(&mut self, now: Micros, h: usize, end: DeliveryEnd) {
        let build = self.hosts.build[h];
        match end {
            DeliveryEnd::Acked => {
                self.hosts.strikes[h] = 0;
                self.hosts.answers[h] = self.hosts.answers[h].saturating_add(1);
                self.hosts.errors[h] *= 0.85;
            }
            DeliveryEnd::Error => {
                self.hosts.errors[h] = self.hosts.errors[h] * 0.85 + 0.15;
                // Fast errors draw traffic by fewest in flight. Only a host that errs far beyond the others of its
                // build is set aside: a build that errs everywhere is the judge's, and must not hide as hosts.
                let (mut others, mut n) = (0.0, 0.0);
                for o in
                    (0..self.hosts.id.len()).filter(|&o| o != h && self.hosts.phase[o] == HostPhase::Ready)
                {
                    if self.hosts.build[o] == build {
                        others += self.hosts.errors[o];
                        n += 1.0;
                    }
                }
                if n > 0.0 && self.hosts.errors[h] > 0.3 + 2.0 * others / n {
                    self.strike(now, h, SECOND);
                }
            }
            DeliveryEnd::Full => self.hosts.shut_until[h] = self.hosts.shut_until[h].max(now + 100 * MS),
            DeliveryEnd::NotConnected | DeliveryEnd::Reset => self.strike(now, h, SECOND / 2),
            DeliveryEnd::TimedOut if self.mute(now, h) || self.hosts.strikes[h] > 0 => {
                self.strike(now, h, SECOND)
            }
            _ => {}
        }
    }

    fn strike(&mut self, now: Micros, h: usize, pause: Micros) {
        if now >= self.hosts.shut_until[h] {
            let times = self.hosts.strikes[h].min(3);
            self.hosts.strikes[h] += 1;
            self.hosts.shut_until[h] = now + (pause << times);
        }
    }

    // ---- The judge ----------------------------------------------------------------------------------------------

    fn judge(&mut self, now: Micros, h: usize, build: BuildId, op: usize, end: DeliveryEnd, latency: Micros) {
        let failed = match end {
            DeliveryEnd::Error | DeliveryEnd::Reset | DeliveryEnd::TimedOut => true,
            DeliveryEnd::Acked => latency > self.ops[op].target,
            _ => return,
        };
        let judged = self.news.is_some_and(|n| build >= n.build) && !self.sent_back(build);
        let first_build = !self.hosts.build.iter().any(|b| *b < build);
        let time = (latency.max(1) as f64).ln() + self.cold_ln(now, h);
        let late = if usual_known(&self.ops[op]) && end == DeliveryEnd::Acked {
            (time - self.ops[op].usual).clamp(-2.0, 2.0)
        } else {
            0.0
        };
        self.hosts.lag[h] += 0.15 * (late - self.hosts.lag[h]);
        if judged && !first_build {
            self.seen += 1;
            self.seen_in_stage += 1;
            let mut gain = f64::from(u8::from(failed)) - self.old_fails - FAIL_MARGIN;
            if end == DeliveryEnd::Acked && usual_known(&self.ops[op]) {
                gain += LATE_WEIGHT * (late - self.old_lag.max(0.0) - LATE_MARGIN);
            }
            self.add(h, gain);
        } else {
            self.old_fails += 0.02 * (f64::from(u8::from(failed)) - self.old_fails);
            self.old_lag += 0.05 * (late - self.old_lag);
            let quiet = self.news.is_none_or(|n| n.standing != Standing::OnTrial);
            if quiet && end == DeliveryEnd::Acked {
                let usual = &mut self.ops[op];
                usual.usual_seen += 1;
                usual.usual += (time - usual.usual) / f64::from(usual.usual_seen.min(200));
            }
        }
    }

    fn cold_ln(&self, now: Micros, h: usize) -> f64 {
        self.warmth(now, h).ln()
    }

    /// One host may bring no more than half of what sends a build back while others of its build could speak:
    /// a host that crashes, hangs or errs must not convict the build.
    fn add(&mut self, h: usize, gain: f64) {
        let build = self.hosts.build[h];
        let ready = |o: &usize| self.hosts.build[*o] == build && self.hosts.phase[*o] == HostPhase::Ready;
        let peers = (0..self.hosts.id.len()).filter(ready).count();
        let most = if peers >= 3 { SEND_BACK_AT / 2.0 } else { SEND_BACK_AT * 2.0 };
        let gain = if gain > 0.0 { gain.min((most - self.hosts.blame[h]).max(0.0)) } else { gain };
        self.hosts.blame[h] = (self.hosts.blame[h] + gain).max(0.0);
        self.sum += gain;
        if self.sum <= 0.0 {
            self.sum = 0.0;
            self.hosts.blame.iter_mut().for_each(|b| *b = 0.0);
        }
    }

    pub fn disputed(
        &mut self,
        now: Micros,
        host: HostId,
        since: Micros,
        _op: OpType,
        _out: &mut impl Egress,
    ) {
        let Some(&h) = self.index.get(&host) else { return };
        // The answer may be that of the process before this one.
        let before = self.hosts.started[h].is_some_and(|at| now - since < at);
        let build = if before { self.hosts.build_before[h] } else { self.hosts.build[h] };
        if self.news.is_some_and(|n| build >= n.build) && !self.sent_back(build) {
            self.add(h, self.complaint_weight);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn summed(
        &mut self,
        _now: Micros,
        _age: Micros,
        _build: BuildId,
        _op: OpType,
        _samples: u32,
        _lost: u32,
        _mean: Micros,
    ) {
    }

    pub fn probed(&mut self, _now: Micros, _host: HostId, _end: DeliveryEnd, _out: &mut impl Egress) {}

    pub fn heard(&mut self, now: Micros, sender: u32, text: &[u8]) {
        if let [1, b1, b0, s1, s0, n1, n0] = *text {
            let view = PeerView {
                at: now,
                build: BuildId(u16::from_be_bytes([b1, b0])),
                sum: f64::from(u16::from_be_bytes([s1, s0])) / 100.0,
                seen: u32::from(u16::from_be_bytes([n1, n0])),
            };
            if sender != self.own_index {
                self.peers.insert(sender, view);
            }
        }
    }

    /// What the fleet knows of the build: own sum and those that peers have told of lately.
    fn pooled(&self, now: Micros, build: BuildId) -> (f64, u32) {
        let fresh = self.peers.values().filter(|p| p.build == build && now - p.at < 3 * SECOND);
        fresh.fold((self.sum, self.seen), |(sum, seen), p| (sum + p.sum, seen + p.seen))
    }

    fn verdict(&self, now: Micros) -> Option<(BuildId, u8, Verdict)> {
        let news = self.news?;
        let (sum, seen) = self.pooled(now, news.build);
        let on_trial = news.standing == Standing::OnTrial;
        if !on_trial && news.standing != Standing::Released {
            return None;
        }
        // Once released, going back means a cold start of the whole fleet: it wants twice the proof.
        let proof = if on_trial { 1.0 } else { 2.0 };
        if self.seen >= ENOUGH_ANSWERS && self.sum >= SEND_BACK_AT * proof
            || sum >= 1.5 * SEND_BACK_AT * proof
        {
            return Some((news.build, news.stage, Verdict::Back));
        }
        if !on_trial {
            return None;
        }
        if self.gate == Gate::Clocked {
            return (self.sum > HOLD_AT).then_some((news.build, news.stage, Verdict::Hold));
        }
        let trial_hosts = (0..self.hosts.id.len())
            .filter(|&h| self.hosts.phase[h] == HostPhase::Ready && self.hosts.build[h] == news.build);
        let (mut latest, mut count) = (0, 0);
        for h in trial_hosts {
            latest = latest.max(self.hosts.started[h].unwrap_or(0));
            count += 1;
        }
        let all = self.hosts.phase.iter().filter(|p| **p == HostPhase::Ready).count();
        let share = self.stage_shares.get(usize::from(news.stage)).copied().unwrap_or(1.0);
        let complete = count > 0 && f64::from(count) >= (share * all as f64).floor();
        let from = if latest > self.stage_began {
            latest
        } else if complete {
            self.stage_began
        } else {
            self.stage_began + 8 * SECOND
        };
        let known =
            self.seen_in_stage >= ENOUGH_ANSWERS || (self.gate == Gate::Majority && seen >= ENOUGH_ANSWERS);
        let waited = now - from;
        let go = sum < QUIET_BELOW && waited >= self.go_wait && (known || waited >= 3 * self.go_wait);
        go.then_some((news.build, news.stage, Verdict::On))
    }

    fn cast(&mut self, now: Micros, out: &mut impl Egress) {
        let want = self.verdict(now);
        if self.vote_out && now >= self.vote_again_at {
            // The desk never answered: the vote may count or not, so it is cast anew.
            self.vote_out = false;
            self.vote = None;
        }
        if self.vote_out || now < self.vote_again_at || (want == self.vote && now < self.vote_stands_until) {
            return;
        }
        let Some((build, stage, verdict)) = want.or_else(|| {
            // A vote for going on must not stand while doubts have come up.
            self.vote
                .filter(|v| v.2 != Verdict::Back && now < self.vote_stands_until)
                .map(|v| (v.0, v.1, Verdict::None))
        }) else {
            return;
        };
        out.vote(build, stage, verdict);
        self.vote = want;
        self.vote_out = true;
        self.vote_again_at = now + self.vote_wait + SECOND / 2;
        self.vote_stands_until = now + self.vote_wait;
    }

    // ---- The beat -----------------------------------------------------------------------------------------------

    pub fn woken(&mut self, now: Micros, out: &mut impl Egress) {
        self.beat(now, out);
        out.wake(now + BEAT);
    }

    fn beat(&mut self, now: Micros, out: &mut impl Egress) {
        self.grow_lane(now);
        self.place_held(now, out);
        if self.side_by_side {
            self.hedge(now, out);
        }
        self.cast(now, out);
        if self.ask_list_at.is_some_and(|at| now >= at) {
            self.ask_list_at = Some(now + 5 * SECOND);
            out.watch_list();
        }
        if self.may_tell && now - self.told_peers >= SECOND / 2 && self.seen > 0 {
            if let Some(news) = self.news {
                self.told_peers = now;
                let [b1, b0] = news.build.0.to_be_bytes();
                let [s1, s0] = ((self.sum * 100.0) as u16).to_be_bytes();
                let [n1, n0] = (self.seen.min(65_535) as u16).to_be_bytes();
                out.tell_all(&[1, b1, b0, s1, s0, n1, n0]);
            }
        }
        if now - self.swept >= SECOND {
            self.swept = now;
            let one_way = self.one_way;
            self.pins.retain(|_, p| now - p.used < PIN_IDLE || (one_way && p.answered_by.is_some()));
            let span = self.span;
            self.taken.retain(|t| t.0 > now - span);
        }
    }

    /// A second copy for a command whose first is slow, where the op type allows a repeat.
    fn hedge(&mut self, now: Micros, out: &mut impl Egress) {
        let due: Vec<CommandId> =
            self.cmds.iter().filter(|(_, c)| !c.ended && now >= c.hedge_at).map(|(id, _)| *id).collect();
        for cmd in due {
            let Some(c) = self.cmds.get_mut(&cmd) else { continue };
            c.hedge_at = Micros::MAX;
            let started = c.deliveries.iter().any(|d| d.started);
            if started || self.spare < 1.0 || !self.may_redeliver(&self.cmds[&cmd], now) {
                continue;
            }
            let before = self.cmds[&cmd].deliveries.len();
            self.route(now, cmd, out);
            if self.cmds.get(&cmd).is_some_and(|c| c.deliveries.len() > before) {
                self.spare -= 1.0;
            }
        }
    }
}

fn usual_known(op: &OpRules) -> bool {
    op.usual_seen >= 20
}

/// Spreads a key evenly over 0 to 1.
fn unit(key: u64) -> f64 {
    let mut x = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as f64 / 2f64.powi(64)
}

impl Hosts {
    fn add(&mut self, line: &HostLine) -> usize {
        let build = line.build.unwrap_or_default();
        self.id.push(line.host);
        self.build.push(build);
        self.build_before.push(build);
        self.cell.push(line.cell);
        self.zone.push(line.zone);
        self.phase.push(line.phase);
        self.started.push(line.started);
        self.in_flight.push(0);
        self.answers.push(0);
        self.strikes.push(0);
        self.shut_until.push(Micros::MIN);
        self.errors.push(0.0);
        self.lag.push(0.0);
        self.mute_since.push(Micros::MIN);
        self.blame.push(0.0);
        self.id.len() - 1
    }

    fn update(&mut self, h: usize, line: &HostLine) {
        let build = line.build.unwrap_or(self.build[h]);
        if self.started[h] != line.started || self.build[h] != build {
            // Another process, maybe another machine: nothing learned of the one before holds.
            self.build_before[h] = self.build[h];
            self.build[h] = build;
            self.started[h] = line.started;
            self.answers[h] = 0;
            self.strikes[h] = 0;
            self.shut_until[h] = Micros::MIN;
            self.errors[h] = 0.0;
            self.lag[h] = 0.0;
            self.blame[h] = 0.0;
        }
        self.cell[h] = line.cell;
        self.zone[h] = line.zone;
        self.phase[h] = line.phase;
    }
}
