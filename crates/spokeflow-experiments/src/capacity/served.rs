//! Measures what a real router adds to a request over loopback sockets, beside a plain pass-through in turn.

use std::time::Duration;

use serde_json::json;
use spokeflow_testbed::load::{measure_load, Follows, Load, Measured};
use spokeflow_testbed::routers::Starting;

use super::error::{MeasureLoadError, RunFailure};
use super::records::{FixedParameters, Record, Role};

/// Quantities of a run, named for their unit.
pub(super) const ADDED_P99: &str = "time added to 99 of 100 requests";
pub(super) const ADDED_P50: &str = "time added to half of the requests";
pub(super) const PROCESSOR: &str = "processor time of the process for a request";
pub(super) const RESIDENT: &str = "resident memory of the process under load";
pub(super) const PHASE: &str = "router, quiet";
pub(super) const PASS_PHASE: &str = "pass-through, quiet";
const BYTES_PER_KIB: f64 = 1024.0;
const CONNECTIONS: u32 = 20;

/// What is put on the router at each number of hosts.
#[derive(Clone, Debug)]
pub(super) struct ServedTerms {
    pub hosts: Vec<u32>,
    /// Requests a second.
    pub rate: u64,
    pub seconds: u64,
    pub runs: u32,
    pub answer_after: Duration,
}

/// What was measured, and why it ended before the last run.
pub(super) struct Served {
    pub records: Vec<Record>,
    pub failure: Option<RunFailure>,
}

/// Plays all runs and gives their records, one for each run and quantity. A run that fails ends it; what was measured
/// before stays.
///
/// # Errors
/// Nothing could be begun.
pub(super) fn measure(terms: &ServedTerms, date: &str) -> Result<Served, MeasureLoadError> {
    let starting = Starting::own().map_err(|error| MeasureLoadError::Testbed(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(MeasureLoadError::Runtime)?;
    let mut records = Vec::new();
    for &hosts in &terms.hosts {
        for pass in (0..terms.runs).flat_map(|_| [true, false]) {
            eprintln!(
                "{hosts} hosts, {}",
                if pass { "pass-through" } else { "router" }
            );
            match runtime.block_on(measure_load(&load(terms, hosts, pass), &starting)) {
                Ok(measured) => records.extend(of_run(terms, &measured, date)),
                Err(error) => {
                    return Ok(Served {
                        records,
                        failure: Some(RunFailure {
                            hosts,
                            message: error.to_string(),
                        }),
                    })
                }
            }
        }
    }
    Ok(Served {
        records,
        failure: None,
    })
}

fn load(terms: &ServedTerms, hosts: u32, pass: bool) -> Load {
    Load {
        hosts,
        rate: terms.rate,
        seconds: terms.seconds,
        connections: CONNECTIONS,
        idle: 0,
        answer_after: terms.answer_after,
        pass,
        stalled: false,
        canary: false,
        faulty_hosts: false,
        follows: Follows::Nothing,
    }
}

fn of_run(terms: &ServedTerms, measured: &Measured, date: &str) -> Vec<Record> {
    let resident = measured.resident_end_kib as f64 * BYTES_PER_KIB;
    let figures = [
        (ADDED_P99, "ms", measured.p99_ms),
        (ADDED_P50, "ms", measured.p50_ms),
        (PROCESSOR, "us", measured.cpu_us),
        (RESIDENT, "bytes", resident),
    ];
    figures
        .map(|(quantity, unit, value)| record(terms, measured, date, (quantity, unit, value)))
        .into()
}

fn record(
    terms: &ServedTerms,
    measured: &Measured,
    date: &str,
    figure: (&str, &str, f64),
) -> Record {
    let (quantity, unit, value) = figure;
    let phase = if measured.through == "router" {
        PHASE
    } else {
        PASS_PHASE
    };
    Record {
        role: Role::RouterData,
        quantity: quantity.into(),
        unit: unit.into(),
        phase: phase.into(),
        size_of: "hosts".into(),
        size: f64::from(measured.hosts),
        value,
        min: None,
        max: None,
        spread_of: None,
        runs: None,
        fixed: fixed(terms, measured),
        command: command(terms),
        date: date.into(),
    }
}

fn fixed(terms: &ServedTerms, measured: &Measured) -> FixedParameters {
    FixedParameters::from([
        ("commands_per_s".to_string(), json!(terms.rate)),
        (
            "answer_after_ms".to_string(),
            json!(terms.answer_after.as_millis() as u64),
        ),
        ("acked_per_s".to_string(), json!(measured.acked_per_s)),
        ("nacked".to_string(), json!(measured.nacked)),
        ("failed".to_string(), json!(measured.failed)),
    ])
}

fn command(terms: &ServedTerms) -> String {
    let hosts: Vec<String> = terms.hosts.iter().map(ToString::to_string).collect();
    format!(
        "spokeflow-experiments measure-load --hosts {} --rate {} --seconds {} --runs {} --answer-after {}ms",
        hosts.join(","),
        terms.rate,
        terms.seconds,
        terms.runs,
        terms.answer_after.as_millis()
    )
}
