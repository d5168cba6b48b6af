//! The router's control side: its lease, the revisions and the host list.

use super::super::estimate::{Estimate, Need};
use super::super::limits;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::situation::{Situation, WindowLoad};
use super::{Inputs, BYTES_PER_KB, BYTES_PER_MB};

const LINK: &str =
    "`spokeflow-router`, `ControlPlaneLink`; `spokeflow-coordination`, `LeaseHolder`";
/// One to a voter, one to the list source, one to the release controller.
const CONNECTIONS: f64 = 3.0;
pub(super) const OFFER_FITS: &str = "an offer of this size is accepted";

pub(super) fn rows(inputs: &Inputs) -> Vec<Row> {
    let mut rows = byte_rows(inputs);
    rows.extend(message_rows(inputs));
    rows.extend(process_rows(inputs));
    rows.extend(time_rows(inputs));
    rows
}

/// Bytes on the link and in memory, computed from encoded sizes.
fn byte_rows(inputs: &Inputs) -> Vec<Row> {
    let bytes = Budget::new(
        inputs.target.budget.control_kb_per_second * BYTES_PER_KB,
        "control bytes a second of a router",
    );
    vec![
        Row::varying(
            Role::RouterControl,
            "bytes without changes of settings",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(without_changes(inputs, &inputs.load(situation))),
        )
        .within(bytes.clone())
        .by(LINK)
        .mended_by(Remedy::ListInParts),
        Row::varying(
            Role::RouterControl,
            "bytes of changes of one tenant each",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(changes(inputs, &inputs.load(situation))),
        )
        .within(bytes)
        .by(LINK)
        .mended_by(Remedy::ChangesByTenant)
        .reached_after(OFFER_FITS),
        Row::steady(
            Role::RouterControl,
            "state kept: host list and the newest revision, as encoded",
            Unit::Bytes,
            inputs.list_grant().plus(inputs.change_grant()),
        )
        .by(LINK),
    ]
}

/// Messages, and the largest of them.
fn message_rows(inputs: &Inputs) -> Vec<Row> {
    let frame = Budget::new(
        limits::CALLER_FRAME,
        "frame limit between a voter and a router",
    );
    vec![
        Row::varying(
            Role::RouterControl,
            "messages",
            Unit::PerSecond,
            |situation| Estimate::given(messages(inputs, &inputs.load(situation))),
        )
        .by(LINK),
        Row::steady(
            Role::RouterControl,
            "message with the whole host list (at each start)",
            Unit::Bytes,
            inputs.list_grant(),
        )
        .within(frame.clone())
        .by(LINK)
        .mended_by(Remedy::ListInParts),
        Row::steady(
            Role::RouterControl,
            "message with a change of one tenant",
            Unit::Bytes,
            inputs.change_grant(),
        )
        .within(frame.clone())
        .by(LINK)
        .mended_by(Remedy::ChangesByTenant)
        .reached_after(OFFER_FITS),
    ]
}

/// What the scale runs measured of processes.
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
        Row::varying(Role::RouterControl, "processor", Unit::Cores, |situation| {
            process(inputs, "processor_share", situation)
        })
        .within(cores.clone())
        .by(LINK)
        .mended_by(Remedy::CheckedOnce),
        Row::varying(Role::RouterControl, "memory", Unit::Bytes, |situation| {
            process(inputs, "memory_peak", situation)
        })
        .within(memory)
        .by(LINK)
        .mended_by(Remedy::CheckedOnce),
        Row::varying(
            Role::RouterControl,
            "memory of a real router's whole process, without requests",
            Unit::Bytes,
            |situation| scale_run(inputs, Role::RealRouter, "memory_peak", situation),
        )
        .by("`spokeflow-router`"),
        Row::varying(
            Role::RouterControl,
            "processor of a real router's whole process, without requests",
            Unit::Cores,
            |situation| scale_run(inputs, Role::RealRouter, "processor_share", situation),
        )
        .within(cores.clone())
        .by("`spokeflow-router`, `ControlPlaneLink::act`")
        .mended_by(Remedy::CheckedOnce),
        Row::varying(
            Role::RouterControl,
            "bytes measured on the link, both ways",
            Unit::BytesPerSecond,
            |situation| {
                process(inputs, "bytes_sent", situation).plus(process(
                    inputs,
                    "bytes_received",
                    situation,
                ))
            },
        )
        .within(bytes)
        .by(LINK)
        .mended_by(Remedy::ListInParts),
    ]
}

