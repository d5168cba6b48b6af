//! Time that the decision module takes for one command and for one wake-up, by number of hosts.
//!
//! `SPOKEFLOW_POINTS=points.json cargo bench -p spokeflow-core --bench work -- quiet` measures the
//! points whose name contains `quiet` and writes them as JSON. Each point takes about two seconds.

mod points;
mod traffic;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, SamplingMode};
use points::Point;
use traffic::{Phase, Traffic};

const HOST_COUNTS: [u32; 6] = [20, 120, 300, 1_000, 4_000, 12_000];
/// Commands sent before the first sample, to fill the module's windows, which cover some seconds of
/// traffic.
const WARM_UP_COMMANDS: u32 = 1_500;
const WARM_UP_LIMIT: Duration = Duration::from_secs(2);
const SAMPLES: usize = 10;
const MEASUREMENT_TIME: Duration = Duration::from_millis(700);

fn warmed_up_traffic(phase: Phase, hosts: u32) -> Traffic {
    let started_at = Instant::now();
    let mut traffic = Traffic::start(phase, hosts);
    while traffic.commands() < WARM_UP_COMMANDS && started_at.elapsed() < WARM_UP_LIMIT {
        traffic.send_command();
    }
    traffic
}

fn description(quantity: &'static str, phase: Phase, hosts: u32, traffic: &Traffic) -> Point {
    let held = BTreeMap::from([
        ("commands_per_s", traffic::COMMANDS_PER_SECOND as f64),
        (
            "answer_after_ms",
            (traffic::ANSWER_AFTER / traffic::MILLISECOND) as f64,
        ),
        ("fleet_size", f64::from(phase.fleet_size())),
        ("commands_given", f64::from(traffic.commands())),
        ("commands_refused", traffic.refused() as f64),
    ]);
    Point {
        role: "router data side",
        quantity,
        unit: "us",
        phase: phase.name(),
        size_of: "hosts",
        size: hosts,
        value: 0.0,
        min: 0.0,
        max: 0.0,
        held,
        command: "cargo bench -p spokeflow-core --bench work".into(),
        date: points::date(),
    }
}

/// Measures one point; returns `None` if the filter on the command line excludes it.
fn measure(
    criterion: &mut Criterion,
    quantity: &'static str,
    phase: Phase,
    hosts: u32,
    step: impl Fn(&mut Traffic),
) -> Option<Point> {
    let traffic: RefCell<Option<Traffic>> = RefCell::new(None);
    let samples = RefCell::new(Vec::new());
    let mut group = criterion.benchmark_group(quantity);
    group.sampling_mode(SamplingMode::Flat).sample_size(SAMPLES);
    group
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(MEASUREMENT_TIME);
    group.bench_function(BenchmarkId::new(phase.name(), hosts), |bencher| {
        bencher.iter_custom(|iterations| {
            let mut traffic = traffic.borrow_mut();
            let traffic = traffic.get_or_insert_with(|| warmed_up_traffic(phase, hosts));
            let started_at = Instant::now();
            for _ in 0..iterations {
                step(traffic);
            }
            let elapsed = started_at.elapsed();
            samples
                .borrow_mut()
                .push(elapsed.as_secs_f64() * 1e6 / iterations as f64);
            elapsed
        });
    });
    group.finish();
    let traffic = traffic.into_inner()?;
    let mut samples = samples.into_inner();
    // The first samples belong to Criterion's own warm-up.
    let measured_samples = samples.split_off(samples.len().saturating_sub(SAMPLES));
    Some(Point::from_samples(
        measured_samples,
        description(quantity, phase, hosts, &traffic),
    ))
}

fn main() {
    let mut criterion = Criterion::default().without_plots().configure_from_args();
    let mut points = Vec::new();
    for phase in Phase::ALL {
        for hosts in HOST_COUNTS {
            points.extend(measure(
                &mut criterion,
                "work per command",
                phase,
                hosts,
                Traffic::send_command,
            ));
            points.extend(measure(
                &mut criterion,
                "work per wake-up",
                phase,
                hosts,
                Traffic::wake_router,
            ));
        }
    }
    points::write(&points);
}
