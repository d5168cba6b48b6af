//! How descriptors are shared out.

use super::*;

fn parts(sockets: u64, fleet: u32, hosts: usize, in_flight: f64) -> (usize, usize) {
    let limits = Limits {
        cores: 1.0,
        memory_mb: 64,
        sockets,
    };
    let connections = ConnectionLimits::new(&limits, fleet, hosts, in_flight);
    (connections.clients, connections.hosts)
}

/// Two thirds and one third whatever was told: a router of few that meets a thousand hosts went on making
/// connections anew while clients left half of theirs unused.
#[test]
fn descriptors_are_shared_by_fleet_hosts_and_load() {
    assert_eq!(
        parts(1_024, 300, 150, 2.0),
        (667, 333),
        "few hosts of many, little load: a third is plenty"
    );
    assert_eq!(
        parts(1_024, 3, 420, 5.0),
        (575, 425),
        "every host, and five commands in flight"
    );
    assert_eq!(parts(1_024, 3, 5_000, 5.0), (500, 500), "clients keep half");
    assert_eq!(
        parts(256, 350, 300, 100.0),
        (116, 116),
        "fifty hosts and a hundred commands"
    );
    assert_eq!(parts(27, 350, 300, 1.0), (2, 1));
}
