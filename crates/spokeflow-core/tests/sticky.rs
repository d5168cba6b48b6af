//! Forward-only rules: a key stays at the build that has answered it.

mod common;

use common::*;
use spokeflow_core::*;

/// Guards against keys that return to the old build after the new build has written an answer that
/// was not received, because the connection was reset or the delivery timed out. The checker counts
/// such a key as answered.
#[test]
fn a_key_whose_answer_may_have_been_written_does_not_go_back() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let not_received = |host: HostId, _, number: u32| match host.0 >= 6 && number.is_multiple_of(3)
    {
        true if (number / 3).is_multiple_of(2) => Response::new(AttemptOutcome::TimedOut, 30 * MS),
        true => Response::new(AttemptOutcome::Reset, 30 * MS),
        false => PROMPT_ACK,
    };
    serve(&mut router, &mut checker, 6 * SECOND, not_received);
    assert!(new_build_fraction(&checker, 4 * SECOND) > 0.1);
}

/// Guards against keys that are refused for ever. Rule 5 binds a key to the newest announced build,
/// on trial or released. When the next build is announced before the release of one, the hosts of
/// the latter return to the old build, and its keys must no longer be bound to it.
#[test]
fn a_key_is_not_bound_to_a_build_that_the_next_one_replaced_before_its_release() {
    const NEXT: BuildId = BuildId(9);
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let new: Vec<Endpoint> = (0..8).map(|host| endpoint(host, NEW)).collect();
    checker.send_list(&mut router, ListKind::Complete, &new);
    let send_and_ack = |router: &mut Router, checker: &mut RuleChecker, id: u32| {
        checker.command(router, id, 0, 5, 900 * MS);
        let sent = checker.commands[&CommandId(id)]
            .deliveries
            .first()
            .and_then(|delivery| checker.endpoints[&delivery.host].build);
        if sent.is_some() {
            checker.end_delivery(router, CommandId(id), 0, AttemptOutcome::Acked);
        }
        checker.advance(router, 50 * MS);
        sent
    };
    assert_eq!(send_and_ack(&mut router, &mut checker, 1), Some(NEW));
    checker.announce(
        &mut router,
        rollout_status(NEXT, 0, RolloutState::Canary, 0.1),
    );
    let old: Vec<Endpoint> = (0..8).map(|host| endpoint(host, OLD)).collect();
    checker.send_list(&mut router, ListKind::Complete, &old);
    assert_eq!(send_and_ack(&mut router, &mut checker, 2), Some(OLD));
    checker.announce(
        &mut router,
        rollout_status(NEXT, 0, RolloutState::Withdrawn, 0.0),
    );
    assert_eq!(send_and_ack(&mut router, &mut checker, 3), Some(OLD));
}

/// Sticky assignments to a released build are dropped when they are idle. Then all keys must be
/// bound to that build in their place.
#[test]
fn a_key_long_unused_goes_to_no_earlier_build_than_the_released_one() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Released, 1.0),
    );
    let new: Vec<Endpoint> = (0..8).map(|host| endpoint(host, NEW)).collect();
    checker.send_list(&mut router, ListKind::Complete, &new);
    checker.command(&mut router, 1, 0, 5, 900 * MS);
    checker.end_delivery(&mut router, CommandId(1), 0, AttemptOutcome::Acked);
    checker.advance(&mut router, 12 * SECOND);
    let old: Vec<Endpoint> = (0..8).map(|host| endpoint(host, OLD)).collect();
    checker.send_list(&mut router, ListKind::Complete, &old);
    // The checker panics at a delivery to a build before the one that answered the key.
    checker.command(&mut router, 2, 0, 5, 900 * MS);
    checker.advance(&mut router, SECOND);
    assert!(checker.commands[&CommandId(2)].deliveries.is_empty() && !checker.nacks.is_empty());
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::RollingBack, 0.0),
    );
    checker.command(&mut router, 3, 0, 5, 900 * MS);
    assert_eq!(checker.commands[&CommandId(3)].deliveries.len(), 1);
}

/// Guards against a key that is released by one of two deliveries to the trial build: one found no
/// connection while the other was open, the key's next command went to the old build and arrived
/// there after the other had been answered. Found by random scenario 702.
#[test]
fn a_key_stays_at_its_build_while_any_of_its_deliveries_is_open() {
    let (mut router, mut checker) = fleet(Gate::Single, |config| config.exposure_allowance = 9.0);
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let all = [endpoint(1, NEW), endpoint(2, NEW), endpoint(3, NEW)];
    checker.send_list(&mut router, ListKind::Complete, &all);
    (90_001..90_003).for_each(|id| checker.command(&mut router, id, 0, 5, 1900 * MS));
    let mut old = all.to_vec();
    old.extend((4..9).map(|host| endpoint(host, OLD)));
    checker.send_list(&mut router, ListKind::Complete, &old);
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 0.01),
    );
    checker.end_delivery(
        &mut router,
        CommandId(90_001),
        0,
        AttemptOutcome::NotConnected,
    );
    checker.command(&mut router, 90_003, 0, 5, 1900 * MS);
    checker.advance(&mut router, 300 * MS);
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
        "commands of the key went to the old build while a delivery at the new one was open"
    );
}

