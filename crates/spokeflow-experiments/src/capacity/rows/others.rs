//! Relay or cache, list source, release controller, operator's tool.

use super::super::encoded;
use super::super::estimate::Estimate;
use super::super::limits;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::situation::WindowLoad;
use super::control::OFFER_FITS;
use super::{Inputs, BYTES_PER_MB};

pub(super) fn rows(inputs: &Inputs) -> Vec<Row> {
    let mut rows = relay_rows(inputs);
    rows.extend(source_rows(inputs));
    rows.extend(controller_rows(inputs));
    rows.extend(tool_rows(inputs));
    rows
}

/// There is no relay: what one would spare the ways between regions.
fn relay_rows(inputs: &Inputs) -> Vec<Row> {
    let regions = inputs.target.fleet.regions;
    let routers = inputs.target.fleet.routers / regions;
    vec![
        Row::varying(
            Role::Relay,
            "host list lines into one region, to each router",
            Unit::BytesPerSecond,
            |situation| {
                let load = inputs.load(situation);
                let starts = inputs.list_grant().times(load.starting_routers / regions);
                inputs.per_second(
                    inputs
                        .line_grants(load.host_lines)
                        .times(routers)
                        .plus(starts),
                )
            },
        ),
        Row::varying(
            Role::Relay,
            "the same to one relay",
            Unit::BytesPerSecond,
            |situation| {
                let load = inputs.load(situation);
                let start = if load.starting_routers >= inputs.target.fleet.routers {
                    1.0
                } else {
                    0.0
                };
                let lines = inputs.line_grants(load.host_lines);
                inputs.per_second(lines.plus(inputs.list_grant().times(start)))
            },
        ),
    ]
}

fn source_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    let network = target.assumptions.control_machine_mb_per_second * BYTES_PER_MB;
    let complete_list = inputs.per_hosts(Role::ListSource, encoded::LIST_MESSAGE);
    let watchers = target.fleet.routers + 1.0;
    const LINKS: &str =
        "`spokeflow-router`, `ListProtocol`; `spokeflow-control-plane`, `ListLink`; the source is not ours";
    vec![
        Row::varying(
            Role::ListSource,
            "bytes sent",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(source_sends(inputs, &inputs.load(situation), watchers)),
        )
        .within(Budget::new(
            network,
            "network of a control machine (assumed)",
        ))
        .by(LINKS)
        .mended_by(Remedy::OneListReader),
        Row::steady(
            Role::ListSource,
            "message with the whole host list",
            Unit::Bytes,
            complete_list,
        )
        .within(Budget::new(
            limits::LIST_FRAME,
            "frame limit of the list source",
        ))
        .by(LINKS)
        .mended_by(Remedy::ListInParts),
        Row::varying(
            Role::ListSource,
            "messages, each changed line told by itself",
            Unit::PerSecond,
            |situation| Estimate::given(source_messages(inputs, &inputs.load(situation), watchers)),
        )
        .by(LINKS),
        Row::steady(
            Role::ListSource,
            "state kept, as encoded",
            Unit::Bytes,
            inputs.per_hosts(Role::ListSource, encoded::LIST_MESSAGE),
        )
        .by(LINKS),
        Row::steady(
            Role::ListSource,
            "connections",
            Unit::Count,
            Estimate::given(watchers),
        )
        .by(LINKS),
    ]
}

/// The leader reads the whole list again and again; each router watches it beside the list of the voters.
fn source_sends(inputs: &Inputs, load: &WindowLoad, watchers: f64) -> Estimate {
    let complete_list = inputs.per_hosts(Role::ListSource, encoded::LIST_MESSAGE);
    let line = inputs.per_hosts(Role::ListSource, encoded::HOST_MESSAGE);
    let readings = inputs.target.load.change_bound_seconds / limits::FULL_SYNC_SECONDS;
    complete_list
        .times(readings + load.starting_routers)
        .plus(line.times(load.host_lines * watchers))
}

/// Each changed line to each watcher, each watch renewed, and the leader's readings, asked and answered.
fn source_messages(inputs: &Inputs, load: &WindowLoad, watchers: f64) -> f64 {
    let changes = load.host_lines * watchers / inputs.target.load.change_bound_seconds;
    changes + 2.0 * watchers / limits::WATCH_RENEWAL_SECONDS + 2.0 / limits::FULL_SYNC_SECONDS
}

fn controller_rows(inputs: &Inputs) -> Vec<Row> {
    let routers = inputs.target.fleet.routers;
    vec![
        Row::steady(
            Role::ReleaseController,
            "connections",
            Unit::Count,
            Estimate::given(routers),
        )
        .by("`spokeflow-router`, `desk`; the controller is not ours"),
        Row::varying(
            Role::ReleaseController,
            "bytes, votes and counts",
            Unit::BytesPerSecond,
            |_| Estimate {
                missing: ["release controller: bytes by routers".to_string()].into(),
                ..Estimate::default()
            },
        )
        .by("`spokeflow-proto`, `ToDesk`, `FromDesk`"),
    ]
}

fn tool_rows(inputs: &Inputs) -> Vec<Row> {
    let offer = inputs.per_tenants(Role::Tool, encoded::TENANT_OFFER);
    let record = inputs.per_tenants(Role::Voter, encoded::TENANT_RECORD);
    let status = record.times(limits::MAX_REVISIONS);
    let frame = || {
        Budget::new(
            limits::CALLER_FRAME,
            "frame limit between a voter and a person",
        )
    };
    vec![
        Row::steady(
            Role::Tool,
            "offer that changes one tenant",
            Unit::Bytes,
            offer,
        )
        .within(frame())
        .by("`spokeflowctl propose`")
        .mended_by(Remedy::ChangesByTenant),
        Row::steady(
            Role::Tool,
            "answer to `status`, with 500 revisions",
            Unit::Bytes,
            status,
        )
        .within(frame())
        .by("`spokeflowctl status`")
        .mended_by(Remedy::ChangesByTenant)
        .reached_after(OFFER_FITS),
    ]
}
