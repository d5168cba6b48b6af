//! Compares the statistics that the state maintains as hosts change with reference definitions that
//! scan all hosts, after each step of seeded random runs.

mod scenario;
mod walk;

use std::collections::{BTreeMap, BTreeSet};

use scenario::*;
use spokeflow_core::state::{BoundedPositions, Hosts, ReadyHosts, StartSpans, WarmHosts, Window};
use spokeflow_core::*;
use walk::*;

const QUIET_DURATIONS: [Micros; 3] = [0, 100 * MS, 600 * MS];

#[test]
fn ready_hosts_are_counted_by_build() {
    after_each_step(|_, hosts| {
        assert_eq!(hosts.ready_count(), ready(hosts).count());
        let maintained: BTreeMap<BuildId, usize> = hosts
            .ready_builds()
            .map(|(build, ready)| (build, ready.len()))
            .collect();
        let builds = ready_builds(hosts).into_iter();
        let expected: BTreeMap<BuildId, usize> = builds
            .map(|build| (build, ready_of(hosts, build).len()))
            .collect();
        assert_eq!(maintained, expected);
    });
}

#[test]
fn ready_hosts_are_in_the_order_of_their_index() {
    for_each_build(
        |ready| ready.by_index().to_vec(),
        |_, members| members.to_vec(),
    );
}

#[test]
fn ready_hosts_are_in_the_order_of_their_hash() {
    let by_rank = |hosts: &Hosts, members: &[usize]| {
        let mut order = members.to_vec();
        sort_by_rank(hosts, &mut order);
        order
    };
    for_each_build(|ready| ready.by_rank().to_vec(), by_rank);
}

#[test]
fn the_latest_start_of_a_build_is_known() {
    let latest = |hosts: &Hosts, members: &[usize]| {
        members
            .iter()
            .map(|&host| hosts.endpoint(host).started_at.unwrap_or(0))
            .max()
            .unwrap_or(0)
    };
    for_each_build(|ready| ready.latest_start().unwrap_or(0), latest);
}

#[test]
fn the_largest_size_of_a_build_is_known() {
    let largest = |hosts: &Hosts, members: &[usize]| {
        members
            .iter()
            .map(|&host| hosts.endpoint(host).size)
            .fold(0.0, f64::max)
    };
    for_each_build(ReadyHosts::largest_size, largest);
}

#[test]
fn observed_hosts_are_counted() {
    let observed = |hosts: &Hosts, members: &[usize]| {
        members
            .iter()
            .filter(|&&host| hosts.acks(host) > 0 || hosts.evidence(host) > 0.0)
            .count()
    };
    for_each_build(ReadyHosts::observed, observed);
}

#[test]
fn warm_hosts_are_counted_and_their_sizes_summed() {
    let warm = |hosts: &Hosts, members: &[usize]| {
        let warm = members
            .iter()
            .filter(|&&host| age(hosts, host) >= hosts.spans().slow_start);
        warm.fold(WarmHosts::default(), |sum, &host| WarmHosts {
            count: sum.count + 1,
            size: sum.size + hosts.endpoint(host).size,
        })
    };
    for_each_build(ReadyHosts::warm, warm);
}

#[test]
fn the_oldest_build_of_any_host_is_known() {
    let mut seen = BTreeSet::new();
    // Long enough for each of the few hosts to return with a later build.
    let mut simulation = Simulation::new(Setting {
        length: 200 * SECOND,
        ..setting(6, 3, 1)
    });
    simulation.run_watched(|simulation| {
        let hosts = simulation.router.hosts();
        let expected = all(hosts).map(|host| hosts.build(host)).min();
        assert_eq!(hosts.oldest_build(), expected);
        seen.insert(expected);
    });
    assert!(seen.len() > 1, "the oldest build never changed: {seen:?}");
}

#[test]
fn recently_started_hosts_are_known() {
    after_each_step(|_, hosts| {
        let spans = hosts.spans();
        assert_eq!(
            hosts.cold_hosts().collect::<BTreeSet<_>>(),
            started_within(hosts, spans.slow_start)
        );
        assert_eq!(
            hosts.bounded().collect::<BTreeSet<_>>(),
            started_within(hosts, spans.bounded)
        );
        assert_eq!(
            hosts.recently_started(),
            started_within(hosts, spans.recent).len()
        );
    });
}

#[test]
fn the_positions_of_bounded_hosts_are_known() {
    let positions = |hosts: &Hosts, order: Vec<usize>| -> Vec<usize> {
        let bounded = |host: usize| age(hosts, host) < hosts.spans().bounded;
        order
            .iter()
            .enumerate()
            .filter(|(_, host)| bounded(**host))
            .map(|(position, _)| position)
            .collect()
    };
    let expected = |hosts: &Hosts, members: &[usize]| {
        let mut by_rank = members.to_vec();
        sort_by_rank(hosts, &mut by_rank);
        BoundedPositions {
            by_index: positions(hosts, members.to_vec()),
            by_rank: positions(hosts, by_rank),
        }
    };
    for_each_build(|ready| ready.bounded_positions().clone(), expected);
}