/// Guards against a sticky assignment that is dropped after the idle timeout of ten seconds while a
/// delivery of its key is open: the key moves to the old build, and the answer then binds it to the
/// new one.
#[test]
fn a_key_stays_at_its_build_while_a_delivery_is_open_longer_than_the_idle_timeout() {
    let (mut router, mut checker) = fleet(Gate::Single, |config| {
        config.exposure_allowance = 9.0;
        config.ops[2].command_timeout = 60 * SECOND;
    });
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let all = [endpoint(1, NEW), endpoint(2, NEW), endpoint(3, NEW)];
    checker.send_list(&mut router, ListKind::Complete, &all);
    checker.command(&mut router, 90_001, 2, 5, 60 * SECOND);
    let mut old = all.to_vec();
    old.extend((4..9).map(|host| endpoint(host, OLD)));
    checker.send_list(&mut router, ListKind::Complete, &old);
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 0.01),
    );
    checker.advance(&mut router, 15 * SECOND);
    checker.command(&mut router, 90_002, 0, 5, 1900 * MS);
    checker.advance(&mut router, 300 * MS);
    let at_old = checker.commands[&CommandId(90_002)]
        .deliveries
        .iter()
        .filter(|delivery| delivery.host.0 > 3)
        .count();
    assert_eq!(
        at_old, 0,
        "a command of the key went to the old build while a delivery at the trial build was open"
    );
}

/// Sends eighty commands per second for `span`, each with a key of its own, and acknowledges them.
/// Returns the largest number of keys that the router has kept.
fn serve_new_keys(router: &mut Router, checker: &mut RuleChecker, span: Micros) -> usize {
    let to = checker.now + span;
    let mut most = 0;
    while checker.now < to {
        let id = checker.commands.len() as u32;
        if checker.now / MS % 50 < 20 {
            let key = 1_000 + u64::from(id);
            checker.command(router, id, (id % 3) as usize, key, 1900 * MS);
        }
        checker.advance(router, 5 * MS);
        for (id, index) in checker.open() {
            let sent_at = checker.commands[&id].deliveries[index].at;
            if checker.now - sent_at >= PROMPT_ACK.after {
                checker.end_delivery(router, id, index, PROMPT_ACK.outcome);
            }
        }
        most = most.max(router.sticky_keys());
    }
    most
}

/// Guards against a table of keys that grows for as long as a build is on trial, since each key that
/// it has answered is bound to it. With no room left, new keys stay at the old build, and the checker
/// panics if a key goes back.
#[test]
fn the_keys_of_a_long_trial_are_bounded() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let unbounded = serve_new_keys(&mut router, &mut checker, 8 * SECOND);
    let unlimited_fraction = new_build_fraction(&checker, 4 * SECOND);
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let max_keys = router.sticky_keys() + 20;
    assert!(unbounded > 2 * max_keys, "{unbounded} keys without a limit");
    router.set_max_sticky_keys(max_keys);
    let most = serve_new_keys(&mut router, &mut checker, 8 * SECOND);
    assert_eq!(most, max_keys);
    assert!(new_build_fraction(&checker, 4 * SECOND) < unlimited_fraction);
    let commands = checker.commands.values();
    let unserved = commands.filter(|command| command.deliveries.is_empty());
    assert!(unserved.count() < 20, "commands without room are served");
}

/// With no room for its key and no other build that serves, a command goes to the build on trial.
/// All keys without an assignment then count as answered by that build.
#[test]
fn keys_without_room_do_not_go_back_from_the_only_build() {
    const KEY: u64 = 5_000;
    let (mut router, mut checker) = fleet(Gate::Single, |config| config.exposure_allowance = 9.0);
    let kept = router.sticky_keys();
    router.set_max_sticky_keys(0);
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Canary, 1.0),
    );
    let new: Vec<Endpoint> = (0..8).map(|host| endpoint(host, NEW)).collect();
    checker.send_list(&mut router, ListKind::Complete, &new);
    checker.command(&mut router, 90_001, 0, KEY, 900 * MS);
    checker.end_delivery(&mut router, CommandId(90_001), 0, AttemptOutcome::Acked);
    let mut both = new.clone();
    both.extend((8..16).map(|host| endpoint(host, OLD)));
    checker.send_list(&mut router, ListKind::Complete, &both);
    checker.command(&mut router, 90_002, 0, KEY, 900 * MS);
    checker.advance(&mut router, SECOND);
    let deliveries = &checker.commands[&CommandId(90_002)].deliveries;
    assert!(!deliveries.is_empty());
    assert!(deliveries.iter().all(|delivery| delivery.host.0 < 8));
    assert!(router.sticky_keys() <= kept);
}
