//! Reference definitions of the statistics about hosts, which scan all hosts.

#![allow(dead_code)] // each test program uses only some of the items

use std::collections::BTreeSet;

use crate::scenario::*;
use spokeflow_core::state::{Hosts, ReadyHosts};
use spokeflow_core::*;

const LENGTH: Micros = 15 * SECOND;

/// The parameters of a run with these sizes; the seed decides the gate and the rollout rules.
pub(crate) fn setting(seed: u64, hosts: u32, fleet_size: u32) -> Setting {
    Setting {
        seed,
        hosts,
        fleet_size,
        gate: [Gate::Single, Gate::Majority, Gate::Clocked][seed as usize % 3],
        forward_only: seed.is_multiple_of(2),
        rolling: !seed.is_multiple_of(3),
        commands_per_second: 200,
        length: LENGTH,
    }
}

/// Plays runs of several sizes and calls `compare` after each step.
pub(crate) fn after_each_step(mut compare: impl FnMut(&Simulation, &Hosts)) {
    for (seed, hosts, fleet_size) in [
        (1, 4, 1),
        (2, 12, 1_300),
        (3, 40, 60),
        (4, 120, 1_300),
        (5, 120, 1),
    ] {
        let mut simulation = Simulation::new(setting(seed, hosts, fleet_size));
        simulation.run_watched(|simulation| compare(simulation, simulation.router.hosts()));
    }
}

/// All hosts that have ever been listed.
pub(crate) fn all(hosts: &Hosts) -> impl Iterator<Item = usize> + '_ {
    0..hosts.len()
}

/// The ready hosts.
pub(crate) fn ready(hosts: &Hosts) -> impl Iterator<Item = usize> + '_ {
    all(hosts).filter(|&host| hosts.endpoint(host).state == EndpointState::Ready)
}

/// The ready hosts of a build.
pub(crate) fn ready_of(hosts: &Hosts, build: BuildId) -> Vec<usize> {
    ready(hosts)
        .filter(|&host| hosts.build(host) == build)
        .collect()
}

/// The builds that have ready hosts.
pub(crate) fn ready_builds(hosts: &Hosts) -> BTreeSet<BuildId> {
    ready(hosts).map(|host| hosts.build(host)).collect()
}

/// Time since the host's process started; `Micros::MAX / 2` if the list does not say when.
pub(crate) fn age(hosts: &Hosts, host: usize) -> Micros {
    hosts
        .endpoint(host)
        .started_at
        .map_or(Micros::MAX / 2, |started| (hosts.now() - started).max(0))
}

/// The ready hosts whose process started less than `span` ago.
pub(crate) fn started_within(hosts: &Hosts, span: Micros) -> BTreeSet<usize> {
    ready(hosts)
        .filter(|&host| age(hosts, host) < span)
        .collect()
}

/// Whether two sums differ only by rounding.
pub(crate) fn is_close(maintained: f64, expected: f64) -> bool {
    (maintained - expected).abs() <= 1e-9 * expected.abs().max(1.0)
}

/// Compares one statistic of each build's ready hosts, as the state maintains it and by its
/// reference definition. Fails if the runs show fewer than three different values.
pub(crate) fn for_each_build<T: PartialEq + std::fmt::Debug>(
    maintained: impl Fn(&ReadyHosts) -> T,
    expected: impl Fn(&Hosts, &[usize]) -> T,
) {
    let mut seen = BTreeSet::new();
    after_each_step(|_, hosts| {
        for build in ready_builds(hosts) {
            let value = expected(hosts, &ready_of(hosts, build));
            assert_eq!(
                maintained(hosts.ready_with(build)),
                value,
                "for {build:?} at {} us",
                hosts.now()
            );
            seen.insert(format!("{value:?}"));
        }
    });
    assert!(
        seen.len() > 2,
        "too few different values in the runs: {seen:?}"
    );
}

/// Sorts hosts by hash.
pub(crate) fn sort_by_rank(hosts: &Hosts, order: &mut [usize]) {
    order.sort_by(|&left, &right| hosts.rank(left).total_cmp(&hosts.rank(right)));
}