#[test]
fn failing_or_ejected_hosts_are_known() {
    let mut highest = 0;
    after_each_step(|_, hosts| {
        let maintained: BTreeSet<usize> = hosts.suspects().collect();
        let is_suspect = |host: &usize| {
            hosts.consecutive_failures(*host) > 0 || hosts.ejected_until(*host) > hosts.now()
        };
        let expected: BTreeSet<usize> = ready(hosts).filter(is_suspect).collect();
        assert!(
            maintained.is_superset(&expected),
            "suspects {expected:?} are not all among {maintained:?}"
        );
        assert!(
            maintained
                .iter()
                .all(|&host| hosts.endpoint(host).state == EndpointState::Ready),
            "a host among {maintained:?} is not ready"
        );
        // A host that is no longer a suspect may stay in the set until the next wake-up.
        let is_outdated = |host: &&usize| {
            !expected.contains(host) && hosts.now() - hosts.ejected_until(**host) > SECOND
        };
        assert_eq!(
            maintained.iter().find(is_outdated),
            None,
            "the ejection of a suspect ended more than a second ago"
        );
        highest = highest.max(expected.len());
    });
    assert!(highest > 10, "at most {highest} suspects at one time");
}

#[test]
fn open_deliveries_are_counted_and_quiet_hosts_known() {
    let mut highest = 0;
    after_each_step(|simulation, hosts| {
        for host in all(hosts) {
            assert_eq!(
                hosts.in_flight(host) as usize,
                simulation.open_at(hosts.endpoint(host).host),
                "open deliveries at host {host}"
            );
        }
        for span in QUIET_DURATIONS {
            let before = hosts.now() - span;
            let is_quiet =
                |host: &usize| hosts.in_flight(*host) > 0 && hosts.quiet_since(*host) < before;
            let expected: BTreeSet<usize> = all(hosts).filter(is_quiet).collect();
            assert_eq!(
                hosts.hosts_quiet_since(before).collect::<BTreeSet<_>>(),
                expected,
                "hosts that were quiet for {span} us"
            );
            highest = highest.max(expected.len());
        }
    });
    assert!(highest > 10, "at most {highest} quiet hosts at one time");
}

#[test]
fn hosts_with_evidence_are_known() {
    let mut highest = 0;
    after_each_step(|_, hosts| {
        let expected: BTreeSet<usize> = all(hosts)
            .filter(|&host| hosts.evidence(host) != 0.0)
            .collect();
        assert_eq!(hosts.with_evidence().collect::<BTreeSet<_>>(), expected);
        highest = highest.max(expected.len());
    });
    assert!(
        highest > 1,
        "at most {highest} hosts with evidence at one time"
    );
}

#[test]
fn another_process_clears_the_evidence_of_a_host() {
    let spans = StartSpans {
        slow_start: SECOND,
        bounded: 2 * SECOND,
        recent: 3 * SECOND,
    };
    let mut hosts = Hosts::new(0, spans, 0);
    let endpoint = Endpoint {
        host: HostId(1),
        build: Some(BuildId(1)),
        cell: 0,
        zone: ZoneId(0),
        state: EndpointState::Ready,
        size: 1.0,
        started_at: None,
    };
    let host = hosts.add(&endpoint);
    hosts.update(host, &endpoint);
    hosts.set_evidence(host, 1.0);
    assert_eq!(hosts.with_evidence().collect::<Vec<_>>(), [host]);
    hosts.update(
        host,
        &Endpoint {
            started_at: Some(0),
            ..endpoint
        },
    );
    assert_eq!(
        (hosts.evidence(host), hosts.with_evidence().count()),
        (0.0, 0)
    );
}

#[test]
fn sums_over_ready_hosts_equal_a_full_scan() {
    after_each_step(|_, hosts| {
        let span = hosts.spans().slow_start;
        let weight = |age: Micros| 0.4 + 0.6 * (age.min(span) as f64 / span as f64);
        let is_fit = |host: usize| {
            hosts.consecutive_failures(host) == 0 && hosts.now() >= hosts.ejected_until(host)
        };
        for (maintained, expected) in [
            (
                hosts.sum_ready(weight, |_| true),
                ready(hosts)
                    .map(|host| weight(age(hosts, host)))
                    .sum::<f64>(),
            ),
            (
                hosts.sum_ready(weight, is_fit),
                ready(hosts)
                    .filter(|&host| is_fit(host))
                    .map(|host| weight(age(hosts, host)))
                    .sum(),
            ),
        ] {
            assert!(
                is_close(maintained, expected),
                "maintained sum {maintained}, scanned sum {expected}"
            );
        }
        for build in ready_builds(hosts) {
            let members = ready_of(hosts, build);
            let expected: f64 = members
                .iter()
                .map(|&host| weight(age(hosts, host)) * hosts.endpoint(host).size)
                .sum();
            let maintained = hosts.sum_sizes(weight, |other| other == build);
            assert!(
                is_close(maintained, expected),
                "maintained sum {maintained}, scanned sum {expected}"
            );
        }
    });
}

#[test]
fn window_counts_equal_a_full_scan() {
    let mut random = Random::new(1);
    let mut window = Window::<u64>::default();
    let mut expected = Vec::new();
    let mut now = 0;
    for _ in 0..20_000 {
        now += random.between(0, 5);
        if random.one_in(3) {
            let from = now - random.between(0, 200);
            window.forget_before(from);
            expected.retain(|(at, _)| *at >= from);
        } else {
            let kind = random.below(5);
            window.push(now, kind);
            expected.push((now, kind));
        }
        assert_eq!(
            (window.len(), window.is_empty()),
            (expected.len(), expected.is_empty())
        );
        for kind in 0..5 {
            assert_eq!(
                window.count(|other| other == kind),
                expected.iter().filter(|(_, other)| *other == kind).count()
            );
        }
    }
}
