//! The part of the traffic that a build on trial gets.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn canary_fraction_grows_over_seconds_and_stays_within_the_cap() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 400 * MS, |_, _, _| GOOD);
    assert!(
        new_build_fraction(&checker, 400 * MS) < 0.15,
        "no jump at the start: {}",
        new_build_fraction(&checker, 400 * MS)
    );
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| GOOD);
    let share = new_build_fraction(&checker, 4 * SECOND);
    assert!((0.15..=0.4).contains(&share), "{share}");
}

#[test]
fn keys_stay_at_the_build_that_they_met() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| GOOD);
    let mut turns = std::collections::BTreeMap::<Key, Vec<bool>>::new();
    for command in checker.commands.values() {
        turns.entry(command.key).or_default().extend(
            command
                .deliveries
                .iter()
                .map(|delivery| delivery.host.0 >= 6 && delivery.at > 107 * SECOND),
        );
    }
    assert!(
        turns.values().any(|turns| *turns.last().expect("sent")),
        "some keys join"
    );
    assert!(
        turns.values().all(|turns| turns.is_sorted()),
        "none goes back"
    );
}

/// Seen on sockets: the keys of a canary of a quarter carried more than a third of the traffic, and
/// trial hosts slowed under it.
#[test]
fn the_canary_takes_no_more_traffic_than_its_hosts_bear() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    serve(&mut router, &mut checker, 5 * SECOND, |_, _, _| GOOD);
    let mut key = 1000;
    for _ in 0..1200 {
        key += 1;
        while hash_to_unit_interval(key) > 0.2 {
            key += 1;
        }
        let id = checker.commands.len() as u32;
        checker.command(&mut router, id, (id % 3) as usize, key, 1900 * MS);
        checker.pass(&mut router, 5 * MS);
        for (id, index) in checker.open() {
            if checker.now - checker.commands[&id].deliveries[index].at >= 30 * MS {
                checker.end(&mut router, id, index, AttemptOutcome::Acked);
            }
        }
    }
    let share = new_build_fraction(&checker, 2 * SECOND);
    assert!((0.3..0.65).contains(&share), "{share}");
}

/// Terms that change in the middle of a window: what was counted under the earlier ones counts on.
#[test]
fn a_cap_lowered_by_agreed_terms_counts_what_the_window_holds() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| GOOD);
    let mut lower = service_config(Gate::Single);
    let before = new_build_fraction(&checker, SECOND);
    lower.stage_caps = vec![0.05; 3];
    lower.exposure_allowance = 0.0;
    router.reconfigure(&lower);
    // From here on the checker counts each delivery against the new configuration, over the whole
    // window.
    checker.config = lower;
    checker.announce(
        &mut router,
        rollout_status(NEW, 1, RolloutState::Canary, 0.05),
    );
    serve(&mut router, &mut checker, SECOND, |_, _, _| GOOD);
    assert!(
        before > 0.1 && new_build_fraction(&checker, SECOND) == 0.0,
        "{before} {}",
        new_build_fraction(&checker, SECOND)
    );
    serve(&mut router, &mut checker, 10 * SECOND, |_, _, _| GOOD);
    assert!(
        new_build_fraction(&checker, 4 * SECOND) > 0.0,
        "within the cap it goes on"
    );
}
