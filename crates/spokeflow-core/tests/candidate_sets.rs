//! Sets of candidates, compared after each step of seeded random runs with plain lists of hosts.

mod scenario;
mod walk;

use scenario::*;
use spokeflow_core::state::CandidateSet;
use spokeflow_core::*;
use walk::*;

/// What a set of candidates answers against a list of the hosts that it should hold.
fn assert_holds(candidates: &CandidateSet, plain: &[usize]) {
    assert_eq!(candidates.iter().collect::<Vec<_>>(), plain);
    assert_eq!(
        (candidates.len(), candidates.is_empty()),
        (plain.len(), plain.is_empty())
    );
    assert!(
        plain
            .iter()
            .enumerate()
            .all(|(index, &host)| candidates.nth(index) == host),
        "each at its index"
    );
}

#[test]
fn candidate_sets_hold_what_a_filter_over_all_hosts_holds() {
    let mut exact = 0;
    let mut walked = 0;
    after_each_step(|_, hosts| {
        let span = hosts.spans().bounded;
        let quiet = hosts.now() - 100 * MS;
        // Drawn by host, for those of which something may forbid a delivery.
        let even = |host: usize, salt: u64| hash_to_unit_interval(host as u64 ^ salt << 32) < 0.5;
        for build in ready_builds(hosts) {
            let named = ready_of(hosts, build)[0];
            let doubtful = |host: usize| {
                let quiet = hosts.in_flight(host) > 0 && hosts.quiet_since(host) < quiet;
                let suspects =
                    hosts.consecutive_failures(host) > 0 || hosts.ejected_until(host) > hosts.now();
                suspects || quiet || host == named
            };
            let looked_up = doubtful;
            let doubtful = |host: usize| age(hosts, host) < span || looked_up(host);
            let first = |host: usize| !doubtful(host) || even(host, 1);
            let second = |host: usize| !doubtful(host) || even(host, 2);
            let members = ready_of(hosts, build);
            let own = members.len() / 2;
            let mut by_rank = members.clone();
            sort_by_rank(hosts, &mut by_rank);
            by_rank.truncate(own);
            let all_candidates = hosts.candidates(build);
            for (mut candidates, mut plain) in [
                (all_candidates.clone(), members.clone()),
                (hosts.first_by_rank(all_candidates, own), by_rank),
            ] {
                hosts.mark_suspects(&mut candidates, false, quiet, [named].into_iter());
                let walks = plain.len() < 8
                    || plain.iter().filter(|&&host| doubtful(host)).count() > plain.len() / 8;
                *(if walks { &mut walked } else { &mut exact }) += 1;
                assert_holds(&candidates, &plain);
                candidates.retain(first);
                plain.retain(|&host| first(host));
                assert_holds(&candidates, &plain);
                assert_eq!(
                    candidates.any(second),
                    plain.iter().any(|&host| second(host))
                );
                candidates.retain(second);
                plain.retain(|&host| second(host));
                assert_holds(&candidates, &plain);
                let largest = plain
                    .iter()
                    .map(|&host| hosts.endpoint(host).size)
                    .fold(0.0, f64::max);
                assert_eq!(hosts.largest_size(&candidates), largest);
            }
        }
    });
    assert!(
        exact > 1_000 && walked > 1_000,
        "{exact} sets with few suspects, {walked} with many"
    );
}

#[test]
fn candidate_sets_without_a_slow_zone_keep_the_order_by_hash() {
    after_each_step(|_, hosts| {
        for build in ready_builds(hosts) {
            let near = |host: usize| hosts.endpoint(host).zone != ZoneId(1);
            let mut candidates = hosts.candidates(build);
            candidates.mark_all_unverified();
            candidates.retain(near);
            let mut plain = ready_of(hosts, build);
            plain.retain(|&host| near(host));
            assert_holds(&candidates, &plain);
            let mut checked = candidates.clone();
            hosts.mark_suspects(&mut checked, false, Micros::MIN, std::iter::empty());
            let passes = |host: usize| hash_to_unit_interval(host as u64) < 0.5;
            checked.retain(passes);
            assert_holds(
                &checked,
                &plain
                    .iter()
                    .copied()
                    .filter(|&host| passes(host))
                    .collect::<Vec<_>>(),
            );
            sort_by_rank(hosts, &mut plain);
            plain.truncate(plain.len() / 2);
            let mut candidates = hosts.first_by_rank(candidates, plain.len());
            assert_holds(&candidates, &plain);
            hosts.mark_suspects(&mut candidates, false, Micros::MIN, std::iter::empty());
            assert_holds(&candidates, &plain);
        }
    });
}
