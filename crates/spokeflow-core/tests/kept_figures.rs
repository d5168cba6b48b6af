//! The figures that the module keeps as hosts change, compared after each step of seeded random runs with plain
//! definitions that walk over all hosts.

mod scenario;

use std::collections::{BTreeMap, BTreeSet};

use scenario::*;
use spokeflow_core::state::{
    BoundedPositions, CandidateSet, Hosts, ReadyHosts, StartSpans, WarmHosts, Window,
};
use spokeflow_core::*;

const LENGTH: Micros = 15 * SECOND;
const SILENT_FOR: [Micros; 3] = [0, 100 * MS, 600 * MS];

fn setting(seed: u64, hosts: u32, fleet_size: u32) -> Setting {
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
fn after_each_step(mut compare: impl FnMut(&World, &Hosts)) {
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

fn all(hosts: &Hosts) -> impl Iterator<Item = usize> + '_ {
    0..hosts.len()
}

fn ready(hosts: &Hosts) -> impl Iterator<Item = usize> + '_ {
    all(hosts).filter(|&h| hosts.endpoint(h).state == EndpointState::Ready)
}

fn ready_of(hosts: &Hosts, build: BuildId) -> Vec<usize> {
    ready(hosts).filter(|&h| hosts.build(h) == build).collect()
}

fn ready_builds(hosts: &Hosts) -> BTreeSet<BuildId> {
    ready(hosts).map(|h| hosts.build(h)).collect()
}

fn age(hosts: &Hosts, h: usize) -> Micros {
    hosts
        .endpoint(h)
        .started_at
        .map_or(Micros::MAX / 2, |started| (hosts.now() - started).max(0))
}

fn younger(hosts: &Hosts, span: Micros) -> BTreeSet<usize> {
    ready(hosts).filter(|&h| age(hosts, h) < span).collect()
}

fn is_close(kept: f64, plain: f64) -> bool {
    (kept - plain).abs() <= 1e-9 * plain.abs().max(1.0)
}

