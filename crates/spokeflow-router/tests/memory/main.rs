//! The router stays inside the memory that its configuration tells it, whatever its peers send. The real program runs with
//! limits from the range that the platform names, and its highest resident memory is read from the system.

mod clients;
#[path = "../common/mod.rs"]
mod common;
mod hosts;
mod limits;
mod slow_clients;
mod sources;
mod together;

use std::future::Future;
use std::sync::{Mutex, PoisonError};

use common::{deployer, list, run, Host, HostAction, TestRouter};
use limits::Limits;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

/// Number of hosts: enough that each client's command is delivered at once.
const HOSTS: usize = 48;

/// Runs a test while no other one of this program runs: each floods its router, and their floods would slow one another.
fn run_alone(test: impl Future<Output = ()>) {
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    run(test);
}

/// A runtime on a thread of its own, so that the peers that it plays do not slow the test.
struct PeerThread {
    runtime: Runtime,
}

impl PeerThread {
    fn start() -> Self {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        PeerThread { runtime }
    }

    fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        self.runtime.spawn(future)
    }

    /// Ends the thread. What it still plays is dropped.
    fn stop(self) {
        self.runtime.shutdown_background();
    }
}

/// Starts hosts that all act by one script.
async fn start_hosts(script: impl Fn() -> HostAction + Clone + Send + Sync + 'static) -> Vec<Host> {
    let mut hosts = Vec::new();
    for _ in 0..HOSTS {
        let script = script.clone();
        hosts.push(Host::start(move |_| script()).await);
    }
    hosts
}

/// Returns the list of these hosts.
fn list_of(hosts: &[Host]) -> String {
    let names: Vec<String> = (0..hosts.len()).map(|n| format!("s-{n}")).collect();
    let entries = names.iter().zip(hosts);
    let entries: Vec<_> = entries
        .map(|(name, host)| (name.as_str(), host.address.as_str(), "Ready", 1))
        .collect();
    list(1, &entries)
}

/// Starts a router with these limits and hosts.
async fn start(limits: Limits, hosts: &[Host]) -> TestRouter {
    let (controller, _) = deployer(vec![]).await;
    limits.start(list_of(hosts), &controller).await
}
