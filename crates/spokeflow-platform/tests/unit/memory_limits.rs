//! Division of the memory between the places where bytes of peers wait.

use super::*;
use crate::limits::{ConnectionLimits, Limits};

/// Memory of the program itself with no connections and a short host list, in bytes.
const PROGRAM_SIZE: usize = 5_500_000;

/// The sizes that the platform names: 32 to 192 MB, 256 to 1,024 descriptors.
fn platform_limits() -> impl Iterator<Item = Limits> {
    let memory = (32..=192).step_by(16);
    memory.flat_map(|memory_mb| {
        (256..=1_024).step_by(64).map(move |sockets| Limits {
            cores: 1.0,
            memory_mb,
            sockets,
        })
    })
}

/// Returns the most that all places hold together, in bytes.
fn held_together(limits: &Limits) -> usize {
    let memory = MemoryLimits::new(limits.memory_mb);
    let connections = ConnectionLimits::new(limits, 3, 100, 10.0);
    let connections = connections.clients + connections.hosts;
    let short_messages = connections * memory.short_message(connections);
    let long_messages = memory.requests + memory.answers + memory.read_buffers;
    let names = memory.request_ids + memory.sticky_keys * STICKY_KEY_SIZE;
    let gone = memory.known_hosts - memory.hosts;
    let hosts = 2 * memory.listing + memory.hosts * HOST_SIZE + gone * GONE_HOST_SIZE;
    connections * CONNECTION_SIZE + short_messages + long_messages + names + hosts
}

/// Guards against bounds that hold one by one and not together: clients' requests, hosts' answers, read buffers, listings
/// and connections may all be at their bounds at once.
#[test]
fn all_places_together_stay_inside_every_size_that_the_platform_names() {
    for limits in platform_limits() {
        let most = PROGRAM_SIZE + held_together(&limits);
        let told = limits.memory_mb as usize * MEGABYTE;
        assert!(most <= told, "{limits:?}: {most} bytes");
    }
}

/// Guards against a division that takes descriptors from a deployment of the named sizes, or refuses its longest list.
#[test]
fn the_named_sizes_have_room_for_their_connections_and_hosts() {
    for limits in platform_limits() {
        let memory = MemoryLimits::new(limits.memory_mb);
        assert!(memory.connections as u64 >= limits.sockets, "{limits:?}");
        assert!(memory.hosts >= 3_200, "{limits:?}: {} hosts", memory.hosts);
        assert!(memory.listing >= 3_200 * 400, "{limits:?}");
        assert!(memory.short_message(1_000) >= 2 << 10, "{limits:?}");
    }
}

#[test]
fn every_pool_holds_a_message_however_little_memory_there_is() {
    let memory = MemoryLimits::new(0);
    for pool in [memory.requests, memory.answers, memory.read_buffers] {
        assert!(pool >= BODY_LIMIT + HEAD_LIMIT);
    }
    assert_eq!(memory.short_message(0), 0);
    assert_eq!(MemoryLimits::new(u64::MAX).listing, MAX_LISTING_SIZE);
    let ids = MemoryLimits::new(u64::MAX).request_ids;
    assert_eq!(ids, MAX_REQUEST_IDS_SIZE);
}
