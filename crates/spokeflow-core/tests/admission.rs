//! Commands that wait, are refused or are delivered again, and invalid input.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn an_operation_that_is_slow_at_every_host_does_not_block_the_others() {
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
            _ => PROMPT_ACK,
        },
    );
    let before = nacked(&checker, 0) + nacked(&checker, 2);
    serve(
        &mut router,
        &mut checker,
        6 * SECOND,
        |_, operation, _| match operation {
            1 => Response::new(AttemptOutcome::Acked, 1500 * MS),
            _ => PROMPT_ACK,
        },
    );
    assert!(
        nacked(&checker, 1) > 0,
        "commands of the slow operation must be nacked at its concurrency limit"
    );
    assert_eq!(
        nacked(&checker, 0) + nacked(&checker, 2),
        before,
        "no command of the other operations may be nacked"
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
        "a command of another operation waited for {longest_wait} us"
    );
}

#[test]
fn the_deduplication_window_counts_from_the_first_delivery() {
    let (mut router, mut checker) = fleet(Gate::Single, |config| {
        config.ops[1].latency_objective = 2 * SECOND
    });
    checker.command(&mut router, 9_000, 1, 5, 1900 * MS);
    let first = checker.commands[&CommandId(9_000)].deliveries[0].host;
    // The host does not answer: a second delivery is sent beside the first, which then turns out
    // not to have run.
    checker.advance(&mut router, 750 * MS);
    let hedged = checker.commands[&CommandId(9_000)].deliveries.len();
    checker.end_delivery(
        &mut router,
        CommandId(9_000),
        0,
        AttemptOutcome::NotConnected,
    );
    checker.advance(&mut router, 100 * MS);
    (1..hedged).for_each(|index| {
        checker.end_delivery(&mut router, CommandId(9_000), index, AttemptOutcome::Error)
    });
    checker.advance(&mut router, SECOND);
    let sent = &checker.commands[&CommandId(9_000)].deliveries;
    assert!(
        hedged == 2 && sent.len() == 2 && sent[1].host != first,
        "{sent:?}"
    );
}

#[test]
fn without_any_host_commands_are_nacked_early_with_a_retry_after() {
    let (mut router, mut checker) = RuleChecker::start(service_config(Gate::Single), 9);
    checker.send_list(&mut router, ListKind::Cached, &[]);
    checker.command(&mut router, 1, 2, 8, 1900 * MS);
    checker.advance(&mut router, 300 * MS);
    assert_eq!(checker.nacks.len(), 1);
    assert!(checker.nacks[0]
        .retry_after
        .is_some_and(|time| time > 0 && time <= 2 * SECOND));
}

#[test]
fn a_failed_list_is_requested_again_and_invalid_input_is_ignored() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let requests_before = checker.list_requests;
    router.set_time(checker.now).on_list_failure();
    checker.advance(&mut router, 2 * SECOND);
    assert!(checker.list_requests > requests_before);
    checker.send_list(
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
    assert!(
        log.sent.is_empty(),
        "command of unknown operation 99 was sent: {:?}",
        log.sent
    );
    serve(&mut router, &mut checker, 6 * SECOND, |_, _, _| PROMPT_ACK);
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
    assert!(new_build_fraction(&checker, 4 * SECOND) > 0.1);
}

/// Guards against a router that falls seconds behind under heavy overload because it routes all
/// waiting commands again at every event. Routing stops where the hosts are full; commands that
/// have waited as long as allowed must still be nacked at the next tick, without any host event.
#[test]
fn waiting_commands_at_full_hosts_are_nacked_within_a_tick() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let silent = Response::new(AttemptOutcome::Acked, 100 * SECOND);
    let began = checker.now;
    let mut waited = 0;
    for _ in 0..20 {
        serve(&mut router, &mut checker, 100 * MS, |_, _, _| silent);
        let now = checker.now;
        let unsent = checker.commands.values().filter(|command| {
            command.deadline - 1900 * MS >= began && command.deliveries.is_empty()
        });
        for command in unsent {
            let received_at = command.deadline - 1900 * MS;
            waited += usize::from(!command.answered);
            assert!(
                command.answered || now - received_at <= 180 * MS + 30 * MS,
                "a command waited for {} us, expected at most 180 ms and a tick",
                now - received_at
            );
        }
    }
    assert!(waited > 20, "only {waited} commands had to wait");
}
