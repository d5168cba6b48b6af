//! Traffic through one [`Router`] in simulated time: commands at a constant rate, each answered
//! after a fixed time, and the wake-ups that the router requests. Used by the benchmarks and by
//! `examples/replay.rs`.

#![allow(dead_code)] // each program uses only some of the items

use std::collections::VecDeque;

use spokeflow_core::*;

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000 * MILLISECOND;
pub(crate) const COMMANDS_PER_SECOND: Micros = 300;
pub(crate) const ANSWER_AFTER: Micros = 150 * MILLISECOND;
/// The interval at which the router requests its wake-ups.
pub(crate) const WAKE_INTERVAL: Micros = 20 * MILLISECOND;
const COMMAND_TIMEOUT: Micros = 4 * SECOND;
const KEYS: u32 = 5_000;
const TENANTS: u32 = 4;
const ZONES: u32 = 3;
pub(crate) const EARLIER_BUILD: BuildId = BuildId(1);
const CANARY_BUILD: BuildId = BuildId(2);

/// The state of the hosts and their builds while the traffic runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// All hosts run one build, and no rollout status has arrived.
    Unannounced,
    /// All hosts run one released build and are warm.
    Steady,
    /// A quarter of the hosts run a canary build.
    Canary,
    /// A tenth of the hosts have just started and stay cold during the measurement.
    Cold,
    /// A tenth of the hosts are draining.
    Draining,
    /// Ten times per second a host starts to drain and the one that drained before becomes ready.
    Changing,
    /// As `Steady`, with one router of a fleet of 300.
    Fleet,
}

impl Phase {
    pub(crate) const ALL: [Phase; 7] = [
        Phase::Unannounced,
        Phase::Steady,
        Phase::Canary,
        Phase::Cold,
        Phase::Draining,
        Phase::Changing,
        Phase::Fleet,
    ];

    /// The name on the command line and in the results.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Phase::Unannounced => "unannounced",
            Phase::Steady => "quiet",
            Phase::Canary => "trial",
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

/// Records the deliveries that the router requests, and counts the commands that it refuses.
#[derive(Default)]
pub(crate) struct OutputRecorder {
    pub(crate) deliveries: Vec<CommandId>,
    refused: u64,
}

impl Egress for OutputRecorder {
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
    out: OutputRecorder,
    now: Micros,
    commands: u32,
    next_wake: Micros,
    /// Open deliveries with the times of their answers, oldest first.
    pending_answers: VecDeque<(Micros, CommandId)>,
    draining_host: u32,
    next_change: Micros,
}

impl Traffic {
    pub(crate) fn start(phase: Phase, hosts: u32) -> Self {
        let now = 1_000 * SECOND;
        let mut out = OutputRecorder::default();
        let mut router = Router::new(&service_config(phase), 1, now, &mut out);
        if phase != Phase::Unannounced {
            router.set_time(now).on_rollout_status(
                rollout_status(EARLIER_BUILD, RolloutState::Released, 1.0),
                &mut out,
            );
        }
        let endpoints: Vec<Endpoint> = (0..hosts)
            .map(|host| host_endpoint(phase, host, now))
            .collect();
        router
            .set_time(now)
            .on_endpoints(ListKind::Complete, &endpoints, &mut out);
        if phase == Phase::Canary {
            router.set_time(now).on_rollout_status(
                rollout_status(CANARY_BUILD, RolloutState::Canary, 0.35),
                &mut out,
            );
        }
        Traffic {
            phase,
            hosts,
            router,
            out,
            now,
            commands: 0,
            next_wake: now + WAKE_INTERVAL,
            pending_answers: VecDeque::new(),
            draining_host: 0,
            next_change: now,
        }
    }

    /// Number of commands sent so far.
    pub(crate) fn commands(&self) -> u32 {
        self.commands
    }

    /// Number of commands nacked or failed so far.
    pub(crate) fn refused(&self) -> u64 {
        self.out.refused
    }

    /// Sends one command, after the answers, wake-ups and list changes that are due before it.
    pub(crate) fn send_command(&mut self) {
        let until = self.now + SECOND / COMMANDS_PER_SECOND;
        loop {
            let answer_at = self
                .pending_answers
                .front()
                .map_or(Micros::MAX, |(at, _)| *at);
            let next = answer_at.min(self.next_wake);
            if next > until {
                break;
            }
            self.now = next;
            if next == answer_at {
                self.deliver_answer();
            } else {
                self.next_wake += WAKE_INTERVAL;
                self.wake_router();
            }
        }
        self.now = until;
        if self.phase == Phase::Changing && self.now >= self.next_change {
            self.change_hosts();
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
        self.schedule_answers();
    }

    /// Wakes the router at the present time.
    pub(crate) fn wake_router(&mut self) {
        self.router.set_time(self.now).on_timer(&mut self.out);
        self.schedule_answers();
    }

    fn deliver_answer(&mut self) {
        let Some((_, command)) = self.pending_answers.pop_front() else {
            return;
        };
        let outcome = AttemptOutcome::Acked;
        self.router.set_time(self.now).on_attempt_outcome(
            command,
            0,
            outcome,
            ANSWER_AFTER,
            true,
            &mut self.out,
        );
        self.schedule_answers();
    }

    fn schedule_answers(&mut self) {
        let at = self.now + ANSWER_AFTER;
        self.pending_answers
            .extend(self.out.deliveries.drain(..).map(|command| (at, command)));
    }

    fn change_hosts(&mut self) {
        self.next_change = self.now + SECOND / 10;
        let ready = host_endpoint(self.phase, self.draining_host, self.now);
        self.draining_host = (self.draining_host + 1) % self.hosts;
        let draining = Endpoint {
            state: EndpointState::Draining,
            ..host_endpoint(self.phase, self.draining_host, self.now)
        };
        self.router.set_time(self.now).on_endpoints(
            ListKind::Changes,
            &[ready, draining],
            &mut self.out,
        );
        self.schedule_answers();
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
    let is_canary = phase == Phase::Canary && host.is_multiple_of(4);
    let is_one_in_ten = host.is_multiple_of(10);
    Endpoint {
        host: HostId(host),
        build: Some(if is_canary {
            CANARY_BUILD
        } else {
            EARLIER_BUILD
        }),
        cell: (host % ZONES) as u16,
        zone: ZoneId((host % ZONES) as u16),
        state: if phase == Phase::Draining && is_one_in_ten {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        },
        size: 1.0,
        started_at: (phase == Phase::Cold && is_one_in_ten).then_some(now),
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
        // Longer than a measurement, so that cold hosts stay cold to its end.
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
