//! Real control-plane nodes and routers under faults, checked from what crossed the switchboard, hosts and clients.

use std::time::Duration;

use spokeflow_control_plane::CRASH_POINTS;
use spokeflow_coordination::wire::ToNode;
use spokeflow_raft::Message;
use spokeflow_testbed::fleet::{
    run, Disk, Fault, FleetConfig, FleetRun, Frame, FramePayload, Link, Participant, Report,
    ScriptedFault,
};
use spokeflow_testbed::routers::Starting;

/// Runs the fleet, and checks what every run must show.
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
        report.sound(),
        "{:?}",
        &report.violations[..report.violations.len().min(5)]
    );
    // Something happened that could have been broken.
    assert!(
        report.revisions > 1 && report.canary_deliveries > 20,
        "{}",
        report.text()
    );
    // A router that starts has no list yet where that comes from the nodes.
    assert!(
        report.acked * 100 > report.commands * 85,
        "served all along: {}",
        report.text()
    );
    assert!(seed % 4 == 2 || report.drains > 0, "{}", report.text());
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
fn drawn_faults_break_no_agreement() {
    for seed in [1, 2] {
        let (report, _) = checked_run("drawn", seed, 4, Vec::new());
        assert!(report.faults > 5, "{}", report.text());
    }
}

/// Cut off alone, received by nobody, paused: each acts against a later revision for no longer than its lease.
#[test]
fn routers_that_are_cut_off_or_stopped_act_on_no_old_revision() {
    let nodes = || (1..4).map(Participant::Node);
    let both: Vec<Link> = nodes()
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
        script.push(fault(cut(&both), seconds(0.5)));
        script.push(fault(cut(&outbound), seconds(0.5)));
        let pause = Fault::PauseRouter {
            router: 2,
            lasts: seconds(2.5),
        };
        script.push(fault(pause, seconds(9.0)));
    }
    let (report, _) = checked_run("cut", 3, 4, script);
    assert!(report.longest_contradiction_us > 0, "{}", report.text());
}

/// Without any node all go on serving by the released build, and come back when there are nodes again.
#[test]
fn without_nodes_routers_serve_by_the_released_build_alone() {
    let outage = Fault::KillAllNodes {
        lasts: seconds(5.0),
    };
    checked_run("alone", 4, 4, vec![fault(outage, seconds(7.0))]);
}

#[test]
fn nodes_are_replaced_until_none_of_the_first_is_left() {
    let replace = |node| fault(Fault::ReplaceNode { node }, seconds(5.0));
    let script = vec![replace(1), replace(2), replace(3)];
    let (_, frames) = checked_run("replaced", 5, 3, script);
    let last = frames
        .iter()
        .rev()
        .filter(|frame| is_append(&frame.payload))
        .take(20)
        .flat_map(|frame| [frame.link.from, frame.link.to]);
    let first = last
        .filter(|process| matches!(process, Participant::Node(1..=3)))
        .count();
    assert_eq!(
        first, 0,
        "the last leader and those it sends to have all come since"
    );
    // Every node has met every other, also those that had nothing to send to each other: a stale disk is known by all.
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

/// A node that comes with another disk than its own promises nothing.
#[test]
fn a_stale_a_truncated_and_an_empty_disk_are_not_taken_for_the_own() {
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
    assert!(report.refused_disks >= 3, "{}", report.text());
}

/// At every crash point that the program names, and on a disk that fails.
#[test]
fn a_node_that_crashes_at_any_of_its_steps_loses_nothing_that_it_promised() {
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
