//! Memory of a router that goes on meeting new keys stays level once a build is released.

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering::Relaxed};

use common::*;
use spokeflow_core::*;

/// Bytes in use, counted on the way to the system's allocator.
struct Counting;
static IN_USE: AtomicIsize = AtomicIsize::new(0);

// SAFETY: all is passed on to the system's allocator as it came.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size() as isize, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size() as isize, Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALL: Counting = Counting;

#[test]
fn sticky_assignments_of_a_released_build_do_not_grow_with_the_keys_ever_met() {
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
    let mut after = |keys: std::ops::Range<u32>| {
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
        IN_USE.load(Relaxed)
    };
    let early = after(0..3_000);
    let late = after(3_000..30_000);
    assert!(
        late < early + early / 4,
        "{early} bytes after 3,000 keys, {late} after 30,000"
    );
}
