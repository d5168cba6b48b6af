//! Seeded random scenarios: a router among hosts that come, drain, die and return with other builds, under trials,
//! send-backs, outages and overload. Every output goes into a digest in its order, so that two versions of the
//! module with equal digests have made the same choices.

#![allow(dead_code)] // each test program uses its own part

use std::collections::{BTreeMap, BTreeSet};

use spokeflow_core::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MS;
const FIRST_BUILD: u16 = 3;
const ZONES: u16 = 3;
const CELLS: u16 = 5;
const KEYS: u64 = 400;
const TENANTS: u32 = 4;
/// All dyadic: their sums are exact in any order.
const SIZES: [f64; 4] = [0.5, 1.0, 1.0, 4.0];

/// What one run is played with.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub seed: u64,
    pub hosts: u32,
    pub fleet_size: u32,
    pub gate: Gate,
    pub forward_only: bool,
    pub rolling: bool,
    pub commands_per_second: u32,
    pub length: Micros,
}

/// Numbers drawn independently of the module's own generator.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// From 0 up to but not including `bound`, which is above 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    pub fn between(&mut self, from: Micros, to: Micros) -> Micros {
        from + self.below((to - from) as u64) as Micros
    }

    pub fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}

/// How often each kind of output came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub deliveries: u64,
    pub further_deliveries: u64,
    pub nacks: u64,
    pub fails: u64,
    pub cancels: u64,
    pub votes: u64,
}

/// Hashes every output in its order (FNV-1a) and keeps what the world has to answer.
#[derive(Default)]
pub struct Recorder {
    hash: u64,
    pub counts: Counts,
    sent: BTreeMap<CommandId, u8>,
    delivered: Vec<(CommandId, u8, HostId)>,
    cancelled: Vec<(CommandId, u8)>,
    voted: u32,
    wake_at: Option<Micros>,
}

impl Recorder {
    fn record(&mut self, fields: &[u64]) {
        let bytes = fields.iter().flat_map(|field| field.to_le_bytes());
        self.hash = bytes.fold(self.hash, |hash, b| {
            (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        });
    }
}

impl Egress for Recorder {
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>) {
        let nth = self.sent.entry(cmd).or_default();
        self.delivered.push((cmd, *nth, host));
        self.counts.deliveries += 1;
        self.counts.further_deliveries += u64::from(*nth > 0);
        *nth += 1;
        self.record(&[
            1,
            u64::from(cmd.0),
            u64::from(host.0),
            until.unwrap_or(-1) as u64,
        ]);
    }

    fn nack(&mut self, cmd: CommandId, come_back: Option<Micros>) {
        self.counts.nacks += 1;
        self.record(&[2, u64::from(cmd.0), come_back.unwrap_or(-1) as u64]);
    }

    fn fail(&mut self, cmd: CommandId) {
        self.counts.fails += 1;
        self.record(&[3, u64::from(cmd.0)]);
    }

    fn cancel(&mut self, cmd: CommandId, delivery: u8) {
        self.counts.cancels += 1;
        self.cancelled.push((cmd, delivery));
        self.record(&[4, u64::from(cmd.0), u64::from(delivery)]);
    }

    fn wake(&mut self, at: Micros) {
        self.wake_at = Some(self.wake_at.map_or(at, |before| before.min(at)));
        self.record(&[5, at as u64]);
    }

    fn vote(&mut self, build: BuildId, stage: u8, verdict: RolloutVote) {
        self.counts.votes += 1;
        self.voted += 1;
        self.record(&[6, u64::from(build.0), u64::from(stage), verdict as u64]);
    }

    fn probe(&mut self, host: HostId) {
        self.record(&[7, u64::from(host.0)]);
    }

    fn watch_list(&mut self) {
        self.record(&[8]);
    }

    fn fetch_list(&mut self) {
        self.record(&[9]);
    }

    fn gossip(&mut self, _: Option<u32>, text: &[u8]) {
        self.record(&[10, text.len() as u64]);
    }
}

/// What is wrong for a while, beside single hosts' faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// No new connection into one zone.
    ZoneAway(u16),
    /// Every fifth host answers nothing.
    Hangs,
    /// One op type takes ten times as long everywhere.
    SlowOp(usize),
    /// No host takes a connection.
    AllAway,
    /// The build on trial errs in half of all cases.
    BadBuild,
}

pub struct World {
    setting: Setting,
    random: Random,
    now: Micros,
    pub router: Router,
    out: Recorder,
    terms: ServiceConfig,
    lines: Vec<Endpoint>,
    ops: Vec<usize>,
    /// What falls due, in order: the end of a delivery, or none for a wake-up.
    due: BTreeSet<(Micros, u32, u8, u32)>,
    news: Option<RolloutStatus>,
    trouble: Trouble,
    commands: u32,
}

