//! The one helper of the tests: terms to start from, and a ledger that carries out what the module asks and
//! checks the five rules at each call.

#![allow(dead_code)] // each test program uses its own part

use std::collections::BTreeMap;

use spokeflow_core::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const OLD: BuildId = BuildId(7);
pub const NEW: BuildId = BuildId(8);

pub fn terms(gate: Gate) -> ServiceConfig {
    let op = |repeat, repeat_scope| OperationConfig {
        repeat,
        deduplication_scope: repeat_scope,
        deduplication_window: 800 * MS,
        latency_objective: 600 * MS,
        command_timeout: 2 * SECOND,
        priority_weight: 1.0,
        streaming: false,
    };
    ServiceConfig {
        ops: vec![
            op(Repeat::Idempotent, DeduplicationScope::Unknown),
            op(Repeat::Deduplicated, DeduplicationScope::All),
            op(Repeat::AtMostOnce, DeduplicationScope::Unknown),
            op(Repeat::Deduplicated, DeduplicationScope::Zone),
        ],
        tenant_quotas: vec![20.0, 5.0],
        own_zone: ZoneId(0),
        own_index: 0,
        fleet_size: 3,
        tick: 5 * MS,
        list_requires_subscription: true,
        list_refresh_within: 10 * SECOND,
        delivery_cap: 4,
        may_hedge: true,
        may_cancel: true,
        may_probe: false,
        may_gossip: true,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: 250 * MS,
        slow_start_from: 0.4,
        warm_up_time: 4 * SECOND,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        gate,
        stage_caps: vec![0.1, 0.4, 1.0],
        stage_shares: vec![0.1, 0.4, 1.0],
        exposure_allowance: 2.0,
        exposure_window: 4 * SECOND,
        exposure_by_op: false,
        guarded_stages: 0,
        forward_only: true,
        rolling: true,
        stage_bake: SECOND,
        vote_lifetime: 6 * SECOND,
        vote_timeout: 2 * SECOND,
        complaint_share: 0.2,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub host: HostId,
    pub at: Micros,
    pub open: bool,
    may_have_run: bool,
}

#[derive(Clone, Debug)]
pub struct Owed {
    pub op: usize,
    pub key: Key,
    pub until: Micros,
    pub answered: bool,
    pub sent: Vec<Sent>,
}

/// What the rules are checked against: only what the module was told.
pub struct Ledger {
    pub now: Micros,
    pub terms: ServiceConfig,
    pub lines: BTreeMap<HostId, Endpoint>,
    pub owed: BTreeMap<CommandId, Owed>,
    pub news: Option<RolloutStatus>,
    pub votes: Vec<(BuildId, u8, RolloutVote)>,
    pub nacks: Vec<(CommandId, Option<Micros>)>,
    pub fails: Vec<CommandId>,
    pub list_asked: u32,
    pub told: Vec<Vec<u8>>,
    pub wake_at: Micros,
    taken: Vec<(Micros, usize)>,
    exposed: Vec<(Micros, usize, BuildId)>,
    answered_by: BTreeMap<Key, BuildId>,
    /// Of the present process, commands in flight and acked.
    since_start: BTreeMap<HostId, (u32, u32)>,
}

impl Ledger {
    pub fn start(terms: ServiceConfig, seed: u64) -> (Router, Ledger) {
        let mut ledger = Ledger {
            now: 100 * SECOND,
            terms,
            lines: BTreeMap::new(),
            owed: BTreeMap::new(),
            news: None,
            votes: Vec::new(),
            nacks: Vec::new(),
            fails: Vec::new(),
            list_asked: 0,
            told: Vec::new(),
            wake_at: Micros::MAX,
            taken: Vec::new(),
            exposed: Vec::new(),
            answered_by: BTreeMap::new(),
            since_start: BTreeMap::new(),
        };
        let terms = ledger.terms.clone();
        let router = Router::new(&terms, seed, ledger.now, &mut ledger);
        (router, ledger)
    }

    pub fn list(&mut self, router: &mut Router, kind: ListKind, lines: &[Endpoint]) {
        for line in lines {
            let before = self.lines.insert(line.host, *line);
            if before.is_none_or(|b| b.started_at != line.started_at || b.build != line.build) {
                self.since_start.insert(line.host, (0, 0));
            }
        }
        if kind != ListKind::Changes {
            let named = |host: &HostId| lines.iter().any(|l| l.host == *host);
            self.lines
                .iter_mut()
                .filter(|(host, _)| !named(host))
                .for_each(|(_, l)| l.state = EndpointState::Gone);
        }
        router.set_time(self.now).on_endpoints(kind, lines, self);
    }

    pub fn tell(&mut self, router: &mut Router, news: RolloutStatus) {
        self.news = Some(news);
        // Rule 5 speaks of the newest build told, on trial or released, and of later ones.
        let back = matches!(
            news.state,
            RolloutState::RollingBack | RolloutState::Withdrawn
        );
        self.answered_by
            .retain(|_, b| *b > news.build || *b == news.build && !back);
        router.set_time(self.now).on_rollout_status(news, self);
    }

    pub fn command(&mut self, router: &mut Router, id: u32, op: usize, key: u64, left: Micros) {
        let slot = if self.terms.exposure_by_op { op } else { 0 };
        self.taken.push((self.now, slot));
        let owed = Owed {
            op,
            key: Key(key),
            until: self.now + left,
            answered: false,
            sent: Vec::new(),
        };
        self.owed.insert(CommandId(id), owed);
        router.set_time(self.now).on_command(
            CommandId(id),
            OpType(op as u16),
            TenantId(id % 3),
            Key(key),
            left,
            self,
        );
    }

    pub fn open(&self) -> Vec<(CommandId, usize)> {
        let all = self
            .owed
            .iter()
            .flat_map(|(id, o)| o.sent.iter().enumerate().map(move |(n, s)| (*id, n, s)));
        all.filter(|(_, _, s)| s.open)
            .map(|(id, n, _)| (id, n))
            .collect()
    }

    pub fn end(&mut self, router: &mut Router, cmd: CommandId, nth: usize, end: AttemptOutcome) {
        let owed = self.owed.get_mut(&cmd).expect("known");
        let sent = &mut owed.sent[nth];
        sent.open = false;
        let took = self.now - sent.at;
        sent.may_have_run = !matches!(
            end,
            AttemptOutcome::Rejected | AttemptOutcome::NotConnected | AttemptOutcome::NotSent
        );
        let (host, sent_may_have_run) = (sent.host, sent.may_have_run);
        owed.answered |= end == AttemptOutcome::Acked;
        let (closed, key) = (owed.answered, owed.key);
        let build = self.lines[&host].build.expect("listed");
        let since = self.since_start.entry(host).or_default();
        since.0 = since.0.saturating_sub(1);
        if end == AttemptOutcome::Acked {
            since.1 += 1;
        }
        // An answer counts from its writing, whether or not it was read; what errs or never ran has written none.
        if sent_may_have_run && end != AttemptOutcome::Error {
            let back = self.news.is_some_and(|n| {
                n.build > build
                    || n.build == build
                        && matches!(n.state, RolloutState::RollingBack | RolloutState::Withdrawn)
            });
            if key.0 != 0 && !back {
                let newest = self.answered_by.entry(key).or_insert(build);
                *newest = build.max(*newest);
            }
        }
        router
            .set_time(self.now)
            .on_attempt_outcome(cmd, nth as u8, end, took, closed, self);
    }

    /// Lets time pass: wakes the module when it asked for it and runs deliveries out at the client's time.
    pub fn pass(&mut self, router: &mut Router, span: Micros) {
        let to = self.now + span;
        while self.now < to {
            self.now = (self.now + 5 * MS).min(to);
            if self.now >= self.wake_at {
                self.wake_at = Micros::MAX;
                router.set_time(self.now).on_timer(self);
            }
            for (cmd, nth) in self.open() {
                if self.owed[&cmd].until <= self.now {
                    self.end(router, cmd, nth, AttemptOutcome::TimedOut);
                }
            }
            let overdue = self
                .owed
                .iter()
                .find(|(_, o)| !o.answered && self.now > o.until + 20 * MS);
            assert!(overdue.is_none(), "rule 1: no answer in time: {overdue:?}");
        }
    }

    fn answer(&mut self, cmd: CommandId, harmless: bool) {
        let owed = self
            .owed
            .get_mut(&cmd)
            .expect("an answer for a command never given");
        assert!(!owed.answered, "rule 1: a second answer");
        assert!(
            self.now <= owed.until + 20 * MS,
            "rule 1: an answer too late"
        );
        owed.answered = true;
        let rules = &self.terms.ops[owed.op];
        let ran = owed.sent.iter().any(|s| s.may_have_run);
        let may_nack = match rules.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => !ran || rules.deduplication_scope == DeduplicationScope::All,
            Repeat::AtMostOnce => !ran,
        };
        assert!(
            !harmless || may_nack,
            "rule 2: a nack for what may have run"
        );
    }
}

