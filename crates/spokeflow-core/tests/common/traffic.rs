//! Traffic through a router: fleets with two builds, and hosts whose responses a test defines.

use super::*;

/// The outcome of a delivery at a host, and the time after which it occurs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Response {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) after: Micros,
}

impl Response {
    pub(crate) const fn new(outcome: AttemptOutcome, after: Micros) -> Self {
        Response { outcome, after }
    }
}

/// The release controller's counts of one operation at one build in a period.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeriodCount {
    pub(crate) sampled: u32,
    pub(crate) lost: u32,
    pub(crate) mean_latency: Micros,
}

impl PeriodCount {
    pub(crate) const fn new(sampled: u32, lost: u32, mean_latency: Micros) -> Self {
        PeriodCount {
            sampled,
            lost,
            mean_latency,
        }
    }
}

/// Returns a router with six hosts of the old and four of the new build, at the start of the second
/// canary stage, after six seconds of traffic to the old build alone.
pub(crate) fn fleet(gate: Gate, change: impl Fn(&mut ServiceConfig)) -> (Router, RuleChecker) {
    let mut config = service_config(gate);
    change(&mut config);
    let (mut router, mut checker) = RuleChecker::start(config, 5);
    checker.announce(
        &mut router,
        rollout_status(OLD, 2, RolloutState::Released, 1.0),
    );
    let old: Vec<Endpoint> = (0..10).map(|host| endpoint(host, OLD)).collect();
    checker.send_list(&mut router, ListKind::Cached, &old);
    serve(&mut router, &mut checker, 6 * SECOND, |_, _, _| {
        Response::new(AttemptOutcome::Acked, 50 * MS)
    });
    let started = checker.now - 5 * SECOND;
    let new: Vec<Endpoint> = (6..10)
        .map(|host| Endpoint {
            started_at: Some(started),
            ..endpoint(host, NEW)
        })
        .collect();
    checker.send_list(&mut router, ListKind::Changes, &new);
    checker.announce(
        &mut router,
        rollout_status(NEW, 1, RolloutState::Canary, 0.4),
    );
    (router, checker)
}

/// Sends eighty commands per second for `span`. `respond` gets the host, the operation and a number
/// that differs between the deliveries of a command, and returns the response.
pub(crate) fn serve(
    router: &mut Router,
    checker: &mut RuleChecker,
    span: Micros,
    respond: impl Fn(HostId, usize, u32) -> Response,
) {
    let to = checker.now + span;
    while checker.now < to {
        let id = checker.commands.len() as u32;
        let key = u64::from(id % 101) + 1;
        if checker.now / MS % 50 < 20 {
            checker.command(router, id, (id % 3) as usize, key, 1900 * MS);
        }
        checker.advance(router, 5 * MS);
        for (id, index) in checker.open() {
            let command = &checker.commands[&id];
            let sent = command.deliveries[index];
            let response = respond(sent.host, command.operation, id.0 + index as u32);
            if checker.now - sent.at >= response.after {
                checker.end_delivery(router, id, index, response.outcome);
            }
        }
    }
}

/// Returns the part of the deliveries within the last `span` that went to the hosts with the new
/// build of [`fleet`].
pub(crate) fn new_build_fraction(checker: &RuleChecker, span: Micros) -> f64 {
    let all = checker
        .commands
        .values()
        .flat_map(|command| &command.deliveries)
        .filter(|delivery| delivery.at > checker.now - span);
    let (new, all) = all.fold((0, 0), |(new, all), delivery| {
        (new + u32::from(delivery.host.0 >= 6), all + 1)
    });
    f64::from(new) / f64::from(all)
}

/// Returns how often the router cast the given vote.
pub(crate) fn count_votes(checker: &RuleChecker, vote: RolloutVote) -> usize {
    checker
        .votes
        .iter()
        .filter(|cast_vote| cast_vote.vote == vote)
        .count()
}

/// The response of a healthy host.
pub(crate) const PROMPT_ACK: Response = Response::new(AttemptOutcome::Acked, 50 * MS);

/// The response of a host that fails every command.
pub(crate) const PROMPT_ERROR: Response = Response::new(AttemptOutcome::Error, 20 * MS);

/// Sends the router the release controller's counts of each operation at the old and the new build,
/// for a number of periods of two seconds.
pub(crate) fn report_counts(
    router: &mut Router,
    checker: &mut RuleChecker,
    periods: usize,
    old: PeriodCount,
    new: PeriodCount,
) {
    for _ in 0..periods {
        checker.advance(router, 2 * SECOND);
        for (build, count) in [(OLD, old), (NEW, new)] {
            for operation in 0..3 {
                let stats = ControllerStats {
                    build,
                    op: OpType(operation),
                    sampled: count.sampled,
                    failed: count.lost,
                    mean_latency: count.mean_latency,
                    age: SECOND,
                };
                router.set_time(checker.now).on_controller_stats(stats);
            }
        }
    }
}

/// Returns one of 300 routers, with more than the mean traffic, at the start of the second canary
/// stage: sixty hosts run the old build and forty, started twelve seconds ago, the new one.
pub(crate) fn large_fleet(seed: u64, change: impl Fn(&mut ServiceConfig)) -> (Router, RuleChecker) {
    let mut config = service_config(Gate::Single);
    config.fleet_size = 300;
    config.tenant_quotas = vec![600.0, 300.0];
    change(&mut config);
    let (mut router, mut checker) = RuleChecker::start(config, seed);
    checker.announce(
        &mut router,
        rollout_status(OLD, 2, RolloutState::Released, 1.0),
    );
    let old: Vec<Endpoint> = (0..100).map(|host| endpoint(host, OLD)).collect();
    checker.send_list(&mut router, ListKind::Cached, &old);
    serve_at_low_rate(&mut router, &mut checker, 8 * SECOND, |_| {
        Response::new(AttemptOutcome::Acked, 50 * MS)
    });
    let started = checker.now - 12 * SECOND;
    let new = (60..100).map(|host| Endpoint {
        started_at: Some(started),
        ..endpoint(host, NEW)
    });
    checker.send_list(&mut router, ListKind::Changes, &new.collect::<Vec<_>>());
    checker.announce(
        &mut router,
        rollout_status(NEW, 1, RolloutState::Canary, 0.4),
    );
    (router, checker)
}

/// Sends five commands per second for `span`; `respond` returns the response of a host.
pub(crate) fn serve_at_low_rate(
    router: &mut Router,
    checker: &mut RuleChecker,
    span: Micros,
    respond: impl Fn(HostId) -> Response,
) {
    let to = checker.now + span;
    while checker.now < to {
        if checker.now / MS % 200 == 0 {
            let id = checker.commands.len() as u32;
            checker.command(router, id, (id % 3) as usize, u64::from(id) + 1, 1900 * MS);
        }
        checker.advance(router, 5 * MS);
        for (id, index) in checker.open() {
            let sent = checker.commands[&id].deliveries[index];
            let response = respond(sent.host);
            if checker.now - sent.at >= response.after {
                checker.end_delivery(router, id, index, response.outcome);
            }
        }
    }
}
