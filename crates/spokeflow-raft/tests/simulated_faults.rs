//! Clusters in simulated time, with and without faults: all nodes agree on one log, and at most one node may act as
//! leader.

#[path = "common/cluster/mod.rs"]
mod cluster;
mod common;

use cluster::{Cluster, ClusterOptions, SECOND};
use spokeflow_raft::Payload;

#[test]
fn without_faults_one_leader_commits_all_commands() {
    for voters in [1, 3, 5, 7] {
        let mut cluster = Cluster::new(ClusterOptions {
            seed: u64::from(voters),
            voters,
            spares: 0,
            faulty: false,
        });
        cluster.run(11 * SECOND);
        assert_eq!(cluster.elections(), 1, "{voters} voters");
        // Fifty proposals a second from the election on; the last ones may not be committed yet.
        let accepted = cluster.accepted.len();
        let committed = cluster.committed.len();
        assert!(
            accepted > 440 && committed + 3 > accepted,
            "{voters} voters: {accepted} commands accepted, {committed} entries committed"
        );
    }
}

/// Totals of all runs.
#[derive(Debug, Default)]
struct Counts {
    elections: usize,
    entries: usize,
    snapshots_restored: usize,
    voter_changes: usize,
}

/// Returns a cluster with faults: by seed in turn three voters, five voters, or three voters and four spare nodes.
fn faulty_cluster(seed: u64) -> Cluster {
    Cluster::new(ClusterOptions {
        seed,
        voters: if seed % 3 == 1 { 5 } else { 3 },
        spares: if seed % 3 == 2 { 4 } else { 0 },
        faulty: true,
    })
}

/// Checks that each committed entry at the index and term of an accepted command is that command.
fn check_accepted(cluster: &Cluster, seed: u64) {
    for accepted in &cluster.accepted {
        let entry = cluster.committed.get(&accepted.index.0);
        if let Some(entry) = entry.filter(|entry| entry.term == accepted.term) {
            assert_eq!(
                entry.payload,
                Payload::Command(accepted.number.to_be_bytes().to_vec()),
                "seed {seed}: another command is committed at {:?}",
                accepted.index
            );
        }
    }
}

#[test]
fn random_faults_keep_one_log_and_one_acting_leader() {
    let mut counts = Counts::default();
    for seed in 0..60 {
        let mut cluster = faulty_cluster(seed);
        cluster.run(40 * SECOND);
        let before = cluster.committed.len();
        cluster.heal();
        cluster.run(50 * SECOND);
        assert!(
            cluster.committed.len() > before + 200,
            "seed {seed}: {before} entries committed with faults, {} at the end",
            cluster.committed.len()
        );
        check_accepted(&cluster, seed);
        counts.elections += cluster.elections();
        counts.entries += cluster.committed.len();
        counts.snapshots_restored += cluster.snapshots_restored;
        counts.voter_changes += cluster.voter_changes;
    }
    // Without these events the runs would not exercise the invariants.
    println!("{counts:?}");
    assert!(
        counts.elections > 300 && counts.entries > 60 * 500,
        "{counts:?}"
    );
    assert!(
        counts.snapshots_restored > 20 && counts.voter_changes > 200,
        "{counts:?}"
    );
}