impl World {
    pub fn new(setting: Setting) -> Self {
        let now = 50 * SECOND;
        let (terms, mut out) = (terms(&setting), Recorder::default());
        let router = Router::new(&terms, setting.seed, now, &mut out);
        let mut random = Random::new(setting.seed);
        let lines = (0..setting.hosts)
            .map(|host| first_line(host, &mut random))
            .collect();
        World {
            setting,
            random,
            now,
            router,
            out,
            terms,
            lines,
            ops: Vec::new(),
            due: BTreeSet::new(),
            news: None,
            trouble: Trouble::None,
            commands: 0,
        }
    }

    /// Plays the run to its end and answers with the digest of all outputs.
    pub fn play(&mut self) -> (u64, Counts) {
        self.play_watched(|_| ())
    }

    /// As [`World::play`]; `look` is called after each step.
    pub fn play_watched(&mut self, mut look: impl FnMut(&World)) -> (u64, Counts) {
        let lines = self.lines.clone();
        self.router
            .set_time(self.now)
            .on_endpoints(ListKind::Cached, &lines, &mut self.out);
        let to = self.now + self.setting.length;
        while self.now < to {
            self.step();
            look(self);
        }
        (self.out.hash, self.out.counts)
    }

    /// Deliveries that are out to a host.
    pub fn open_at(&self, host: HostId) -> usize {
        self.due.iter().filter(|due| due.3 == host.0).count()
    }

    fn step(&mut self) {
        let gap = Micros::from(2 * SECOND as u32 / self.setting.commands_per_second);
        let until = self.now + self.random.between(1, gap + 1);
        while let Some(&(at, cmd, nth, host)) = self.due.first().filter(|due| due.0 <= until) {
            self.due.pop_first();
            self.now = self.now.max(at);
            self.finish(CommandId(cmd), nth, host);
        }
        while let Some(at) = self.out.wake_at.filter(|at| *at <= until) {
            self.out.wake_at = None;
            self.now = self.now.max(at);
            self.router.set_time(self.now).on_timer(&mut self.out);
            self.take_outputs();
        }
        self.now = until;
        self.command();
        let per_second = u64::from(self.setting.commands_per_second);
        if self.random.one_in(per_second / 4) {
            self.change_hosts();
        }
        // From a second to five for each stage: some trials end before the lane has grown, some after.
        if self.random.one_in(per_second * (1 + self.setting.seed % 5)) {
            self.tell_news();
        }
        if self.random.one_in(2 * per_second) {
            let (zone, op) = (
                self.random.below(ZONES.into()) as u16,
                self.random.below(4) as usize,
            );
            let troubles = [
                Trouble::None,
                Trouble::None,
                Trouble::ZoneAway(zone),
                Trouble::Hangs,
                Trouble::SlowOp(op),
                Trouble::AllAway,
                Trouble::BadBuild,
            ];
            self.trouble = self.random.pick(&troubles);
        }
        if self.random.one_in(10) {
            self.say_something_else();
        }
        self.take_outputs();
    }

    fn command(&mut self) {
        self.commands += 1;
        let op = self.random.below(4) as usize;
        let key = if self.random.one_in(8) {
            0
        } else {
            1 + self.random.below(KEYS)
        };
        let left = self.random.between(100 * MS, 3 * SECOND);
        let share = TenantId(self.random.below(u64::from(TENANTS) + 1) as u32);
        let (id, kind) = (CommandId(self.commands), OpType(op as u16));
        self.ops.push(op);
        self.router
            .set_time(self.now)
            .on_command(id, kind, share, Key(key), left, &mut self.out);
        self.take_outputs();
    }

    /// Settles how and when each new delivery ends.
    fn take_outputs(&mut self) {
        for (cmd, nth, host) in std::mem::take(&mut self.out.delivered) {
            let at = self.now + self.duration(cmd, host);
            self.due.insert((at, cmd.0, nth, host.0));
        }
        for (cmd, nth) in std::mem::take(&mut self.out.cancelled) {
            let open = self
                .due
                .iter()
                .find(|due| (due.1, due.2) == (cmd.0, nth))
                .copied();
            let Some(open) = open.filter(|_| self.random.one_in(2)) else {
                continue;
            };
            self.due.remove(&open);
            let took = self.random.between(10 * MS, 300 * MS);
            let end = AttemptOutcome::Cancelled;
            self.router.set_time(self.now).on_attempt_outcome(
                cmd,
                nth,
                end,
                took,
                false,
                &mut self.out,
            );
        }
        for _ in 0..std::mem::take(&mut self.out.voted) {
            use VoteOutcome::*;
            let answer = self.random.pick(&[
                Counted,
                Counted,
                Counted,
                Stale,
                RateLimited,
                Refused,
                NoResponse,
            ]);
            self.router.set_time(self.now).on_vote_outcome(answer);
        }
    }

