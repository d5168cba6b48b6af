//! Rows of the router's control side: lease, revisions and host list.

use super::super::estimate::{Estimate, Need};
use super::super::limits;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::situation::{Situation, WindowLoad};
use super::{Inputs, BYTES_PER_KB, BYTES_PER_MB};

const CONTROL_PLANE_LINK: &str =
    "`spokeflow-router`, `ControlPlaneLink`; `spokeflow-coordination`, `LeaseHolder`";
/// Connections of one router: to a voter, to the list source and to the release controller.
const CONNECTIONS: f64 = 3.0;
/// Condition under which rows of settings changes can occur: their proposal must fit the frame limit.
pub(super) const PROPOSAL_FITS: &str = "an offer of this size is accepted";

pub(super) fn rows(inputs: &Inputs) -> Vec<Row> {
    let mut rows = byte_rows(inputs);
    rows.extend(message_rows(inputs));
    rows.extend(process_rows(inputs));
    rows.extend(time_rows(inputs));
    rows
}

/// Rows of the bytes on the link and in memory, computed from encoded sizes.
fn byte_rows(inputs: &Inputs) -> Vec<Row> {
    let bytes = Budget::new(
        inputs.target.budget.control_kb_per_second * BYTES_PER_KB,
        "control bytes a second of a router",
    );
    vec![
        Row::by_situation(
            Role::RouterControl,
            "bytes without changes of settings",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(bytes_without_changes(inputs, &inputs.load(situation))),
        )
        .with_budget(bytes.clone())
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::ListInParts),
        Row::by_situation(
            Role::RouterControl,
            "bytes of changes of one tenant each",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(bytes_of_changes(inputs, &inputs.load(situation))),
        )
        .with_budget(bytes)
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::ChangesByTenant)
        .reached_after(PROPOSAL_FITS),
        Row::constant(
            Role::RouterControl,
            "state kept: host list and the newest revision, as encoded",
            Unit::Bytes,
            inputs.list_grant().plus(inputs.change_grant()),
        )
        .carried_by(CONTROL_PLANE_LINK),
    ]
}

/// Rows of the message rate and of the largest messages.
fn message_rows(inputs: &Inputs) -> Vec<Row> {
    let frame = Budget::new(
        limits::CALLER_FRAME_BYTES,
        "frame limit between a voter and a router",
    );
    vec![
        Row::by_situation(
            Role::RouterControl,
            "messages",
            Unit::PerSecond,
            |situation| Estimate::given(messages_per_second(inputs, &inputs.load(situation))),
        )
        .carried_by(CONTROL_PLANE_LINK),
        Row::constant(
            Role::RouterControl,
            "message with the whole host list (at each start)",
            Unit::Bytes,
            inputs.list_grant(),
        )
        .with_budget(frame.clone())
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::ListInParts),
        Row::constant(
            Role::RouterControl,
            "message with a change of one tenant",
            Unit::Bytes,
            inputs.change_grant(),
        )
        .with_budget(frame.clone())
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::ChangesByTenant)
        .reached_after(PROPOSAL_FITS),
    ]
}

/// Rows that the scale runs measured on router processes.
fn process_rows(inputs: &Inputs) -> Vec<Row> {
    let bytes = Budget::new(
        inputs.target.budget.control_kb_per_second * BYTES_PER_KB,
        "control bytes a second of a router",
    );
    let memory = Budget::new(
        inputs.target.budget.control_memory_mb * BYTES_PER_MB,
        "control memory of a router",
    );
    let cores = Budget::new(
        inputs.target.budget.control_core_share,
        "share of a core for a router's control",
    );
    vec![
        Row::by_situation(Role::RouterControl, "processor", Unit::Cores, |situation| {
            hollow_router_estimate(inputs, "processor_share", situation)
        })
        .with_budget(cores.clone())
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::CheckedOnce),
        Row::by_situation(Role::RouterControl, "memory", Unit::Bytes, |situation| {
            hollow_router_estimate(inputs, "memory_peak", situation)
        })
        .with_budget(memory)
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::CheckedOnce),
        Row::by_situation(
            Role::RouterControl,
            "memory of a real router's whole process, without requests",
            Unit::Bytes,
            |situation| scale_run_estimate(inputs, Role::RealRouter, "memory_peak", situation),
        )
        .carried_by("`spokeflow-router`"),
        Row::by_situation(
            Role::RouterControl,
            "processor of a real router's whole process, without requests",
            Unit::Cores,
            |situation| scale_run_estimate(inputs, Role::RealRouter, "processor_share", situation),
        )
        .with_budget(cores.clone())
        .carried_by("`spokeflow-router`, `ControlPlaneLink::act`")
        .remedied_by(Remedy::CheckedOnce),
        Row::by_situation(
            Role::RouterControl,
            "bytes measured on the link, both ways",
            Unit::BytesPerSecond,
            |situation| {
                hollow_router_estimate(inputs, "bytes_sent", situation)
                    .plus(hollow_router_estimate(inputs, "bytes_received", situation))
            },
        )
        .with_budget(bytes)
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::ListInParts),
    ]
}

