//! What all fake peers of a run share: the scenario, its faults at this moment, the tap, and links with their delays.

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

/// How often a link that is cut is looked at again.
pub(crate) const CUT_POLL: Duration = Duration::from_millis(5);
/// A packet is lost so often in a row at most, counted in retransmission timeouts.
const MAX_RETRANSMISSIONS: Micros = 8;

/// The path between two sites, in one direction.
#[derive(Clone, Copy)]
pub(crate) struct Path {
    pub(crate) from: u16,
    pub(crate) to: u16,
    /// Which links of the sites it belongs to: faults cut them apart.
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
    /// Which start of each router runs now.
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

    /// A number that no other call gets.
    pub(crate) fn unique_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// The faults of this moment.
    pub(crate) fn faults(&self) -> ActiveFaults {
        locked(&self.active_faults).clone()
    }

    /// The process of a router that runs now.
    pub(crate) fn router_process(&self, router: u32) -> Process {
        let starts = locked(&self.router_starts);
        let start = starts.get(router as usize).copied().unwrap_or(0);
        Process { router, start }
    }

    /// The next process of a router.
    pub(crate) fn next_router_process(&self, router: u32) -> Process {
        let mut starts = locked(&self.router_starts);
        let start = &mut starts[router as usize];
        *start += 1;
        Process {
            router,
            start: *start,
        }
    }

    /// The delay of a path, or `None` while it is cut.
    pub(crate) fn delay(&self, path: Path) -> Option<Micros> {
        locked(&self.active_faults).delay(path.from, path.to, path.links)
    }

    /// Waits while a path is cut.
    pub(crate) async fn wait_until_connected(&self, path: Path) {
        while self.delay(path).is_none() {
            sleep(CUT_POLL).await;
        }
    }

    /// What lost packets add to the delay: each is sent again after a while, and may be lost again.
    fn retransmission_delay(&self, path: Path) -> Micros {
        let loss = locked(&self.active_faults).loss;
        let most = MAX_RETRANSMISSIONS * RETRANSMISSION_DELAY;
        let mut delay = 0;
        while path.from != path.to && loss > 0.0 && delay < most && rand::rng().random_bool(loss) {
            delay += RETRANSMISSION_DELAY.max(delay);
        }
        delay
    }

    /// A channel that passes messages on in order after the delay of a path. What meets a cut waits for its end, as
    /// bytes on a broken path do.
    ///
    /// It is unbounded: a path takes what is sent however long it is, and clients bound what is under way by their
    /// timeouts.
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
            let lost = Duration::from_micros(self.retransmission_delay(path) as u64);
            self.wait_for_delivery(path, sent_at + lost).await;
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
                    // It may have been cut meanwhile.
                    if self.delay(path).is_some() {
                        return;
                    }
                }
                None => sleep(CUT_POLL).await,
            }
        }
    }
}
