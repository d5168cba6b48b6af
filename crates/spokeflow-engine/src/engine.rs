//! The engine: takes inputs in order of time and hands each to the module that handles its kind.

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
use release_controller::ReceivedStatus;

/// One router without its sockets: the decision module and all that is in flight.
pub struct Engine {
    router: Router,
    in_flight: InFlight,
    config: EngineConfig,
    /// `None` where no control plane is followed: then the configuration of the start stays.
    lease: Option<LeaseState>,
    /// The release controller's latest message on the rollout.
    rollout: Option<ReceivedStatus>,
    closing: bool,
}

impl Engine {
    /// `seed` starts the decision module's random numbers; times are microseconds of one clock that never goes back.
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

    /// Counted since the start.
    pub fn counts(&self) -> Counts {
        self.in_flight.counts
    }

    /// Commands that have not been answered.
    pub fn waiting_commands(&self) -> usize {
        self.in_flight.answer_deadlines.len()
    }

    /// Deliveries that have not ended.
    pub fn open_deliveries(&self) -> usize {
        self.in_flight.deliveries.len()
    }

    /// The next command gets this id of the decision module, or the first free one after it.
    pub fn skip_ids_to(&mut self, id: u32) {
        self.in_flight.next_command = id;
    }

    /// When [`Engine::on_timer`] is due.
    pub fn next_wake(&self) -> Micros {
        let in_flight = &self.in_flight;
        let due = [
            in_flight.timers.first().copied(),
            in_flight.delivery_deadlines.first().map(|first| first.at),
            in_flight.answer_deadlines.first().map(|first| first.at),
            in_flight.open_vote.map(|vote| vote.until),
            self.lease.as_ref().and_then(LeaseState::expires_at),
        ];
        due.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Takes in one thing that has happened at `now`.
    pub fn on_input(&mut self, now: Micros, input: Input, transport: &mut dyn Transport) {
        self.in_flight.now = self.in_flight.now.max(now);
        self.router.set_time(self.in_flight.now);
        self.check_lease(transport);
        self.dispatch(input, transport);
        self.report_outcomes(transport);
    }

    /// To be called at [`Engine::next_wake`] or soon after.
    pub fn on_timer(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.on_input(now, Input::Timer, transport);
    }

    fn dispatch(&mut self, input: Input, transport: &mut dyn Transport) {
        match input {
            Input::Command { conn, command } => self.on_command(conn, command, transport),
            Input::Abandon { conn, id } => self.on_abandon(conn, id, transport),
            Input::ClientDisconnected { conn } => self.on_client_disconnected(conn, transport),
            Input::WrongAnswer { receipt, .. } => self.on_wrong_answer(receipt.into()),
            Input::WrongAnswerReport { host, ago_us } => self
                .router
                .on_wrong_answer(HostId(host), bounded_micros(ago_us)),
            Input::FromHost { host, message } => {
                self.on_host_message(HostId(host), message, transport);
            }
            Input::DeliveryFailed {
                host,
                delivery,
                failure,
            } => self.on_outcome(HostId(host), delivery, failure.into(), transport),
            Input::FromList(message) => self.on_list_message(message, transport),
            Input::CachedList(endpoints) => self.on_cached_list(&endpoints, transport),
            Input::ListUnavailable => self.on_list_failure(),
            Input::FromController(message) => self.on_controller_message(message, transport),
            Input::ControllerUnavailable => self.on_controller_unavailable(),
            // The decision module makes no use of what other routers send.
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

    /// Passes on the outcomes that the decision module's own calls have caused, until none is left: each ends a
    /// delivery, and a command has few.
    fn report_outcomes(&mut self, transport: &mut dyn Transport) {
        while let Some(pending) = self.in_flight.pending_outcomes.pop_front() {
            self.finish_delivery(pending.delivery, pending.outcome, transport);
        }
        if std::mem::take(&mut self.in_flight.list_failed) {
            self.on_list_failure();
        }
        if std::mem::take(&mut self.in_flight.vote_failed) {
            self.on_vote_refused();
        }
    }
}