/// Rows of the times until a router may act, and of its connections.
fn time_rows(inputs: &Inputs) -> Vec<Row> {
    let bound = Budget::new(
        inputs.target.load.change_bound_seconds,
        "a change is in force everywhere",
    );
    vec![
        Row::by_situation(
            Role::RouterControl,
            "time from offer to in force, worst",
            Unit::Seconds,
            |situation| time_to_in_force_estimate(inputs, situation),
        )
        .with_budget(bound.clone())
        .carried_by("`spokeflow-coordination`, `LeaseGranter::ready_revision`")
        .remedied_by(Remedy::RelayPerRegion),
        Row::by_situation(
            Role::RouterControl,
            "time to ready after a start, worst",
            Unit::Seconds,
            |situation| fleet_time_estimate(inputs, "time_to_ready_worst", situation),
        )
        .with_budget(bound)
        .carried_by(CONTROL_PLANE_LINK)
        .remedied_by(Remedy::RelayPerRegion),
        Row::constant(
            Role::RouterControl,
            "connections",
            Unit::Count,
            Estimate::given(CONNECTIONS),
        )
        .carried_by(CONTROL_PLANE_LINK),
    ]
}

/// Returns how often one router needs the whole host list and the newest revision in a window, in addition to the
/// changes. In normal operation this is the mean over all routers; after a fault it is the value of a router that has
/// just started.
fn starts_per_router(inputs: &Inputs, load: &WindowLoad) -> f64 {
    match load.situation {
        Situation::Mean | Situation::Peak => load.starting_routers / inputs.target.fleet.routers,
        Situation::Region => 0.0,
        Situation::Restarts | Situation::Rack | Situation::Zone | Situation::PowerLoss => 1.0,
    }
}

/// Returns the bytes in a window at one router without changes of settings: lease renewals, changed lines of the list,
/// the whole list if the router starts, and the missed lines if it was disconnected.
fn bytes_without_changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
    let renewals = inputs.renewals_per_second() * inputs.target.load.change_bound_seconds;
    let renewal_bytes = inputs
        .renewal_request()
        .plus(inputs.renewal_answer())
        .times(renewals);
    let lines = load.host_lines + load.missed_host_lines.min(limits::MAX_LIST_CHANGES);
    let complete_list = inputs.list_grant().times(starts_per_router(inputs, load));
    renewal_bytes
        .plus(inputs.line_grants(lines))
        .plus(complete_list)
}

/// Returns the bytes in a window at one router for changes of settings: each change, and the newest revision if the
/// router starts or was disconnected.
fn bytes_of_changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
    let newest_revisions = if load.rejoining_routers > 0.0 {
        1.0
    } else {
        starts_per_router(inputs, load)
    };
    inputs.change_grant().times(load.changes + newest_revisions)
}

/// Returns the messages per second of one router: a request and an answer for each renewal. A change causes one
/// additional early renewal.
fn messages_per_second(inputs: &Inputs, load: &WindowLoad) -> f64 {
    let early_renewals = load.changes / inputs.target.load.change_bound_seconds;
    2.0 * (inputs.renewals_per_second() + early_renewals)
}

/// Phase at the beginning of a scale run, in which all routers start.
const LAUNCH_PHASE: &str = "launch";

/// Returns the phases of the scale run that are closest to a situation.
fn scale_phases(situation: Situation) -> &'static [&'static str] {
    match situation {
        Situation::Mean => &["quiet"],
        Situation::Peak => &["changes"],
        Situation::Restarts | Situation::Rack => &["churn"],
        Situation::Zone => &["zone"],
        Situation::Region => &["region"],
        Situation::PowerLoss => &[LAUNCH_PHASE, "start"],
    }
}

/// Returns the largest value that the scale runs measured over routers, hosts or tenants. It is a lower bound, because
/// each size was changed with the others held constant.
pub(super) fn scale_run_estimate(
    inputs: &Inputs,
    role: Role,
    quantity: &'static str,
    situation: Situation,
) -> Estimate {
    Estimate::largest_as_lower_bound(
        scale_phases(situation)
            .iter()
            .map(|phase| largest_over_sizes(inputs, role, quantity, phase)),
    )
}

fn largest_over_sizes(
    inputs: &Inputs,
    role: Role,
    quantity: &'static str,
    phase: &'static str,
) -> Estimate {
    let fleet = &inputs.target.fleet;
    let sizes = [
        ("routers", fleet.routers),
        ("hosts", fleet.hosts),
        ("tenants", fleet.tenants),
    ];
    // Launches over hosts or tenants that were stopped by a frame limit also have records, of routers that were never
    // ready; they are left out.
    let comparable = sizes
        .into_iter()
        .filter(|(per, _)| phase != LAUNCH_PHASE || *per == "routers");
    let measured = comparable.map(|(per, size)| {
        inputs.measured(
            Need {
                role,
                quantity,
                phase,
                per,
            },
            size,
        )
    });
    Estimate::largest_as_lower_bound(measured)
}

fn hollow_router_estimate(
    inputs: &Inputs,
    quantity: &'static str,
    situation: Situation,
) -> Estimate {
    scale_run_estimate(inputs, Role::HollowRouter, quantity, situation)
}

fn fleet_time_estimate(inputs: &Inputs, quantity: &'static str, situation: Situation) -> Estimate {
    scale_run_estimate(inputs, Role::Fleet, quantity, situation)
}

fn time_to_in_force_estimate(inputs: &Inputs, situation: Situation) -> Estimate {
    fleet_time_estimate(inputs, "offer_to_in_force_worst", situation)
}