/// Times until a router may act, and its connections.
fn time_rows(inputs: &Inputs) -> Vec<Row> {
    let bound = Budget::new(
        inputs.target.load.change_bound_seconds,
        "a change is in force everywhere",
    );
    vec![
        Row::varying(
            Role::RouterControl,
            "time from offer to in force, worst",
            Unit::Seconds,
            |situation| in_force(inputs, situation),
        )
        .within(bound.clone())
        .by("`spokeflow-coordination`, `LeaseGranter::ready_revision`")
        .mended_by(Remedy::RelayPerRegion),
        Row::varying(
            Role::RouterControl,
            "time to ready after a start, worst",
            Unit::Seconds,
            |situation| fleet_time(inputs, "time_to_ready_worst", situation),
        )
        .within(bound)
        .by(LINK)
        .mended_by(Remedy::RelayPerRegion),
        Row::steady(
            Role::RouterControl,
            "connections",
            Unit::Count,
            Estimate::given(CONNECTIONS),
        )
        .by(LINK),
    ]
}

/// Part of the whole list and of one revision that the router looked at needs beside what changes: of the ordinary time
/// the average router, after a fault one that has just started.
fn starts(inputs: &Inputs, load: &WindowLoad) -> f64 {
    match load.situation {
        Situation::Mean | Situation::Peak => load.starting_routers / inputs.target.fleet.routers,
        Situation::Region => 0.0,
        Situation::Restarts | Situation::Rack | Situation::Zone | Situation::PowerLoss => 1.0,
    }
}

/// Bytes in a window at one router: its renewals, changed lines of the list, and the whole list or the missed lines
/// where it starts or was apart.
fn without_changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
    let renewals = inputs.renewals_per_second() * inputs.target.load.change_bound_seconds;
    let renewal_bytes = inputs
        .renewal_request()
        .plus(inputs.renewal_answer())
        .times(renewals);
    let lines = load.host_lines + load.missed_host_lines.min(limits::MAX_LIST_CHANGES);
    let complete_list = inputs.list_grant().times(starts(inputs, load));
    renewal_bytes
        .plus(inputs.line_grants(lines))
        .plus(complete_list)
}

/// Bytes in a window at one router: each change, and the newest revision where it starts or was apart.
fn changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
    let newest = if load.rejoining_routers > 0.0 {
        1.0
    } else {
        starts(inputs, load)
    };
    inputs.change_grant().times(load.changes + newest)
}

/// A request and an answer for each renewal; a change makes one renewal come early.
fn messages(inputs: &Inputs, load: &WindowLoad) -> f64 {
    let early = load.changes / inputs.target.load.change_bound_seconds;
    2.0 * (inputs.renewals_per_second() + early)
}

/// All routers of a run start at its beginning.
const LAUNCH: &str = "launch";

/// The phases of the scale run that are nearest to a situation.
fn scale_phases(situation: Situation) -> &'static [&'static str] {
    match situation {
        Situation::Mean => &["quiet"],
        Situation::Peak => &["changes"],
        Situation::Restarts | Situation::Rack => &["churn"],
        Situation::Zone => &["zone"],
        Situation::Region => &["region"],
        Situation::PowerLoss => &[LAUNCH, "start"],
    }
}

/// The greatest of what the scale run measured over routers, hosts and tenants, the others held.
pub(super) fn scale_run(
    inputs: &Inputs,
    role: Role,
    quantity: &'static str,
    situation: Situation,
) -> Estimate {
    Estimate::greatest(
        scale_phases(situation)
            .iter()
            .map(|phase| over_sizes(inputs, role, quantity, phase)),
    )
}

fn over_sizes(
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
    // A launch that a frame limit ends has figures as well, of routers that never were ready.
    let comparable = sizes
        .into_iter()
        .filter(|(per, _)| phase != LAUNCH || *per == "routers");
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
    Estimate::greatest(measured)
}

fn process(inputs: &Inputs, quantity: &'static str, situation: Situation) -> Estimate {
    scale_run(inputs, Role::HollowRouter, quantity, situation)
}

fn fleet_time(inputs: &Inputs, quantity: &'static str, situation: Situation) -> Estimate {
    scale_run(inputs, Role::Fleet, quantity, situation)
}

fn in_force(inputs: &Inputs, situation: Situation) -> Estimate {
    fleet_time(inputs, "offer_to_in_force_worst", situation)
}
