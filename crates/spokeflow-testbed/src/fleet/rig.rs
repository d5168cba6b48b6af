//! The processes of the rig: starts, kills and pauses nodes and routers, and keeps the log of what it did.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::check::{RouterAbsence, RunLog};
use super::error::FleetError;
use super::faults::ScriptedFault;
use super::peers::{PeerAddresses, Peers};
use super::switchboard::Switchboard;
use crate::locked;
use crate::routers::{RouterProcess, Starting};
use crate::Micros;

/// Heartbeats of a leader within one election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u128 = 5;
/// For how long after a router's return its clients' waiting commands and earlier connections settle.
const SETTLING: Micros = 500 * crate::MS;

/// A run of the fleet rig.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Routers, numbered from 0.
    pub routers: u32,
    /// Control-plane nodes of the first configuration, numbered from 1.
    pub nodes: u32,
    /// Draws the faults and the proposals.
    pub seed: u64,
    /// For how long faults are drawn.
    pub duration: Duration,
    /// Faults in place of drawn ones.
    pub script: Vec<ScriptedFault>,
    /// How long a router's lease runs.
    pub lease: Duration,
    /// After which silence of the leader the nodes elect another.
    pub election_timeout: Duration,
    /// Of the nodes' stores.
    pub store_directory: PathBuf,
    /// Leaves the stores where they are at the end.
    pub keep_stores: bool,
    /// Routers get the endpoint list from the nodes: their own registry is silent.
    pub replicated_list: bool,
    /// No fault is drawn, and a revision is proposed as soon as the one before is in force.
    pub fault_free: bool,
    /// Between two commands of a client.
    pub command_interval: Duration,
}

/// A node of the fleet, which may be down.
pub(super) struct NodeSlot {
    process: Option<RouterProcess>,
    /// Where the switchboard listens for it.
    public_address: SocketAddr,
    store: PathBuf,
    joins: bool,
    /// Subject of a fault: nothing else is done to it meanwhile.
    busy: bool,
    retired: bool,
}

impl NodeSlot {
    fn new(public_address: SocketAddr, store: PathBuf) -> NodeSlot {
        NodeSlot {
            process: None,
            public_address,
            store,
            joins: false,
            busy: false,
            retired: false,
        }
    }
}

/// All processes of a run.
pub(super) struct Rig {
    pub(super) config: FleetConfig,
    pub(super) switchboard: Arc<Switchboard>,
    pub(super) peers: Arc<Peers>,
    pub(super) log: Mutex<RunLog>,
    starting: Starting,
    nodes: tokio::sync::Mutex<BTreeMap<u32, NodeSlot>>,
    /// A router that does not run, or is subject of a fault, is `None`.
    routers: tokio::sync::Mutex<Vec<Option<RouterProcess>>>,
    addresses: PeerAddresses,
    last_node: Mutex<u32>,
}

impl Rig {
    /// Starts the nodes of the first configuration, on empty stores.
    ///
    /// # Errors
    ///
    /// No port can be had, or a node does not start.
    pub(super) async fn start(
        config: FleetConfig,
        starting: Starting,
        switchboard: Arc<Switchboard>,
        peers: Arc<Peers>,
        addresses: PeerAddresses,
    ) -> Result<Arc<Rig>, FleetError> {
        let mut nodes = BTreeMap::new();
        for id in 1..=config.nodes {
            let public_address = switchboard.open(id).await.map_err(FleetError::Listen)?;
            let store = config.store_directory.join(store_name(id));
            // Of an earlier run in the same directory, if any.
            let _ = std::fs::remove_file(&store);
            nodes.insert(id, NodeSlot::new(public_address, store));
        }
        let routers = (0..config.routers).map(|_| None).collect();
        let rig = Arc::new(Rig {
            switchboard,
            peers,
            log: Mutex::default(),
            starting,
            nodes: tokio::sync::Mutex::new(nodes),
            routers: tokio::sync::Mutex::new(routers),
            addresses,
            last_node: Mutex::new(config.nodes),
            config,
        });
        for node in 1..=rig.config.nodes {
            rig.start_node(node, &[]).await?;
        }
        Ok(rig)
    }

    pub(super) fn now(&self) -> Micros {
        self.switchboard.now()
    }