impl Egress for Ledger {
    fn deliver(&mut self, cmd: CommandId, host: HostId, _until: Option<Micros>) {
        let line = self.lines[&host];
        let owed = self
            .owed
            .get_mut(&cmd)
            .expect("a delivery for a command never given");
        assert!(!owed.answered, "rule 1: sent after the final answer");
        let rules = &self.terms.ops[owed.op];
        let ran: Vec<&Sent> = owed.sent.iter().filter(|s| s.may_have_run).collect();
        assert!(
            rules.repeat != Repeat::AtMostOnce || ran.is_empty(),
            "rule 2: at-most-once sent again"
        );
        if rules.repeat == Repeat::Deduplicated {
            for s in ran {
                assert!(
                    self.now < s.at + rules.deduplication_window,
                    "rule 2: repeat after the memory"
                );
                let same = rules.deduplication_scope == DeduplicationScope::All
                    || self.lines[&s.host].zone == line.zone;
                assert!(same, "rule 2: repeat outside its group");
            }
        }
        assert!(
            self.terms.may_hedge || owed.sent.iter().all(|s| !s.open),
            "rule 2: two at once"
        );
        assert_eq!(
            line.state,
            EndpointState::Ready,
            "rule 3: sent to a host that drains or is gone"
        );
        let fresh = line
            .started_at
            .is_some_and(|at| self.now < at + self.terms.warm_up_time);
        let (op, key) = (owed.op, owed.key);
        owed.sent.push(Sent {
            host,
            at: self.now,
            open: true,
            may_have_run: true,
        });
        let (in_flight, acked) = self.since_start.get_mut(&host).expect("listed");
        *in_flight += 1;
        assert!(
            !fresh || *in_flight <= 2 + *acked,
            "rule 4: {in_flight} in flight at a cold host, {acked} acked"
        );
        let build = line.build.expect("listed");
        let lock = self
            .answered_by
            .get(&key)
            .filter(|_| self.terms.forward_only && key.0 != 0);
        assert!(
            lock.is_none_or(|b| build >= *b),
            "rule 5: back below the build that answered the key"
        );
        let Some(news) = self.news else { return };
        if build > news.build || (build == news.build && news.state != RolloutState::Released) {
            let announced = build == news.build;
            let cap = if announced {
                news.exposure_cap
            } else {
                self.terms.stage_caps[0]
            };
            let guarded = (if announced { news.stage } else { 0 }) < self.terms.guarded_stages;
            assert!(
                !guarded || self.terms.ops[op].repeat == Repeat::Idempotent,
                "rule 5: guarded stage"
            );
            let (slot, from) = (
                if self.terms.exposure_by_op { op } else { 0 },
                self.now - self.terms.exposure_window,
            );
            self.exposed.push((self.now, slot, build));
            let sent = self
                .exposed
                .iter()
                .filter(|e| e.0 > from && e.1 == slot && e.2 == build)
                .count() as f64;
            let taken = self
                .taken
                .iter()
                .filter(|t| t.0 > from && t.1 == slot)
                .count() as f64;
            assert!(
                cap > 0.0 && sent <= self.terms.exposure_allowance + cap * taken + 1e-9,
                "rule 5: {sent} of {taken}"
            );
        }
    }