    fn away(&self, host: u32) -> bool {
        match self.trouble {
            Trouble::ZoneAway(zone) => self.lines[host as usize].zone.0 == zone,
            Trouble::AllAway => true,
            _ => self.lines[host as usize].state == EndpointState::Gone,
        }
    }

    fn duration(&mut self, cmd: CommandId, host: HostId) -> Micros {
        let usual = self.random.between(20 * MS, 140 * MS);
        let op = self.ops[cmd.0 as usize - 1];
        match self.trouble {
            _ if self.away(host.0) => 2 * MS,
            Trouble::Hangs if host.0.is_multiple_of(5) => 2 * SECOND,
            Trouble::SlowOp(slow) if slow == op => 10 * usual,
            _ => usual,
        }
    }

    fn finish(&mut self, cmd: CommandId, nth: u8, host: u32) {
        use AttemptOutcome::*;
        let on_trial = self.lines[host as usize].build > Some(BuildId(FIRST_BUILD));
        let end = match self.trouble {
            _ if self.away(host) => self.random.pick(&[NotConnected, NotConnected, Reset]),
            Trouble::Hangs if host.is_multiple_of(5) => TimedOut,
            Trouble::BadBuild if on_trial && self.random.one_in(2) => Error,
            _ if self.random.one_in(30) => self
                .random
                .pick(&[Error, Rejected, TimedOut, Reset, NotSent, Error]),
            _ => Acked,
        };
        let took = self.random.between(20 * MS, 140 * MS) * if end == TimedOut { 20 } else { 1 };
        self.router.set_time(self.now).on_attempt_outcome(
            cmd,
            nth,
            end,
            took,
            end == Acked,
            &mut self.out,
        );
        self.take_outputs();
    }

    /// One host drains, goes, or comes back with a build and a start of its own; sometimes the whole list comes.
    fn change_hosts(&mut self) {
        let many = if self.random.one_in(12) {
            1 + self.setting.hosts / 3
        } else {
            1
        };
        let newest = self.news.map_or(BuildId(FIRST_BUILD), |n| n.build);
        let mut changed = Vec::new();
        for _ in 0..many {
            let h = self.random.below(u64::from(self.setting.hosts)) as usize;
            let (fresh, other) = (!self.random.one_in(4), self.random.one_in(2));
            let started = Some(self.now - self.random.between(0, 3 * SECOND));
            let line = &mut self.lines[h];
            line.state = match line.state {
                EndpointState::Ready if other => EndpointState::Draining,
                EndpointState::Ready | EndpointState::Draining => EndpointState::Gone,
                EndpointState::Gone => EndpointState::Ready,
            };
            if line.state == EndpointState::Ready {
                line.started_at = if fresh { started } else { line.started_at };
                line.build = Some(if other {
                    newest
                } else {
                    BuildId(newest.0.max(FIRST_BUILD + 1) - 1)
                });
                line.size = self.random.pick(&SIZES);
            }
            changed.push(*line);
        }
        match self.random.below(10) {
            0 => {
                let listed = |line: &&Endpoint| line.state != EndpointState::Gone;
                let whole: Vec<Endpoint> = self.lines.iter().filter(listed).copied().collect();
                self.router.set_time(self.now).on_endpoints(
                    ListKind::Complete,
                    &whole,
                    &mut self.out,
                );
            }
            1 => {
                let untold: Vec<Endpoint> = changed
                    .iter()
                    .map(|l| Endpoint { build: None, ..*l })
                    .collect();
                self.router.set_time(self.now).on_endpoints(
                    ListKind::Changes,
                    &untold,
                    &mut self.out,
                );
            }
            _ => self.router.set_time(self.now).on_endpoints(
                ListKind::Changes,
                &changed,
                &mut self.out,
            ),
        }
    }

    /// A release goes on by a stage, is sent back, or the next one begins.
    fn tell_news(&mut self) {
        use RolloutState::*;
        let caps = [0.1, 0.4, 1.0];
        let first = RolloutStatus {
            build: BuildId(FIRST_BUILD),
            stage: 2,
            state: Released,
            exposure_cap: 1.0,
            age: 0,
        };
        let next = match self.news {
            None => first,
            Some(n) if n.state == Canary && n.stage < 2 && !self.random.one_in(5) => {
                let stage = n.stage + 1;
                RolloutStatus {
                    stage,
                    exposure_cap: caps[usize::from(stage)],
                    ..n
                }
            }
            Some(n) if n.state == Canary && n.stage == 2 => RolloutStatus {
                state: Released,
                ..n
            },
            Some(n) if n.state == Canary => RolloutStatus {
                state: RollingBack,
                exposure_cap: 0.0,
                ..n
            },
            Some(n) if n.state == RollingBack => RolloutStatus {
                state: Withdrawn,
                ..n
            },
            Some(n) => RolloutStatus {
                build: BuildId(n.build.0 + 1),
                stage: 0,
                state: Canary,
                exposure_cap: caps[0],
                age: 0,
            },
        };
        let news = RolloutStatus {
            age: self.random.between(0, SECOND),
            ..next
        };
        self.news = Some(news);
        self.router
            .set_time(self.now)
            .on_rollout_status(news, &mut self.out);
    }

