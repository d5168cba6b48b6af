//! Opens stores of control-plane nodes that the build of commit d62ab1d wrote (the start build) with the current code.
//!
//! `fixtures/d62ab1d` holds the store files of the three nodes of fleet 62. They had been started twice, had committed
//! five revisions and a list of three hosts, and were ended by SIGTERM. `status.json` and `history.json` are the output
//! of `spokeflow-fleet status --json` and `history --json` of that build just before. `keeper-1-with-snapshot.redb` is
//! the store of node 1 after 500 more entries, which made it take a snapshot, and a sixth revision;
//! `status-with-snapshot.json` is the status just before it was ended.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use spokeflow_control_plane::client::send_request;
use spokeflow_control_plane::{OpenedStore, ProcessStart, Store};
use spokeflow_coordination::wire::{ClusterStatus, Request, Response};
use spokeflow_coordination::{
    ConfigState, ListVersion, LogCommand, Overrides, ProposalOutcome, RevisionNumber,
    RevisionRecord,
};
use spokeflow_raft::{LogIndex, NodeId, Payload, PersistentState, Term};

const FLEET: u64 = 62;
const STATUS: &str = include_str!("fixtures/d62ab1d/status.json");
const HISTORY: &str = include_str!("fixtures/d62ab1d/history.json");
const STATUS_WITH_SNAPSHOT: &str = include_str!("fixtures/d62ab1d/status-with-snapshot.json");
/// The process number with which a test opens a store.
const OWN_PROCESS: u64 = 4242;
/// Token of the proposal that was refused as stale.
const STALE_TOKEN: u64 = 16872578440122145327;

/// Copies a store file for one test, since opening a store writes to it.
fn copy_of(store: &str, test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("store_compatibility")
        .join(test);
    std::fs::create_dir_all(&folder).unwrap();
    let copy = folder.join(store);
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/d62ab1d");
    std::fs::copy(fixtures.join(store), &copy).unwrap();
    copy
}

fn status() -> ClusterStatus {
    serde_json::from_str(STATUS).unwrap()
}

fn status_with_snapshot() -> ClusterStatus {
    serde_json::from_str(STATUS_WITH_SNAPSHOT).unwrap()
}

fn nodes() -> [NodeId; 3] {
    [1, 2, 3].map(NodeId)
}

fn values(named: &[(&str, &str)]) -> Overrides {
    let owned = named
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()));
    owned.collect()
}

/// Returns the state after the snapshot and all stored entries.
fn state_of(saved: &PersistentState) -> ConfigState {
    let mut state = match saved.snapshot.last_included_index {
        LogIndex(0) => ConfigState::default(),
        _ => ConfigState::decode(&saved.snapshot.state).unwrap(),
    };
    for entry in &saved.log {
        if let Payload::Command(bytes) = &entry.payload {
            state.apply(LogCommand::decode(bytes).expect("stored command must be decodable"));
        }
    }
    state
}

/// Asserts that the stored state equals the status that the start build printed.
fn check_state(state: &ConfigState, printed: &ClusterStatus) {
    assert_eq!(state.in_force, printed.in_force);
    assert_eq!(state.pending, printed.pending);
    assert!(state.history.iter().eq(&printed.history));
    assert_eq!(state.list.version, ListVersion(printed.list));
    assert_eq!(state.list.source_version, printed.list_source);
    assert_eq!(state.list.hosts().count() as u64, printed.hosts);
}

fn check_store_of(node: NodeId) {
    let file = copy_of(&format!("keeper-{}.redb", node.0), "each_store");
    let OpenedStore {
        store,
        saved,
        start,
        processes,
    } = Store::open(&file, FLEET, node, None, OWN_PROCESS).unwrap();
    assert_eq!((start, processes.len()), (3, 3));
    assert_eq!(processes[2], OWN_PROCESS);
    let seen: Vec<(NodeId, u64)> = store
        .starts()
        .unwrap()
        .iter()
        .map(|(other, start)| (*other, start.count))
        .collect();
    let others = nodes().into_iter().filter(|other| *other != node);
    assert_eq!(seen, others.map(|other| (other, 2)).collect::<Vec<_>>());
    assert_eq!(
        (saved.term, saved.voted_for),
        (status().term, Some(status().leader))
    );
    assert_eq!(saved.log.len() as u64, status().committed.0);
    check_state(&state_of(&saved), &status());
    assert_eq!(
        state_of(&saved).outcome(STALE_TOKEN),
        Some(ProposalOutcome::Stale {
            newest: RevisionNumber(5)
        })
    );
}

#[test]
fn each_store_holds_what_the_start_build_printed() {
    nodes().into_iter().for_each(check_store_of);
}

