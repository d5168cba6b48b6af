//! Placement: which hosts the commands are sent to.

mod common;

use common::*;
use spokeflow_core::*;

#[test]
fn a_cold_host_that_fails_fast_does_not_attract_the_traffic() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let cold = Endpoint {
        started_at: Some(checker.now),
        ..endpoint(3, OLD)
    };
    checker.send_list(&mut router, ListKind::Changes, &[cold]);
    let from = checker.now;
    serve(&mut router, &mut checker, 2 * SECOND, |host, _, _| {
        if host.0 == 3 {
            PROMPT_ERROR
        } else {
            PROMPT_ACK
        }
    });
    let sent = checker
        .commands
        .values()
        .flat_map(|command| &command.deliveries)
        .filter(|delivery| delivery.host.0 == 3 && delivery.at >= from)
        .count();
    assert!(
        sent <= 5,
        "{sent} deliveries to the cold host, expected at most 5"
    );
}

/// Guards against a router that takes the rate of commands received for the capacity of a cold host
/// while most hosts are down and clients retry heavily.
#[test]
fn a_burst_of_commands_while_most_hosts_are_down_does_not_overload_a_cold_host() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    checker.announce(
        &mut router,
        rollout_status(NEW, 2, RolloutState::Released, 1.0),
    );
    let gone: Vec<Endpoint> = (0..9)
        .map(|host| Endpoint {
            state: EndpointState::Gone,
            ..endpoint(host, OLD)
        })
        .collect();
    checker.send_list(&mut router, ListKind::Changes, &gone);
    let mut send_burst = |router: &mut Router, span: Micros| {
        let from = checker.now;
        let to = checker.now + span;
        if span < 3 * SECOND {
            let cold = Endpoint {
                started_at: Some(from),
                state: EndpointState::Ready,
                ..endpoint(3, NEW)
            };
            checker.send_list(router, ListKind::Changes, &[cold]);
        }
        while checker.now < to {
            for _ in 0..3 {
                let id = checker.commands.len() as u32;
                checker.command(router, id, 0, 0, 1900 * MS);
            }
            checker.advance(router, 5 * MS);
            for (id, index) in checker.open() {
                let good = (id.0 + index as u32).is_multiple_of(75);
                checker.end_delivery(
                    router,
                    id,
                    index,
                    if good {
                        PROMPT_ACK.outcome
                    } else {
                        PROMPT_ERROR.outcome
                    },
                );
            }
        }
        let sent = checker
            .commands
            .values()
            .flat_map(|command| &command.deliveries);
        sent.filter(|delivery| delivery.host.0 == 3 && delivery.at >= from)
            .count()
    };
    send_burst(&mut router, 3 * SECOND);
    let sent = send_burst(&mut router, 2 * SECOND - MS);
    // A warm host has answered about eight commands per second: the bound is three times what a
    // cold one can answer of that in two seconds.
    assert!(
        sent <= 40,
        "{sent} deliveries to the cold host, expected at most 40"
    );
}

#[test]
fn where_hosts_take_no_new_connection_a_router_keeps_to_those_that_answer() {
    let (mut router, mut checker) = RuleChecker::start(service_config(Gate::Single), 5);
    checker.announce(
        &mut router,
        rollout_status(OLD, 2, RolloutState::Released, 1.0),
    );
    let hosts: Vec<Endpoint> = (0..60).map(|host| endpoint(host, OLD)).collect();
    checker.send_list(&mut router, ListKind::Cached, &hosts);
    serve(&mut router, &mut checker, 3 * SECOND, |host, _, _| {
        match host.0 % 3 {
            0 => PROMPT_ACK,
            _ => Response::new(AttemptOutcome::NotConnected, 5 * MS),
        }
    });
    let sent = || {
        checker
            .commands
            .values()
            .flat_map(|command| &command.deliveries)
    };
    let refused = sent().filter(|delivery| delivery.host.0 % 3 != 0).count();
    assert!(
        refused * 4 < sent().count(),
        "{refused} of {} deliveries went to hosts that refuse connections",
        sent().count()
    );
}

