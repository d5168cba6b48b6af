//! Injects faults: begins each, waits for its duration, and ends it.

use std::path::{Path, PathBuf};
use std::time::Duration;

use spokeflow_control_plane::client::send_request;
use spokeflow_control_plane::Store;
use spokeflow_coordination::wire::{ClusterStatus, Request, Response};
use spokeflow_raft::NodeId;
use tokio::time::{sleep, Instant};

use super::faults::{Disk, Fault};
use super::observations::DiskSwap;
use super::rig::{AddedNode, Rig};
use super::switchboard::{Link, LinkCondition, Participant};
use crate::locked;
use crate::{Micros, MS};

/// Time within which the nodes must answer a status request.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a node runs on a swapped disk, unless its process ends before.
const DISK_SWAP_DURATION: Duration = Duration::from_secs(2);
/// Time after the kill of a node during which frames that it sent before may still arrive.
const FRAME_SETTLE_TIME: Micros = 100 * MS;
/// Time between the kill of a node on a swapped disk and its restart on its own. Must be longer than
/// `FRAME_SETTLE_TIME`, so that no message of the restarted node falls into the recorded disk swap.
const DISK_SWAP_PAUSE: Duration = Duration::from_millis(150);
/// Time that a node has to reach its injected crash or disk failure before it is killed.
const CRASH_TIMEOUT: Duration = Duration::from_secs(3);
const CRASH_POLL: Duration = Duration::from_millis(20);
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Time within which a change of voters must be complete.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(20);
const REPLACE_POLL: Duration = Duration::from_millis(200);
const SET_ADDRESS_TIMEOUT: Duration = Duration::from_secs(10);
const CHANGE_VOTERS_TIMEOUT: Duration = Duration::from_secs(2);

impl Rig {
    /// Begins a fault, waits for its duration and ends it. Nodes and routers that another fault has reserved are left
    /// out.
    pub(super) async fn inject(&self, fault: Fault) {
        match fault {
            Fault::KillNode { node, down, disk } => self.inject_kill(node, down, disk).await,
            Fault::KillLeader { down } => self.inject_leader_kill(down).await,
            Fault::CrashAt { node, point } => {
                self.inject_crash(node, format!("--crash-at={point}")).await;
            }
            Fault::FailWrites { node, after } => {
                self.inject_crash(node, format!("--fail-writes-from={after}"))
                    .await;
            }
            Fault::PauseNode { node, lasts } => self.inject_node_pause(node, lasts).await,
            Fault::KillAllNodes { lasts } => self.inject_outage(lasts).await,
            Fault::ReplaceNode { node } => self.replace_node(node).await,
            Fault::KillRouter { router, down } => self.inject_router_kill(router, down).await,
            Fault::PauseRouter { router, lasts } => self.inject_router_pause(router, lasts).await,
            Fault::Cut {
                links,
                lasts,
                reset,
            } => self.inject_cut(&links, lasts, reset).await,
            Fault::Degrade { condition, lasts } => self.inject_degrade(condition, lasts).await,
        }
    }

    async fn inject_kill(&self, node: u32, down: Duration, disk: Disk) {
        if !self.reserve_node(node).await {
            return;
        }
        self.kill_node(node).await;
        let copies = StoreCopies::new(self.store_path(node).await);
        sleep(down).await;
        if disk != Disk::Own {
            self.run_on_swapped_disk(node, &disk, &copies).await;
        }
        copy(&copies.store, &copies.stale);
        self.restart_node(node).await;
        self.release_node(node).await;
    }

    async fn inject_leader_kill(&self, down: Duration) {
        let Some(status) = self.status(STATUS_TIMEOUT).await else {
            return;
        };
        let leader = status.leader.0;
        if !self.reserve_node(leader).await {
            return;
        }
        self.kill_node(leader).await;
        let killed_at = self.now();
        locked(&self.log).leaders_killed_at.push(killed_at);
        sleep(down).await;
        self.restart_node(leader).await;
        self.release_node(leader).await;
    }

