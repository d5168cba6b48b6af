//! State that all fake peers of a run share: the scenario, its active faults, the tap, and the delays of paths.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use spokeflow_scenario::active_faults::{ActiveFaults, LinkKind, RETRANSMISSION_DELAY};
use spokeflow_scenario::host::DeduplicationTable;
use spokeflow_scenario::observation::Process;
use spokeflow_scenario::scenario::Scenario;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

use crate::tap::Tap;
use crate::{locked, Micros};

/// Interval at which a path that is cut is checked again.
pub(crate) const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A message whose lost packets have delayed it by this many times `RETRANSMISSION_DELAY` loses no more.
const MAX_RETRANSMISSION_DELAYS: Micros = 8;

/// The network path from one site to another, in one direction.
#[derive(Clone, Copy)]
pub(crate) struct Path {
    pub(crate) from: u16,
    pub(crate) to: u16,
    /// The kind of links that it belongs to: a fault may cut one kind and not the other.
    pub(crate) links: LinkKind,
}

impl Path {
    pub(crate) fn reversed(self) -> Path {
        Path {
            from: self.to,
            to: self.from,
            links: self.links,
        }
    }
}

/// The shared state of a run.
pub(crate) struct RunContext {
    pub(crate) scenario: Scenario,
    pub(crate) tap: Tap,
    pub(crate) deduplication: Mutex<DeduplicationTable>,
    pub(crate) active_faults: Mutex<ActiveFaults>,
    /// The number of the current start of each router, by index of the router.
    router_starts: Mutex<Vec<u32>>,
    next_id: AtomicU64,
}

impl RunContext {
    pub(crate) fn new(scenario: Scenario) -> Arc<RunContext> {
        let router_starts = vec![0; scenario.routers as usize];
        Arc::new(RunContext {
            scenario,
            tap: Tap::default(),
            deduplication: Mutex::default(),
            active_faults: Mutex::default(),
            router_starts: Mutex::new(router_starts),
            next_id: AtomicU64::new(1),
        })
    }

    /// Returns a number that no other call of this run returns.
    pub(crate) fn unique_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the faults that are active now.
    pub(crate) fn faults(&self) -> ActiveFaults {
        locked(&self.active_faults).clone()
    }

    /// Returns the current process of a router.
    pub(crate) fn router_process(&self, router: u32) -> Process {
        let starts = locked(&self.router_starts);
        let start = starts.get(router as usize).copied().unwrap_or(0);
        Process { router, start }
    }

    /// Advances a router to its next start, and returns that process.
    pub(crate) fn next_router_process(&self, router: u32) -> Process {
        let mut starts = locked(&self.router_starts);
        let start = &mut starts[router as usize];
        *start += 1;
        Process {
            router,
            start: *start,
        }
    }

    /// Returns the delay of a path, or `None` while it is cut.
    pub(crate) fn delay(&self, path: Path) -> Option<Micros> {
        locked(&self.active_faults).delay(path.from, path.to, path.links)
    }

    /// Waits until a path is not cut.
    pub(crate) async fn wait_until_connected(&self, path: Path) {
        while self.delay(path).is_none() {
            sleep(CUT_POLL_INTERVAL).await;
        }
    }

    /// Draws the delay that lost packets add to a message between two sites: a lost packet is sent again after a
    /// delay that grows with each loss, and may be lost again.
    fn retransmission_delay(&self, path: Path) -> Micros {
        let loss = locked(&self.active_faults).loss;
        let limit = MAX_RETRANSMISSION_DELAYS * RETRANSMISSION_DELAY;
        let mut delay = 0;
        while path.from != path.to && loss > 0.0 && delay < limit && rand::rng().random_bool(loss) {
            delay += RETRANSMISSION_DELAY.max(delay);
        }
        delay
    }

    /// Opens a channel that delivers messages in order after the delay of a path. Messages on a path that is cut wait
    /// until the cut ends, as the bytes of a TCP connection do.
    ///
    /// The channel is unbounded: the delay of a path must not block its sender, and the timeouts of the clients bound
    /// the number of messages on the path.
    pub(crate) fn delayed_channel<T: Send + 'static>(
        self: &Arc<Self>,
        path: Path,
    ) -> (mpsc::UnboundedSender<T>, mpsc::UnboundedReceiver<T>) {
        let (sender, mut sent) = mpsc::unbounded_channel();
        let (stamper, stamped) = mpsc::unbounded_channel();
        let (deliverer, receiver) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(message) = sent.recv().await {
                if stamper.send((Instant::now(), message)).is_err() {
                    return;
                }
            }
        });
        tokio::spawn(self.clone().deliver(path, stamped, deliverer));
        (sender, receiver)
    }

    async fn deliver<T>(
        self: Arc<Self>,
        path: Path,
        mut stamped: mpsc::UnboundedReceiver<(Instant, T)>,
        deliverer: mpsc::UnboundedSender<T>,
    ) {
        while let Some((sent_at, message)) = stamped.recv().await {
            let retransmission = Duration::from_micros(self.retransmission_delay(path) as u64);
            self.wait_for_delivery(path, sent_at + retransmission).await;
            if deliverer.send(message).is_err() {
                return;
            }
        }
    }

    async fn wait_for_delivery(&self, path: Path, sent_at: Instant) {
        loop {
            match self.delay(path) {
                Some(0) => return,
                Some(delay) => {
                    sleep_until(sent_at + Duration::from_micros(delay as u64)).await;
                    // The path may have been cut during the wait.
                    if self.delay(path).is_some() {
                        return;
                    }
                }
                None => sleep(CUT_POLL_INTERVAL).await,
            }
        }
    }
}
