//! Reservations in a pool.

use futures_util::FutureExt;

use super::*;

#[test]
fn what_is_reserved_is_free_again_once_dropped() {
    let pool = MemoryPool::new(10 * PAGE_SIZE + 1);
    let first = pool.try_reserve(6 * PAGE_SIZE - 1).unwrap();
    assert_eq!(pool.reserved(), 6 * PAGE_SIZE);
    assert!(pool.try_reserve(4 * PAGE_SIZE + 1).is_none());
    let second = pool.try_reserve(4 * PAGE_SIZE).unwrap();
    drop(first);
    assert_eq!(pool.reserved(), 4 * PAGE_SIZE);
    drop(second);
    assert_eq!(pool.reserved(), 0);
}

/// Guards against one that waits for ever for more than the pool has, and against others that overtake one that waits.
#[test]
fn those_who_wait_are_served_in_order() {
    let pool = MemoryPool::new(10 * PAGE_SIZE);
    assert!(pool
        .reserve(11 * PAGE_SIZE)
        .now_or_never()
        .unwrap()
        .is_none());
    let held = pool.try_reserve(2 * PAGE_SIZE).unwrap();
    let mut large = Box::pin(pool.reserve(10 * PAGE_SIZE));
    assert!(
        (&mut large).now_or_never().is_none(),
        "there is no room yet"
    );
    assert!(
        pool.reserve(PAGE_SIZE).now_or_never().is_none(),
        "the first one comes first"
    );
    drop(held);
    let reservation = large.now_or_never().unwrap();
    assert!(reservation.is_some());
    assert_eq!(pool.reserved(), 10 * PAGE_SIZE);
}
