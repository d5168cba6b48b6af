//! Bytes that the module holds for one host, sticky assignment, command in flight and tenant,
//! counted at the allocator.
//!
//! `SPOKEFLOW_POINTS=points.json cargo bench -p spokeflow-core --bench memory` prints them and
//! writes them as JSON.

mod points;
mod traffic;

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicIsize, Ordering::Relaxed};

use points::Point;
use spokeflow_core::*;
use traffic::{host_endpoint, rollout_status, service_config, Phase, Sent, EARLIER, SECOND};

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

const NOW: Micros = 1_000 * SECOND;
/// Powers of two plus one would show the worst of a growing vector; these sizes lie between.
const SIZES: [u32; 4] = [1_000, 3_000, 9_000, 27_000];
const TIMEOUT: Micros = 60 * SECOND;

fn router(hosts: u32, tenants: u32, out: &mut Sent) -> Router {
    let mut config = service_config(Phase::Quiet);
    config.tenant_quotas = vec![1.0; tenants as usize];
    let mut router = Router::new(&config, 1, NOW, out);
    router
        .set_time(NOW)
        .on_rollout_status(rollout_status(EARLIER, RolloutState::Released, 1.0), out);
    let lines: Vec<Endpoint> = (0..hosts)
        .map(|host| host_endpoint(Phase::Quiet, host, NOW))
        .collect();
    router
        .set_time(NOW)
        .on_endpoints(ListKind::Complete, &lines, out);
    router
}

/// Bytes that remain after `build`, for each of `count`.
fn bytes_per_item<T>(count: u32, build: impl FnOnce() -> T) -> f64 {
    let before = IN_USE.load(Relaxed);
    let built = build();
    let after = IN_USE.load(Relaxed);
    drop(built);
    (after - before) as f64 / f64::from(count)
}

fn host(count: u32) -> f64 {
    bytes_per_item(count, || router(count, 1, &mut Sent::default()))
}

fn tenant(count: u32) -> f64 {
    bytes_per_item(count, || router(1, count, &mut Sent::default()))
}

/// Deliveries that are out to one host each, so that none waits for a place.
fn command_in_flight(count: u32) -> f64 {
    let mut out = Sent::default();
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
        assert_eq!(out.deliveries.len(), count as usize, "each command is out");
    })
}

/// Keys whose command has been answered.
fn sticky_assignment(count: u32) -> f64 {
    let mut out = Sent::default();
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
                let end = AttemptOutcome::Acked;
                router.set_time(NOW).on_attempt_outcome(
                    command,
                    0,
                    end,
                    SECOND / 20,
                    true,
                    &mut Sent::default(),
                );
            }
        }
    })
}

fn main() {
    let mut points = Vec::new();
    for size in SIZES {
        let measured = [
            ("bytes per host", "hosts", host(size)),
            ("bytes per tenant", "tenants", tenant(size)),
            (
                "bytes per command in flight",
                "commands in flight",
                command_in_flight(size),
            ),
            ("bytes per pin", "pins", sticky_assignment(size)),
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
            points.push(Point::of(vec![value], description));
        }
    }
    points::write(&points);
}