    fn say_something_else(&mut self) {
        let host = HostId(self.random.below(u64::from(self.setting.hosts)) as u32);
        match self.random.below(40) {
            0 => self.router.set_time(self.now).on_list_failure(),
            1 => {
                let since = self.random.between(0, 5 * SECOND);
                self.router.set_time(self.now).on_wrong_answer(host, since);
            }
            2 => {
                let warm_within = self.random.between(SECOND, 5 * SECOND);
                self.terms = ServiceConfig {
                    warm_up_time: warm_within,
                    ..self.terms.clone()
                };
                self.router.set_time(self.now).reconfigure(&self.terms);
            }
            3..=6 => {
                let cmd = CommandId(1 + self.random.below(u64::from(self.commands)) as u32);
                self.router.set_time(self.now).finish(cmd, &mut self.out);
            }
            7..=10 => {
                let open = self.due.iter().nth(self.random.below(8) as usize).copied();
                if let Some((_, cmd, nth, _)) = open {
                    self.router
                        .set_time(self.now)
                        .on_response_started(CommandId(cmd), nth);
                }
            }
            11..=16 => {
                let sampled = self.random.below(20) as u32;
                let count = ControllerStats {
                    build: BuildId(FIRST_BUILD + self.random.below(4) as u16),
                    op: OpType(self.random.below(4) as u16),
                    sampled,
                    failed: sampled / 8,
                    mean_latency: self.random.between(30 * MS, 120 * MS),
                    age: self.random.between(0, 2 * SECOND),
                };
                self.router.set_time(self.now).on_controller_stats(count);
            }
            _ => {
                let busy = self.random.below(100) as f64 / 100.0;
                self.router.set_time(self.now).on_load_report(host, busy);
            }
        }
    }
}

fn first_line(host: u32, random: &mut Random) -> Endpoint {
    Endpoint {
        host: HostId(host),
        build: Some(BuildId(FIRST_BUILD)),
        cell: (host % u32::from(CELLS)) as u16,
        zone: ZoneId((host % u32::from(ZONES)) as u16),
        state: EndpointState::Ready,
        size: random.pick(&SIZES),
        started_at: None,
    }
}

fn terms(setting: &Setting) -> ServiceConfig {
    let op = |repeat, repeat_scope| OperationConfig {
        repeat,
        deduplication_scope: repeat_scope,
        deduplication_window: 900 * MS,
        latency_objective: 600 * MS,
        command_timeout: 2 * SECOND,
        priority_weight: 1.0,
        streaming: false,
    };
    let odd = setting.seed % 2 == 1;
    ServiceConfig {
        ops: vec![
            op(Repeat::Idempotent, DeduplicationScope::Unknown),
            op(Repeat::Deduplicated, DeduplicationScope::Cell),
            op(Repeat::AtMostOnce, DeduplicationScope::Unknown),
            op(
                Repeat::Deduplicated,
                if odd {
                    DeduplicationScope::Zone
                } else {
                    DeduplicationScope::All
                },
            ),
        ],
        tenant_quotas: vec![
            f64::from(setting.commands_per_second) / f64::from(TENANTS);
            TENANTS as usize
        ],
        own_zone: ZoneId(0),
        own_index: (setting.seed % 7) as u32,
        fleet_size: setting.fleet_size,
        tick: 5 * MS,
        list_requires_subscription: odd,
        list_refresh_within: 10 * SECOND,
        delivery_cap: 4,
        may_hedge: odd,
        may_cancel: true,
        may_probe: false,
        may_gossip: true,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: 250 * MS,
        slow_start_from: 0.5,
        warm_up_time: 3 * SECOND,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        gate: setting.gate,
        stage_caps: vec![0.1, 0.4, 1.0],
        stage_shares: vec![0.1, 0.4, 1.0],
        exposure_allowance: 2.0,
        exposure_window: 4 * SECOND,
        exposure_by_op: odd,
        guarded_stages: u8::from(odd),
        forward_only: setting.forward_only,
        rolling: setting.rolling,
        stage_bake: SECOND,
        vote_lifetime: 6 * SECOND,
        vote_timeout: 2 * SECOND,
        complaint_share: 0.2,
        rollback_votes: if setting.gate == Gate::Majority {
            setting.fleet_size / 5 + 1
        } else {
            0
        },
        votes_per_second: 1_000.0,
    }
}
