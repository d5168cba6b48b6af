//! Many routers together do not overload a cold host.

mod common;

use common::*;
use spokeflow_core::*;

/// Sends each router `commands` commands, one per `interval`. Where `reject` is set, all hosts but
/// the first four reject their deliveries. Then host 3 restarts. Returns the deliveries that host 3
/// was sent before its restart.
fn serve_fleet(
    fleet: &mut [(Router, RuleChecker)],
    reject: bool,
    commands: u32,
    interval: Micros,
) -> f64 {
    let mut sent = 0;
    for (router, checker) in fleet {
        let from = checker.now;
        for number in 0..commands {
            let id = checker.commands.len() as u32;
            checker.command(router, id, 0, 0, 900 * MS);
            checker.advance(router, interval + Micros::from(number % 2));
            for (id, index) in checker.open() {
                let host = checker.commands[&id].deliveries[index].host;
                let outcome = if reject && host > HostId(3) {
                    AttemptOutcome::Rejected
                } else {
                    AttemptOutcome::Acked
                };
                checker.end_delivery(router, id, index, outcome);
            }
        }
        sent += checker
            .commands
            .values()
            .flat_map(|command| &command.deliveries)
            .filter(|delivery| delivery.host == HostId(3) && delivery.at >= from)
            .count();
        let restarted = Endpoint {
            started_at: Some(checker.now),
            ..endpoint(3, OLD)
        };
        checker.send_list(router, ListKind::Changes, &[restarted]);
    }
    sent as f64
}

/// Many routers share the hosts, two in three of which reject deliveries. The deliveries of all
/// routers together to a cold host must stay within its overload multiple.
#[test]
fn many_routers_together_do_not_overload_a_cold_host() {
    let routers = 40u64;
    let hosts = 12u32;
    let each = 12;
    let mut config = service_config(Gate::Single);
    config.fleet_size = routers as u32;
    let mut fleet: Vec<_> = (0..routers)
        .map(|number| {
            RuleChecker::start(
                ServiceConfig {
                    own_index: number as u32,
                    ..config.clone()
                },
                number,
            )
        })
        .collect();
    let all: Vec<Endpoint> = (0..hosts).map(|host| endpoint(host, OLD)).collect();
    for (router, checker) in &mut fleet {
        checker.send_list(router, ListKind::Cached, &all);
        checker.announce(router, rollout_status(OLD, 2, RolloutState::Released, 1.0));
    }
    serve_fleet(&mut fleet, false, 8 * each as u32, SECOND / each);
    // Forty routers with twelve commands per second each share twelve hosts: forty commands per
    // second and host, which counts as the capacity of a warm host.
    let capacity = (routers as f64) * each as f64 / f64::from(hosts);
    let span = config.overload_window as f64 / SECOND as f64;
    let capacity_fraction = config.slow_start_from
        + (1.0 - config.slow_start_from) * span / (config.warm_up_time as f64 / SECOND as f64);
    let sent = serve_fleet(&mut fleet, true, 2 * each as u32, SECOND / each);
    let budget = config.overload_multiple * capacity * capacity_fraction * span;
    assert!(
        sent <= budget,
        "rule 4: {sent} deliveries to the cold host, expected at most {budget}"
    );
}

/// Guards against routers that start while a single cold host is left and take the rate of commands
/// received for its capacity: together they would send it many times its capacity. Found by random
/// scenarios 58 and 904.
#[test]
fn routers_that_start_with_one_cold_host_do_not_overload_it() {
    let routers = 150u64;
    let each = 6;
    let mut config = service_config(Gate::Single);
    config.fleet_size = routers as u32;
    let mut sent = 0;
    for number in 0..routers {
        let (mut router, mut checker) = RuleChecker::start(
            ServiceConfig {
                own_index: number as u32,
                ..config.clone()
            },
            number,
        );
        let cold = Endpoint {
            started_at: Some(checker.now - 100 * MS),
            ..endpoint(3, OLD)
        };
        checker.send_list(&mut router, ListKind::Complete, &[cold]);
        checker.announce(
            &mut router,
            rollout_status(OLD, 2, RolloutState::Released, 1.0),
        );
        for id in 0..2 * each {
            checker.command(&mut router, id, 0, 0, 900 * MS);
            checker.advance(&mut router, SECOND / Micros::from(each));
        }
        sent += checker
            .commands
            .values()
            .map(|command| command.deliveries.len())
            .sum::<usize>();
    }
    // The capacity over the overload window of a host that answers one command per latency
    // objective, with a margin of three standard deviations for random variation.
    let span = config.overload_window as f64 / SECOND as f64;
    let capacity = SECOND as f64 / config.ops[0].latency_objective as f64 * config.slow_start_from;
    let budget = config.overload_multiple * capacity * span;
    let most = budget + 3.0 * budget.sqrt() + 3.0;
    assert!(
        sent as f64 <= most && sent > 0,
        "rule 4: {sent} deliveries to the cold host, expected 1 to {most}"
    );
}
