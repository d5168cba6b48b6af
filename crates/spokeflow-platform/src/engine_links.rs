//! The links of the engine on the platform: answers go to the tasks of clients' connections, each delivery gets a task
//! of its own, and votes go to the deployer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use spokeflow_core::{HostId, Micros};
use spokeflow_engine::Transport;
use spokeflow_proto::{ToClient, ToController, ToHost, ToList};
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::task::AbortHandle;
use tracing::{debug, info, warn};

use crate::clients::House;
use crate::deployer::Vote;
use crate::hosts::{Attempt, Connection, Unused, Ways};
use crate::reuse::Reuse;

/// A host that the list names.
pub struct Host {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub open: bool,
    pub unused: Unused,
}

/// A delivery that is out, and the task that carries it.
pub struct Out {
    host: HostId,
    incarnation: u64,
    halt: Option<oneshot::Sender<()>>,
    task: AbortHandle,
}

/// A command that is owed an answer.
pub struct Waiting {
    pub id: Bytes,
    pub answer: oneshot::Sender<ToClient>,
}

/// The links of the engine: what it sends leaves here, and nothing here waits.
pub struct EngineLinks {
    pub house: Arc<House>,
    pub ways: Arc<Ways>,
    pub waiting: HashMap<u64, Waiting>,
    /// Ids of the commands that are owed an answer, on any connection.
    pub open_ids: HashSet<Bytes>,
    pub hosts: HashMap<HostId, Host>,
    pub out: HashMap<u64, Out>,
    pub places: Arc<Semaphore>,
    pub reuse: Reuse,
    pub deployer: watch::Sender<SocketAddr>,
    pub vote_wait: Duration,
}

impl EngineLinks {
    fn halt(&mut self, host: HostId, but: Option<u64>) {
        for out in self
            .out
            .values_mut()
            .filter(|o| o.host == host && Some(o.incarnation) != but)
        {
            // What has left whole no longer listens.
            if let Some(halt) = out.halt.take() {
                let _ = halt.send(());
            }
        }
    }

    /// Room for one more connection to a host, if need be that of the one longest unused.
    fn place(&mut self) -> Option<tokio::sync::OwnedSemaphorePermit> {
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return Some(place);
        }
        let unused = self
            .hosts
            .values_mut()
            .filter_map(|h| Some((h.unused.oldest()?, h)));
        unused
            .min_by_key(|(since, _)| *since)?
            .1
            .unused
            .drop_oldest();
        self.places.clone().try_acquire_owned().ok()
    }

    fn deliver(
        &mut self,
        host: HostId,
        delivery: u64,
        left_us: u64,
        leave_by: Micros,
        request: Bytes,
    ) -> bool {
        let Some(known) = self.hosts.get_mut(&host).filter(|h| h.open) else {
            return false;
        };
        let (address, incarnation) = (known.address, known.incarnation);
        let (rested, unused) = known.unused.take(&self.reuse).unzip();
        let place = if unused.is_none() { self.place() } else { None };
        if unused.is_none() && place.is_none() {
            return false;
        }
        let (halt, halted) = oneshot::channel();
        let ways = self.ways.clone();
        let clock = &ways.clock;
        let (until, leave_by) = (
            clock.instant_at(clock.now() + left_us as Micros),
            clock.instant_at(leave_by),
        );
        let attempt = Attempt {
            ways,
            host,
            delivery,
            address,
            request,
            until,
            leave_by,
            unused,
            rested,
            place,
            halt: halted,
        };
        debug!(id = attempt.id(), %address, delivery, left_us, "delivery");
        let task = tokio::spawn(attempt.run()).abort_handle();
        self.out.insert(
            delivery,
            Out {
                host,
                incarnation,
                halt: Some(halt),
                task,
            },
        );
        true
    }

    /// A delivery has ended by itself; its connection is kept where the host is still the same process.
    pub fn delivered(&mut self, host: HostId, delivery: u64, connection: Option<Connection>) {
        let out = self.out.remove(&delivery);
        let known = self.hosts.get_mut(&host).filter(|h| h.open);
        if let (Some(out), Some(known), Some(connection)) = (out, known, connection) {
            if known.incarnation == out.incarnation {
                known.unused.keep(connection);
            }
        }
    }
}

impl Transport for EngineLinks {
    fn to_client(&mut self, conn: u64, message: ToClient) {
        if let Some(waiting) = self.waiting.remove(&conn) {
            let (build, come_back_us) = match &message {
                ToClient::Acked { build, .. } => (Some(*build), None),
                ToClient::Nacked {
                    retry_after_us: come_back_us,
                    ..
                } => (None, *come_back_us),
                _ => (None, None),
            };
            let id = String::from_utf8_lossy(&waiting.id);
            debug!(%id, conn, end = word(&message), build, come_back_us, "answer");
            self.open_ids.remove(&waiting.id);
            let _ = waiting.answer.send(message);
        }
    }

    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool {
        match message {
            ToHost::Deliver {
                delivery,
                left_us,
                body,
                ..
            } => self.deliver(host, delivery, left_us, leave_by, body),
            ToHost::Cancel { delivery } => {
                // Dropped with its task, the connection closes: that is how an attempt is given up here.
                if let Some(out) = self.out.remove(&delivery) {
                    out.task.abort();
                    debug!(delivery, "delivery given up");
                }
                true
            }
            _ => true,
        }
    }

    /// The watch stands always.
    fn to_list(&mut self, _: ToList) -> bool {
        true
    }

    fn to_controller(&mut self, message: ToController) -> bool {
        info!(?message, "vote");
        let ToController::Vote {
            ballot,
            build,
            stage,
            choice: verdict,
        } = message
        else {
            return true;
        };
        let vote = Vote {
            address: *self.deployer.borrow(),
            core: self.ways.core.clone(),
            wait: self.vote_wait,
            ballot,
            build,
            stage,
            verdict,
        };
        tokio::spawn(vote.run());
        true
    }

    fn to_routers(&mut self, _: Option<u32>, _: &[u8]) {}

    fn host_open(&mut self, host: HostId, address: &str, incarnation: u64) {
        let Ok(address) = address.parse() else {
            return warn!(
                host = host.0,
                address, "the list names no address for a host"
            );
        };
        self.house.up.store(true, Ordering::Relaxed);
        let fresh = || Host {
            address,
            incarnation,
            open: true,
            unused: Unused::default(),
        };
        let known = self.hosts.entry(host).or_insert_with(fresh);
        known.open = true;
        if (known.address, known.incarnation) != (address, incarnation) {
            // What has not left yet was meant for another process, maybe another build.
            *known = fresh();
            self.halt(host, Some(incarnation));
        }
    }

    fn recall(&mut self, host: HostId, delivery: Option<u64>) {
        let Some(delivery) = delivery else {
            return self.halt(host, None);
        };
        if let Some(halt) = self.out.get_mut(&delivery).and_then(|out| out.halt.take()) {
            let _ = halt.send(());
        }
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        if let Some(known) = self.hosts.get_mut(&host) {
            known.open = false;
            known.unused.clear();
        }
        self.halt(host, None);
        if gone {
            self.hosts.remove(&host);
        }
    }
}

/// For log lines, which hold no bodies.
fn word(message: &ToClient) -> &'static str {
    match message {
        ToClient::Acked { .. } => "acked",
        ToClient::Nacked { .. } => "nacked",
        ToClient::Failed { .. } => "failed",
        _ => "refused",
    }
}
