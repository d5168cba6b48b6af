//! Many routers together do not overload a cold host.

mod common;

use common::*;
use spokeflow_core::*;

/// Gives each router so many commands, of which all but the first four hosts reject theirs where
/// `reject` holds; then host 3 starts anew. Returns what host 3 was sent.
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
            checker.pass(router, interval + Micros::from(number % 2));
            for (id, index) in checker.open() {
                let host = checker.commands[&id].deliveries[index].host;
                let outcome = if reject && host > HostId(3) {
                    AttemptOutcome::Rejected
                } else {
                    AttemptOutcome::Acked
                };
                checker.end(router, id, index, outcome);
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
        checker.list(router, ListKind::Changes, &[restarted]);
    }
    sent as f64
}

/// Many routers share hosts, and two in three hosts refuse: what all send to a cold one stays in
/// its budget.
#[test]
fn many_routers_together_do_not_push_a_cold_host_over() {
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
        checker.list(router, ListKind::Cached, &all);
        checker.announce(router, rollout_status(OLD, 2, RolloutState::Released, 1.0));
    }
    serve_fleet(&mut fleet, false, 8 * each as u32, SECOND / each);
    // Forty routers of twelve a second over twelve hosts: forty a second each, which is what one
    // can do.
    let can = (routers as f64) * each as f64 / f64::from(hosts);
    let span = config.overload_window as f64 / SECOND as f64;
    let present = config.slow_start_from
        + (1.0 - config.slow_start_from) * span / (config.warm_up_time as f64 / SECOND as f64);
    let sent = serve_fleet(&mut fleet, true, 2 * each as u32, SECOND / each);
    let budget = config.overload_multiple * can * present * span;
    assert!(sent <= budget, "rule 4: {sent} sent, {budget} at most");
}

/// Of drawn scenarios 58 and 904: routers that had just started beside a single cold host, the
/// others dead, took the commands received for its capacity, and all together sent it many times
/// what it bears.
#[test]
fn routers_that_start_beside_one_cold_host_do_not_push_it_over() {
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
        checker.list(&mut router, ListKind::Complete, &[cold]);
        checker.announce(
            &mut router,
            rollout_status(OLD, 2, RolloutState::Released, 1.0),
        );
        for id in 0..2 * each {
            checker.command(&mut router, id, 0, 0, 900 * MS);
            checker.pass(&mut router, SECOND / Micros::from(each));
        }
        sent += checker
            .commands
            .values()
            .map(|command| command.deliveries.len())
            .sum::<usize>();
    }
    // A host that answers one command in a latency objective bears so many over the overload
    // window, and chance on top.
    let span = config.overload_window as f64 / SECOND as f64;
    let can = SECOND as f64 / config.ops[0].latency_objective as f64 * config.slow_start_from;
    let budget = config.overload_multiple * can * span;
    let most = budget + 3.0 * budget.sqrt() + 3.0;
    assert!(
        sent as f64 <= most && sent > 0,
        "rule 4: {sent} sent, {most} at most"
    );
}