    fn nack(&mut self, cmd: CommandId, come_back: Option<Micros>) {
        self.answer(cmd, true);
        self.nacks.push((cmd, come_back));
    }

    fn fail(&mut self, cmd: CommandId) {
        self.answer(cmd, false);
        self.fails.push(cmd);
    }

    fn cancel(&mut self, cmd: CommandId, delivery: u8) {
        assert!(
            self.owed[&cmd].sent.len() > usize::from(delivery),
            "a cancel for a delivery never made"
        );
    }

    fn wake(&mut self, at: Micros) {
        self.wake_at = self.wake_at.min(at);
    }

    fn vote(&mut self, build: BuildId, stage: u8, verdict: RolloutVote) {
        let known = match self.terms.gate {
            Gate::Clocked => verdict != RolloutVote::Promote,
            Gate::Single | Gate::Majority => verdict != RolloutVote::Hold,
        };
        assert!(known, "a verdict that this gate does not know");
        self.votes.push((build, stage, verdict));
    }

    fn probe(&mut self, _host: HostId) {}

    fn watch_list(&mut self) {
        self.list_asked += 1;
    }

    fn fetch_list(&mut self) {
        self.list_asked += 1;
    }

    fn gossip(&mut self, _router: Option<u32>, text: &[u8]) {
        assert!(text.len() <= 256);
        self.told.push(text.to_vec());
    }
}

pub fn line(host: u32, build: BuildId) -> Endpoint {
    Endpoint {
        host: HostId(host),
        build: Some(build),
        cell: (host % 4) as u16,
        zone: ZoneId((host % 2) as u16),
        state: EndpointState::Ready,
        size: 1.0,
        started_at: None,
    }
}

pub fn news(build: BuildId, stage: u8, standing: RolloutState, cap: f64) -> RolloutStatus {
    RolloutStatus {
        build,
        stage,
        state: standing,
        exposure_cap: cap,
        age: 0,
    }
}

/// Checks nothing and keeps only what it is asked to send: for commands that no ledger knows.
#[derive(Default)]
pub struct Quiet {
    pub sent: Vec<CommandId>,
}

impl Egress for Quiet {
    fn deliver(&mut self, cmd: CommandId, _: HostId, _: Option<Micros>) {
        self.sent.push(cmd);
    }
    fn nack(&mut self, _: CommandId, _: Option<Micros>) {}
    fn fail(&mut self, _: CommandId) {}
    fn cancel(&mut self, _: CommandId, _: u8) {}
    fn wake(&mut self, _: Micros) {}
    fn vote(&mut self, _: BuildId, _: u8, _: RolloutVote) {}
    fn probe(&mut self, _: HostId) {}
    fn watch_list(&mut self) {}
    fn fetch_list(&mut self) {}
    fn gossip(&mut self, _: Option<u32>, _: &[u8]) {}
}
