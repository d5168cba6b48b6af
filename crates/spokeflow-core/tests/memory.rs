//! Guards against a memory leak: once a build is released, a router that receives ever new keys
//! must not keep a sticky assignment for each of them.

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering::Relaxed};

use common::*;
use spokeflow_core::*;

/// The system's allocator, with a count of the bytes in use.
struct CountingAllocator;
static BYTES_IN_USE: AtomicIsize = AtomicIsize::new(0);

// SAFETY: each call is passed to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        BYTES_IN_USE.fetch_add(layout.size() as isize, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        BYTES_IN_USE.fetch_sub(layout.size() as isize, Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn sticky_assignments_of_a_released_build_do_not_grow_with_the_keys_ever_seen() {
    let mut out = DeliveryLog::default();
    let mut router = Router::new(&service_config(Gate::Single), 3, 0, &mut out);
    let hosts: Vec<Endpoint> = (0..8).map(|host| endpoint(host, NEW)).collect();
    router
        .set_time(0)
        .on_endpoints(ListKind::Complete, &hosts, &mut out);
    router.set_time(0).on_rollout_status(
        rollout_status(NEW, 2, RolloutState::Released, 1.0),
        &mut out,
    );
    let mut bytes_after = |keys: std::ops::Range<u32>| {
        for number in keys {
            let now = Micros::from(number) * 10 * MS;
            let id = CommandId(number);
            let key = Key(u64::from(number) + 1);
            router
                .set_time(now)
                .on_command(id, OpType(0), TenantId(0), key, SECOND, &mut out);
            for id in std::mem::take(&mut out.sent) {
                router.set_time(now).on_attempt_outcome(
                    id,
                    0,
                    AttemptOutcome::Acked,
                    50 * MS,
                    true,
                    &mut out,
                );
            }
            router.set_time(now).on_timer(&mut out);
        }
        BYTES_IN_USE.load(Relaxed)
    };
    let early = bytes_after(0..3_000);
    let late = bytes_after(3_000..30_000);
    assert!(
        late < early + early / 4,
        "{early} bytes after 3,000 keys, {late} after 30,000"
    );
}
