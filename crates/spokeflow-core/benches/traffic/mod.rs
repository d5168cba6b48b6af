//! Steady traffic through one [`Router`] in simulated time: commands at an even rate, each answered
//! after a fixed time, with the wake-ups that the module asks for. Used by the benchmarks and by
//! `examples/replay.rs`.

#![allow(dead_code)] // each program uses its own part

use std::collections::VecDeque;

use spokeflow_core::*;

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MILLISECOND;
pub(crate) const COMMANDS_PER_SECOND: Micros = 300;
pub(crate) const ANSWER_AFTER: Micros = 150 * MILLISECOND;
/// The interval at which the module asks for its timer.
pub(crate) const WAKE_INTERVAL: Micros = 20 * MILLISECOND;
const COMMAND_TIMEOUT: Micros = 4 * SECOND;
const KEYS: u32 = 5_000;
const TENANTS: u32 = 4;
const ZONES: u32 = 3;
pub(crate) const EARLIER: BuildId = BuildId(1);
const LATER: BuildId = BuildId(2);

/// What the hosts are and do while the traffic runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// One build, no status of it yet.
    Unannounced,
    /// One released build; all hosts have run for long.
    Quiet,
    /// A quarter of the hosts run a build on trial.
    Trial,
    /// A tenth of the hosts are fresh and stay so during the measurement.
    Cold,
    /// A tenth of the hosts drain.
    Draining,
    /// Ten hosts a second drain, and come back with the next ten.
    Changing,
    /// As quiet, for one router of 300.
    Fleet,
}

impl Phase {
    pub(crate) const ALL: [Phase; 7] = [
        Phase::Unannounced,
        Phase::Quiet,
        Phase::Trial,
        Phase::Cold,
        Phase::Draining,
        Phase::Changing,
        Phase::Fleet,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Phase::Unannounced => "unannounced",
            Phase::Quiet => "quiet",
            Phase::Trial => "trial",
            Phase::Cold => "cold",
            Phase::Draining => "draining",
            Phase::Changing => "changing",
            Phase::Fleet => "fleet",
        }
    }

    pub(crate) fn fleet_size(self) -> u32 {
        if self == Phase::Fleet {
            300
        } else {
            1
        }
    }
}

/// Records what the module sends and counts what it refuses.
#[derive(Default)]
pub(crate) struct Sent {
    pub(crate) deliveries: Vec<CommandId>,
    refused: u64,
}

impl Egress for Sent {
    fn deliver(&mut self, command: CommandId, _: HostId, _: Option<Micros>) {
        self.deliveries.push(command);
    }
    fn nack(&mut self, _: CommandId, _: Option<Micros>) {
        self.refused += 1;
    }
    fn fail(&mut self, _: CommandId) {
        self.refused += 1;
    }
    fn cancel(&mut self, _: CommandId, _: u8) {}
    fn wake(&mut self, _: Micros) {}
    fn vote(&mut self, _: BuildId, _: u8, _: RolloutVote) {}
    fn probe(&mut self, _: HostId) {}
    fn watch_list(&mut self) {}
    fn fetch_list(&mut self) {}
    fn gossip(&mut self, _: Option<u32>, _: &[u8]) {}
}

pub(crate) struct Traffic {
    phase: Phase,
    hosts: u32,
    router: Router,
    out: Sent,
    now: Micros,
    commands: u32,
    next_wake: Micros,
    /// Deliveries out, oldest first, with the time of the answer.
    due: VecDeque<(Micros, CommandId)>,
    draining: u32,
    next_change: Micros,
}

impl Traffic {
    pub(crate) fn start(phase: Phase, hosts: u32) -> Self {
        let now = 1_000 * SECOND;
        let mut out = Sent::default();
        let mut router = Router::new(&service_config(phase), 1, now, &mut out);
        if phase != Phase::Unannounced {
            router.set_time(now).on_rollout_status(
                rollout_status(EARLIER, RolloutState::Released, 1.0),
                &mut out,
            );
        }
        let lines: Vec<Endpoint> = (0..hosts)
            .map(|host| host_endpoint(phase, host, now))
            .collect();
        router
            .set_time(now)
            .on_endpoints(ListKind::Complete, &lines, &mut out);
        if phase == Phase::Trial {
            router
                .set_time(now)
                .on_rollout_status(rollout_status(LATER, RolloutState::Canary, 0.35), &mut out);
        }
        let due = VecDeque::new();
        Traffic {
            phase,
            hosts,
            router,
            out,
            now,
            commands: 0,
            next_wake: now + WAKE_INTERVAL,
            due,
            draining: 0,
            next_change: now,
        }
    }

    /// Commands given so far.
    pub(crate) fn commands(&self) -> u32 {
        self.commands
    }

    /// Commands nacked or failed so far.
    pub(crate) fn refused(&self) -> u64 {
        self.out.refused
    }

