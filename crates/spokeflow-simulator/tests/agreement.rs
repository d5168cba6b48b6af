//! Control-plane nodes and the routers that hold their leases, in simulated time.

use spokeflow_simulator::{play_control_plane, ControlPlaneScenario};

const SECOND: i64 = 1_000_000;

fn scenario(routers: u32, voters: u32, seed: u64, faulty: bool) -> ControlPlaneScenario {
    let (length, lease, election_timeout, drift) = (40 * SECOND, 3 * SECOND, SECOND / 2, 0.01);
    ControlPlaneScenario {
        routers,
        voters,
        seed,
        length,
        lease,
        election_timeout,
        drift,
        faulty,
    }
}

#[test]
fn faults_never_make_routers_contradict_each_other_for_longer_than_a_lease() {
    let (mut revisions, mut longest, mut terms) = (0, 0, 0);
    for seed in 0..48 {
        let routers = [3, 24, 150, 600][seed as usize % 4];
        let run = play_control_plane(scenario(routers, [3, 5][seed as usize / 4 % 2], seed, true));
        assert_eq!(run.broken, None, "seed {seed}, {routers} routers");
        (revisions, terms) = (revisions + run.waits.len(), terms + run.terms);
        longest = longest.max(run.longest_contradiction);
    }
    // The runs must have had elections, revisions and contradictions, or the check above shows nothing.
    assert!(
        revisions > 150 && terms > 100 && longest > 2 * SECOND,
        "{revisions} {terms} {longest}"
    );
}

#[test]
fn without_faults_a_revision_is_in_force_once_all_routers_have_confirmed_it() {
    let run = play_control_plane(scenario(150, 5, 1, false));
    assert_eq!((run.broken, run.terms), (None, 1));
    // Two rounds of lease requests, a third of a lease apart; it takes longer only after an election.
    let in_time = run
        .waits
        .iter()
        .filter(|wait| **wait < 25 * SECOND / 10)
        .count();
    assert!(
        in_time * 10 >= run.waits.len() * 8 && run.waits.len() > 8,
        "{:?}",
        run.waits
    );
    // Routers start without a lease, and the first election takes a second.
    assert!(
        run.leased > 20 * run.unleased,
        "{} {}",
        run.leased,
        run.unleased
    );
}

#[test]
fn the_log_stays_bounded_over_many_proposals() {
    let long = ControlPlaneScenario {
        length: 3600 * SECOND,
        ..scenario(3, 3, 7, false)
    };
    let run = play_control_plane(long);
    assert_eq!(run.broken, None);
    assert!(run.waits.len() > 800, "{}", run.waits.len());
    assert!(
        run.max_log_entries <= 501 && run.max_snapshot_bytes > 0,
        "{} {}",
        run.max_log_entries,
        run.max_snapshot_bytes
    );
}
