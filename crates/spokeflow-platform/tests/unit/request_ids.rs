//! Ids of requests: what is remembered, for how long, and what a full window forgets.

use super::*;
use crate::memory_limits::MemoryLimits;

fn id(n: usize) -> Bytes {
    format!("{n:016x}").into()
}

/// Begins and ends requests with these numbers.
fn play(ids: &mut RequestIds, numbers: std::ops::Range<usize>, is_delivered: bool) {
    for n in numbers {
        assert!(ids.begin(&id(n)), "id {n} is new");
        if is_delivered {
            ids.deliver(&id(n));
        }
        ids.end(&id(n));
    }
}

#[test]
fn an_id_is_refused_while_its_request_is_pending_and_afterwards() {
    for is_delivered in [false, true] {
        let mut ids = RequestIds::new(1_000_000);
        assert!(ids.begin(&id(1)));
        if is_delivered {
            ids.deliver(&id(1));
        }
        assert!(!ids.begin(&id(1)));
        ids.end(&id(1));
        assert!(!ids.begin(&id(1)));
        // What belongs to no pending request is ignored.
        ids.end(&id(1));
        ids.deliver(&id(2));
        assert!(ids.begin(&id(2)));
    }
}

/// Guards against bad clients that make the router forget which requests have run, with requests that reach no host.
#[test]
fn requests_that_reach_no_host_displace_no_delivered_one() {
    let mut ids = RequestIds::new(100_000);
    play(&mut ids, 0..100, true);
    play(&mut ids, 1_000..200_000, false);
    assert!((0..100).all(|n| !ids.begin(&id(n))));
}

#[test]
fn a_full_window_forgets_its_oldest_id() {
    let mut ids = RequestIds::new(10_000);
    let capacity = ids.delivered.capacity;
    play(&mut ids, 0..capacity + 10, true);
    assert!((10..capacity + 10).all(|n| !ids.begin(&id(n))));
    assert!((0..10).all(|n| ids.begin(&id(n))));
    assert_eq!(ids.delivered.order.len(), capacity);
    assert_eq!(ids.delivered.hashes.len(), capacity);
}

/// Guards against windows that grow beyond their memory, or that last for less than the time for which a copy can wait
/// unread, at all sizes that the platform names.
#[test]
fn the_windows_stay_inside_the_named_sizes_and_last() {
    /// Requests a second at a router on the busiest day, and the longest time of a request that bad clients are known to
    /// send, in seconds.
    const BUSIEST_RATE: usize = 750;
    const LONGEST_TIMEOUT: usize = 6;
    for memory_mb in 32..=192 {
        let size = MemoryLimits::new(memory_mb).request_ids;
        let ids = RequestIds::new(size);
        let windows = [&ids.delivered, &ids.undelivered];
        let allocated: usize = windows.iter().map(|window| allocated_by(window)).sum();
        assert!(allocated <= size, "{memory_mb} MB: {allocated} of {size}");
        for window in windows {
            assert!(window.capacity >= BUSIEST_RATE * LONGEST_TIMEOUT);
        }
    }
}

/// Returns how many bytes a window has allocated.
fn allocated_by(window: &IdWindow) -> usize {
    let buckets = (window.hashes.capacity() * 8)
        .div_ceil(7)
        .next_power_of_two();
    buckets * IdWindow::BUCKET_SIZE + window.order.capacity() * size_of::<u64>()
}
