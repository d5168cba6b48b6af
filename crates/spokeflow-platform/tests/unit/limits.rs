//! Division of the file descriptors between clients and hosts.

use super::*;

fn connection_limits(sockets: u64, fleet: u32, hosts: usize, in_flight: f64) -> (usize, usize) {
    let limits = Limits {
        cores: 1.0,
        memory_mb: 64,
        sockets,
    };
    let connections = ConnectionLimits::new(&limits, fleet, hosts, in_flight);
    (connections.clients, connections.hosts)
}

/// Guards against a fixed division into two thirds and one third: a router of a small fleet that reaches a thousand
/// hosts would open new connections all the time while half of those for clients stay unused.
#[test]
fn descriptors_are_divided_by_fleet_size_hosts_and_load() {
    assert_eq!(
        connection_limits(1_024, 300, 150, 2.0),
        (667, 333),
        "this router reaches few of the hosts and has little load: hosts get the minimum of a third"
    );
    assert_eq!(
        connection_limits(1_024, 3, 420, 5.0),
        (575, 425),
        "this router reaches all hosts, five commands in flight"
    );
    assert_eq!(
        connection_limits(1_024, 3, 5_000, 5.0),
        (500, 500),
        "clients keep half of the descriptors"
    );
    assert_eq!(
        connection_limits(256, 350, 300, 100.0),
        (116, 116),
        "fifty hosts reached and a hundred commands in flight: hosts get the maximum of half"
    );
    assert_eq!(connection_limits(27, 350, 300, 1.0), (2, 1));
}
