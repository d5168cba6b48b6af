//! An [`Egress`] that records the router's calls and checks the five rules at each of them.

use std::collections::BTreeMap;

use super::tracking::*;
use super::*;

/// Time after its deadline within which a command must still be answered.
const ANSWER_SLACK: Micros = 20 * MS;

/// The inputs given to the router and the outputs it has made, which the rules are checked against.
pub(crate) struct RuleChecker {
    pub(crate) now: Micros,
    pub(crate) config: ServiceConfig,
    pub(crate) endpoints: BTreeMap<HostId, Endpoint>,
    pub(crate) commands: BTreeMap<CommandId, TrackedCommand>,
    pub(crate) status: Option<RolloutStatus>,
    pub(crate) votes: Vec<CastVote>,
    pub(crate) nacks: Vec<Nack>,
    pub(crate) fails: Vec<CommandId>,
    pub(crate) list_requests: u32,
    pub(crate) gossip: Vec<Vec<u8>>,
    pub(crate) wake_at: Micros,
    pub(super) received: Vec<Received>,
    pub(super) exposed: Vec<Exposed>,
    pub(super) answered_by: BTreeMap<Key, BuildId>,
    pub(super) since_start: BTreeMap<HostId, SinceStart>,
}

pub(super) fn is_rolled_back(state: RolloutState) -> bool {
    matches!(state, RolloutState::RollingBack | RolloutState::Withdrawn)
}

impl RuleChecker {
    /// Returns a new router and its checker.
    pub(crate) fn start(config: ServiceConfig, seed: u64) -> (Router, RuleChecker) {
        let mut checker = RuleChecker {
            now: 100 * SECOND,
            config,
            endpoints: BTreeMap::new(),
            commands: BTreeMap::new(),
            status: None,
            votes: Vec::new(),
            nacks: Vec::new(),
            fails: Vec::new(),
            list_requests: 0,
            gossip: Vec::new(),
            wake_at: Micros::MAX,
            received: Vec::new(),
            exposed: Vec::new(),
            answered_by: BTreeMap::new(),
            since_start: BTreeMap::new(),
        };
        let config = checker.config.clone();
        let router = Router::new(&config, seed, checker.now, &mut checker);
        (router, checker)
    }

    /// Sends the router a host list.
    pub(crate) fn send_list(
        &mut self,
        router: &mut Router,
        kind: ListKind,
        endpoints: &[Endpoint],
    ) {
        for endpoint in endpoints {
            let before = self.endpoints.insert(endpoint.host, *endpoint);
            let is_new_process = before.is_none_or(|before| {
                before.started_at != endpoint.started_at || before.build != endpoint.build
            });
            if is_new_process {
                self.since_start
                    .insert(endpoint.host, SinceStart::default());
            }
        }
        if kind != ListKind::Changes {
            let is_listed = |host: &HostId| endpoints.iter().any(|endpoint| endpoint.host == *host);
            self.endpoints
                .iter_mut()
                .filter(|(host, _)| !is_listed(host))
                .for_each(|(_, endpoint)| endpoint.state = EndpointState::Gone);
        }
        router
            .set_time(self.now)
            .on_endpoints(kind, endpoints, self);
    }

    /// Sends the router a rollout status.
    pub(crate) fn announce(&mut self, router: &mut Router, status: RolloutStatus) {
        self.status = Some(status);
        // Rule 5 binds keys only to the newest announced build, on trial or released, and to later
        // ones.
        let rolled_back = is_rolled_back(status.state);
        self.answered_by
            .retain(|_, build| *build > status.build || *build == status.build && !rolled_back);
        router.set_time(self.now).on_rollout_status(status, self);
    }

    /// Sends the router a command.
    pub(crate) fn command(
        &mut self,
        router: &mut Router,
        id: u32,
        operation: usize,
        key: u64,
        time_left: Micros,
    ) {
        let received = Received {
            at: self.now,
            slot: self.slot(operation),
        };
        self.received.push(received);
        let command = TrackedCommand {
            operation,
            key: Key(key),
            deadline: self.now + time_left,
            answered: false,
            deliveries: Vec::new(),
        };
        self.commands.insert(CommandId(id), command);
        router.set_time(self.now).on_command(
            CommandId(id),
            OpType(operation as u16),
            TenantId(id % 3),
            Key(key),
            time_left,
            self,
        );
    }

    pub(super) fn slot(&self, operation: usize) -> usize {
        if self.config.exposure_by_op {
            operation
        } else {
            0
        }
    }

    /// Returns the open deliveries: the command, and the index among its deliveries.
    pub(crate) fn open(&self) -> Vec<(CommandId, usize)> {
        let all = self.commands.iter().flat_map(|(id, command)| {
            let deliveries = command.deliveries.iter().enumerate();
            deliveries.map(move |(index, delivery)| (*id, index, delivery))
        });
        all.filter(|(_, _, delivery)| delivery.open)
            .map(|(id, index, _)| (id, index))
            .collect()
    }

