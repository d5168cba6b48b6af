//! The agreed list of hosts: whose news is believed, and what one is told who lags.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_coordination::{
    EndpointList, EndpointListUpdate, HostState, ListVersion, ListedHost, Rejection, SourceUpdate,
};

fn host(host: u32, state: HostState, incarnation: u64) -> ListedHost {
    let (address, build, cell, zone) = (format!("127.0.0.1:{host}"), Some(1), 0, 0);
    ListedHost {
        host,
        address,
        build,
        cell,
        zone,
        state,
        incarnation,
        up_us: Some(5),
    }
}

fn whole(version: u64, hosts: impl IntoIterator<Item = u32>) -> SourceUpdate {
    let hosts = hosts
        .into_iter()
        .map(|h| host(h, HostState::Ready, 1))
        .collect();
    SourceUpdate {
        version,
        complete: true,
        hosts,
    }
}

fn taken(list: &mut EndpointList, news: SourceUpdate) {
    let weighed = list.evaluate(&news, false).unwrap().unwrap();
    list.apply(weighed);
}

#[test]
fn a_source_that_goes_backwards_forks_or_sends_halves_is_not_believed() {
    let mut list = EndpointList::default();
    taken(&mut list, whole(7, 0..10));
    assert_eq!(
        list.evaluate(&whole(7, 0..10), false),
        Ok(None),
        "the same again is nothing new"
    );
    assert_eq!(
        list.evaluate(&whole(6, 0..9), false),
        Err(Rejection::Backwards {
            received: 6,
            before: 7
        })
    );
    assert_eq!(
        list.evaluate(&whole(7, 0..9), false),
        Err(Rejection::Forked { version: 7 })
    );
    let half = whole(8, 0..4);
    assert_eq!(
        list.evaluate(&half, false),
        Err(Rejection::Halved {
            before: 10,
            missing: 6
        })
    );
    let told = list.evaluate(&half, true).unwrap().unwrap();
    assert_eq!(
        told.hosts
            .iter()
            .filter(|h| h.state == HostState::Gone)
            .count(),
        6,
        "read twice it is"
    );
    // Six that are said to be gone one by one are no half list.
    let gone = (4..10).map(|h| host(h, HostState::Gone, 1)).collect();
    assert!(list
        .evaluate(
            &SourceUpdate {
                version: 8,
                complete: false,
                hosts: gone
            },
            false
        )
        .unwrap()
        .is_some());
    list.trust_source();
    assert!(
        list.evaluate(&whole(1, 0..9), false).unwrap().is_some(),
        "a person said that it begins anew"
    );
}

/// Whoever has any version and takes in what it is told has the list.
#[test]
fn what_one_is_told_who_lags_makes_the_same_list() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut list = EndpointList::default();
        // Three that follow, one of them seldom.
        let mut have: Vec<(ListVersion, BTreeMap<u32, ListedHost>)> = vec![Default::default(); 3];
        let mut incarnations: BTreeMap<u32, u64> = BTreeMap::new();
        for version in 1..400 {
            let many = rng.random_range(1..80);
            let hosts: Vec<ListedHost> = (0..many)
                .map(|_| {
                    // Many more than are kept as changes: who lags for long cannot be told by those alone.
                    let h = rng.random_range(0..6000);
                    let n = incarnations.entry(h).or_insert(1);
                    *n += u64::from(rng.random_bool(0.2));
                    let state = [HostState::Ready, HostState::Draining, HostState::Gone]
                        [rng.random_range(0..3)];
                    host(h, state, *n)
                })
                .collect();
            let news = SourceUpdate {
                version,
                complete: false,
                hosts,
            };
            if let Some(news) = list.evaluate(&news, false).unwrap() {
                list.apply(news);
            }
            for (n, (at, hosts)) in have.iter_mut().enumerate() {
                if !version.is_multiple_of([1, 7, 150][n]) {
                    continue;
                }
                let Some(EndpointListUpdate {
                    version,
                    complete: whole,
                    hosts: told,
                }) = list.update_since(*at)
                else {
                    continue;
                };
                if whole {
                    hosts.clear();
                }
                hosts.extend(told.into_iter().map(|h| (h.host, h)));
                hosts.retain(|_, h| h.state != HostState::Gone);
                *at = version;
                let there: Vec<&ListedHost> = list
                    .hosts()
                    .filter(|h| h.state != HostState::Gone)
                    .collect();
                assert_eq!(
                    hosts.values().collect::<Vec<_>>(),
                    there,
                    "seed {seed}, follower {n}"
                );
                assert_eq!(list.update_since(*at), None);
            }
        }
    }
}
