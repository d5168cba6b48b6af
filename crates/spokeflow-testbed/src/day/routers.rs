//! The routers of a run: starts, kills, terminates and restarts their processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use spokeflow_scenario::observation::{Observation, Process};
use tokio::time::sleep;

use crate::client_connection::{RouterEndpoint, RouterEndpoints};
use crate::context::RunContext;
use crate::routers::{flags, ChildProcess, StartError, Starting};
use crate::{locked, Micros};

/// Time within which a router must end after SIGTERM: longer than its drain grace.
const TERMINATE_TIMEOUT: Duration = Duration::from_secs(16);

/// The addresses of the servers that the routers connect to.
#[derive(Clone, Copy)]
pub(super) struct ServerAddresses {
    pub(super) list: SocketAddr,
    pub(super) release_controller: SocketAddr,
}

/// A planned restart of some routers.
pub(super) struct Restart {
    pub(super) routers: Vec<u32>,
    pub(super) kind: RestartKind,
    /// Time from the end of a router to its next start.
    pub(super) down_duration: Micros,
}

/// How routers are restarted.
#[derive(Clone, Copy)]
pub(super) enum RestartKind {
    /// All are killed at once.
    Kill,
    /// They are terminated one after the other, one per interval.
    Rolling { interval: Micros },
}

/// All routers of a run.
pub(super) struct RouterFleet {
    context: Arc<RunContext>,
    pub(super) endpoints: RouterEndpoints,
    starting: Starting,
    servers: ServerAddresses,
    /// Messages on routers that did not start or end as expected.
    failures: Mutex<Vec<String>>,
    /// By index of the router; `None` while it is down.
    processes: tokio::sync::Mutex<Vec<Option<ChildProcess>>>,
}

impl RouterFleet {
    pub(super) fn new(
        context: Arc<RunContext>,
        starting: Starting,
        servers: ServerAddresses,
    ) -> Arc<RouterFleet> {
        Arc::new(RouterFleet {
            context,
            endpoints: RouterEndpoints::default(),
            starting,
            servers,
            failures: Mutex::default(),
            processes: tokio::sync::Mutex::default(),
        })
    }

    /// Starts the next router; `router` must be its index.
    ///
    /// # Errors
    ///
    /// The process does not start.
    pub(super) async fn add(&self, router: u32) -> Result<(), StartError> {
        let process = Process { router, start: 0 };
        let child = self.start(router).await?;
        let endpoint = RouterEndpoint {
            address: Some(child.address),
            process,
            down_since: None,
        };
        self.processes.lock().await.push(Some(child));
        locked(&self.endpoints).push(endpoint);
        self.context.tap.record(Observation::RouterUp(process));
        Ok(())
    }

    async fn start(&self, router: u32) -> Result<ChildProcess, StartError> {
        let ServerAddresses {
            list,
            release_controller,
        } = self.servers;
        let flags = flags(&self.context.scenario, router, list, release_controller);
        ChildProcess::start(&self.starting, &flags, &format!("router-{router}")).await
    }

    /// Carries out a planned restart.
    pub(super) async fn restart(self: Arc<Self>, restart: Restart) {
        let down_duration = duration(restart.down_duration);
        match restart.kind {
            RestartKind::Kill => {
                for router in &restart.routers {
                    self.kill(*router).await;
                }
                sleep(down_duration).await;
                for router in restart.routers {
                    self.start_again(router).await;
                }
            }
            RestartKind::Rolling { interval } => {
                for router in restart.routers {
                    self.terminate(router).await;
                    sleep(down_duration).await;
                    self.start_again(router).await;
                    sleep(duration(interval - restart.down_duration)).await;
                }
            }
        }
    }

    async fn kill(&self, router: u32) {
        let process = self.context.router_process(router);
        let Some(mut child) = self.take(router).await else {
            return;
        };
        self.context.tap.record(Observation::RouterKilled(process));
        self.set_down(router);
        child.kill().await;
    }

    async fn terminate(&self, router: u32) {
        let process = self.context.router_process(router);
        let Some(mut child) = self.take(router).await else {
            return;
        };
        self.context
            .tap
            .record(Observation::RouterShutdown(process));
        self.set_down(router);
        self.terminate_child(router as usize, &mut child).await;
        self.context.tap.record(Observation::RouterEnded(process));
    }

    async fn terminate_child(&self, router: usize, child: &mut ChildProcess) {
        if let Err(error) = child.terminate(TERMINATE_TIMEOUT).await {
            self.record_failure(format!("router {router}: {error}"));
        }
    }

    /// Terminates all running routers, one after the other.
    pub(super) async fn terminate_all(&self) {
        let mut processes = self.processes.lock().await;
        for (router, child) in processes.iter_mut().enumerate() {
            if let Some(child) = child {
                self.terminate_child(router, child).await;
            }
        }
    }

    /// Takes the process of a router; `None` while it is down.
    async fn take(&self, router: u32) -> Option<ChildProcess> {
        let mut processes = self.processes.lock().await;
        processes.get_mut(router as usize).and_then(Option::take)
    }

    fn set_down(&self, router: u32) {
        if let Some(endpoint) = locked(&self.endpoints).get_mut(router as usize) {
            endpoint.address = None;
            endpoint.down_since = Some(self.context.tap.now());
        }
    }

    async fn start_again(&self, router: u32) {
        let process = self.context.next_router_process(router);
        let child = match self.start(router).await {
            Ok(child) => child,
            Err(error) => {
                return self.record_failure(format!("router {router}: restart failed: {error}"))
            }
        };
        self.context.tap.record(Observation::RouterUp(process));
        if let Some(endpoint) = locked(&self.endpoints).get_mut(router as usize) {
            *endpoint = RouterEndpoint {
                address: Some(child.address),
                process,
                down_since: None,
            };
        }
        self.processes.lock().await[router as usize] = Some(child);
    }

    fn record_failure(&self, failure: String) {
        locked(&self.failures).push(failure);
    }

    /// Removes and returns the messages on failures so far.
    pub(super) fn take_failures(&self) -> Vec<String> {
        std::mem::take(&mut *locked(&self.failures))
    }
}

/// Converts a number of microseconds; a negative one gives zero.
fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}