/// Compares one figure of each build's ready hosts.
fn for_each_build<T: PartialEq + std::fmt::Debug>(
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

#[test]
fn ready_hosts_are_counted_by_build() {
    after_each_step(|_, hosts| {
        assert_eq!(hosts.ready_count(), ready(hosts).count());
        let kept: BTreeMap<BuildId, usize> = hosts
            .ready_builds()
            .map(|(build, ready)| (build, ready.len()))
            .collect();
        let builds = ready_builds(hosts).into_iter();
        let plain: BTreeMap<BuildId, usize> =
            builds.map(|b| (b, ready_of(hosts, b).len())).collect();
        assert_eq!(kept, plain);
    });
}

#[test]
fn ready_hosts_stand_in_the_order_of_their_index() {
    for_each_build(|ready| ready.by_index().to_vec(), |_, plain| plain.to_vec());
}

#[test]
fn ready_hosts_stand_in_the_order_of_their_hash() {
    let by_rank = |hosts: &Hosts, plain: &[usize]| {
        let mut order = plain.to_vec();
        order.sort_by(|&a, &b| hosts.rank(a).total_cmp(&hosts.rank(b)));
        order
    };
    for_each_build(|ready| ready.by_rank().to_vec(), by_rank);
}

#[test]
fn the_latest_start_of_a_build_is_known() {
    let latest = |hosts: &Hosts, plain: &[usize]| {
        plain
            .iter()
            .map(|&h| hosts.endpoint(h).started_at.unwrap_or(0))
            .max()
            .unwrap_or(0)
    };
    for_each_build(|ready| ready.latest_start().unwrap_or(0), latest);
}

#[test]
fn the_largest_size_of_a_build_is_known() {
    let largest = |hosts: &Hosts, plain: &[usize]| {
        plain
            .iter()
            .map(|&h| hosts.endpoint(h).size)
            .fold(0.0, f64::max)
    };
    for_each_build(ReadyHosts::largest_size, largest);
}

#[test]
fn heard_hosts_are_counted() {
    let heard = |hosts: &Hosts, plain: &[usize]| {
        plain
            .iter()
            .filter(|&&h| hosts.answers(h) > 0 || hosts.evidence(h) > 0.0)
            .count()
    };
    for_each_build(ReadyHosts::observed, heard);
}

#[test]
fn warm_hosts_are_counted_and_their_sizes_summed() {
    let warm = |hosts: &Hosts, plain: &[usize]| {
        let warm = plain
            .iter()
            .filter(|&&h| age(hosts, h) >= hosts.spans().warming);
        warm.fold(WarmHosts::default(), |sum, &h| WarmHosts {
            count: sum.count + 1,
            size: sum.size + hosts.endpoint(h).size,
        })
    };
    for_each_build(ReadyHosts::warm, warm);
}

#[test]
fn the_oldest_build_of_any_host_is_known() {
    let mut seen = BTreeSet::new();
    // Long enough for each of few hosts to come back with later builds.
    let mut world = World::new(Setting {
        length: 200 * SECOND,
        ..setting(6, 3, 1)
    });
    world.play_watched(|world| {
        let hosts = world.router.hosts();
        let plain = all(hosts).map(|h| hosts.build(h)).min();
        assert_eq!(hosts.oldest_build(), plain);
        seen.insert(plain);
    });
    assert!(seen.len() > 1, "the oldest build changes in the runs");
}

#[test]
fn hosts_that_started_of_late_are_known() {
    after_each_step(|_, hosts| {
        let spans = hosts.spans();
        assert_eq!(
            hosts.warming().collect::<BTreeSet<_>>(),
            younger(hosts, spans.warming)
        );
        assert_eq!(
            hosts.bounded().collect::<BTreeSet<_>>(),
            younger(hosts, spans.bounded)
        );
        assert_eq!(hosts.recently_started(), younger(hosts, spans.recent).len());
    });
}

#[test]
fn the_places_of_bounded_hosts_are_known() {
    let positions = |hosts: &Hosts, order: Vec<usize>| -> Vec<usize> {
        let bounded = |h: usize| age(hosts, h) < hosts.spans().bounded;
        order
            .iter()
            .enumerate()
            .filter(|(_, h)| bounded(**h))
            .map(|(position, _)| position)
            .collect()
    };
    let plain = |hosts: &Hosts, members: &[usize]| {
        let mut by_rank = members.to_vec();
        by_rank.sort_by(|&a, &b| hosts.rank(a).total_cmp(&hosts.rank(b)));
        BoundedPositions {
            by_index: positions(hosts, members.to_vec()),
            by_rank: positions(hosts, by_rank),
        }
    };
    for_each_build(|ready| ready.bounded_positions().clone(), plain);
}

#[test]
fn hosts_with_a_strike_or_shut_are_known() {
    let mut most = 0;
    after_each_step(|_, hosts| {
        let kept: BTreeSet<usize> = hosts.suspects().collect();
        let troubled =
            |h: &usize| hosts.consecutive_failures(*h) > 0 || hosts.ejected_until(*h) > hosts.now();
        let plain: BTreeSet<usize> = ready(hosts).filter(troubled).collect();
        assert!(
            kept.is_superset(&plain),
            "{plain:?} are troubled, {kept:?} known"
        );
        assert!(
            kept.iter()
                .all(|&h| hosts.endpoint(h).state == EndpointState::Ready),
            "none that is not ready"
        );
        // The shut time of those that are open again ended within the last interval of wake-ups.
        let over =
            |h: &&usize| !plain.contains(h) && hosts.now() - hosts.ejected_until(**h) > SECOND;
        assert_eq!(kept.iter().find(over), None, "forgotten in time");
        most = most.max(plain.len());
    });
    assert!(most > 10, "many are troubled at times: {most}");
}

#[test]
fn deliveries_out_are_counted_and_silent_hosts_known() {
    let mut most = 0;
    after_each_step(|world, hosts| {
        for h in all(hosts) {
            assert_eq!(
                hosts.in_flight(h) as usize,
                world.open_at(hosts.endpoint(h).host),
                "at host {h}"
            );
        }
        for span in SILENT_FOR {
            let before = hosts.now() - span;
            let silent = |h: &usize| hosts.in_flight(*h) > 0 && hosts.quiet_since(*h) < before;
            let plain: BTreeSet<usize> = all(hosts).filter(silent).collect();
            assert_eq!(
                hosts.hosts_quiet_since(before).collect::<BTreeSet<_>>(),
                plain,
                "for {span} us"
            );
            most = most.max(plain.len());
        }
    });
    assert!(most > 10, "many are silent at times: {most}");
}

#[test]
fn blamed_hosts_are_known() {
    let mut most = 0;
    after_each_step(|_, hosts| {
        let plain: BTreeSet<usize> = all(hosts).filter(|&h| hosts.evidence(h) != 0.0).collect();
        assert_eq!(hosts.with_evidence().collect::<BTreeSet<_>>(), plain);
        most = most.max(plain.len());
    });
    assert!(most > 1, "some are blamed at times: {most}");
}

#[test]
fn a_host_that_comes_back_with_another_process_is_blamed_no_longer() {
    let spans = StartSpans {
        warming: SECOND,
        bounded: 2 * SECOND,
        recent: 3 * SECOND,
    };
    let mut hosts = Hosts::new(0, spans, 0);
    let line = Endpoint {
        host: HostId(1),
        build: Some(BuildId(1)),
        cell: 0,
        zone: ZoneId(0),
        state: EndpointState::Ready,
        size: 1.0,
        started_at: None,
    };
    let h = hosts.add(&line);
    hosts.update(h, &line);
    hosts.set_evidence(h, 1.0);
    assert_eq!(hosts.with_evidence().collect::<Vec<_>>(), [h]);
    hosts.update(
        h,
        &Endpoint {
            started_at: Some(0),
            ..line
        },
    );
    assert_eq!((hosts.evidence(h), hosts.with_evidence().count()), (0.0, 0));
}

#[test]
fn sums_over_ready_hosts_are_those_of_a_walk() {
    after_each_step(|_, hosts| {
        let span = hosts.spans().warming;
        let weight = |age: Micros| 0.4 + 0.6 * (age.min(span) as f64 / span as f64);
        let open =
            |h: usize| hosts.consecutive_failures(h) == 0 && hosts.now() >= hosts.ejected_until(h);
        for (kept, plain) in [
            (
                hosts.sum_ready(weight, |_| true),
                ready(hosts).map(|h| weight(age(hosts, h))).sum::<f64>(),
            ),
            (
                hosts.sum_ready(weight, open),
                ready(hosts)
                    .filter(|&h| open(h))
                    .map(|h| weight(age(hosts, h)))
                    .sum(),
            ),
        ] {
            assert!(is_close(kept, plain), "{kept} kept, {plain} walked");
        }
        for build in ready_builds(hosts) {
            let members = ready_of(hosts, build);
            let plain: f64 = members
                .iter()
                .map(|&h| weight(age(hosts, h)) * hosts.endpoint(h).size)
                .sum();
            let kept = hosts.sum_sizes(weight, |b| b == build);
            assert!(is_close(kept, plain), "{kept} kept, {plain} walked");
        }
    });
}

/// What a pool answers against a list of the hosts that it should hold.
fn assert_holds(pool: &CandidateSet, plain: &[usize]) {
    assert_eq!(pool.iter().collect::<Vec<_>>(), plain);
    assert_eq!(
        (pool.len(), pool.is_empty()),
        (plain.len(), plain.is_empty())
    );
    assert!(
        plain
            .iter()
            .enumerate()
            .all(|(place, &h)| pool.nth(place) == h),
        "each at its place"
    );
}

#[test]
fn pools_hold_what_a_filter_over_all_hosts_holds() {
    let (mut exact, mut walked) = (0, 0);
    after_each_step(|_, hosts| {
        let (span, silent) = (hosts.spans().bounded, hosts.now() - 100 * MS);
        // Drawn by host, for those of which something may speak against a delivery.
        let even = |h: usize, salt: u64| unit(h as u64 ^ salt << 32) < 0.5;
        for build in ready_builds(hosts) {
            let named = ready_of(hosts, build)[0];
            let doubtful = |h: usize| {
                let silent = hosts.in_flight(h) > 0 && hosts.quiet_since(h) < silent;
                let troubled =
                    hosts.consecutive_failures(h) > 0 || hosts.ejected_until(h) > hosts.now();
                troubled || silent || h == named
            };
            let looked_up = doubtful;
            let doubtful = |h: usize| age(hosts, h) < span || looked_up(h);
            let first = |h: usize| !doubtful(h) || even(h, 1);
            let second = |h: usize| !doubtful(h) || even(h, 2);
            let members = ready_of(hosts, build);
            let own = members.len() / 2;
            let mut by_rank = members.clone();
            by_rank.sort_by(|&a, &b| hosts.rank(a).total_cmp(&hosts.rank(b)));
            by_rank.truncate(own);
            let whole = hosts.candidates(build);
            for (mut pool, mut plain) in [
                (whole.clone(), members.clone()),
                (hosts.first_by_rank(whole, own), by_rank),
            ] {
                hosts.mark_suspects(&mut pool, false, silent, [named].into_iter());
                let walks = plain.len() < 8
                    || plain.iter().filter(|&&h| doubtful(h)).count() > plain.len() / 8;
                *(if walks { &mut walked } else { &mut exact }) += 1;
                assert_holds(&pool, &plain);
                pool.retain(first);
                plain.retain(|&h| first(h));
                assert_holds(&pool, &plain);
                assert_eq!(pool.any(second), plain.iter().any(|&h| second(h)));
                pool.retain(second);
                plain.retain(|&h| second(h));
                assert_holds(&pool, &plain);
                let largest = plain
                    .iter()
                    .map(|&h| hosts.endpoint(h).size)
                    .fold(0.0, f64::max);
                assert_eq!(hosts.largest_size(&pool), largest);
            }
        }
    });
    assert!(
        exact > 1_000 && walked > 1_000,
        "{exact} pools with few doubtful hosts, {walked} with many"
    );
}

#[test]
fn pools_of_hosts_that_no_detour_leads_to_keep_the_order_by_hash() {
    after_each_step(|_, hosts| {
        for build in ready_builds(hosts) {
            let near = |h: usize| hosts.endpoint(h).zone != ZoneId(1);
            let mut pool = hosts.candidates(build);
            pool.mark_all_unverified();
            pool.retain(near);
            let mut plain = ready_of(hosts, build);
            plain.retain(|&h| near(h));
            assert_holds(&pool, &plain);
            let mut checked = pool.clone();
            hosts.mark_suspects(&mut checked, false, Micros::MIN, std::iter::empty());
            let passes = |h: usize| unit(h as u64) < 0.5;
            checked.retain(passes);
            assert_holds(
                &checked,
                &plain
                    .iter()
                    .copied()
                    .filter(|&h| passes(h))
                    .collect::<Vec<_>>(),
            );
            plain.sort_by(|&a, &b| hosts.rank(a).total_cmp(&hosts.rank(b)));
            plain.truncate(plain.len() / 2);
            let mut pool = hosts.first_by_rank(pool, plain.len());
            assert_holds(&pool, &plain);
            hosts.mark_suspects(&mut pool, false, Micros::MIN, std::iter::empty());
            assert_holds(&pool, &plain);
        }
    });
}

#[test]
fn windows_count_what_a_walk_counts() {
    let mut random = Random::new(1);
    let (mut window, mut plain) = (Window::<u64>::default(), Vec::new());
    let mut now = 0;
    for _ in 0..20_000 {
        now += random.between(0, 5);
        if random.one_in(3) {
            let from = now - random.between(0, 200);
            window.forget_before(from);
            plain.retain(|(at, _)| *at >= from);
        } else {
            let kind = random.below(5);
            window.push(now, kind);
            plain.push((now, kind));
        }
        assert_eq!(
            (window.len(), window.is_empty()),
            (plain.len(), plain.is_empty())
        );
        for kind in 0..5 {
            assert_eq!(
                window.count(|k| k == kind),
                plain.iter().filter(|(_, k)| *k == kind).count()
            );
        }
    }
}