    /// Notes what went against the rig's expectations: the report names it as a violation.
    pub(super) fn record_failure(&self, failure: String) {
        locked(&self.log).failures.push(failure);
    }

    /// Notes that a router was away since an instant.
    pub(super) fn record_absence(&self, router: u32, from: Micros) {
        let to = self.now() + SETTLING;
        let absence = RouterAbsence { router, from, to };
        locked(&self.log).router_absences.push(absence);
    }

    /// The numbers of all nodes that ever were.
    pub(super) async fn all_nodes(&self) -> Vec<u32> {
        self.nodes.lock().await.keys().copied().collect()
    }

    /// The numbers of the nodes that are part of the fleet.
    pub(super) async fn current_nodes(&self) -> Vec<u32> {
        let nodes = self.nodes.lock().await;
        let current = nodes.iter().filter(|(_, slot)| !slot.retired);
        current.map(|(id, _)| *id).collect()
    }

    /// Where callers reach the nodes that are part of the fleet.
    pub(super) async fn node_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.lock().await;
        let current = nodes.values().filter(|slot| !slot.retired);
        current.map(|slot| slot.public_address).collect()
    }

    /// The store of a node that is or was part of the fleet.
    pub(super) async fn store(&self, node: u32) -> PathBuf {
        self.nodes.lock().await[&node].store.clone()
    }

    async fn node_flags(&self, node: u32, more: &[String]) -> Vec<String> {
        let nodes = self.nodes.lock().await;
        let slot = &nodes[&node];
        let config = &self.config;
        let election_timeout = config.election_timeout.as_micros();
        let heartbeat_interval = election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT;
        let mut flags = vec![
            format!("--id={node}"),
            "--listen=127.0.0.1:0".into(),
            format!("--store={}", slot.store.display()),
            format!("--fleet={}", config.seed),
            format!("--election-timeout={election_timeout}us"),
            format!("--heartbeat-interval={heartbeat_interval}us"),
            format!("--lease={}us", config.lease.as_micros()),
        ];
        let first = 1..=config.nodes;
        flags.extend(first.map(|id| format!("--member={id}={}", nodes[&id].public_address)));
        if config.replicated_list {
            flags.push(format!("--list={}", self.addresses.list));
        }
        if slot.joins {
            flags.push("--join".into());
        }
        flags.extend_from_slice(more);
        flags
    }

    /// Starts a node with some more flags.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub(super) async fn start_node(&self, node: u32, more: &[String]) -> Result<(), FleetError> {
        let flags = self.node_flags(node, more).await;
        let starting = Starting {
            first: vec!["keeper".into()],
            ..self.starting.clone()
        };
        let process = RouterProcess::start(&starting, &flags, &format!("keeper-{node}"))
            .await
            .map_err(|source| FleetError::StartNode { node, source })?;
        self.switchboard
            .set_node_address(node, Some(process.address));
        if let Some(slot) = self.nodes.lock().await.get_mut(&node) {
            slot.process = Some(process);
        }
        Ok(())
    }

    /// Starts a node that must start.
    pub(super) async fn restart_node(&self, node: u32) {
        if let Err(error) = self.start_node(node, &[]).await {
            self.record_failure(error.to_string());
        }
    }

    /// Adds a node that joins the fleet, and starts it. Nothing else is done to it until it is released.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub(super) async fn add_node(&self) -> std::io::Result<AddedNode> {
        let id = {
            let mut last = locked(&self.last_node);
            *last += 1;
            *last
        };
        let public_address = self.switchboard.open(id).await?;
        let store = self.config.store_directory.join(store_name(id));
        let slot = NodeSlot {
            joins: true,
            busy: true,
            ..NodeSlot::new(public_address, store)
        };
        self.nodes.lock().await.insert(id, slot);
        self.restart_node(id).await;
        Ok(AddedNode { id, public_address })
    }

    /// Kills a node that is no longer part of the fleet.
    pub(super) async fn retire_node(&self, node: u32) {
        self.kill_node(node).await;
        if let Some(slot) = self.nodes.lock().await.get_mut(&node) {
            slot.retired = true;
        }
    }

    pub(super) async fn kill_node(&self, node: u32) {
        let mut nodes = self.nodes.lock().await;
        let process = nodes.get_mut(&node).and_then(|slot| slot.process.take());
        drop(nodes);
        self.switchboard.set_node_address(node, None);
        if let Some(mut process) = process {
            process.resume();
            process.kill().await;
        }
    }

    /// Pauses a node as by SIGSTOP.
    pub(super) async fn pause_node(&self, node: u32) {
        let nodes = self.nodes.lock().await;
        let process = nodes.get(&node).and_then(|slot| slot.process.as_ref());
        if let Some(process) = process {
            process.pause();
        }
    }

    /// Continues a paused node.
    pub(super) async fn resume_node(&self, node: u32) {
        let nodes = self.nodes.lock().await;
        let process = nodes.get(&node).and_then(|slot| slot.process.as_ref());
        if let Some(process) = process {
            process.resume();
        }
    }

    /// Whether the process of a node has ended or never was.
    pub(super) async fn node_has_ended(&self, node: u32) -> bool {
        let mut nodes = self.nodes.lock().await;
        let process = nodes.get_mut(&node).and_then(|slot| slot.process.as_mut());
        process.is_none_or(RouterProcess::has_ended)
    }

    /// Reserves a node for one fault; `false` where it has one or is retired.
    pub(super) async fn reserve_node(&self, node: u32) -> bool {
        let mut nodes = self.nodes.lock().await;
        let slot = nodes.get_mut(&node);
        let Some(slot) = slot.filter(|slot| !slot.busy && !slot.retired) else {
            return false;
        };
        slot.busy = true;
        true
    }

    /// Ends the reservation of a node.
    pub(super) async fn release_node(&self, node: u32) {
        if let Some(slot) = self.nodes.lock().await.get_mut(&node) {
            slot.busy = false;
        }
    }

    async fn router_flags(&self, router: u32) -> Vec<String> {
        let config = &self.config;
        let list = match config.replicated_list {
            true => self.addresses.silent_list,
            false => self.addresses.list,
        };
        let seed = config.seed.wrapping_mul(31).wrapping_add(router.into());
        let mut flags = vec![
            "--listen=127.0.0.1:0".to_string(),
            format!("--list={list}"),
            format!("--release-controller={}", self.addresses.release_controller),
            format!("--index={router}"),
            format!("--fleet-size={}", config.routers),
            // Their order gives the numbers of the operations in `peers`.
            "--op=read:redeliverable:target=500ms:timeout=2s".into(),
            "--op=seal:at-most-once:target=500ms:timeout=2s".into(),
            "--exposure-free=1000".into(),
            format!("--seed={seed}"),
        ];
        let nodes = self.node_addresses().await;
        flags.extend(
            nodes
                .iter()
                .map(|address| format!("--control-plane={address}")),
        );
        if config.replicated_list {
            flags.push("--replicated-list".into());
        }
        flags
    }

    pub(super) async fn start_router(&self, router: u32) {
        let flags = self.router_flags(router).await;
        let starting = Starting {
            first: vec!["router".into()],
            ..self.starting.clone()
        };
        match RouterProcess::start(&starting, &flags, &format!("router-{router}")).await {
            Ok(process) => {
                self.peers.set_router_address(router, Some(process.address));
                self.return_router(router, process).await;
            }
            Err(error) => self.record_failure(error.to_string()),
        }
    }

    /// Takes a router for one fault; `None` where it has one or does not run.
    pub(super) async fn take_router(&self, router: u32) -> Option<RouterProcess> {
        self.routers.lock().await[router as usize].take()
    }

    pub(super) async fn return_router(&self, router: u32, process: RouterProcess) {
        self.routers.lock().await[router as usize] = Some(process);
    }

    /// Kills all processes.
    pub(super) async fn kill_all(&self) {
        for process in self.routers.lock().await.iter_mut().flatten() {
            process.kill().await;
        }
        for slot in self.nodes.lock().await.values_mut() {
            if let Some(process) = &mut slot.process {
                process.kill().await;
            }
        }
    }
}

/// A node that was added to the rig, and is no voter yet.
pub(super) struct AddedNode {
    pub(super) id: u32,
    pub(super) public_address: SocketAddr,
}

/// File name of a node's store. Kept since the first version: people look for it in `--stores`.
fn store_name(node: u32) -> String {
    format!("keeper-{node}.redb")
}
