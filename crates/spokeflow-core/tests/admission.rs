//! Commands that wait, are refused or are delivered again, and input that is out of order.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn an_operation_that_waits_at_every_host_does_not_block_the_others() {
    let (mut router, mut checker) = fleet(Gate::Clocked, |_| {});
    let nacked = |checker: &RuleChecker, operation: usize| {
        checker
            .nacks
            .iter()
            .filter(|nack| checker.commands[&nack.command].operation == operation)
            .count()
    };
    serve(
        &mut router,
        &mut checker,
        12 * SECOND,
        |_, operation, _| match operation {
            1 => Response::new(AttemptOutcome::Acked, 1500 * MS),
            _ => GOOD,
        },
    );
    let before = nacked(&checker, 0) + nacked(&checker, 2);
    serve(
        &mut router,
        &mut checker,
        6 * SECOND,
        |_, operation, _| match operation {
            1 => Response::new(AttemptOutcome::Acked, 1500 * MS),
            _ => GOOD,
        },
    );
    assert!(nacked(&checker, 1) > 0, "what waits is bounded too");
    assert_eq!(
        nacked(&checker, 0) + nacked(&checker, 2),
        before,
        "the others are all taken"
    );
    let others = checker
        .commands
        .values()
        .filter(|command| command.operation != 1 && command.deadline > checker.now - 3 * SECOND);
    let longest_wait = others
        .filter_map(|command| Some(command.deliveries.first()?.at - (command.deadline - 1900 * MS)))
        .max()
        .unwrap();
    assert!(
        longest_wait < 60 * MS,
        "none waits behind what waits: {longest_wait}"
    );
}

#[test]
fn the_deduplication_window_counts_from_the_first_delivery() {
    let (mut router, mut checker) = fleet(Gate::Single, |config| {
        config.ops[1].latency_objective = 2 * SECOND
    });
    checker.command(&mut router, 9_000, 1, 5, 1900 * MS);
    let first = checker.commands[&CommandId(9_000)].deliveries[0].host;
    // The host answers nothing: a copy goes out beside the first, which then turns out never to
    // have run.
    checker.pass(&mut router, 750 * MS);
    let copies = checker.commands[&CommandId(9_000)].deliveries.len();
    checker.end(
        &mut router,
        CommandId(9_000),
        0,
        AttemptOutcome::NotConnected,
    );
    checker.pass(&mut router, 100 * MS);
    (1..copies)
        .for_each(|index| checker.end(&mut router, CommandId(9_000), index, AttemptOutcome::Error));
    checker.pass(&mut router, SECOND);
    let sent = &checker.commands[&CommandId(9_000)].deliveries;
    assert!(
        copies == 2 && sent.len() == 2 && sent[1].host != first,
        "{sent:?}"
    );
}

#[test]
fn without_any_host_commands_are_nacked_early_with_a_retry_after() {
    let (mut router, mut checker) = RuleChecker::start(service_config(Gate::Single), 9);
    checker.list(&mut router, ListKind::Cached, &[]);
    checker.command(&mut router, 1, 2, 8, 1900 * MS);
    checker.pass(&mut router, 300 * MS);
    assert_eq!(checker.nacks.len(), 1);
    assert!(checker.nacks[0]
        .retry_after
        .is_some_and(|time| time > 0 && time <= 2 * SECOND));
}

#[test]
fn a_failed_list_is_requested_again_and_strange_input_changes_nothing() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let requests_before = checker.list_requests;
    router.set_time(checker.now).on_list_failure();
    checker.pass(&mut router, 2 * SECOND);
    assert!(checker.list_requests > requests_before);
    checker.list(
        &mut router,
        ListKind::Changes,
        &[Endpoint {
            build: None,
            ..endpoint(2, OLD)
        }],
    );
    checker.endpoints.insert(HostId(2), endpoint(2, OLD));
    checker.announce(
        &mut router,
        rollout_status(NEW, 9, RolloutState::Canary, 0.4),
    );
    let mut log = DeliveryLog::default();
    router.set_time(checker.now).on_command(
        CommandId(1 << 30),
        OpType(99),
        TenantId(99),
        Key(1),
        SECOND,
        &mut log,
    );
    assert!(log.sent.is_empty(), "sent a command of no known operation");
    serve(&mut router, &mut checker, 6 * SECOND, |_, _, _| GOOD);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
    assert!(new_build_fraction(&checker, 4 * SECOND) > 0.1);
}

/// Met on sockets under heavy overload: every command that waited was routed anew at each that came
/// or went, so that the router fell seconds behind. Routing ends now where the hosts are full, and
/// what has waited in vain must still be given up on at the next tick, not with the hosts.
#[test]
fn what_waits_in_vain_at_full_hosts_is_refused_within_a_tick() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let silent = Response::new(AttemptOutcome::Acked, 100 * SECOND);
    let began = checker.now;
    let mut waited = 0;
    for _ in 0..20 {
        serve(&mut router, &mut checker, 100 * MS, |_, _, _| silent);
        let now = checker.now;
        let fresh = checker.commands.values().filter(|command| {
            command.deadline - 1900 * MS >= began && command.deliveries.is_empty()
        });
        for command in fresh {
            let taken = command.deadline - 1900 * MS;
            waited += usize::from(!command.answered);
            assert!(
                command.answered || now - taken <= 180 * MS + 30 * MS,
                "held for {}",
                now - taken
            );
        }
    }
    assert!(waited > 20, "some waited: {waited}");
}
