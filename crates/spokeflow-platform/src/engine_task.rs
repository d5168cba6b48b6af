//! The task that owns the engine, and its event loop.

use std::net::SocketAddr;
use std::time::Duration;

use spokeflow_engine::Input;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::engine_state::EngineState;
use crate::event::EngineEvent;
use crate::program::{PlatformProgram, Signals};
use crate::reload::Reload;
use crate::shutdown::{Shutdown, Step};

/// Maximum number of events processed between two checks of the timers, so that timers are not late under load.
const EVENTS_PER_BATCH: usize = 256;
/// Interval at which the status line is logged; see [`EngineState::log_status`].
const STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum interval between two checks for idle connections to close.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The task that owns the engine.
pub(crate) struct EngineTask {
    pub(crate) program: PlatformProgram,
    pub(crate) state: EngineState,
    pub(crate) events: mpsc::Receiver<EngineEvent>,
    pub(crate) signals: Signals,
    /// Address of discovery, for the task that watches it.
    pub(crate) discovery_address: watch::Sender<SocketAddr>,
    /// Set to `true` when idle connections of clients are to be closed.
    pub(crate) closing: watch::Sender<bool>,
    /// The tasks of the clients' connections.
    pub(crate) clients: TaskTracker,
    pub(crate) shutdown: Shutdown,
    /// The reload of the configuration in progress, if any.
    pub(crate) reload: Option<Reload>,
    /// Connections to hosts that have been idle for longer are closed.
    pub(crate) idle_timeout: Duration,
    pub(crate) max_host_connections: usize,
    /// When idle connections were last checked.
    pub(crate) expired_at: Instant,
    /// When the status line was last logged.
    pub(crate) logged_at: Instant,
}

impl EngineTask {
    /// Processes events, signals and timers until the shutdown has ended.
    pub(crate) async fn run(mut self) {
        let mut batch = Vec::with_capacity(EVENTS_PER_BATCH);
        loop {
            self.wait(&mut batch).await;
            // Queued events are processed after every wake-up, also one by a timer or a signal, so that none of these
            // starves the others.
            while batch.len() < EVENTS_PER_BATCH {
                let Ok(event) = self.events.try_recv() else {
                    break;
                };
                batch.push(event);
            }
            for event in batch.drain(..) {
                self.state.on_event(event);
            }
            self.state.run_timers();
            self.reload_if_due();
            self.expire_idle_connections();
            self.log_status();
            if self.step_shutdown() {
                return;
            }
        }
    }

    /// Waits for the next event, signal or timer.
    async fn wait(&mut self, batch: &mut Vec<EngineEvent>) {
        let wake = self.next_wake();
        tokio::select! {
            biased;
            _ = self.signals.terminate.recv(), if !self.shutdown.has_begun() => {
                let waiting = self.state.engine.waiting_commands();
                info!(waiting, "router shuts down");
                self.state.clock.begin_shutdown();
                self.shutdown.begin(Instant::now());
            }
            _ = self.signals.reload.recv() => self.reload = Some(Reload::new(Instant::now())),
            _ = sleep_until(wake) => {}
            _ = self.events.recv_many(batch, EVENTS_PER_BATCH) => {}
        }
    }

    fn next_wake(&self) -> Instant {
        let engine = self.state.engine.next_wake();
        let engine = self.state.clock.instant_at(engine);
        let shutdown = self.shutdown.next_check(Instant::now());
        let reload = self.reload.as_ref().map(Reload::next);
        let others = shutdown.into_iter().chain(reload);
        others.fold(engine, Instant::min)
    }

    fn reload_if_due(&mut self) {
        let reload = self.reload.as_mut();
        let Some(reload) = reload.filter(|reload| reload.next() <= Instant::now()) else {
            return;
        };
        let Some(read) = reload.read(&self.program) else {
            return;
        };
        self.reload = None;
        let Some(configuration) = read else {
            return;
        };
        let discovery = configuration.discovery;
        let deployer = configuration.release_controller;
        info!(%discovery, %deployer, "configuration reloaded");
        set_address(&self.discovery_address, discovery);
        set_address(&self.state.transport.controller_address, deployer);
    }

    fn expire_idle_connections(&mut self) {
        if self.expired_at.elapsed() <= self.idle_timeout.min(EXPIRY_INTERVAL) {
            return;
        }
        self.expired_at = Instant::now();
        for host in self.state.transport.hosts.values_mut() {
            host.idle.expire(self.idle_timeout);
        }
    }

    fn log_status(&mut self) {
        if self.logged_at.elapsed() > STATUS_INTERVAL {
            self.logged_at = Instant::now();
            self.state.log_status(self.max_host_connections);
        }
    }

    /// Advances the shutdown. Returns `true` once the router is to end.
    fn step_shutdown(&mut self) -> bool {
        let waiting = self.state.engine.waiting_commands();
        match self
            .shutdown
            .step(Instant::now(), waiting, self.clients.len())
        {
            Step::Wait => {}
            Step::Close => {
                let _ = self.closing.send(true);
                self.state.input(Input::Close);
            }
            Step::AbortAll => self.state.input(Input::AbortAll),
            Step::End => return true,
        }
        false
    }
}

/// Sets an address and notifies its receivers, unless it is unchanged.
fn set_address(sender: &watch::Sender<SocketAddr>, address: SocketAddr) {
    sender.send_if_modified(|present| std::mem::replace(present, address) != address);
}
