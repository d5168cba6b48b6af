//! The source of the host list: endpoints that change, sent complete or as what changed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::{EndpointPhase, EndpointRecord, FrameCodec, FromList, ToList, LIST_LIMIT};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::codec::Framed;

/// Builds that hosts run, in turn.
const BUILDS: u32 = 2;
/// Hosts have addresses of this form and no one listens there: without clients no router connects to a host.
fn address(host: u32) -> String {
    let [_, high, middle, low] = host.to_be_bytes();
    format!("127.{high}.{middle}.{low}:7400")
}

#[derive(Clone, Debug, Default)]
struct Lines {
    version: u64,
    lines: BTreeMap<u32, EndpointRecord>,
    /// The version with which each host changed last.
    changed: BTreeMap<u32, u64>,
}

impl Lines {
    fn since(&self, version: u64) -> Vec<EndpointRecord> {
        let changed = self.changed.iter().filter(|(_, at)| **at > version);
        changed
            .filter_map(|(host, _)| self.lines.get(host).cloned())
            .collect()
    }
}

pub(super) struct ListSource {
    lines: Mutex<Lines>,
    version: watch::Sender<u64>,
}

impl ListSource {
    /// A list of `hosts` hosts that are ready, each in the zone that `zone` gives.
    pub(super) fn new(hosts: u32, zone: impl Fn(u32) -> u16) -> Arc<ListSource> {
        let line = |host| EndpointRecord {
            host,
            address: address(host),
            build: Some((1 + host % BUILDS) as u16),
            cell: 0,
            zone: zone(host),
            phase: EndpointPhase::Ready,
            incarnation: 1,
            up_us: None,
        };
        let lines = (0..hosts).map(|host| (host, line(host))).collect();
        let changed = (0..hosts).map(|host| (host, 1)).collect();
        let lines = Mutex::new(Lines {
            version: 1,
            lines,
            changed,
        });
        Arc::new(ListSource {
            lines,
            version: watch::Sender::new(1),
        })
    }

    /// These hosts are gone, all with one version.
    pub(super) fn remove(&self, hosts: &[u32]) {
        self.change(hosts, |line| line.phase = EndpointPhase::Gone);
    }

    /// These hosts are back as new processes, all with one version.
    pub(super) fn bring_back(&self, hosts: &[u32]) {
        self.change(hosts, |line| {
            line.phase = EndpointPhase::Ready;
            line.incarnation += 1;
            line.up_us = Some(0);
        });
    }

    fn change(&self, hosts: &[u32], change: impl Fn(&mut EndpointRecord)) {
        let version = {
            let mut lines = self.lines.lock().expect("no holder panics");
            lines.version += 1;
            let version = lines.version;
            for host in hosts {
                if let Some(line) = lines.lines.get_mut(host) {
                    change(line);
                    lines.changed.insert(*host, version);
                }
            }
            version
        };
        self.version.send_replace(version);
    }

    /// Takes connections. Errors: no port can be had.
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
            let answer = tokio::select! {
                read = link.next() => match read {
                    Some(Ok(ToList::Hello(_))) => FromList::Welcome,
                    Some(Ok(_)) => self.complete(&mut sent_version),
                    _ => return,
                },
                Ok(()) = version.changed(), if sent_version.is_some() => self.changes(&mut sent_version),
            };
            if link.send(answer).await.is_err() {
                return;
            }
        }
    }

    fn complete(&self, sent_version: &mut Option<u64>) -> FromList {
        let lines = self.lines.lock().expect("no holder panics");
        *sent_version = Some(lines.version);
        let there = lines
            .lines
            .values()
            .filter(|line| line.phase != EndpointPhase::Gone);
        FromList::Complete {
            version: lines.version,
            endpoints: there.cloned().collect(),
        }
    }

    fn changes(&self, sent_version: &mut Option<u64>) -> FromList {
        let lines = self.lines.lock().expect("no holder panics");
        let changed = lines.since(sent_version.unwrap_or(0));
        *sent_version = Some(lines.version);
        FromList::Changes {
            version: lines.version,
            endpoints: changed,
        }
    }
}
