//! The engine with its transport and its recorder, and the handling of the events that connection tasks send.

use std::sync::Arc;

use spokeflow_coordination::RevisionNumber;
use spokeflow_engine::{Engine, Input};
use spokeflow_proto::ToClient;
use spokeflow_runtime::Clock;
use tokio::sync::watch;

use crate::event::EngineEvent;
use crate::recorder::Recorder;
use crate::transport::RouterTransport;

/// The engine and what it is run with, owned by the engine's task.
pub(crate) struct EngineState {
    pub(crate) engine: Engine,
    pub(crate) transport: RouterTransport,
    pub(crate) recorder: Option<Recorder>,
    pub(crate) clock: Arc<Clock>,
    /// The revision that the engine applies. It is sent only once the engine has the revision, because the router must
    /// not report it as applied earlier.
    pub(crate) applied: watch::Sender<RevisionNumber>,
}

impl EngineState {
    /// Records an input and passes it to the engine.
    pub(crate) fn input(&mut self, input: Input) {
        let now = self.clock.now();
        if let Some(recorder) = &mut self.recorder {
            recorder.record(now, &input);
        }
        self.engine.on_input(now, input, &mut self.transport);
    }

    /// Runs the engine's timers if one is due.
    pub(crate) fn run_timers(&mut self) {
        if self.clock.now() >= self.engine.next_wake() {
            self.input(Input::Timer);
            self.report_closed_clients();
        }
    }

    pub(crate) fn on_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Input(input) => self.input(input),
            EngineEvent::ClientConnected {
                connection,
                messages,
            } => {
                if self.clock.is_shutting_down() {
                    let _ = messages.try_send(ToClient::Closing);
                }
                self.transport.clients.insert(connection, messages);
            }
            EngineEvent::ClientDisconnected { connection } => {
                self.transport.clients.remove(&connection);
                self.input(Input::ClientDisconnected { conn: connection });
            }
            EngineEvent::LeaseGranted {
                until,
                config,
                revision,
            } => {
                self.input(Input::Lease { until, config });
                self.applied
                    .send_if_modified(|applied| std::mem::replace(applied, revision) != revision);
            }
            EngineEvent::Close => {
                self.input(Input::Close);
                self.transport.send_closing();
            }
        }
        self.report_closed_clients();
    }

    /// Reports the clients that the transport has closed to the engine as disconnected.
    fn report_closed_clients(&mut self) {
        while let Some(connection) = self.transport.closed_clients.pop() {
            self.input(Input::ClientDisconnected { conn: connection });
        }
    }
}