    /// Ends a delivery with the given outcome and reports it to the router.
    pub(crate) fn end_delivery(
        &mut self,
        router: &mut Router,
        id: CommandId,
        index: usize,
        outcome: AttemptOutcome,
    ) {
        let command = self
            .commands
            .get_mut(&id)
            .expect("a delivery belongs to a tracked command");
        let delivery = &mut command.deliveries[index];
        delivery.open = false;
        let took = self.now - delivery.at;
        delivery.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::NotConnected | AttemptOutcome::NotSent
        );
        let delivery = *delivery;
        command.answered |= outcome == AttemptOutcome::Acked;
        let answered = command.answered;
        let key = command.key;
        let build = self.endpoints[&delivery.host]
            .build
            .expect("the host is listed with its build");
        let since = self.since_start.entry(delivery.host).or_default();
        since.in_flight = since.in_flight.saturating_sub(1);
        if outcome == AttemptOutcome::Acked {
            since.acked += 1;
        }
        // An answer counts as soon as the host may have written it, even if it was not received.
        // Commands that failed with an error or never ran have no answer.
        if delivery.may_have_run && outcome != AttemptOutcome::Error {
            self.bind_key(key, build);
        }
        router.set_time(self.now).on_attempt_outcome(
            id,
            index as u8,
            outcome,
            took,
            answered,
            self,
        );
    }

    fn bind_key(&mut self, key: Key, build: BuildId) {
        let is_ended = self.status.is_some_and(|status| {
            status.build > build || status.build == build && is_rolled_back(status.state)
        });
        if key.0 != 0 && !is_ended {
            let newest = self.answered_by.entry(key).or_insert(build);
            *newest = build.max(*newest);
        }
    }

    /// Advances the time by `span`: wakes the router when it asked for it, and times out deliveries
    /// at the client's deadline.
    pub(crate) fn advance(&mut self, router: &mut Router, span: Micros) {
        let to = self.now + span;
        while self.now < to {
            self.now = (self.now + 5 * MS).min(to);
            if self.now >= self.wake_at {
                self.wake_at = Micros::MAX;
                router.set_time(self.now).on_timer(self);
            }
            for (id, index) in self.open() {
                if self.commands[&id].deadline <= self.now {
                    self.end_delivery(router, id, index, AttemptOutcome::TimedOut);
                }
            }
            let overdue = self.commands.iter().find(|(_, command)| {
                !command.answered && self.now > command.deadline + ANSWER_SLACK
            });
            assert!(
                overdue.is_none(),
                "rule 1: command not answered by its deadline, at {}: {overdue:?}",
                self.now
            );
        }
    }

    fn answer(&mut self, id: CommandId, is_nack: bool) {
        let command = self
            .commands
            .get_mut(&id)
            .expect("the answered command was sent to the router");
        assert!(
            !command.answered,
            "rule 1: second final answer to {id:?}: {command:?}"
        );
        assert!(
            self.now <= command.deadline + ANSWER_SLACK,
            "rule 1: final answer to {id:?} at {}, after its deadline {}",
            self.now,
            command.deadline
        );
        command.answered = true;
        let operation = &self.config.ops[command.operation];
        let may_have_run = command.may_have_run();
        let may_nack = match operation.repeat {
            Repeat::Idempotent => true,
            Repeat::Deduplicated => {
                !may_have_run || operation.deduplication_scope == DeduplicationScope::All
            }
            Repeat::AtMostOnce => !may_have_run,
        };
        assert!(
            !is_nack || may_nack,
            "rule 2: nack of {id:?}, which may have run and cannot be repeated: {command:?}"
        );
    }
}

impl Egress for RuleChecker {
    fn deliver(&mut self, id: CommandId, host: HostId, _until: Option<Micros>) {
        let endpoint = self.endpoints[&host];
        let command = self
            .commands
            .get(&id)
            .expect("the delivered command was sent to the router");
        self.check_repeat(command, &endpoint);
        assert_eq!(
            endpoint.state,
            EndpointState::Ready,
            "rule 3: {id:?} sent to {host:?}, which is not ready"
        );
        let operation = command.operation;
        let key = command.key;
        let delivery = SentDelivery {
            host,
            at: self.now,
            open: true,
            may_have_run: true,
        };
        let command = self.commands.get_mut(&id).expect("looked up above");
        command.deliveries.push(delivery);
        self.check_cold_host(&endpoint);
        let build = endpoint.build.expect("the host is listed with its build");
        self.check_build(operation, key, build);
    }

    fn nack(&mut self, id: CommandId, retry_after: Option<Micros>) {
        self.answer(id, true);
        self.nacks.push(Nack {
            command: id,
            retry_after,
        });
    }

    fn fail(&mut self, id: CommandId) {
        self.answer(id, false);
        self.fails.push(id);
    }

    fn cancel(&mut self, id: CommandId, delivery: u8) {
        assert!(
            self.commands[&id].deliveries.len() > usize::from(delivery),
            "cancel of delivery {delivery} of {id:?}, which was never sent"
        );
    }

    fn wake(&mut self, at: Micros) {
        self.wake_at = self.wake_at.min(at);
    }

    fn vote(&mut self, build: BuildId, stage: u8, vote: RolloutVote) {
        let is_valid = match self.config.gate {
            Gate::Clocked => vote != RolloutVote::Promote,
            Gate::Single | Gate::Majority => vote != RolloutVote::Hold,
        };
        assert!(
            is_valid,
            "vote {vote:?} on {build:?} is not valid with gate {:?}",
            self.config.gate
        );
        self.votes.push(CastVote { build, stage, vote });
    }

    fn probe(&mut self, _host: HostId) {}

    fn watch_list(&mut self) {
        self.list_requests += 1;
    }

    fn fetch_list(&mut self) {
        self.list_requests += 1;
    }

    fn gossip(&mut self, _router: Option<u32>, text: &[u8]) {
        assert!(
            text.len() <= 256,
            "gossip message of {} bytes, expected at most 256",
            text.len()
        );
        self.gossip.push(text.to_vec());
    }
}