    async fn inject_node_pause(&self, node: u32, lasts: Duration) {
        if !self.reserve_node(node).await {
            return;
        }
        self.pause_node(node).await;
        sleep(lasts).await;
        self.resume_node(node).await;
        self.release_node(node).await;
    }

    async fn inject_outage(&self, lasts: Duration) {
        let mut killed = Vec::new();
        for node in self.all_nodes().await {
            if self.reserve_node(node).await {
                self.kill_node(node).await;
                killed.push(node);
            }
        }
        sleep(lasts).await;
        for node in killed {
            self.restart_node(node).await;
            self.release_node(node).await;
        }
    }

    async fn inject_router_kill(&self, router: u32, down: Duration) {
        let Some(mut process) = self.take_router(router).await else {
            return;
        };
        let from = self.now();
        self.peers.set_router_address(router, None);
        process.kill().await;
        sleep(down).await;
        self.start_router(router).await;
        self.record_absence(router, from);
    }

    async fn inject_router_pause(&self, router: u32, lasts: Duration) {
        let Some(process) = self.take_router(router).await else {
            return;
        };
        let from = self.now();
        process.pause();
        sleep(lasts).await;
        process.resume();
        self.return_router(router, process).await;
        self.record_absence(router, from);
    }

    async fn inject_cut(&self, links: &[Link], lasts: Duration, reset: bool) {
        for link in links {
            self.switchboard
                .set_condition(*link, LinkCondition::BLOCKED);
            if reset {
                self.switchboard.reset(*link);
            }
        }
        sleep(lasts).await;
        for link in links {
            self.switchboard
                .set_condition(*link, LinkCondition::HEALTHY);
        }
    }

    async fn inject_degrade(&self, condition: LinkCondition, lasts: Duration) {
        let nodes = self.all_nodes().await.into_iter().map(Participant::Node);
        let routers = (0..self.config.routers).map(Participant::Router);
        let processes: Vec<Participant> = nodes.chain(routers).collect();
        self.set_all_links(&processes, condition);
        sleep(lasts).await;
        self.set_all_links(&processes, LinkCondition::HEALTHY);
    }

    fn set_all_links(&self, processes: &[Participant], condition: LinkCondition) {
        for from in processes {
            for to in processes {
                self.switchboard
                    .set_condition(Link::new(*from, *to), condition);
            }
        }
    }

    /// Runs a node on a swapped disk for `DISK_SWAP_DURATION`, then puts its own store back. Does nothing if there is
    /// no stale copy yet, or if truncation removed no data.
    async fn run_on_swapped_disk(&self, node: u32, disk: &Disk, copies: &StoreCopies) {
        let store = &copies.store;
        copy(store, &copies.own);
        match disk {
            Disk::Own => return,
            Disk::Stale if !copies.stale.exists() => return,
            Disk::Stale => copy(&copies.stale, store),
            Disk::Empty => {
                // Fails only if the store does not exist, which is an empty disk as well.
                let _ = std::fs::remove_file(store);
            }
            Disk::Truncated => truncate(store),
        }
        // If the truncated part held no data, the store still counts as the node's own disk.
        let fleet = self.config.seed;
        if *disk == Disk::Truncated && same_content(node, fleet, store, &copies.own) {
            return;
        }
        let from = self.now();
        // The node may refuse to start, or end when another node recognizes the swapped disk. While no other node runs
        // it keeps running.
        if self.start_node(node, &[]).await.is_ok() {
            sleep(DISK_SWAP_DURATION).await;
        }
        self.kill_node(node).await;
        let to = self.now() + FRAME_SETTLE_TIME;
        let swap = DiskSwap { node, from, to };
        locked(&self.log).disk_swaps.push(swap);
        sleep(DISK_SWAP_PAUSE).await;
        copy(&copies.own, store);
    }

