//! Work of the decision module for one command and for one tick, over the number of hosts.
//!
//! `SPOKEFLOW_POINTS=points.json cargo bench -p spokeflow-core --bench work -- quiet` measures the
//! points whose name holds `quiet` and writes them as JSON. Each point takes about two seconds.

mod points;
mod traffic;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, SamplingMode};
use points::Point;
use traffic::{Phase, Traffic};

const HOSTS: [u32; 6] = [20, 120, 300, 1_000, 4_000, 12_000];
/// Commands before the first sample: the windows of the module hold some seconds of traffic.
const WARM_UP_COMMANDS: u32 = 1_500;
const WARM_UP_LIMIT: Duration = Duration::from_secs(2);
const SAMPLES: usize = 10;
const MEASURED: Duration = Duration::from_millis(700);

fn warmed(phase: Phase, hosts: u32) -> Traffic {
    let began = Instant::now();
    let mut traffic = Traffic::start(phase, hosts);
    while traffic.commands() < WARM_UP_COMMANDS && began.elapsed() < WARM_UP_LIMIT {
        traffic.command();
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

/// Measures one point; returns none where the filter of the command line leaves it out.
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
        .measurement_time(MEASURED);
    group.bench_function(BenchmarkId::new(phase.name(), hosts), |bencher| {
        bencher.iter_custom(|iterations| {
            let mut traffic = traffic.borrow_mut();
            let traffic = traffic.get_or_insert_with(|| warmed(phase, hosts));
            let began = Instant::now();
            for _ in 0..iterations {
                step(traffic);
            }
            let took = began.elapsed();
            samples
                .borrow_mut()
                .push(took.as_secs_f64() * 1e6 / iterations as f64);
            took
        });
    });
    group.finish();
    let traffic = traffic.into_inner()?;
    let mut samples = samples.into_inner();
    // The first ones are the harness's own warm-up.
    let measured = samples.split_off(samples.len().saturating_sub(SAMPLES));
    Some(Point::of(
        measured,
        description(quantity, phase, hosts, &traffic),
    ))
}

fn main() {
    let mut criterion = Criterion::default().without_plots().configure_from_args();
    let mut points = Vec::new();
    for phase in Phase::ALL {
        for hosts in HOSTS {
            points.extend(measure(
                &mut criterion,
                "work per command",
                phase,
                hosts,
                Traffic::command,
            ));
            points.extend(measure(
                &mut criterion,
                "work per wake-up",
                phase,
                hosts,
                Traffic::wake,
            ));
        }
    }
    points::write(&points);
}