    /// Gives one command, after the answers, wake-ups and list changes that fall due before it.
    pub(crate) fn command(&mut self) {
        let until = self.now + SECOND / COMMANDS_PER_SECOND;
        loop {
            let answer = self.due.front().map_or(Micros::MAX, |(at, _)| *at);
            let next = answer.min(self.next_wake);
            if next > until {
                break;
            }
            self.now = next;
            if next == answer {
                self.answer();
            } else {
                self.next_wake += WAKE_INTERVAL;
                self.wake();
            }
        }
        self.now = until;
        if self.phase == Phase::Changing && self.now >= self.next_change {
            self.change();
        }
        self.commands += 1;
        let id = self.commands;
        let op = OpType((self.commands % 2) as u16);
        let tenant = TenantId(id % TENANTS);
        let key = Key(u64::from(1 + id % KEYS));
        self.router.set_time(self.now).on_command(
            CommandId(id),
            op,
            tenant,
            key,
            COMMAND_TIMEOUT,
            &mut self.out,
        );
        self.take_deliveries();
    }

    /// Wakes the module at the present time.
    pub(crate) fn wake(&mut self) {
        self.router.set_time(self.now).on_timer(&mut self.out);
        self.take_deliveries();
    }

    fn answer(&mut self) {
        let Some((_, command)) = self.due.pop_front() else {
            return;
        };
        let end = AttemptOutcome::Acked;
        self.router.set_time(self.now).on_attempt_outcome(
            command,
            0,
            end,
            ANSWER_AFTER,
            true,
            &mut self.out,
        );
        self.take_deliveries();
    }

    fn take_deliveries(&mut self) {
        let at = self.now + ANSWER_AFTER;
        self.due
            .extend(self.out.deliveries.drain(..).map(|command| (at, command)));
    }

    fn change(&mut self) {
        self.next_change = self.now + SECOND / 10;
        let back = host_endpoint(self.phase, self.draining, self.now);
        self.draining = (self.draining + 1) % self.hosts;
        let leaving = Endpoint {
            state: EndpointState::Draining,
            ..host_endpoint(self.phase, self.draining, self.now)
        };
        self.router.set_time(self.now).on_endpoints(
            ListKind::Changes,
            &[back, leaving],
            &mut self.out,
        );
        self.take_deliveries();
    }
}

pub(crate) fn rollout_status(build: BuildId, state: RolloutState, cap: f64) -> RolloutStatus {
    RolloutStatus {
        build,
        stage: 1,
        state,
        exposure_cap: cap,
        age: 0,
    }
}

pub(crate) fn host_endpoint(phase: Phase, host: u32, now: Micros) -> Endpoint {
    let later = phase == Phase::Trial && host.is_multiple_of(4);
    let tenth = host.is_multiple_of(10);
    Endpoint {
        host: HostId(host),
        build: Some(if later { LATER } else { EARLIER }),
        cell: (host % ZONES) as u16,
        zone: ZoneId((host % ZONES) as u16),
        state: if phase == Phase::Draining && tenth {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        },
        size: 1.0,
        started_at: (phase == Phase::Cold && tenth).then_some(now),
    }
}

pub(crate) fn service_config(phase: Phase) -> ServiceConfig {
    let op = |repeat| OperationConfig {
        repeat,
        deduplication_scope: DeduplicationScope::Unknown,
        deduplication_window: SECOND,
        latency_objective: SECOND,
        command_timeout: COMMAND_TIMEOUT,
        priority_weight: 1.0,
        streaming: false,
    };
    ServiceConfig {
        ops: vec![op(Repeat::Idempotent), op(Repeat::AtMostOnce)],
        tenant_quotas: vec![COMMANDS_PER_SECOND as f64 / f64::from(TENANTS); TENANTS as usize],
        own_zone: ZoneId(0),
        own_index: 0,
        fleet_size: phase.fleet_size(),
        tick: 5 * MILLISECOND,
        list_requires_subscription: false,
        list_refresh_within: 10 * SECOND,
        delivery_cap: 4,
        may_hedge: true,
        may_cancel: true,
        may_probe: false,
        may_gossip: false,
        may_name_retry_after: true,
        longest_retry_after: 2 * SECOND,
        drain_grace: 250 * MILLISECOND,
        slow_start_from: 0.5,
        // Hosts that are fresh at the start of a measurement are so at its end.
        warm_up_time: if phase == Phase::Cold {
            3_600 * SECOND
        } else {
            4 * SECOND
        },
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        gate: Gate::Clocked,
        stage_caps: vec![0.1, 0.35, 1.0],
        stage_shares: vec![0.1, 0.4, 1.0],
        exposure_allowance: 2.0,
        exposure_window: 4 * SECOND,
        exposure_by_op: false,
        guarded_stages: 0,
        forward_only: false,
        rolling: true,
        stage_bake: SECOND,
        vote_lifetime: 6 * SECOND,
        vote_timeout: 2 * SECOND,
        complaint_share: 0.2,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    }
}
