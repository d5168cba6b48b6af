//! Rows of the router's data side: the cost of a request at the router.

use super::super::estimate::{Estimate, Need};
use super::super::limits::TICKS_PER_SECOND;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::served;
use super::super::service_assignment::ServiceAssignment;
use super::super::situation::Situation;
use super::Inputs;

const MODULE: &str = "`spokeflow-core`, `Router`";
const SECONDS_PER_MICROSECOND: f64 = 1e-6;
const SECONDS_PER_MILLISECOND: f64 = 1e-3;

pub(super) fn rows(inputs: &Inputs) -> Vec<Row> {
    let assignments = ServiceAssignment::all(inputs.target);
    assignments
        .iter()
        .flat_map(|assignment| assignment_rows(inputs, assignment))
        .collect()
}

fn assignment_rows(inputs: &Inputs, assignment: &ServiceAssignment) -> Vec<Row> {
    let mut rows = process_rows(inputs, assignment);
    rows.extend(module_rows(inputs, assignment));
    rows.extend(request_rows(inputs, assignment));
    rows
}

/// Returns the budget of the time that a router may add to a request.
fn added_time_budget(inputs: &Inputs) -> Option<Budget> {
    Budget::new(
        inputs.target.budget.added_milliseconds * SECONDS_PER_MILLISECOND,
        "time added to 99 of 100 requests, of which this is a part",
    )
}

/// Rows measured on a complete router process over sockets.
fn process_rows(inputs: &Inputs, assignment: &ServiceAssignment) -> Vec<Row> {
    let name = |what: &str| format!("{what}; {}", assignment.name);
    vec![
        Row::constant(
            Role::RouterData,
            name("time added to 99 of 100 requests, with what measures it"),
            Unit::Seconds,
            measured_over_sockets(inputs, served::ROUTER_PHASE, served::ADDED_P99, assignment)
                .times(SECONDS_PER_MILLISECOND),
        )
        .with_budget(added_time_budget(inputs))
        .carried_by("`spokeflow-router`"),
        Row::constant(
            Role::RouterData,
            name("the same through a plain pass-through in the same runs"),
            Unit::Seconds,
            measured_over_sockets(
                inputs,
                served::PASS_THROUGH_PHASE,
                served::ADDED_P99,
                assignment,
            )
            .times(SECONDS_PER_MILLISECOND),
        )
        .carried_by("what measures it"),
        Row::by_situation(
            Role::RouterData,
            name("processor of the whole process"),
            Unit::Cores,
            |situation| {
                let request = measured_over_sockets(
                    inputs,
                    served::ROUTER_PHASE,
                    served::PROCESSOR_TIME,
                    assignment,
                )
                .times(SECONDS_PER_MICROSECOND);
                request.times(requests_per_second(inputs, assignment, situation))
            },
        )
        .carried_by("`spokeflow-router`"),
        Row::constant(
            Role::RouterData,
            name("memory of the whole process"),
            Unit::Bytes,
            measured_over_sockets(
                inputs,
                served::ROUTER_PHASE,
                served::RESIDENT_MEMORY,
                assignment,
            ),
        )
        .carried_by("`spokeflow-router`"),
    ]
}

/// Rows measured on the decision module alone.
fn module_rows(inputs: &Inputs, assignment: &ServiceAssignment) -> Vec<Row> {
    let name = |what: &str| format!("{what}; {}", assignment.name);
    let cores = Budget::new(
        inputs.target.assumptions.router_cores,
        "cores that one deciding task can use (assumed)",
    );
    vec![
        Row::by_situation(
            Role::RouterData,
            name("processor of the module"),
            Unit::Cores,
            |situation| processor_cores(inputs, assignment, situation),
        )
        .with_budget(cores)
        .carried_by(MODULE)
        .remedied_by(Remedy::IncrementalFigures),
        Row::by_situation(
            Role::RouterData,
            name("work of the module for one request"),
            Unit::Seconds,
            |situation| work_per_request(inputs, assignment, situation),
        )
        .with_budget(added_time_budget(inputs))
        .carried_by(MODULE)
        .remedied_by(Remedy::IncrementalFigures),
        Row::by_situation(
            Role::RouterData,
            name("memory of the module's state"),
            Unit::Bytes,
            |situation| memory_bytes(inputs, assignment, situation),
        )
        .carried_by(MODULE),
    ]
}

