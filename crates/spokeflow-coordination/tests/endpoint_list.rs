//! The endpoint list: which updates of its source are accepted, and which updates a lagging router gets.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use spokeflow_coordination::{
    EndpointList, HostState, ListVersion, ListedHost, Rejection, SourceUpdate,
};

fn host(host: u32, state: HostState, incarnation: u64) -> ListedHost {
    ListedHost {
        host,
        address: format!("127.0.0.1:{host}"),
        build: Some(1),
        cell: 0,
        zone: 0,
        state,
        incarnation,
        up_us: Some(5),
    }
}

/// Returns a complete update that names these hosts as ready.
fn complete(version: u64, hosts: impl IntoIterator<Item = u32>) -> SourceUpdate {
    let hosts = hosts.into_iter();
    SourceUpdate {
        version,
        complete: true,
        hosts: hosts.map(|id| host(id, HostState::Ready, 1)).collect(),
    }
}

fn present(list: &EndpointList) -> Vec<&ListedHost> {
    list.hosts()
        .filter(|host| host.state != HostState::Gone)
        .collect()
}

#[test]
fn updates_with_an_older_or_reused_version_or_too_few_hosts_are_rejected() {
    let mut list = EndpointList::default();
    let first = list.evaluate(&complete(7, 0..10), false).unwrap().unwrap();
    list.apply(first);
    assert_eq!(
        list.evaluate(&complete(7, 0..10), false),
        Ok(None),
        "a repeated update has no changes"
    );
    assert_eq!(
        list.evaluate(&complete(6, 0..9), false),
        Err(Rejection::Backwards {
            received: 6,
            before: 7
        })
    );
    assert_eq!(
        list.evaluate(&complete(7, 0..9), false),
        Err(Rejection::Forked { version: 7 })
    );
    let half = complete(8, 0..4);
    assert_eq!(
        list.evaluate(&half, false),
        Err(Rejection::Halved {
            before: 10,
            missing: 6
        })
    );
    let confirmed = list.evaluate(&half, true).unwrap().unwrap();
    let is_gone = |host: &&ListedHost| host.state == HostState::Gone;
    assert_eq!(
        confirmed.hosts.iter().filter(is_gone).count(),
        6,
        "a list confirmed by a second reading removes six hosts"
    );
    // The limit on missing hosts does not apply to hosts that an update names as gone.
    let six_gone = SourceUpdate {
        version: 8,
        complete: false,
        hosts: (4..10).map(|id| host(id, HostState::Gone, 1)).collect(),
    };
    assert!(list.evaluate(&six_gone, false).unwrap().is_some());
    list.reset_source_version();
    assert!(
        list.evaluate(&complete(1, 0..9), false).unwrap().is_some(),
        "after an operator's reset any version is accepted"
    );
}

/// A router's copy of the list, which is updated once every `interval` versions.
struct Follower {
    interval: u64,
    version: ListVersion,
    hosts: BTreeMap<u32, ListedHost>,
}

impl Follower {
    fn new(interval: u64) -> Follower {
        Follower {
            interval,
            version: ListVersion::default(),
            hosts: BTreeMap::new(),
        }
    }

    fn catch_up(&mut self, list: &EndpointList, seed: u64) {
        let Some(update) = list.update_since(self.version) else {
            return;
        };
        if update.complete {
            self.hosts.clear();
        }
        let hosts = update.hosts.into_iter();
        self.hosts.extend(hosts.map(|host| (host.host, host)));
        self.hosts.retain(|_, host| host.state != HostState::Gone);
        self.version = update.version;
        assert_eq!(
            self.hosts.values().collect::<Vec<_>>(),
            present(list),
            "seed {seed}: another list after an update every {} versions",
            self.interval
        );
        assert_eq!(list.update_since(self.version), None);
    }
}

/// Returns a random update. Host ids are drawn from more hosts than the number of changes that the list keeps, so a
/// follower that lags for long needs the whole list.
fn random_update(
    version: u64,
    rng: &mut StdRng,
    incarnations: &mut BTreeMap<u32, u64>,
) -> SourceUpdate {
    let count = rng.random_range(1..80);
    let hosts = (0..count).map(|_| {
        let id = rng.random_range(0..6000);
        let incarnation = incarnations.entry(id).or_insert(1);
        *incarnation += u64::from(rng.random_bool(0.2));
        let state = match rng.random_range(0..3_usize) {
            0 => HostState::Ready,
            1 => HostState::Draining,
            _ => HostState::Gone,
        };
        host(id, state, *incarnation)
    });
    SourceUpdate {
        version,
        complete: false,
        hosts: hosts.collect(),
    }
}

/// A follower at any version that applies the update it gets must have the same list.
#[test]
fn updates_give_lagging_followers_the_same_list() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut list = EndpointList::default();
        let mut followers = [1, 7, 150].map(Follower::new);
        let mut incarnations = BTreeMap::new();
        for version in 1..400 {
            let update = random_update(version, &mut rng, &mut incarnations);
            if let Some(changes) = list.evaluate(&update, false).unwrap() {
                list.apply(changes);
            }
            for follower in &mut followers {
                if version.is_multiple_of(follower.interval) {
                    follower.catch_up(&list, seed);
                }
            }
        }
    }
}
