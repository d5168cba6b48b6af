//! The processes of the rig: starts, kills and pauses nodes and routers, and logs what the checker must know of it.

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
use crate::routers::{ChildProcess, Starting};
use crate::Micros;

/// Heartbeats of a leader within one election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u128 = 5;
/// Time after the return of a router during which commands that waited for it, and its earlier connections, may still
/// end without an answer.
const ROUTER_SETTLE_TIME: Micros = 500 * crate::MS;

/// Configuration of a run of the fleet rig.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of routers; they are numbered from 0.
    pub routers: u32,
    /// Number of control-plane nodes at the start; they are numbered from 1.
    pub nodes: u32,
    /// Seed from which faults, proposals and drains are drawn.
    pub seed: u64,
    /// Time during which drawn faults begin. Scripted faults take as long as their pauses.
    pub duration: Duration,
    /// Faults to inject in place of drawn ones; if it is empty, faults are drawn.
    pub script: Vec<ScriptedFault>,
    /// Duration of a router's lease.
    pub lease: Duration,
    /// Time without messages of the leader after which the nodes elect another.
    pub election_timeout: Duration,
    /// Directory of the nodes' stores.
    pub store_directory: PathBuf,
    /// Whether the stores are kept at the end of the run.
    pub keep_stores: bool,
    /// Whether routers get the endpoint list from the nodes. The registry to which they connect themselves is then
    /// silent.
    pub replicated_list: bool,
    /// Whether no faults are drawn and each revision is proposed as soon as the one before is in force.
    pub fault_free: bool,
    /// Time between two commands of a client.
    pub command_interval: Duration,
}

/// A node of the fleet, which may be down.
pub(super) struct NodeSlot {
    process: Option<ChildProcess>,
    /// Address at which the switchboard accepts connections to the node.
    public_address: SocketAddr,
    store: PathBuf,
    /// Whether the node was added during the run, and is started with `--join`.
    joins: bool,
    /// Whether a fault has reserved the node; no other fault may then begin on it.
    reserved: bool,
    /// Whether the node was replaced and is no longer part of the fleet.
    retired: bool,
}

impl NodeSlot {
    fn new(public_address: SocketAddr, store: PathBuf) -> NodeSlot {
        NodeSlot {
            process: None,
            public_address,
            store,
            joins: false,
            reserved: false,
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
    /// By number of the router; `None` while it does not run or a fault has taken it.
    routers: tokio::sync::Mutex<Vec<Option<ChildProcess>>>,
    addresses: PeerAddresses,
    /// Highest number that a node was given.
    last_node: Mutex<u32>,
}

impl Rig {
    /// Starts the initial nodes with empty stores.
    ///
    /// # Errors
    ///
    /// Fails if no port is available or a node does not start.
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
            let store = config.store_directory.join(store_file_name(id));
            // An earlier run in the same directory may have left a store.
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

    /// Records a failure of the rig, such as a process that did not start. The report lists it as a violation.
    pub(super) fn record_failure(&self, failure: String) {
        locked(&self.log).failures.push(failure);
    }

    /// Records that a router was killed or paused from `from` until now.
    pub(super) fn record_absence(&self, router: u32, from: Micros) {
        let to = self.now() + ROUTER_SETTLE_TIME;
        let absence = RouterAbsence { router, from, to };
        locked(&self.log).router_absences.push(absence);
    }

    /// Returns the numbers of all nodes of the run, including retired ones.
    pub(super) async fn all_nodes(&self) -> Vec<u32> {
        self.nodes.lock().await.keys().copied().collect()
    }

    /// Returns the numbers of the nodes that are part of the fleet.
    pub(super) async fn current_nodes(&self) -> Vec<u32> {
        let nodes = self.nodes.lock().await;
        let current = nodes.iter().filter(|(_, slot)| !slot.retired);
        current.map(|(id, _)| *id).collect()
    }

    /// Returns the switchboard's addresses of the nodes that are part of the fleet.
    pub(super) async fn node_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.lock().await;
        let current = nodes.values().filter(|slot| !slot.retired);
        current.map(|slot| slot.public_address).collect()
    }

    /// Returns the path of the store of a node that is or was part of the fleet.
    pub(super) async fn store_path(&self, node: u32) -> PathBuf {
        self.nodes.lock().await[&node].store.clone()
    }

    async fn node_flags(&self, node: u32, extra_flags: &[String]) -> Vec<String> {
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
        let initial_nodes = 1..=config.nodes;
        flags
            .extend(initial_nodes.map(|id| format!("--member={id}={}", nodes[&id].public_address)));
        if config.replicated_list {
            flags.push(format!("--list={}", self.addresses.list));
        }
        if slot.joins {
            flags.push("--join".into());
        }
        flags.extend_from_slice(extra_flags);
        flags
    }

    /// Starts a node with extra flags.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub(super) async fn start_node(
        &self,
        node: u32,
        extra_flags: &[String],
    ) -> Result<(), FleetError> {
        let flags = self.node_flags(node, extra_flags).await;
        let starting = Starting {
            first: vec!["keeper".into()],
            ..self.starting.clone()
        };
        let process = ChildProcess::start(&starting, &flags, &format!("keeper-{node}"))
            .await
            .map_err(|source| FleetError::StartNode { node, source })?;
        self.switchboard
            .set_node_address(node, Some(process.address));
        if let Some(slot) = self.nodes.lock().await.get_mut(&node) {
            slot.process = Some(process);
        }
        Ok(())
    }

