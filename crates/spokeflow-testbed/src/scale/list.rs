//! The list source of a run: serves the host list to the voters, complete or as changes since the last version sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::{EndpointPhase, EndpointRecord, FrameCodec, FromList, ToList, LIST_LIMIT};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::codec::Framed;

/// Number of builds; hosts run them in turn.
const BUILDS: u32 = 2;

/// Returns the address of a host. Nothing listens there: without clients, no router connects to a host.
fn address(host: u32) -> String {
    let [_, high, middle, low] = host.to_be_bytes();
    format!("127.{high}.{middle}.{low}:7400")
}

#[derive(Clone, Debug, Default)]
struct HostList {
    version: u64,
    endpoints: BTreeMap<u32, EndpointRecord>,
    /// Version in which each host last changed.
    changed_in: BTreeMap<u32, u64>,
}

impl HostList {
    /// Returns the endpoints that changed after `version`.
    fn changes_since(&self, version: u64) -> Vec<EndpointRecord> {
        let changed = self.changed_in.iter().filter(|(_, at)| **at > version);
        changed
            .filter_map(|(host, _)| self.endpoints.get(host).cloned())
            .collect()
    }
}

/// The list source and its current list.
pub(super) struct ListSource {
    list: Mutex<HostList>,
    /// Current version, sent to the connections when it changes.
    version: watch::Sender<u64>,
}

impl ListSource {
    /// Creates a source with `hosts` hosts that are ready, each in the zone that `zone` returns for it.
    pub(super) fn new(hosts: u32, zone: impl Fn(u32) -> u16) -> Arc<ListSource> {
        let endpoint = |host| EndpointRecord {
            host,
            address: address(host),
            build: Some((1 + host % BUILDS) as u16),
            cell: 0,
            zone: zone(host),
            phase: EndpointPhase::Ready,
            incarnation: 1,
            up_us: None,
        };
        let endpoints = (0..hosts).map(|host| (host, endpoint(host))).collect();
        let changed_in = (0..hosts).map(|host| (host, 1)).collect();
        let list = Mutex::new(HostList {
            version: 1,
            endpoints,
            changed_in,
        });
        Arc::new(ListSource {
            list,
            version: watch::Sender::new(1),
        })
    }

    /// Marks these hosts as gone, all in one version of the list.
    pub(super) fn remove(&self, hosts: &[u32]) {
        self.change(hosts, |endpoint| endpoint.phase = EndpointPhase::Gone);
    }

    /// Marks these hosts as ready again, each as a new process, all in one version of the list.
    pub(super) fn restore(&self, hosts: &[u32]) {
        self.change(hosts, |endpoint| {
            endpoint.phase = EndpointPhase::Ready;
            endpoint.incarnation += 1;
            endpoint.up_us = Some(0);
        });
    }

    fn change(&self, hosts: &[u32], change: impl Fn(&mut EndpointRecord)) {
        let version = {
            let mut list = self.list.lock().expect("no holder panics");
            list.version += 1;
            let version = list.version;
            for host in hosts {
                if let Some(endpoint) = list.endpoints.get_mut(host) {
                    change(endpoint);
                    list.changed_in.insert(*host, version);
                }
            }
            version
        };
        self.version.send_replace(version);
    }

    /// Listens for connections and returns the address. Errors: no port can be opened.
    pub(super) async fn open(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let source = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(source.clone().serve(stream));
            }
        });
        Ok(address)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let codec = FrameCodec::<ToList, FromList>::new(LIST_LIMIT);
        let mut link = Framed::new(stream, codec);
        let mut version = self.version.subscribe();
        let mut sent_version = None;
        loop {
            let message = tokio::select! {
                read = link.next() => match read {
                    Some(Ok(ToList::Hello(_))) => FromList::Welcome,
                    Some(Ok(_)) => self.complete(&mut sent_version),
                    _ => return,
                },
                Ok(()) = version.changed(), if sent_version.is_some() => self.changes(&mut sent_version),
            };
            if link.send(message).await.is_err() {
                return;
            }
        }
    }

    fn complete(&self, sent_version: &mut Option<u64>) -> FromList {
        let list = self.list.lock().expect("no holder panics");
        *sent_version = Some(list.version);
        let present = list
            .endpoints
            .values()
            .filter(|endpoint| endpoint.phase != EndpointPhase::Gone);
        FromList::Complete {
            version: list.version,
            endpoints: present.cloned().collect(),
        }
    }

    fn changes(&self, sent_version: &mut Option<u64>) -> FromList {
        let list = self.list.lock().expect("no holder panics");
        let changed = list.changes_since(sent_version.unwrap_or(0));
        *sent_version = Some(list.version);
        FromList::Changes {
            version: list.version,
            endpoints: changed,
        }
    }
}
