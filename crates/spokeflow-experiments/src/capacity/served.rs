//! Measures the time and resources that a real router adds to a request over loopback sockets. Runs of the router
//! alternate with runs of a plain pass-through for comparison.

use std::time::Duration;

use serde_json::json;
use spokeflow_testbed::load::{measure_load, Follows, Load, Measured};
use spokeflow_testbed::routers::Starting;

use super::error::{MeasureLoadError, RunFailure};
use super::records::{FixedParameters, Record, Role};

// Names of the measured quantities.
pub(super) const ADDED_P99: &str = "time added to 99 of 100 requests";
pub(super) const ADDED_P50: &str = "time added to half of the requests";
pub(super) const PROCESSOR_TIME: &str = "processor time of the process for a request";
pub(super) const RESIDENT_MEMORY: &str = "resident memory of the process under load";
pub(super) const ROUTER_PHASE: &str = "router, quiet";
pub(super) const PASS_THROUGH_PHASE: &str = "pass-through, quiet";
const BYTES_PER_KIB: f64 = 1024.0;
const CONNECTIONS: u32 = 20;

/// Parameters of the load measurement.
#[derive(Clone, Debug)]
pub(super) struct LoadParameters {
    /// Numbers of hosts to measure with.
    pub hosts: Vec<u32>,
    /// Requests per second.
    pub rate: u64,
    /// Measured seconds of each run.
    pub seconds: u64,
    /// Runs of the router, and of the pass-through, at each number of hosts.
    pub runs: u32,
    /// Response time of a host.
    pub answer_after: Duration,
}

/// The result of a load measurement.
pub(super) struct LoadRecords {
    pub records: Vec<Record>,
    /// The failed run that ended the measurement; `None` if all runs succeeded.
    pub failure: Option<RunFailure>,
}

/// Executes all runs and returns one record for each run and quantity. A failed run ends the measurement; the records
/// of the runs before it are returned.
///
/// # Errors
/// Returns an error if the testbed or the asynchronous runtime cannot start.
pub(super) fn measure(
    parameters: &LoadParameters,
    date: &str,
) -> Result<LoadRecords, MeasureLoadError> {
    let starting = Starting::own().map_err(|error| MeasureLoadError::Testbed(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(MeasureLoadError::Runtime)?;
    let mut records = Vec::new();
    for &hosts in &parameters.hosts {
        for is_pass_through in (0..parameters.runs).flat_map(|_| [true, false]) {
            eprintln!(
                "measuring the {} with {hosts} hosts",
                if is_pass_through {
                    "pass-through"
                } else {
                    "router"
                }
            );
            match runtime.block_on(measure_load(
                &load(parameters, hosts, is_pass_through),
                &starting,
            )) {
                Ok(measured) => records.extend(run_records(parameters, &measured, date)),
                Err(error) => {
                    return Ok(LoadRecords {
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
    Ok(LoadRecords {
        records,
        failure: None,
    })
}

fn load(parameters: &LoadParameters, hosts: u32, is_pass_through: bool) -> Load {
    Load {
        hosts,
        rate: parameters.rate,
        seconds: parameters.seconds,
        connections: CONNECTIONS,
        idle: 0,
        answer_after: parameters.answer_after,
        pass: is_pass_through,
        stalled: false,
        canary: false,
        faulty_hosts: false,
        follows: Follows::Nothing,
    }
}

fn run_records(parameters: &LoadParameters, measured: &Measured, date: &str) -> Vec<Record> {
    let resident = measured.resident_end_kib as f64 * BYTES_PER_KIB;
    let figures = [
        (ADDED_P99, "ms", measured.p99_ms),
        (ADDED_P50, "ms", measured.p50_ms),
        (PROCESSOR_TIME, "us", measured.cpu_us),
        (RESIDENT_MEMORY, "bytes", resident),
    ];
    figures
        .map(|(quantity, unit, value)| record(parameters, measured, date, (quantity, unit, value)))
        .into()
}

fn record(
    parameters: &LoadParameters,
    measured: &Measured,
    date: &str,
    figure: (&str, &str, f64),
) -> Record {
    let (quantity, unit, value) = figure;
    let phase = if measured.through == "router" {
        ROUTER_PHASE
    } else {
        PASS_THROUGH_PHASE
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
        fixed: fixed_parameters(parameters, measured),
        command: command_line(parameters),
        date: date.into(),
    }
}

fn fixed_parameters(parameters: &LoadParameters, measured: &Measured) -> FixedParameters {
    FixedParameters::from([
        ("commands_per_s".to_string(), json!(parameters.rate)),
        (
            "answer_after_ms".to_string(),
            json!(parameters.answer_after.as_millis() as u64),
        ),
        ("acked_per_s".to_string(), json!(measured.acked_per_s)),
        ("nacked".to_string(), json!(measured.nacked)),
        ("failed".to_string(), json!(measured.failed)),
    ])
}

fn command_line(parameters: &LoadParameters) -> String {
    let hosts: Vec<String> = parameters.hosts.iter().map(ToString::to_string).collect();
    format!(
        "spokeflow-experiments measure-load --hosts {} --rate {} --seconds {} --runs {} --answer-after {}ms",
        hosts.join(","),
        parameters.rate,
        parameters.seconds,
        parameters.runs,
        parameters.answer_after.as_millis()
    )
}