    /// Restarts a node with a flag that makes its process end by itself, waits for that, and restarts it without the
    /// flag.
    async fn inject_crash(&self, node: u32, flag: String) {
        if !self.reserve_node(node).await {
            return;
        }
        self.kill_node(node).await;
        let started = self.start_node(node, &[flag]).await.is_ok();
        let deadline = Instant::now() + CRASH_TIMEOUT;
        while started && Instant::now() < deadline {
            if self.node_has_ended(node).await {
                break;
            }
            sleep(CRASH_POLL).await;
        }
        self.kill_node(node).await;
        sleep(RESTART_PAUSE).await;
        self.restart_node(node).await;
        self.release_node(node).await;
    }

    /// Adds a node with a new number to the voters, removes the old node from them and kills it.
    async fn replace_node(&self, old: u32) {
        if !self.reserve_node(old).await {
            return;
        }
        let Ok(added) = self.add_node().await else {
            return;
        };
        self.change_voters(old, &added).await;
        let removed = self
            .status(STATUS_TIMEOUT)
            .await
            .is_some_and(|status| !status.voters.contains(&NodeId(old)));
        if removed {
            self.retire_node(old).await;
        }
        self.release_node(old).await;
        self.release_node(added.id).await;
    }

    /// Requests changes of the voters until the status shows them: first adds the new node, then removes the old one.
    async fn change_voters(&self, old: u32, added: &AddedNode) {
        let addresses = self.node_addresses().await;
        let deadline = Instant::now() + REPLACE_TIMEOUT;
        let new = NodeId(added.id);
        let old = NodeId(old);
        let set_address = Request::SetAddress {
            node: new,
            address: added.public_address.to_string(),
        };
        // A failure becomes visible in the status below or at the routers.
        let _ = send_request(&addresses, set_address, SET_ADDRESS_TIMEOUT).await;
        while Instant::now() < deadline {
            let response = send_request(&addresses, Request::Status, STATUS_TIMEOUT).await;
            let Ok(Response::Status(status)) = response else {
                continue;
            };
            let mut voters = status.voters.clone();
            if !voters.contains(&new) {
                voters.push(new);
            } else if voters.contains(&old) {
                voters.retain(|voter| *voter != old);
            } else {
                break;
            }
            let change = Request::ChangeVoters(voters);
            // A request that fails is repeated until the status shows the change.
            let _ = send_request(&addresses, change, CHANGE_VOTERS_TIMEOUT).await;
            sleep(REPLACE_POLL).await;
        }
    }

    /// Returns the status of the control plane, or `None` if no node answers within `time_limit`.
    pub(super) async fn status(&self, time_limit: Duration) -> Option<ClusterStatus> {
        let addresses = self.node_addresses().await;
        match send_request(&addresses, Request::Status, time_limit).await {
            Ok(Response::Status(status)) => Some(*status),
            _ => None,
        }
    }
}

/// Paths of a node's store and of the rig's copies of it.
struct StoreCopies {
    store: PathBuf,
    /// Copy from the previous kill of the node.
    stale: PathBuf,
    /// Copy of the node's own store while a swapped disk is in its place.
    own: PathBuf,
}

impl StoreCopies {
    fn new(store: PathBuf) -> StoreCopies {
        StoreCopies {
            stale: store.with_extension("old"),
            own: store.with_extension("own"),
            store,
        }
    }
}

/// Copies a store. A store that does not exist yet is not copied.
fn copy(from: &Path, to: &Path) {
    let _ = std::fs::copy(from, to);
}

/// Cuts off the last quarter of a store, if it exists.
fn truncate(store: &Path) {
    let length = std::fs::metadata(store).map_or(0, |metadata| metadata.len());
    if let Ok(file) = std::fs::OpenOptions::new().write(true).open(store) {
        // If this fails, the caller finds that the content has not changed.
        let _ = file.set_len(length * 3 / 4);
    }
}

/// Returns whether two stores of a node have the same content. Opens copies of them, since opening a store increments
/// its count of starts.
fn same_content(node: u32, fleet: u64, one: &Path, other: &Path) -> bool {
    let read = |store: &Path| {
        let inspected = store.with_extension("look");
        copy(store, &inspected);
        Store::open(&inspected, fleet, NodeId(node), None, 0)
            .ok()
            .map(|opened| (opened.saved, opened.start))
    };
    read(one).is_some_and(|saved| Some(saved) == read(other))
}