#[test]
fn larger_hosts_get_more_and_busy_ones_less() {
    let mut config = service_config(Gate::Single);
    config.fleet_size = 1;
    let (mut router, mut checker) = RuleChecker::start(config, 5);
    checker.announce(
        &mut router,
        rollout_status(OLD, 2, RolloutState::Released, 1.0),
    );
    let size = |host| if host < 2 { 3.0 } else { 1.0 };
    let hosts: Vec<Endpoint> = (0..4)
        .map(|host| Endpoint {
            size: size(host),
            ..endpoint(host, OLD)
        })
        .collect();
    checker.send_list(&mut router, ListKind::Cached, &hosts);
    let fraction_to = |checker: &RuleChecker, from: Micros, hosts: std::ops::Range<u32>| {
        let sent = checker
            .commands
            .values()
            .flat_map(|command| &command.deliveries)
            .filter(|delivery| delivery.at > from);
        let (matching, all) = sent.fold((0, 0), |(matching, all), delivery| {
            (
                matching + u32::from(hosts.contains(&delivery.host.0)),
                all + 1,
            )
        });
        f64::from(matching) / f64::from(all)
    };
    serve(&mut router, &mut checker, 6 * SECOND, |_, _, _| PROMPT_ACK);
    let large = fraction_to(&checker, 0, 0..2);
    assert!(
        (0.65..0.85).contains(&large),
        "part of the deliveries to the two large hosts: {large}"
    );
    let from = checker.now;
    for _ in 0..12 {
        (0..4).for_each(|host| {
            router
                .set_time(checker.now)
                .on_load_report(HostId(host), if host == 0 { 0.95 } else { 0.3 })
        });
        serve(&mut router, &mut checker, SECOND / 2, |_, _, _| PROMPT_ACK);
    }
    let busy = fraction_to(&checker, from, 0..1);
    let idle = fraction_to(&checker, from, 1..2);
    assert!(
        busy < 0.7 * idle,
        "part of the deliveries to the busy host: {busy}, to the idle host of the same size: {idle}"
    );
}

#[test]
fn a_slow_zone_is_avoided_while_another_is_fast() {
    let (mut router, mut checker) = fleet(Gate::Single, |_| {});
    let respond = |host: HostId, _, _| {
        Response::new(
            AttemptOutcome::Acked,
            if host.0 % 2 == 1 { 500 * MS } else { 50 * MS },
        )
    };
    serve(&mut router, &mut checker, 4 * SECOND, respond);
    let from = checker.now;
    serve(&mut router, &mut checker, 2 * SECOND, respond);
    let sent = checker
        .commands
        .values()
        .flat_map(|command| &command.deliveries)
        .filter(|delivery| delivery.at >= from);
    let (in_slow_zone, all) = sent.fold((0, 0), |(in_slow_zone, all), delivery| {
        (in_slow_zone + delivery.host.0 % 2, all + 1)
    });
    assert!(
        in_slow_zone * 5 < all,
        "{in_slow_zone} of {all} deliveries went to the slow zone"
    );
    assert_eq!(count_votes(&checker, RolloutVote::RollBack), 0);
}

#[test]
fn a_router_with_little_traffic_in_a_large_fleet_keeps_to_few_hosts() {
    let mut config = service_config(Gate::Single);
    config.fleet_size = 500;
    let (mut router, mut checker) = RuleChecker::start(config, 5);
    checker.announce(
        &mut router,
        rollout_status(OLD, 2, RolloutState::Released, 1.0),
    );
    let all: Vec<Endpoint> = (0..100).map(|host| endpoint(host, OLD)).collect();
    checker.send_list(&mut router, ListKind::Cached, &all);
    for id in 0..60 {
        checker.command(&mut router, id, 0, 0, 1900 * MS);
        checker.advance(&mut router, 400 * MS);
        checker.open().into_iter().for_each(|(id, index)| {
            checker.end_delivery(&mut router, id, index, AttemptOutcome::Acked)
        });
    }
    let hosts: std::collections::BTreeSet<_> = checker
        .commands
        .values()
        .flat_map(|command| &command.deliveries)
        .map(|delivery| delivery.host)
        .collect();
    assert!(
        hosts.len() <= 20,
        "commands went to {} hosts, expected at most 20",
        hosts.len()
    );
}