/// Rows that follow from the target without a measurement.
fn request_rows(inputs: &Inputs, assignment: &ServiceAssignment) -> Vec<Row> {
    let name = |what: &str| format!("{what}; {}", assignment.name);
    vec![
        Row::by_situation(
            Role::RouterData,
            name("requests"),
            Unit::PerSecond,
            |situation| requests_estimate(inputs, assignment, situation),
        )
        .carried_by("`spokeflow-router`, `serve`"),
        Row::constant(
            Role::RouterData,
            name("connections to hosts"),
            Unit::Count,
            Estimate::given(assignment.hosts_per_router),
        )
        .carried_by("`spokeflow-router`, `hosts`: one to each listed host"),
    ]
}

/// Returns the value measured on a router or pass-through process over sockets, at the number of hosts of one router.
/// The request rate of the runs is that of one router of the target.
fn measured_over_sockets(
    inputs: &Inputs,
    phase: &'static str,
    quantity: &'static str,
    assignment: &ServiceAssignment,
) -> Estimate {
    let need = Need {
        role: Role::RouterData,
        quantity,
        phase,
        per: "hosts",
    };
    inputs.measured(need, assignment.hosts_per_router)
}

/// Returns the measured phases of the decision module that are closest to a situation; the one with the largest cost is
/// used.
fn module_phases(situation: Situation) -> &'static [&'static str] {
    match situation {
        Situation::Mean | Situation::Region => &["quiet"],
        Situation::Peak => &["quiet", "trial", "cold"],
        Situation::Restarts | Situation::Rack | Situation::Zone => &["changing", "cold"],
        // Routers that start do not know the state of any build yet.
        Situation::PowerLoss => &["unannounced", "cold"],
    }
}

/// Returns the processor seconds of a quantity that was measured in microseconds over the number of hosts.
fn module_work(
    inputs: &Inputs,
    quantity: &'static str,
    assignment: &ServiceAssignment,
    situation: Situation,
) -> Estimate {
    let measured = module_phases(situation).iter().map(|phase| {
        let need = Need {
            role: Role::RouterData,
            quantity,
            phase,
            per: "hosts",
        };
        inputs.measured(need, assignment.hosts_per_router)
    });
    Estimate::largest(measured).times(SECONDS_PER_MICROSECOND)
}

fn work_per_request(
    inputs: &Inputs,
    assignment: &ServiceAssignment,
    situation: Situation,
) -> Estimate {
    module_work(inputs, "work per command", assignment, situation)
}

fn requests_per_second(
    inputs: &Inputs,
    assignment: &ServiceAssignment,
    situation: Situation,
) -> f64 {
    let load = inputs.load(situation);
    assignment.router_requests_per_second(load.requests_per_second) / load.routers_up
}

fn requests_estimate(
    inputs: &Inputs,
    assignment: &ServiceAssignment,
    situation: Situation,
) -> Estimate {
    Estimate::given(requests_per_second(inputs, assignment, situation))
}

fn processor_cores(
    inputs: &Inputs,
    assignment: &ServiceAssignment,
    situation: Situation,
) -> Estimate {
    let requests = work_per_request(inputs, assignment, situation)
        .times(requests_per_second(inputs, assignment, situation));
    let ticks =
        module_work(inputs, "work per wake-up", assignment, situation).times(TICKS_PER_SECOND);
    requests.plus(ticks)
}

fn memory_bytes(inputs: &Inputs, assignment: &ServiceAssignment, situation: Situation) -> Estimate {
    let target = inputs.target;
    let in_flight = requests_per_second(inputs, assignment, situation)
        * target.assumptions.answer_milliseconds
        * SECONDS_PER_MILLISECOND;
    let total = |quantity, per, count: f64| {
        let need = Need {
            role: Role::RouterData,
            quantity,
            phase: "quiet",
            per,
        };
        inputs.measured(need, count).times(count)
    };
    total("bytes per host", "hosts", assignment.hosts_per_router)
        .plus(total("bytes per tenant", "tenants", target.fleet.tenants))
        .plus(total(
            "bytes per command in flight",
            "commands in flight",
            in_flight,
        ))
}
