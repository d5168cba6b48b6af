//! The fake endpoint registry: serves the registry model of the scenario, and delays updates or closes connections while
//! a fault of the scenario says so.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::{
    EndpointPhase, EndpointRecord, FrameCodec, FromList, Role, ToList, LIST_LIMIT,
};
use spokeflow_scenario::active_faults::{LinkKind, CONTROL_SITE};
use spokeflow_scenario::endpoint_registry::{EndpointRegistry, Entry};
use spokeflow_scenario::observation::{Observation, Phase, Process};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::interval;
use tokio_util::codec::Framed;

use crate::context::{Path, RunContext};
use crate::{locked, Micros};

/// Interval at which the version that a router has is compared with that of the registry.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Serves one registry to any number of routers.
pub(crate) struct EndpointRegistryServer {
    context: Arc<RunContext>,
    registry: Mutex<EndpointRegistry>,
}

impl EndpointRegistryServer {
    pub(crate) fn new(context: Arc<RunContext>) -> Arc<Self> {
        Arc::new(EndpointRegistryServer {
            context,
            registry: Mutex::default(),
        })
    }

    /// Listens on a free port and serves routers until the runtime ends; returns the address.
    ///
    /// # Errors
    ///
    /// No loopback port can be bound.
    pub(crate) async fn open(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        Ok(address)
    }

    /// Schedules an entry: the registry learns of it at time `at`.
    pub(crate) fn announce(&self, at: Micros, entry: Entry) {
        locked(&self.registry).schedule_update(at, entry);
    }

    /// Publishes the entries that the registry has learned of by `now`.
    pub(crate) fn tick(&self, now: Micros) {
        locked(&self.registry).tick(now);
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut link: Framed<TcpStream, FrameCodec<ToList, FromList>> =
            Framed::new(stream, FrameCodec::new(LIST_LIMIT));
        let Some(Ok(ToList::Hello(hello))) = link.next().await else {
            return;
        };
        if hello.check(&[Role::Router]).is_err() || self.context.faults().list_breaks {
            return;
        }
        let router = self.context.router_process(hello.index);
        if link.send(FromList::Welcome).await.is_err() {
            return;
        }
        let (outbound, mut delayed) = self.context.delayed_channel::<FromList>(Path {
            from: CONTROL_SITE,
            to: hello.zone,
            links: LinkKind::ControlSite,
        });
        let mut watched: Option<u64> = None;
        let mut ticks = interval(WATCH_INTERVAL);
        loop {
            // Sending to `outbound` cannot fail: its receiver is in this function.
            tokio::select! {
                read = link.next() => match read {
                    Some(Ok(ToList::Watch { have })) => {
                        let registry = locked(&self.registry);
                        let _ = outbound.send(self.update(&registry, have));
                        watched = Some(registry.version());
                    }
                    Some(Ok(ToList::Fetch)) => {
                        let registry = locked(&self.registry);
                        let _ = outbound.send(self.update(&registry, None));
                    }
                    _ => return,
                },
                Some(update) = delayed.recv() => {
                    self.record(router, &update);
                    if link.send(update).await.is_err() {
                        return;
                    }
                }
                _ = ticks.tick() => {
                    if self.context.faults().list_breaks {
                        return;
                    }
                    let registry = locked(&self.registry);
                    if watched.is_some_and(|version| version < registry.version()) {
                        let _ = outbound.send(self.update(&registry, watched));
                        watched = Some(registry.version());
                    }
                }
            }
        }
    }

    /// Builds the message with the entries changed since a version, or with the whole list where the registry does not
    /// have the changes.
    fn update(&self, registry: &EndpointRegistry, since: Option<u64>) -> FromList {
        let now = self.context.tap.now();
        let version = registry.version();
        let (complete, entries) = registry.updates_since(since);
        let endpoints = entries
            .into_iter()
            .map(|entry| endpoint_record(entry, now))
            .collect();
        match complete {
            true => FromList::Complete { version, endpoints },
            false => FromList::Changes { version, endpoints },
        }
    }

    /// Records an update that is about to be written to a router; changes without an entry are not recorded.
    fn record(&self, router: Process, update: &FromList) {
        let (complete, endpoints) = match update {
            FromList::Complete { endpoints, .. } => (true, endpoints),
            FromList::Changes { endpoints, .. } if !endpoints.is_empty() => (false, endpoints),
            _ => return,
        };
        let lines = endpoints
            .iter()
            .map(|endpoint| {
                let build = endpoint.build.unwrap_or(0);
                (endpoint.host, build, observed_phase(endpoint.phase))
            })
            .collect();
        self.context.tap.record(Observation::Listed {
            to: router,
            whole: complete,
            lines,
        });
    }
}

fn endpoint_record(entry: &Entry, now: Micros) -> EndpointRecord {
    EndpointRecord {
        host: entry.host,
        address: entry.address.clone(),
        build: Some(entry.build),
        cell: 0,
        zone: entry.site,
        phase: match entry.phase {
            Phase::Gone => EndpointPhase::Gone,
            Phase::Ready => EndpointPhase::Ready,
            Phase::Draining => EndpointPhase::Draining,
        },
        incarnation: entry.incarnation,
        up_us: entry.started.map(|at| (now - at).max(0) as u64),
    }
}

fn observed_phase(phase: EndpointPhase) -> Phase {
    match phase {
        EndpointPhase::Gone => Phase::Gone,
        EndpointPhase::Ready => Phase::Ready,
        EndpointPhase::Draining => Phase::Draining,
    }
}
