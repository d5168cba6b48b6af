//! The part of the traffic that goes to a build on trial.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn canary_fraction_grows_over_seconds_and_stays_within_the_cap() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 400 * MS, |_, _, _| PROMPT_ACK);
    assert!(
        new_build_fraction(&checker, 400 * MS) < 0.15,
        "the fraction must grow gradually, got {} after 400 ms",
        new_build_fraction(&checker, 400 * MS)
    );
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| PROMPT_ACK);
    let share = new_build_fraction(&checker, 4 * SECOND);
    assert!((0.15..=0.4).contains(&share), "{share}");
}

#[test]
fn keys_that_moved_to_the_new_build_stay_there() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| PROMPT_ACK);
    let mut at_new_build = std::collections::BTreeMap::<Key, Vec<bool>>::new();
    for command in checker.commands.values() {
        at_new_build.entry(command.key).or_default().extend(
            command
                .deliveries
                .iter()
                .map(|delivery| delivery.host.0 >= 6 && delivery.at > 107 * SECOND),
        );
    }
    assert!(
        at_new_build
            .values()
            .any(|history| *history.last().expect("each key was sent")),
        "no key moved to the new build"
    );
    assert!(
        at_new_build.values().all(|history| history.is_sorted()),
        "a key returned to the old build"
    );
}

/// Guards against overloaded trial hosts where the keys of the canary fraction carry more than
/// their share of the traffic, such as more than a third with a canary fraction of a quarter.
#[test]
fn the_canary_takes_no_more_traffic_than_its_hosts_have_capacity_for() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    serve(&mut router, &mut checker, 5 * SECOND, |_, _, _| PROMPT_ACK);
    let mut key = 1000;
    for _ in 0..1200 {
        key += 1;
        while hash_to_unit_interval(key) > 0.2 {
            key += 1;
        }
        let id = checker.commands.len() as u32;
        checker.command(&mut router, id, (id % 3) as usize, key, 1900 * MS);
        checker.advance(&mut router, 5 * MS);
        for (id, index) in checker.open() {
            if checker.now - checker.commands[&id].deliveries[index].at >= 30 * MS {
                checker.end_delivery(&mut router, id, index, AttemptOutcome::Acked);
            }
        }
    }
    let share = new_build_fraction(&checker, 2 * SECOND);
    assert!((0.3..0.65).contains(&share), "{share}");
}

/// Guards against an exceeded cap when the configuration changes within an exposure window: the
/// deliveries counted under the earlier configuration must still count.
#[test]
fn a_lowered_cap_counts_the_deliveries_already_in_the_window() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    serve(&mut router, &mut checker, 8 * SECOND, |_, _, _| PROMPT_ACK);
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
    serve(&mut router, &mut checker, SECOND, |_, _, _| PROMPT_ACK);
    assert!(
        before > 0.1 && new_build_fraction(&checker, SECOND) == 0.0,
        "new build's part before the change: {before}, after it: {}",
        new_build_fraction(&checker, SECOND)
    );
    serve(&mut router, &mut checker, 10 * SECOND, |_, _, _| PROMPT_ACK);
    assert!(
        new_build_fraction(&checker, 4 * SECOND) > 0.0,
        "the new build must get traffic again once the window is within the cap"
    );
}
