//! Compares candidate sets with plain lists of hosts after each step of seeded random runs.

mod scenario;
mod walk;

use scenario::*;
use spokeflow_core::state::CandidateSet;
use spokeflow_core::*;
use walk::*;

/// Asserts that a candidate set holds exactly the expected hosts, in the same order.
fn assert_holds(candidates: &CandidateSet, expected: &[usize]) {
    assert_eq!(candidates.iter().collect::<Vec<_>>(), expected);
    assert_eq!(
        (candidates.len(), candidates.is_empty()),
        (expected.len(), expected.is_empty())
    );
    assert!(
        expected
            .iter()
            .enumerate()
            .all(|(index, &host)| candidates.nth(index) == host),
        "a host is not at its index"
    );
}

#[test]
fn candidate_sets_equal_a_filter_over_all_hosts() {
    let mut few_unverified = 0;
    let mut many_unverified = 0;
    after_each_step(|_, hosts| {
        let span = hosts.spans().bounded;
        let quiet_since = hosts.now() - 100 * MS;
        // The result of a check of an unverified host: even chances, fixed by host and salt.
        let drawn = |host: usize, salt: u64| hash_to_unit_interval(host as u64 ^ salt << 32) < 0.5;
        for build in ready_builds(hosts) {
            let named = ready_of(hosts, build)[0];
            let is_looked_up = |host: usize| {
                let is_quiet = hosts.in_flight(host) > 0 && hosts.quiet_since(host) < quiet_since;
                let is_suspect =
                    hosts.consecutive_failures(host) > 0 || hosts.ejected_until(host) > hosts.now();
                is_suspect || is_quiet || host == named
            };
            let is_unverified = |host: usize| age(hosts, host) < span || is_looked_up(host);
            let first_check = |host: usize| !is_unverified(host) || drawn(host, 1);
            let second_check = |host: usize| !is_unverified(host) || drawn(host, 2);
            let members = ready_of(hosts, build);
            let half = members.len() / 2;
            let mut by_rank = members.clone();
            sort_by_rank(hosts, &mut by_rank);
            by_rank.truncate(half);
            let all_candidates = hosts.candidates(build);
            for (mut candidates, mut expected) in [
                (all_candidates.clone(), members.clone()),
                (hosts.first_by_rank(all_candidates, half), by_rank),
            ] {
                hosts.mark_unverified(&mut candidates, false, quiet_since, [named].into_iter());
                let has_many = expected.len() < 8
                    || expected.iter().filter(|&&host| is_unverified(host)).count()
                        > expected.len() / 8;
                *(if has_many {
                    &mut many_unverified
                } else {
                    &mut few_unverified
                }) += 1;
                assert_holds(&candidates, &expected);
                candidates.retain(first_check);
                expected.retain(|&host| first_check(host));
                assert_holds(&candidates, &expected);
                assert_eq!(
                    candidates.any(second_check),
                    expected.iter().any(|&host| second_check(host))
                );
                candidates.retain(second_check);
                expected.retain(|&host| second_check(host));
                assert_holds(&candidates, &expected);
                let largest = expected
                    .iter()
                    .map(|&host| hosts.endpoint(host).size)
                    .fold(0.0, f64::max);
                assert_eq!(hosts.largest_size(&candidates), largest);
            }
        }
    });
    assert!(
        few_unverified > 1_000 && many_unverified > 1_000,
        "{few_unverified} sets with few unverified hosts, {many_unverified} with many"
    );
}

#[test]
fn candidate_sets_without_a_slow_zone_keep_the_order_by_hash() {
    after_each_step(|_, hosts| {
        for build in ready_builds(hosts) {
            let in_other_zone = |host: usize| hosts.endpoint(host).zone != ZoneId(1);
            let mut candidates = hosts.candidates(build);
            candidates.mark_all_unverified();
            candidates.retain(in_other_zone);
            let mut expected = ready_of(hosts, build);
            expected.retain(|&host| in_other_zone(host));
            assert_holds(&candidates, &expected);
            let mut checked = candidates.clone();
            hosts.mark_unverified(&mut checked, false, Micros::MIN, std::iter::empty());
            let passes = |host: usize| hash_to_unit_interval(host as u64) < 0.5;
            checked.retain(passes);
            assert_holds(
                &checked,
                &expected
                    .iter()
                    .copied()
                    .filter(|&host| passes(host))
                    .collect::<Vec<_>>(),
            );
            sort_by_rank(hosts, &mut expected);
            expected.truncate(expected.len() / 2);
            let mut candidates = hosts.first_by_rank(candidates, expected.len());
            assert_holds(&candidates, &expected);
            hosts.mark_unverified(&mut candidates, false, Micros::MIN, std::iter::empty());
            assert_holds(&candidates, &expected);
        }
    });
}
