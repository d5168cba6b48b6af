//! The engine: takes inputs in order of time and dispatches each to the module that handles its kind.

mod commands;
mod deliveries;
mod endpoint_list;
mod lease;
mod release_controller;
mod timers;

use spokeflow_core::{CommandId, HostId, Micros, Router};

use crate::egress::EgressAdapter;
use crate::in_flight::InFlight;
use crate::time::bounded_micros;
use crate::{Counts, EngineConfig, Input, Transport};
use lease::LeaseState;
use release_controller::ReceivedUpdate;

/// One router without its sockets: the decision module, and the commands and deliveries in flight.
pub struct Engine {
    router: Router,
    in_flight: InFlight,
    config: EngineConfig,
    /// The lease granted last; `None` if the router follows no control plane: the initial configuration then stays in
    /// force.
    lease: Option<LeaseState>,
    /// The latest rollout update of the release controller; `None` before the first.
    rollout: Option<ReceivedUpdate>,
    /// Whether new commands are nacked because the router is shutting down.
    closing: bool,
}

impl Engine {
    /// Creates an engine at time `now`. `seed` is the seed of the decision module's random number generator.
    pub fn new(
        config: EngineConfig,
        seed: u64,
        now: Micros,
        transport: &mut dyn Transport,
    ) -> Self {
        let mut in_flight = InFlight {
            now,
            started_at: now,
            vote_timeout: config.service.vote_timeout.max(1),
            ..InFlight::default()
        };
        let egress = &mut EgressAdapter::new(&mut in_flight, transport);
        let router = Router::new(&config.service, seed, now, egress);
        let mut engine = Engine {
            router,
            in_flight,
            config,
            lease: None,
            rollout: None,
            closing: false,
        };
        engine.report_outcomes(transport);
        engine
    }

    /// Returns the totals since the engine was created.
    pub fn counts(&self) -> Counts {
        self.in_flight.counts
    }

    /// Returns the number of commands that have not been answered.
    pub fn waiting_commands(&self) -> usize {
        self.in_flight.answer_deadlines.len()
    }

    /// Returns the number of deliveries that have not ended.
    pub fn open_deliveries(&self) -> usize {
        self.in_flight.deliveries.len()
    }

    /// Sets the maximum number of keys whose builds the decision module remembers; see
    /// [`Router::set_max_sticky_keys`].
    pub fn set_max_sticky_keys(&mut self, max_keys: usize) {
        self.router.set_max_sticky_keys(max_keys);
    }

    /// Returns the number of keys whose builds the decision module remembers.
    pub fn sticky_keys(&self) -> usize {
        self.router.sticky_keys()
    }

    /// Sets the id under which the decision module gets the next command; ids that are in use are skipped. Tests use it
    /// to reach the wrap-around of ids.
    pub fn set_next_command_id(&mut self, id: u32) {
        self.in_flight.next_command = id;
    }

    /// Returns when [`Engine::on_timer`] is due, or [`Micros::MAX`] if nothing is scheduled.
    pub fn next_wake(&self) -> Micros {
        let in_flight = &self.in_flight;
        let due = [
            in_flight.timers.first().copied(),
            in_flight.delivery_deadlines.first().map(|first| first.at),
            in_flight.answer_deadlines.first().map(|first| first.at),
            in_flight.open_vote.map(|vote| vote.deadline),
            self.lease.as_ref().and_then(LeaseState::expires_at),
        ];
        due.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Handles an input that arrived at `now`.
    pub fn on_input(&mut self, now: Micros, input: Input, transport: &mut dyn Transport) {
        self.in_flight.now = self.in_flight.now.max(now);
        self.router.set_time(self.in_flight.now);
        self.check_lease(transport);
        self.dispatch(input, transport);
        self.report_outcomes(transport);
    }

    /// Runs the timers that are due. Must be called at [`Engine::next_wake`] or soon after.
    pub fn on_timer(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.on_input(now, Input::Timer, transport);
    }

    fn dispatch(&mut self, input: Input, transport: &mut dyn Transport) {
        match input {
            Input::Command { conn, command } => self.on_command(conn, command, transport),
            Input::Abandon { conn, id } => self.on_abandon(conn, id, transport),
            Input::ClientDisconnected { conn } => self.on_client_disconnected(conn, transport),
            Input::WrongAnswer { receipt, .. } => self.on_wrong_answer(receipt.into()),
            Input::WrongAnswerReport { host, sent_ago_us } => self
                .router
                .on_wrong_answer(HostId(host), bounded_micros(sent_ago_us)),
            Input::FromHost { host, message } => {
                self.on_host_message(HostId(host), message, transport);
            }
            Input::DeliveryFailed {
                host,
                delivery,
                failure,
            } => self.on_delivery_failed(HostId(host), delivery, failure.into(), transport),
            Input::FromList(message) => self.on_list_message(message, transport),
            Input::CachedList(endpoints) => self.on_cached_list(&endpoints, transport),
            Input::ListUnavailable => self.on_list_failure(),
            Input::FromController(message) => self.on_controller_message(message, transport),
            Input::ControllerUnavailable => self.end_unanswered_vote(),
            // The decision module does not use messages from other routers.
            Input::Gossip { .. } => {}
            Input::Lease { until, config } => self.on_lease(until, *config, transport),
            Input::ReplicatedList { complete, hosts } => {
                self.on_replicated_list(complete, hosts, transport);
            }
            Input::Close => self.closing = true,
            Input::AbortAll => self.abort_all(transport),
            Input::Timer => self.run_timers(transport),
        }
    }

    fn abort_all(&mut self, transport: &mut dyn Transport) {
        let deadlines = self.in_flight.answer_deadlines.iter();
        let unanswered: Vec<CommandId> = deadlines.map(|deadline| deadline.id).collect();
        for cmd in unanswered {
            let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
            self.router.abort(cmd, egress);
        }
    }

    /// Passes pending outcomes and send failures, which the decision module's own calls have caused, on to the decision
    /// module. An outcome may cause further ones; the loop ends because each ends a delivery and a command has few.
    fn report_outcomes(&mut self, transport: &mut dyn Transport) {
        while let Some(pending) = self.in_flight.pending_outcomes.pop_front() {
            self.finish_delivery(pending.delivery, pending.outcome, transport);
        }
        if std::mem::take(&mut self.in_flight.list_send_failed) {
            self.on_list_failure();
        }
        if std::mem::take(&mut self.in_flight.vote_send_failed) {
            self.on_vote_not_sent();
        }
    }
}
