//! Endpoint lists: a host's own welcome, the router's own list and the replicated one.

use std::collections::BTreeSet;

use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, EndpointRecord, FromHost, FromList};

use crate::common::*;

#[test]
fn a_restarted_host_warms_up_from_its_own_welcome_on() {
    let mut harness = Harness::new(9, 0);
    harness.list_ready(&[1], 7);
    harness.warm_up();
    harness.receive_from_host(
        1,
        FromHost::Welcome {
            host: 1,
            build: 7,
            incarnation: 99,
            up_us: 1000,
        },
    );
    for id in 0..40 {
        harness.command(10, id, IDEMPOTENT, 0);
    }
    let open_while_cold = harness.transport.open.len();
    assert!(
        open_while_cold < 10,
        "{open_while_cold} open deliveries on a host that started a millisecond ago"
    );
    // A list that still has the earlier incarnation does not make the host warm again.
    harness.change_endpoint(1, 7, EndpointPhase::Ready, 1);
    assert_eq!(harness.transport.open.len(), open_while_cold);
}

/// Returns the record of a host of the stable build.
fn listed(host: u32, phase: EndpointPhase, incarnation: u64) -> EndpointRecord {
    EndpointRecord {
        host,
        address: format!("127.0.0.1:{host}"),
        build: Some(STABLE),
        cell: 0,
        zone: 0,
        phase,
        incarnation,
        up_us: None,
    }
}

fn ready(host: u32, incarnation: u64) -> EndpointRecord {
    listed(host, EndpointPhase::Ready, incarnation)
}

fn replicated_list(harness: &mut Harness, complete: bool, hosts: &[EndpointRecord]) {
    let hosts = hosts.to_vec();
    harness.input(Input::ReplicatedList { complete, hosts });
}

fn own_list(harness: &mut Harness, complete: bool, hosts: &[EndpointRecord]) {
    let version = 1;
    let endpoints = hosts.to_vec();
    harness.input(Input::FromList(if complete {
        FromList::Complete { version, endpoints }
    } else {
        FromList::Changes { version, endpoints }
    }));
}

/// Serves commands for 2 s and returns the hosts that got deliveries, in order of their ids.
fn hosts_used(harness: &mut Harness) -> Vec<u32> {
    let before = harness.transport.deliveries.len();
    harness.serve(2 * SECOND);
    let served = &harness.transport.deliveries[before..];
    let used: BTreeSet<u32> = served.iter().map(|sent| sent.host).collect();
    used.into_iter().collect()
}

#[test]
fn with_a_replicated_list_the_own_list_only_removes_hosts() {
    let mut harness = Harness::new(6, 0);
    replicated_list(&mut harness, false, &[]);
    own_list(&mut harness, true, &[ready(1, 1), ready(9, 1)]);
    harness.release(STABLE);
    assert!(
        hosts_used(&mut harness).is_empty(),
        "the own list must not add hosts"
    );
    let all = [ready(1, 1), ready(2, 1), ready(3, 1)];
    replicated_list(&mut harness, true, &all);
    assert_eq!(hosts_used(&mut harness), [1, 2, 3]);
    let removed = [
        listed(2, EndpointPhase::Draining, 1),
        listed(3, EndpointPhase::Gone, 1),
    ];
    own_list(&mut harness, false, &removed);
    assert_eq!(
        hosts_used(&mut harness),
        [1],
        "hosts 2 and 3 are removed at once, though the replicated list still has them"
    );
    // The replicated list is behind: when it repeats a removed incarnation, the host stays removed.
    replicated_list(&mut harness, false, &[ready(2, 1)]);
    assert_eq!(hosts_used(&mut harness), [1]);
    replicated_list(&mut harness, false, &[ready(2, 2)]);
    assert_eq!(
        hosts_used(&mut harness),
        [1, 2],
        "a newer incarnation of host 2 is not removed"
    );
    own_list(&mut harness, false, &[ready(3, 1)]);
    assert_eq!(
        hosts_used(&mut harness),
        [1, 2, 3],
        "host 3 is ready in the own list again"
    );
    own_list(&mut harness, true, &[ready(1, 1), ready(3, 1)]);
    assert_eq!(
        hosts_used(&mut harness),
        [1, 3],
        "host 2 is missing from a complete own list, so it is gone"
    );
}
