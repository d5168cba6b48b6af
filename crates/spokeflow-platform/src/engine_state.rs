//! The engine with its transport and the endpoint table, and the translation of events to the engine's inputs.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use spokeflow_engine::{Engine, Input};
use spokeflow_proto::{FrameError, FromController, FromList, RolloutUpdate, ToClient};
use spokeflow_runtime::Clock;
use tracing::{debug, info, warn};

use crate::endpoint_table::{EndpointTable, Listing};
use crate::event::EngineEvent;
use crate::transport::{PendingCommand, PlatformTransport};

/// The state that the engine's task owns.
pub(crate) struct EngineState {
    pub(crate) engine: Engine,
    pub(crate) transport: PlatformTransport,
    pub(crate) endpoints: EndpointTable,
    pub(crate) clock: Arc<Clock>,
}

/// Returns the present time in milliseconds since 1970.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl EngineState {
    /// Passes an input to the engine.
    pub(crate) fn input(&mut self, input: Input) {
        let now = self.clock.now();
        self.engine.on_input(now, input, &mut self.transport);
    }

    /// Runs the engine's timers if one is due.
    pub(crate) fn run_timers(&mut self) {
        let now = self.clock.now();
        if self.engine.next_wake() <= now {
            self.engine.on_timer(now, &mut self.transport);
        }
    }

    /// Handles an event of another task.
    pub(crate) fn on_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Command {
                connection,
                id,
                command,
                answer,
            } => self.on_command(connection, PendingCommand { id, answer }, command),
            EngineEvent::ClientDisconnected(connection) => {
                if let Some(pending) = self.transport.pending.remove(&connection) {
                    self.transport.request_ids.end(&pending.id);
                }
                self.input(Input::ClientDisconnected { conn: connection });
            }
            EngineEvent::DeliveryEnded {
                host,
                delivery,
                input,
                connection,
                connection_use,
            } => {
                if let Some(connection_use) = connection_use {
                    self.transport.idle_lifetime.learn(connection_use);
                }
                self.transport.on_delivery_ended(host, delivery, connection);
                self.input(input);
            }
            EngineEvent::EndpointsListed { listing, applied } => {
                self.on_listing(listing, false);
                let _ = applied.send(());
            }
            EngineEvent::RolloutUpdated(update) => self.on_rollout_update(update),
            EngineEvent::WrongAnswerReport {
                host_name,
                sent_ago_us,
            } => {
                if let Some(host) = self.endpoints.number(&host_name) {
                    self.input(Input::WrongAnswerReport { host, sent_ago_us });
                }
            }
            EngineEvent::VoteAnswered {
                ballot,
                result,
                update,
            } => {
                self.input(match result {
                    Some(result) => Input::FromController(FromController::Voted { ballot, result }),
                    None => Input::ControllerUnavailable,
                });
                if let Some(update) = update {
                    self.on_rollout_update(update);
                }
            }
        }
    }

    /// Passes a command to the engine, or refuses it if another one has the same id, pending or earlier.
    fn on_command(
        &mut self,
        connection: u64,
        pending: PendingCommand,
        command: spokeflow_proto::Command,
    ) {
        if !self.transport.request_ids.begin(&pending.id) {
            let refused = FrameError::IdInUse(command.id).refused();
            let _ = pending.answer.send(ToClient::Refused(refused));
            return;
        }
        let id = String::from_utf8_lossy(&pending.id);
        debug!(%id, connection, op = command.op, left_us = command.left_us, "command received");
        self.transport.pending.insert(connection, pending);
        self.input(Input::Command {
            conn: connection,
            command,
        });
    }

    /// Passes the state of a rollout to the engine.
    pub(crate) fn on_rollout_update(&mut self, update: RolloutUpdate) {
        self.input(Input::FromController(FromController::RolloutUpdate(update)));
    }

    /// Passes a listing to the engine. `cached`: it comes from the configuration and may be old.
    pub(crate) fn on_listing(&mut self, listing: Listing, cached: bool) {
        let messages = self.endpoints.apply(listing, self.clock.now(), unix_ms());
        if messages.without_room > 0 {
            if let Some(suppressed) = self.clock.allow_log_line() {
                let hosts = messages.without_room;
                warn!(
                    hosts,
                    suppressed, "hosts not known: no room in the host list"
                );
            }
        }
        self.input(match messages.list {
            FromList::Complete { endpoints, .. } | FromList::Changes { endpoints, .. }
                if cached =>
            {
                Input::CachedList(endpoints)
            }
            list => Input::FromList(list),
        });
        self.input(Input::FromList(messages.sizes));
    }

    /// Logs the engine's number of open deliveries together with the number of connections in use, so that operators
    /// see if the two differ. `max_connections` is the maximum number of connections to hosts.
    pub(crate) fn log_status(&self, max_connections: usize) {
        let hosts = self.transport.hosts.values();
        let idle: usize = hosts.map(|host| host.idle.count()).sum();
        let open = max_connections - self.transport.permits.available_permits();
        let latency = self.transport.upstream.send_latency.take_summary();
        info!(
            waiting = self.engine.waiting_commands(),
            open_deliveries = self.engine.open_deliveries(),
            sticky_keys = self.engine.sticky_keys(),
            in_use = open - idle,
            idle,
            sent = latency.count,
            mean_us = latency.mean_us,
            longest_us = latency.longest_us,
            "connections to hosts"
        );
    }
}
