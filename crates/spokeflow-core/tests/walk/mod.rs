//! Plain definitions of the figures about hosts, which walk over all of them.

#![allow(dead_code)] // each test program uses its own part

use std::collections::BTreeSet;

use crate::scenario::*;
use spokeflow_core::state::{Hosts, ReadyHosts};
use spokeflow_core::*;

const LENGTH: Micros = 15 * SECOND;

/// A run of these sizes; the seed decides the rules.
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

/// Plays runs of several sizes and compares after each step.
pub(crate) fn after_each_step(mut compare: impl FnMut(&World, &Hosts)) {
    for (seed, hosts, fleet_size) in [
        (1, 4, 1),
        (2, 12, 1_300),
        (3, 40, 60),
        (4, 120, 1_300),
        (5, 120, 1),
    ] {
        let mut world = World::new(setting(seed, hosts, fleet_size));
        world.play_watched(|world| compare(world, world.router.hosts()));
    }
}

/// All hosts ever listed.
pub(crate) fn all(hosts: &Hosts) -> impl Iterator<Item = usize> + '_ {
    0..hosts.len()
}

/// The ready ones.
pub(crate) fn ready(hosts: &Hosts) -> impl Iterator<Item = usize> + '_ {
    all(hosts).filter(|&host| hosts.endpoint(host).state == EndpointState::Ready)
}

/// The ready ones of a build.
pub(crate) fn ready_of(hosts: &Hosts, build: BuildId) -> Vec<usize> {
    ready(hosts)
        .filter(|&host| hosts.build(host) == build)
        .collect()
}

/// The builds that have a ready host.
pub(crate) fn ready_builds(hosts: &Hosts) -> BTreeSet<BuildId> {
    ready(hosts).map(|host| hosts.build(host)).collect()
}

/// Time since the process started, a very long one where the list does not say.
pub(crate) fn age(hosts: &Hosts, host: usize) -> Micros {
    hosts
        .endpoint(host)
        .started_at
        .map_or(Micros::MAX / 2, |started| (hosts.now() - started).max(0))
}

/// Ready hosts that started within a span before now.
pub(crate) fn started_within(hosts: &Hosts, span: Micros) -> BTreeSet<usize> {
    ready(hosts)
        .filter(|&host| age(hosts, host) < span)
        .collect()
}

/// Whether two sums differ by rounding only.
pub(crate) fn is_close(kept: f64, plain: f64) -> bool {
    (kept - plain).abs() <= 1e-9 * plain.abs().max(1.0)
}

/// Compares one figure of each build's ready hosts.
pub(crate) fn for_each_build<T: PartialEq + std::fmt::Debug>(
    kept: impl Fn(&ReadyHosts) -> T,
    plain: impl Fn(&Hosts, &[usize]) -> T,
) {
    let mut seen = BTreeSet::new();
    after_each_step(|_, hosts| {
        for build in ready_builds(hosts) {
            let figure = plain(hosts, &ready_of(hosts, build));
            assert_eq!(
                kept(hosts.ready_with(build)),
                figure,
                "of build {build:?} at {}",
                hosts.now()
            );
            seen.insert(format!("{figure:?}"));
        }
    });
    assert!(seen.len() > 2, "the runs hold different figures: {seen:?}");
}

/// Sorts hosts by hash.
pub(crate) fn sort_by_rank(hosts: &Hosts, order: &mut [usize]) {
    order.sort_by(|&left, &right| hosts.rank(left).total_cmp(&hosts.rank(right)));
}
