//! Real processes of keepers and routers under faults, checked from what crossed the switchboard, hosts and clients.

use std::time::Duration;

use spokeflow_control_plane::CRASH_POINTS;
use spokeflow_coordination::wire::ToNode;
use spokeflow_raft::Message;
use spokeflow_testbed::fleet::{play, Crossed, Disk, Fault, FleetTerms, Frame, Node, Report};
use spokeflow_testbed::routers::Starting;

fn played(
    name: &str,
    seed: u64,
    routers: u32,
    script: Vec<(Fault, Duration)>,
) -> (Report, Vec<Frame>) {
    let program = env!("CARGO_BIN_EXE_spokeflow-testbed").into();
    let starting = Starting {
        program,
        first: Vec::new(),
        logs: None,
        log: "info".into(),
    };
    let folder =
        std::env::temp_dir().join(format!("spokeflow-{name}-{}-{seed}", std::process::id()));
    let terms = FleetTerms {
        routers,
        keepers: 3,
        seed,
        lasts: Duration::from_secs(12),
        script,
        lease: Duration::from_millis(1500),
        silence: Duration::from_millis(300),
        folder,
        keep: false,
        agreed_list: seed % 4 != 2,
        peace: false,
        pace: Duration::from_millis(20),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let (report, frames, faults) = runtime.block_on(play(terms, starting, |_, _| {})).unwrap();
    runtime.shutdown_background();
    println!("{}\n{}", faults.join("\n"), report.text());
    assert!(
        report.sound(),
        "{:?}",
        &report.broken[..report.broken.len().min(5)]
    );
    // Something happened that could have been broken.
    assert!(
        report.revisions > 1 && report.trial_deliveries > 20,
        "{}",
        report.text()
    );
    // A router that starts has no list yet where that comes from the keepers.
    assert!(
        report.acked * 100 > report.commands * 85,
        "served all along: {}",
        report.text()
    );
    assert!(seed % 4 == 2 || report.drains > 0, "{}", report.text());
    (report, frames)
}

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn drawn_faults_break_no_agreement() {
    for seed in [1, 2] {
        let (report, _) = played("drawn", seed, 4, Vec::new());
        assert!(report.faults > 5, "{}", report.text());
    }
}

/// Cut off alone, heard by nobody, stopped: each acts against a later revision for no longer than its lease.
#[test]
fn routers_that_are_cut_off_or_stopped_act_on_no_old_revision() {
    let both = |r| {
        (1..4).flat_map(move |k| {
            [
                (Node::Router(r), Node::Keeper(k)),
                (Node::Keeper(k), Node::Router(r)),
            ]
        })
    };
    let up = |r| (1..4).map(move |k| (Node::Router(r), Node::Keeper(k)));
    let mut script = Vec::new();
    for reset in [true, false] {
        let lasts = s(5.0);
        script.push((
            Fault::Cut {
                ways: both(0).collect(),
                lasts,
                reset,
            },
            s(0.5),
        ));
        script.push((
            Fault::Cut {
                ways: up(1).collect(),
                lasts,
                reset,
            },
            s(0.5),
        ));
        script.push((
            Fault::StopRouter {
                router: 2,
                lasts: s(2.5),
            },
            s(9.0),
        ));
    }
    let (report, _) = played("cut", 3, 4, script);
    assert!(report.longest_contradiction_us > 0, "{}", report.text());
}

/// Without any keeper all go on serving by the build that stands, and come back when there are keepers again.
#[test]
fn without_keepers_routers_serve_by_the_standing_build_alone() {
    played(
        "alone",
        4,
        4,
        vec![(Fault::AllKeepersDown { lasts: s(5.0) }, s(7.0))],
    );
}

#[test]
fn keepers_are_replaced_until_none_of_the_first_is_left() {
    let replace = |keeper| (Fault::Replace { keeper }, s(5.0));
    let (_, frames) = played("replaced", 5, 3, vec![replace(1), replace(2), replace(3)]);
    let says = |f: &&Frame| {
        matches!(
            f.what,
            Crossed::Up(ToNode::Raft(Message::AppendEntries { .. }))
        )
    };
    let last = frames
        .iter()
        .rev()
        .filter(says)
        .take(20)
        .flat_map(|f| [f.from, f.to]);
    let first = last.filter(|n| matches!(n, Node::Keeper(1..=3))).count();
    assert_eq!(
        first, 0,
        "the last leader and those it speaks to have all come since"
    );
    // Every keeper has met every other, also those that had nothing to say to each other: an older disk is known by all.
    let hello = |a, b| {
        let says = |f: &Frame| matches!(f.what, Crossed::Up(ToNode::Hello { .. }));
        frames
            .iter()
            .any(|f| (f.from, f.to) == (Node::Keeper(a), Node::Keeper(b)) && says(f))
    };
    let pairs = (4..7)
        .flat_map(|a| (4..7).map(move |b| (a, b)))
        .filter(|(a, b)| a != b);
    assert_eq!(
        pairs.filter(|(a, b)| !hello(*a, *b)).collect::<Vec<_>>(),
        []
    );
}

/// A keeper that comes with another disk than its own promises nothing.
#[test]
fn an_old_a_torn_and_an_empty_disk_are_not_taken_for_the_own() {
    let kill = |keeper, disk| {
        (
            Fault::KillKeeper {
                keeper,
                down: s(0.1),
                disk,
            },
            s(3.5),
        )
    };
    let script = vec![
        kill(1, Disk::Own),
        kill(1, Disk::Old),
        kill(2, Disk::Empty),
        kill(3, Disk::Torn),
        kill(1, Disk::Old),
    ];
    let (report, _) = played("disks", 6, 3, script);
    assert!(report.refused_disks >= 3, "{}", report.text());
}

/// At every place that the program names, and on a disk that fails.
#[test]
fn a_keeper_that_dies_at_any_of_its_steps_loses_nothing_that_it_promised() {
    let mut script = Vec::new();
    for (n, point) in CRASH_POINTS.iter().enumerate() {
        let keeper = 1 + n as u32 % 3;
        script.push((
            Fault::DieAt {
                keeper,
                place: format!("{}:{}", point.name(), 2 + n),
            },
            s(1.8),
        ));
    }
    script.push((
        Fault::DiskFails {
            keeper: 2,
            after: 3,
        },
        s(2.0),
    ));
    played("steps", 7, 3, script);
}
