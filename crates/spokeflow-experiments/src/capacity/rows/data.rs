//! The router's data side: what a request costs there.

use super::super::ends::End;
use super::super::estimate::{Estimate, Need};
use super::super::limits::TICKS_PER_SECOND;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::served;
use super::super::situation::Situation;
use super::Inputs;

const MODULE: &str = "`spokeflow-core`, `Router`";
const SECONDS_PER_MICROSECOND: f64 = 1e-6;
const SECONDS_PER_MILLISECOND: f64 = 1e-3;

pub(super) fn rows(inputs: &Inputs) -> Vec<Row> {
    let ends = End::all(inputs.target);
    ends.iter().flat_map(|end| end_rows(inputs, end)).collect()
}

fn end_rows(inputs: &Inputs, end: &End) -> Vec<Row> {
    let mut rows = process_rows(inputs, end);
    rows.extend(module_rows(inputs, end));
    rows.extend(request_rows(inputs, end));
    rows
}

/// Of the time that a router may add to a request.
fn added_budget(inputs: &Inputs) -> Option<Budget> {
    Budget::new(
        inputs.target.budget.added_milliseconds * SECONDS_PER_MILLISECOND,
        "time added to 99 of 100 requests, of which this is a part",
    )
}

/// What was measured of a whole process on sockets.
fn process_rows(inputs: &Inputs, end: &End) -> Vec<Row> {
    let name = |what: &str| format!("{what}; {}", end.name);
    vec![
        Row::steady(
            Role::RouterData,
            name("time added to 99 of 100 requests, with what measures it"),
            Unit::Seconds,
            over_sockets(inputs, served::PHASE, served::ADDED_P99, end)
                .times(SECONDS_PER_MILLISECOND),
        )
        .within(added_budget(inputs))
        .by("`spokeflow-router`"),
        Row::steady(
            Role::RouterData,
            name("the same through a plain pass-through in the same runs"),
            Unit::Seconds,
            over_sockets(inputs, served::PASS_PHASE, served::ADDED_P99, end)
                .times(SECONDS_PER_MILLISECOND),
        )
        .by("what measures it"),
        Row::varying(
            Role::RouterData,
            name("processor of the whole process"),
            Unit::Cores,
            |situation| {
                let request = over_sockets(inputs, served::PHASE, served::PROCESSOR, end)
                    .times(SECONDS_PER_MICROSECOND);
                request.times(requests_per_second(inputs, end, situation))
            },
        )
        .by("`spokeflow-router`"),
        Row::steady(
            Role::RouterData,
            name("memory of the whole process"),
            Unit::Bytes,
            over_sockets(inputs, served::PHASE, served::RESIDENT, end),
        )
        .by("`spokeflow-router`"),
    ]
}

/// What was measured of the decision module alone.
fn module_rows(inputs: &Inputs, end: &End) -> Vec<Row> {
    let name = |what: &str| format!("{what}; {}", end.name);
    let cores = Budget::new(
        inputs.target.assumptions.router_cores,
        "cores that one deciding task can use (assumed)",
    );
    vec![
        Row::varying(
            Role::RouterData,
            name("processor of the module"),
            Unit::Cores,
            |situation| processor(inputs, end, situation),
        )
        .within(cores)
        .by(MODULE)
        .mended_by(Remedy::IncrementalFigures),
        Row::varying(
            Role::RouterData,
            name("work of the module for one request"),
            Unit::Seconds,
            |situation| work(inputs, end, situation),
        )
        .within(added_budget(inputs))
        .by(MODULE)
        .mended_by(Remedy::IncrementalFigures),
        Row::varying(
            Role::RouterData,
            name("memory of the module's state"),
            Unit::Bytes,
            |situation| memory(inputs, end, situation),
        )
        .by(MODULE),
    ]
}

/// What follows from the target alone.
fn request_rows(inputs: &Inputs, end: &End) -> Vec<Row> {
    let name = |what: &str| format!("{what}; {}", end.name);
    vec![
        Row::varying(
            Role::RouterData,
            name("requests"),
            Unit::PerSecond,
            |situation| requests(inputs, end, situation),
        )
        .by("`spokeflow-router`, `serve`"),
        Row::steady(
            Role::RouterData,
            name("connections to hosts"),
            Unit::Count,
            Estimate::given(end.hosts_per_router),
        )
        .by("`spokeflow-router`, `hosts`: one to each listed host"),
    ]
}

/// What was measured of a real router on sockets, at the rate of one router of the target.
fn over_sockets(
    inputs: &Inputs,
    phase: &'static str,
    quantity: &'static str,
    end: &End,
) -> Estimate {
    let need = Need {
        role: Role::RouterData,
        quantity,
        phase,
        per: "hosts",
    };
    inputs.measured(need, end.hosts_per_router)
}

/// What the module was doing when it was measured that is nearest to a situation: the dearest of these counts.
fn phases(situation: Situation) -> &'static [&'static str] {
    match situation {
        Situation::Mean | Situation::Region => &["quiet"],
        Situation::Peak => &["quiet", "trial", "cold"],
        Situation::Restarts | Situation::Rack | Situation::Zone => &["changing", "cold"],
        // Routers that start have no news of any build yet.
        Situation::PowerLoss => &["unannounced", "cold"],
    }
}

/// Seconds of one core for a quantity that is measured in microseconds over hosts.
fn module_work(
    inputs: &Inputs,
    quantity: &'static str,
    end: &End,
    situation: Situation,
) -> Estimate {
    let measured = phases(situation).iter().map(|phase| {
        let need = Need {
            role: Role::RouterData,
            quantity,
            phase,
            per: "hosts",
        };
        inputs.measured(need, end.hosts_per_router)
    });
    Estimate::dearest(measured).times(SECONDS_PER_MICROSECOND)
}

fn work(inputs: &Inputs, end: &End, situation: Situation) -> Estimate {
    module_work(inputs, "work per command", end, situation)
}

fn requests_per_second(inputs: &Inputs, end: &End, situation: Situation) -> f64 {
    let load = inputs.load(situation);
    end.router_requests(load.requests_per_second) / load.routers_up
}

fn requests(inputs: &Inputs, end: &End, situation: Situation) -> Estimate {
    Estimate::given(requests_per_second(inputs, end, situation))
}

fn processor(inputs: &Inputs, end: &End, situation: Situation) -> Estimate {
    let commands = work(inputs, end, situation).times(requests_per_second(inputs, end, situation));
    let beats = module_work(inputs, "work per wake-up", end, situation).times(TICKS_PER_SECOND);
    commands.plus(beats)
}

fn memory(inputs: &Inputs, end: &End, situation: Situation) -> Estimate {
    let target = inputs.target;
    let in_flight = requests_per_second(inputs, end, situation)
        * target.assumptions.answer_milliseconds
        * SECONDS_PER_MILLISECOND;
    let each = |quantity, per, count: f64| {
        let need = Need {
            role: Role::RouterData,
            quantity,
            phase: "quiet",
            per,
        };
        inputs.measured(need, count).times(count)
    };
    each("bytes per host", "hosts", end.hosts_per_router)
        .plus(each("bytes per tenant", "tenants", target.fleet.tenants))
        .plus(each(
            "bytes per command in flight",
            "commands in flight",
            in_flight,
        ))
}
