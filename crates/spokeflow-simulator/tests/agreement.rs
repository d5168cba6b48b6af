//! Keepers and the routers that follow them, in simulated time.

use spokeflow_simulator::{play_control_plane, ControlPlaneScenario};

const SECOND: i64 = 1_000_000;

fn day(routers: u32, voters: u32, seed: u64, faulty: bool) -> ControlPlaneScenario {
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
fn no_drawn_fault_makes_routers_contradict_each_other_for_longer_than_a_lease() {
    let (mut revisions, mut longest, mut terms) = (0, 0, 0);
    for seed in 0..48 {
        let routers = [3, 24, 150, 600][seed as usize % 4];
        let played = play_control_plane(day(routers, [3, 5][seed as usize / 4 % 2], seed, true));
        assert_eq!(played.broken, None, "seed {seed}, {routers} routers");
        (revisions, terms) = (revisions + played.waits.len(), terms + played.terms);
        longest = longest.max(played.longest_contradiction);
    }
    // The days have had something to break.
    assert!(
        revisions > 150 && terms > 100 && longest > 2 * SECOND,
        "{revisions} {terms} {longest}"
    );
}

#[test]
fn in_peace_a_revision_is_in_force_as_soon_as_all_have_said_that_they_act_on_it() {
    let played = play_control_plane(day(150, 5, 1, false));
    assert_eq!((played.broken, played.terms), (None, 1));
    // Two rounds of requests, a third of a lease apart, but where the leader has just begun.
    let quick = played
        .waits
        .iter()
        .filter(|w| **w < 25 * SECOND / 10)
        .count();
    assert!(
        quick * 10 >= played.waits.len() * 8 && played.waits.len() > 8,
        "{:?}",
        played.waits
    );
    // Each starts without a lease, and a keeper takes a second to be elected.
    assert!(
        played.leased > 20 * played.unleased,
        "{} {}",
        played.leased,
        played.unleased
    );
}

#[test]
fn the_log_of_a_day_of_many_offers_stays_small() {
    let long = ControlPlaneScenario {
        length: 3600 * SECOND,
        ..day(3, 3, 7, false)
    };
    let played = play_control_plane(long);
    assert_eq!(played.broken, None);
    assert!(played.waits.len() > 800, "{}", played.waits.len());
    assert!(
        played.max_log_entries <= 501 && played.max_snapshot_bytes > 0,
        "{} {}",
        played.max_log_entries,
        played.max_snapshot_bytes
    );
}