    /// Starts a node without extra flags, and records a failure if it does not start.
    pub(super) async fn restart_node(&self, node: u32) {
        if let Err(error) = self.start_node(node, &[]).await {
            self.record_failure(error.to_string());
        }
    }

    /// Starts a new node that joins the fleet. It stays reserved until [`Rig::release_node`] is called.
    ///
    /// # Errors
    ///
    /// Fails if no port is available.
    pub(super) async fn add_node(&self) -> std::io::Result<AddedNode> {
        let id = {
            let mut last = locked(&self.last_node);
            *last += 1;
            *last
        };
        let public_address = self.switchboard.open(id).await?;
        let store = self.config.store_directory.join(store_file_name(id));
        let slot = NodeSlot {
            joins: true,
            reserved: true,
            ..NodeSlot::new(public_address, store)
        };
        self.nodes.lock().await.insert(id, slot);
        self.restart_node(id).await;
        Ok(AddedNode { id, public_address })
    }

    /// Kills a node and marks it as no longer part of the fleet.
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

    /// Resumes a paused node.
    pub(super) async fn resume_node(&self, node: u32) {
        let nodes = self.nodes.lock().await;
        let process = nodes.get(&node).and_then(|slot| slot.process.as_ref());
        if let Some(process) = process {
            process.resume();
        }
    }

    /// Returns whether a node has no running process.
    pub(super) async fn node_has_ended(&self, node: u32) -> bool {
        let mut nodes = self.nodes.lock().await;
        let process = nodes.get_mut(&node).and_then(|slot| slot.process.as_mut());
        process.is_none_or(ChildProcess::has_ended)
    }

    /// Reserves a node for a fault. Returns `false` if another fault has reserved it or it is retired.
    pub(super) async fn reserve_node(&self, node: u32) -> bool {
        let mut nodes = self.nodes.lock().await;
        let slot = nodes.get_mut(&node);
        let Some(slot) = slot.filter(|slot| !slot.reserved && !slot.retired) else {
            return false;
        };
        slot.reserved = true;
        true
    }

    /// Ends the reservation of a node.
    pub(super) async fn release_node(&self, node: u32) {
        if let Some(slot) = self.nodes.lock().await.get_mut(&node) {
            slot.reserved = false;
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
            // The order of operations gives their numbers, which `clients` uses.
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
        match ChildProcess::start(&starting, &flags, &format!("router-{router}")).await {
            Ok(process) => {
                self.peers.set_router_address(router, Some(process.address));
                self.return_router(router, process).await;
            }
            Err(error) => self.record_failure(error.to_string()),
        }
    }

    /// Takes a router for a fault. Returns `None` if another fault has taken it or it does not run.
    pub(super) async fn take_router(&self, router: u32) -> Option<ChildProcess> {
        self.routers.lock().await[router as usize].take()
    }

    pub(super) async fn return_router(&self, router: u32, process: ChildProcess) {
        self.routers.lock().await[router as usize] = Some(process);
    }

    /// Kills all nodes and routers.
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

/// A node that was added to the rig and is not a voter yet.
pub(super) struct AddedNode {
    pub(super) id: u32,
    pub(super) public_address: SocketAddr,
}

/// Returns the file name of a node's store. Operators look for this name in the directory of `--stores`, so it must not
/// change.
fn store_file_name(node: u32) -> String {
    format!("keeper-{node}.redb")
}
