//! Runs real control-plane nodes and routers under faults and checks the frames at the switchboard and the records of
//! hosts and clients.

use std::time::Duration;

use spokeflow_control_plane::CRASH_POINTS;
use spokeflow_coordination::wire::ToNode;
use spokeflow_raft::Message;
use spokeflow_testbed::fleet::{
    run, Disk, Fault, FleetConfig, FleetRun, Frame, FramePayload, Link, Participant, Report,
    ScriptedFault,
};
use spokeflow_testbed::routers::Starting;

/// Runs the fleet, and checks that there are no violations and that the run exercised the rules.
fn checked_run(
    name: &str,
    seed: u64,
    routers: u32,
    script: Vec<ScriptedFault>,
) -> (Report, Vec<Frame>) {
    let program = env!("CARGO_BIN_EXE_spokeflow-testbed").into();
    let starting = Starting {
        program,
        first: Vec::new(),
        logs: None,
        log: "info".into(),
    };
    let store_directory =
        std::env::temp_dir().join(format!("spokeflow-{name}-{}-{seed}", std::process::id()));
    let config = FleetConfig {
        routers,
        nodes: 3,
        seed,
        duration: Duration::from_secs(12),
        script,
        lease: Duration::from_millis(1500),
        election_timeout: Duration::from_millis(300),
        store_directory,
        keep_stores: false,
        replicated_list: seed % 4 != 2,
        fault_free: false,
        command_interval: Duration::from_millis(20),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let run = runtime.block_on(run(config, starting, |_, _| {}));
    let FleetRun {
        report,
        frames,
        faults,
    } = run.unwrap();
    runtime.shutdown_background();
    println!("{}\n{}", faults.join("\n"), report.text());
    assert!(
        report.passed(),
        "{:?}",
        &report.violations[..report.violations.len().min(5)]
    );
    // Without revisions and deliveries to the canary build nothing could be violated.
    assert!(
        report.revisions > 1 && report.canary_deliveries > 20,
        "expected more than 1 revision and more than 20 deliveries to the canary build: {}",
        report.text()
    );
    // Not all commands are acked: a router that gets the endpoint list from the nodes has none yet when it starts.
    assert!(
        report.acked * 100 > report.commands * 85,
        "expected more than 85 % of all commands to be acked: {}",
        report.text()
    );
    // Where `seed % 4 == 2` the nodes have no endpoint list, so they announce no drains.
    assert!(
        seed % 4 == 2 || report.drains > 0,
        "expected drains: {}",
        report.text()
    );
    (report, frames)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn fault(fault: Fault, pause: Duration) -> ScriptedFault {
    ScriptedFault { fault, pause }
}

fn is_append(payload: &FramePayload) -> bool {
    matches!(
        payload,
        FramePayload::ToNode(ToNode::Raft(Message::AppendEntries { .. }))
    )
}

#[test]
fn drawn_faults_cause_no_violations() {
    for seed in [1, 2] {
        let (report, _) = checked_run("drawn", seed, 4, Vec::new());
        assert!(
            report.faults > 5,
            "expected more than 5 faults: {}",
            report.text()
        );
    }
}

/// Guards against routers that act against a newer revision for longer than their lease: one that is cut off from all
/// nodes, one whose frames reach no node, and one that is paused.
#[test]
fn cut_off_and_paused_routers_act_on_old_revisions_no_longer_than_the_lease() {
    let nodes = || (1..4).map(Participant::Node);
    let both_directions: Vec<Link> = nodes()
        .flat_map(|node| Link::both(Participant::Router(0), node))
        .collect();
    let outbound: Vec<Link> = nodes()
        .map(|node| Link::new(Participant::Router(1), node))
        .collect();
    let mut script = Vec::new();
    for reset in [true, false] {
        let cut = |links: &Vec<Link>| Fault::Cut {
            links: links.clone(),
            lasts: seconds(5.0),
            reset,
        };
        script.push(fault(cut(&both_directions), seconds(0.5)));
        script.push(fault(cut(&outbound), seconds(0.5)));
        let pause = Fault::PauseRouter {
            router: 2,
            lasts: seconds(2.5),
        };
        script.push(fault(pause, seconds(9.0)));
    }
    let (report, _) = checked_run("cut", 3, 4, script);
    assert!(
        report.longest_contradiction_us > 0,
        "expected deliveries against a newer revision: {}",
        report.text()
    );
}

/// Guards against routers that stop serving, or still use the canary build without a lease, while all nodes are down,
/// and against routers that do not use that build again afterwards.
#[test]
fn routers_serve_only_the_released_build_while_all_nodes_are_down() {
    let outage = Fault::KillAllNodes {
        lasts: seconds(5.0),
    };
    checked_run("alone", 4, 4, vec![fault(outage, seconds(7.0))]);
}

#[test]
fn all_initial_nodes_can_be_replaced() {
    let replace = |node| fault(Fault::ReplaceNode { node }, seconds(5.0));
    let script = vec![replace(1), replace(2), replace(3)];
    let (_, frames) = checked_run("replaced", 5, 3, script);
    let last_participants = frames
        .iter()
        .rev()
        .filter(|frame| is_append(&frame.payload))
        .take(20)
        .flat_map(|frame| [frame.link.from, frame.link.to]);
    let initial_nodes = last_participants
        .filter(|participant| matches!(participant, Participant::Node(1..=3)))
        .count();
    assert_eq!(
        initial_nodes, 0,
        "initial nodes sent or received some of the last 20 append messages"
    );
    // Every node has connected to every other, even without messages to send, so that all can recognize a stale disk.
    let hello = |from, to| {
        let link = Link::new(Participant::Node(from), Participant::Node(to));
        frames.iter().any(|frame| {
            frame.link == link
                && matches!(frame.payload, FramePayload::ToNode(ToNode::Hello { .. }))
        })
    };
    let pairs = (4..7)
        .flat_map(|from| (4..7).map(move |to| (from, to)))
        .filter(|(from, to)| from != to);
    assert_eq!(
        pairs
            .filter(|(from, to)| !hello(*from, *to))
            .collect::<Vec<_>>(),
        []
    );
}

/// Guards against a node that votes or acknowledges entries on a stale, truncated or empty disk: it could contradict
/// what it promised before.
#[test]
fn nodes_on_stale_truncated_or_empty_disks_promise_nothing() {
    let kill = |node, disk| {
        let kill = Fault::KillNode {
            node,
            down: seconds(0.1),
            disk,
        };
        fault(kill, seconds(3.5))
    };
    let script = vec![
        kill(1, Disk::Own),
        kill(1, Disk::Stale),
        kill(2, Disk::Empty),
        kill(3, Disk::Truncated),
        kill(1, Disk::Stale),
    ];
    let (report, _) = checked_run("disks", 6, 3, script);
    assert!(
        report.refused_disks >= 3,
        "expected at least 3 runs on a swapped disk: {}",
        report.text()
    );
}

/// Guards against promises that are lost when a node crashes at any of its crash points, or when its disk fails.
#[test]
fn nodes_keep_promises_across_crashes_and_disk_failures() {
    let mut script = Vec::new();
    for (index, point) in CRASH_POINTS.iter().enumerate() {
        let crash = Fault::CrashAt {
            node: 1 + index as u32 % 3,
            point: format!("{}:{}", point.name(), 2 + index),
        };
        script.push(fault(crash, seconds(1.8)));
    }
    let failing = Fault::FailWrites { node: 2, after: 3 };
    script.push(fault(failing, seconds(2.0)));
    checked_run("steps", 7, 3, script);
}
