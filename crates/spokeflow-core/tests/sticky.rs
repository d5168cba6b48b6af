//! Keys stay at the build that has answered them.

mod common;

use common::*;
use spokeflow_core::*;

/// Seen on sockets: answers of the new build that were written and could not be read, and commands
/// given up as they were; their keys then went back to the old build. The checker counts such a key
/// as answered.
#[test]
fn a_key_whose_answer_may_have_been_written_does_not_go_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let unread = |host: HostId, _, number: u32| match host.0 >= 6 && number.is_multiple_of(3) {
        true if (number / 3).is_multiple_of(2) => Response::new(AttemptOutcome::TimedOut, 30 * MS),
        true => Response::new(AttemptOutcome::Reset, 30 * MS),
        false => GOOD,
    };
    serve(&mut router, &mut checker, 6 * SECOND, unread);
    assert!(new_build_fraction(&checker, 4 * SECOND) > 0.1);
}

/// Rule 5 binds a key to the newest announced build, on trial or released. One that has not been
/// released when the next is due goes back: its keys were refused for good where their floor
/// outlived it.
#[test]
fn a_key_is_free_of_a_build_that_the_next_one_has_ended() {
    const NEXT: BuildId = BuildId(9);
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let new: Vec<Endpoint> = (0..8).map(|host| endpoint(host, NEW)).collect();
    checker.list(&mut router, ListKind::Complete, &new);
    let ask = |router: &mut Router, checker: &mut RuleChecker, id: u32| {
        checker.command(router, id, 0, 5, 900 * MS);
        let sent = checker.commands[&CommandId(id)]
            .deliveries
            .first()
            .and_then(|delivery| checker.endpoints[&delivery.host].build);
        if sent.is_some() {
            checker.end(router, CommandId(id), 0, AttemptOutcome::Acked);
        }
        checker.pass(router, 50 * MS);
        sent
    };
    assert_eq!(ask(&mut router, &mut checker, 1), Some(NEW));
    checker.announce(
        &mut router,
        rollout_status(NEXT, 0, RolloutState::Canary, 0.1),
    );
    let old: Vec<Endpoint> = (0..8).map(|host| endpoint(host, OLD)).collect();
    checker.list(&mut router, ListKind::Complete, &old);
    assert_eq!(ask(&mut router, &mut checker, 2), Some(OLD));
    checker.announce(
        &mut router,
        rollout_status(NEXT, 0, RolloutState::Withdrawn, 0.0),
    );
    assert_eq!(ask(&mut router, &mut checker, 3), Some(OLD));
}

/// Sticky assignments of a released build are not kept for ever; what they guarded against holds
/// for all keys in their place.
#[test]
fn a_key_long_unused_goes_to_no_earlier_build_than_the_released_one() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Released, 1.0),
    );
    let new: Vec<Endpoint> = (0..8).map(|host| endpoint(host, NEW)).collect();
    checker.list(&mut router, ListKind::Complete, &new);
    checker.command(&mut router, 1, 0, 5, 900 * MS);
    checker.end(&mut router, CommandId(1), 0, AttemptOutcome::Acked);
    checker.pass(&mut router, 12 * SECOND);
    let old: Vec<Endpoint> = (0..8).map(|host| endpoint(host, OLD)).collect();
    checker.list(&mut router, ListKind::Complete, &old);
    // The checker breaks at a delivery below the build that answered the key.
    checker.command(&mut router, 2, 0, 5, 900 * MS);
    checker.pass(&mut router, SECOND);
    assert!(checker.commands[&CommandId(2)].deliveries.is_empty() && !checker.nacks.is_empty());
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::RollingBack, 0.0),
    );
    checker.command(&mut router, 3, 0, 5, 900 * MS);
    assert_eq!(checker.commands[&CommandId(3)].deliveries.len(), 1);
}

/// Drawn day 702: of two deliveries of a hot key at the trial build one came to no connection,
/// which freed the key while the other was out; its next command went to the old build, and arrived
/// there after the other had been answered.
#[test]
fn a_key_stays_while_any_of_its_deliveries_may_be_answered() {
    let (mut router, mut checker) = fleet(Gate::Single, |config| config.exposure_allowance = 9.0);
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let all = [endpoint(1, NEW), endpoint(2, NEW), endpoint(3, NEW)];
    checker.list(&mut router, ListKind::Complete, &all);
    (90_001..90_003).for_each(|id| checker.command(&mut router, id, 0, 5, 1900 * MS));
    let mut old = all.to_vec();
    old.extend((4..9).map(|host| endpoint(host, OLD)));
    checker.list(&mut router, ListKind::Complete, &old);
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 0.01),
    );
    checker.end(
        &mut router,
        CommandId(90_001),
        0,
        AttemptOutcome::NotConnected,
    );
    checker.command(&mut router, 90_003, 0, 5, 1900 * MS);
    checker.pass(&mut router, 300 * MS);
    let at_old = |id| {
        checker.commands[&CommandId(id)]
            .deliveries
            .iter()
            .filter(|delivery| delivery.host.0 > 3)
            .count()
    };
    assert_eq!(
        (at_old(90_001), at_old(90_003)),
        (0, 0),
        "the second delivery of the key is still out"
    );
}

/// Seen on review: a sticky assignment without use was swept after ten seconds though a delivery of
/// its key was out; its answer then bound a key that had been rolled back to the old build
/// meanwhile.
#[test]
fn a_key_stays_while_a_delivery_of_it_is_out_for_long() {
    let (mut router, mut checker) = fleet(Gate::Single, |config| {
        config.exposure_allowance = 9.0;
        config.ops[2].command_timeout = 60 * SECOND;
    });
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let all = [endpoint(1, NEW), endpoint(2, NEW), endpoint(3, NEW)];
    checker.list(&mut router, ListKind::Complete, &all);
    checker.command(&mut router, 90_001, 2, 5, 60 * SECOND);
    let mut old = all.to_vec();
    old.extend((4..9).map(|host| endpoint(host, OLD)));
    checker.list(&mut router, ListKind::Complete, &old);
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 0.01),
    );
    checker.pass(&mut router, 15 * SECOND);
    checker.command(&mut router, 90_002, 0, 5, 1900 * MS);
    checker.pass(&mut router, 300 * MS);
    let at_old = checker.commands[&CommandId(90_002)]
        .deliveries
        .iter()
        .filter(|delivery| delivery.host.0 > 3)
        .count();
    assert_eq!(
        at_old, 0,
        "the first delivery of the key is still out at the trial build"
    );
}
