//! Memory that the decision module holds per host, sticky assignment, command in flight and tenant,
//! counted at the allocator.
//!
//! `SPOKEFLOW_POINTS=points.json cargo bench -p spokeflow-core --bench memory` prints the
//! figures and writes them as JSON.

mod points;
mod traffic;

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicIsize, Ordering::Relaxed};

use points::Point;
use spokeflow_core::*;
use traffic::{
    host_endpoint, rollout_status, service_config, OutputRecorder, Phase, EARLIER_BUILD, SECOND,
};

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

const NOW: Micros = 1_000 * SECOND;
/// Not directly above powers of two, where a growing vector has the most unused capacity.
const ITEM_COUNTS: [u32; 4] = [1_000, 3_000, 9_000, 27_000];
const TIMEOUT: Micros = 60 * SECOND;

fn router(hosts: u32, tenants: u32, out: &mut OutputRecorder) -> Router {
    let mut config = service_config(Phase::Steady);
    config.tenant_quotas = vec![1.0; tenants as usize];
    let mut router = Router::new(&config, 1, NOW, out);
    router.set_time(NOW).on_rollout_status(
        rollout_status(EARLIER_BUILD, RolloutState::Released, 1.0),
        out,
    );
    let endpoints: Vec<Endpoint> = (0..hosts)
        .map(|host| host_endpoint(Phase::Steady, host, NOW))
        .collect();
    router
        .set_time(NOW)
        .on_endpoints(ListKind::Complete, &endpoints, out);
    router
}

/// Bytes that remain allocated after `build`, divided by `count`.
fn bytes_per_item<T>(count: u32, build: impl FnOnce() -> T) -> f64 {
    let before = BYTES_IN_USE.load(Relaxed);
    let built = build();
    let after = BYTES_IN_USE.load(Relaxed);
    drop(built);
    (after - before) as f64 / f64::from(count)
}

fn bytes_per_host(count: u32) -> f64 {
    bytes_per_item(count, || router(count, 1, &mut OutputRecorder::default()))
}

fn bytes_per_tenant(count: u32) -> f64 {
    bytes_per_item(count, || router(1, count, &mut OutputRecorder::default()))
}

/// As many commands as hosts, so that none has to wait for a host.
fn bytes_per_command_in_flight(count: u32) -> f64 {
    let mut out = OutputRecorder::default();
    let mut router = router(count, 1, &mut out);
    out.deliveries.reserve(count as usize);
    bytes_per_item(count, || {
        for id in 1..=count {
            router.set_time(NOW).on_command(
                CommandId(id),
                OpType(0),
                TenantId(0),
                Key(0),
                TIMEOUT,
                &mut out,
            );
        }
        assert_eq!(
            out.deliveries.len(),
            count as usize,
            "each command is delivered at once"
        );
    })
}

/// Assignments of keys whose only command has been answered.
fn bytes_per_sticky_assignment(count: u32) -> f64 {
    let mut out = OutputRecorder::default();
    let mut router = router(4, 1, &mut out);
    bytes_per_item(count, || {
        for id in 1..=count {
            let key = Key(u64::from(id));
            router.set_time(NOW).on_command(
                CommandId(id),
                OpType(0),
                TenantId(0),
                key,
                TIMEOUT,
                &mut out,
            );
            for command in out.deliveries.drain(..) {
                let outcome = AttemptOutcome::Acked;
                router.set_time(NOW).on_attempt_outcome(
                    command,
                    0,
                    outcome,
                    SECOND / 20,
                    true,
                    &mut OutputRecorder::default(),
                );
            }
        }
    })
}

fn main() {
    let mut points = Vec::new();
    for size in ITEM_COUNTS {
        let measured = [
            ("bytes per host", "hosts", bytes_per_host(size)),
            ("bytes per tenant", "tenants", bytes_per_tenant(size)),
            (
                "bytes per command in flight",
                "commands in flight",
                bytes_per_command_in_flight(size),
            ),
            ("bytes per pin", "pins", bytes_per_sticky_assignment(size)),
        ];
        for (quantity, size_of, value) in measured {
            println!("{quantity} at {size}: {value:.0}");
            let description = Point {
                role: "router data side",
                quantity,
                unit: "bytes",
                phase: "quiet",
                size_of,
                size,
                value,
                min: value,
                max: value,
                held: BTreeMap::from([("fleet_size", 1.0)]),
                command: "cargo bench -p spokeflow-core --bench memory".into(),
                date: points::date(),
            };
            points.push(Point::from_samples(vec![value], description));
        }
    }
    points::write(&points);
}