#[test]
fn recorded_processes_of_other_nodes_are_those_in_their_stores() {
    let newest = nodes().map(|node| {
        let file = copy_of(&format!("keeper-{}.redb", node.0), "processes");
        let opened = Store::open(&file, FLEET, node, None, OWN_PROCESS).unwrap();
        let newest = ProcessStart {
            count: 2,
            process: opened.processes[1],
        };
        (node, newest, opened.store.starts().unwrap())
    });
    for (node, _, seen) in &newest {
        let others = newest.iter().filter(|other| other.0 != *node);
        assert!(seen
            .iter()
            .copied()
            .eq(others.map(|other| (other.0, other.1))));
    }
}

#[test]
fn printed_status_and_history_are_decoded_without_loss() {
    let status = status();
    assert_eq!(
        (status.leader, status.term, status.committed),
        (NodeId(2), Term(3), LogIndex(15))
    );
    assert_eq!((status.list, status.list_source, status.hosts), (1, 77, 3));
    assert_eq!(status.voters, nodes());
    let history: Vec<RevisionRecord> = serde_json::from_str(HISTORY).unwrap();
    assert_eq!(history, status.history);
    assert!(history
        .iter()
        .map(|record| record.revision.number.0)
        .eq(1..=5));
    let who: Vec<&str> = history.iter().map(|record| record.who.as_str()).collect();
    assert_eq!(who, ["ann", "bert", "cora", "dina", "emil o'hara"]);
    assert_eq!(history[4].why, "names with signs: é, \" and ,");
    let newest = [
        ("delivery-cap", "2"),
        ("guarded-stages", "1"),
        ("longest-return", "5s"),
        ("stage-cap", "0.01,0.05,0.3,1"),
    ];
    assert_eq!(status.in_force.values, values(&newest));
}

#[test]
fn a_store_with_a_snapshot_holds_what_the_start_build_printed() {
    let file = copy_of("keeper-1-with-snapshot.redb", "with_snapshot");
    let OpenedStore { saved, start, .. } =
        Store::open(&file, FLEET, NodeId(1), None, OWN_PROCESS).unwrap();
    let printed = status_with_snapshot();
    assert_eq!((start, saved.term, printed.term), (4, Term(4), Term(4)));
    assert_eq!(
        (saved.snapshot.last_included_index, saved.snapshot.term),
        (LogIndex(500), Term(4))
    );
    assert_eq!(saved.snapshot.voters, nodes());
    assert_eq!(
        saved.snapshot.last_included_index.0 + saved.log.len() as u64,
        printed.committed.0
    );
    check_state(&state_of(&saved), &printed);
    let address = state_of(&saved).addresses.get(&NodeId(9)).cloned();
    assert_eq!(address.as_deref(), Some("127.0.0.1:30500"));
    assert_eq!(state_of(&saved).in_force.number, RevisionNumber(6));
}

/// The process of a node; dropping it ends the process.
struct Running(Child);

impl Running {
    /// Whether the process has not ended. A node that cannot open its store ends at once.
    fn is_running(&mut self) -> bool {
        self.0.try_wait().unwrap().is_none()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_addresses() -> Vec<SocketAddr> {
    let listeners = nodes().map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}

/// Starts the built program on a copy of this node's store.
fn start(node: NodeId, addresses: &[SocketAddr]) -> Running {
    let file = copy_of(&format!("keeper-{}.redb", node.0), "started");
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeflow-control-plane"));
    command.args(["--id", &node.0.to_string(), "--fleet", &FLEET.to_string()]);
    command
        .arg("--listen")
        .arg(addresses[node.0 as usize - 1].to_string());
    command.arg("--store").arg(file);
    for (member, address) in nodes().iter().zip(addresses) {
        command
            .arg("--member")
            .arg(format!("{}={address}", member.0));
    }
    command.stdout(Stdio::null()).stderr(Stdio::null());
    Running(command.spawn().unwrap())
}

/// Returns the status that the started nodes answer with once one of them leads.
fn request_status(addresses: &[SocketAddr]) -> ClusterStatus {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    match runtime.block_on(send_request(
        addresses,
        Request::Status,
        Duration::from_secs(30),
    )) {
        Ok(Response::Status(status)) => *status,
        other => panic!("expected a status, got {other:?}"),
    }
}

#[test]
fn nodes_started_on_the_stores_answer_as_the_start_build_did() {
    let addresses = free_addresses();
    let mut running = nodes().map(|node| start(node, &addresses));
    let (current, printed) = (request_status(&addresses), status());
    assert!(running.iter_mut().all(Running::is_running));
    assert!(current.term > printed.term);
    assert!(current.committed > printed.committed);
    assert_eq!(
        (current.in_force, current.pending),
        (printed.in_force, printed.pending)
    );
    assert_eq!(current.history, printed.history);
    assert_eq!(current.voters, printed.voters);
    assert_eq!(
        (current.list, current.list_source, current.hosts),
        (1, 77, 3)
    );
}
