//! Rows of the relay, the list source, the release controller and the operator's tool.

use super::super::encoded;
use super::super::estimate::Estimate;
use super::super::limits;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::situation::WindowLoad;
use super::control::PROPOSAL_FITS;
use super::{Inputs, BYTES_PER_MB};

pub(super) fn rows(inputs: &Inputs) -> Vec<Row> {
    let mut rows = relay_rows(inputs);
    rows.extend(source_rows(inputs));
    rows.extend(controller_rows(inputs));
    rows.extend(tool_rows(inputs));
    rows
}

/// Rows of the traffic into one region without and with a relay. No relay is implemented; the rows show how much
/// traffic between regions one would save.
fn relay_rows(inputs: &Inputs) -> Vec<Row> {
    let regions = inputs.target.fleet.regions;
    let routers = inputs.target.fleet.routers / regions;
    vec![
        Row::by_situation(
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
        Row::by_situation(
            Role::Relay,
            "the same to one relay",
            Unit::BytesPerSecond,
            |situation| {
                let load = inputs.load(situation);
                let starting_relays = if load.starting_routers >= inputs.target.fleet.routers {
                    1.0
                } else {
                    0.0
                };
                let lines = inputs.line_grants(load.host_lines);
                inputs.per_second(lines.plus(inputs.list_grant().times(starting_relays)))
            },
        ),
    ]
}

fn source_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    let network = target.assumptions.control_machine_mb_per_second * BYTES_PER_MB;
    let complete_list = inputs.per_hosts(Role::ListSource, encoded::LIST_MESSAGE);
    let watchers = target.fleet.routers + 1.0;
    const LIST_LINKS: &str =
        "`spokeflow-router`, `ListProtocol`; `spokeflow-control-plane`, `ListLink`; the source is not ours";
    vec![
        Row::by_situation(
            Role::ListSource,
            "bytes sent",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(source_bytes(inputs, &inputs.load(situation), watchers)),
        )
        .with_budget(Budget::new(
            network,
            "network of a control machine (assumed)",
        ))
        .carried_by(LIST_LINKS)
        .remedied_by(Remedy::OneListReader),
        Row::constant(
            Role::ListSource,
            "message with the whole host list",
            Unit::Bytes,
            complete_list,
        )
        .with_budget(Budget::new(
            limits::LIST_FRAME_BYTES,
            "frame limit of the list source",
        ))
        .carried_by(LIST_LINKS)
        .remedied_by(Remedy::ListInParts),
        Row::by_situation(
            Role::ListSource,
            "messages, each changed line told by itself",
            Unit::PerSecond,
            |situation| Estimate::given(source_messages(inputs, &inputs.load(situation), watchers)),
        )
        .carried_by(LIST_LINKS),
        Row::constant(
            Role::ListSource,
            "state kept, as encoded",
            Unit::Bytes,
            inputs.per_hosts(Role::ListSource, encoded::LIST_MESSAGE),
        )
        .carried_by(LIST_LINKS),
        Row::constant(
            Role::ListSource,
            "connections",
            Unit::Count,
            Estimate::given(watchers),
        )
        .carried_by(LIST_LINKS),
    ]
}

/// Returns the bytes that the list source sends in a window. The leader reads the whole list at a fixed interval, and
/// each router watches the list source in addition to the list that it gets from the voters.
fn source_bytes(inputs: &Inputs, load: &WindowLoad, watchers: f64) -> Estimate {
    let complete_list = inputs.per_hosts(Role::ListSource, encoded::LIST_MESSAGE);
    let line = inputs.per_hosts(Role::ListSource, encoded::HOST_MESSAGE);
    let full_reads = inputs.target.load.change_bound_seconds / limits::FULL_SYNC_SECONDS;
    complete_list
        .times(full_reads + load.starting_routers)
        .plus(line.times(load.host_lines * watchers))
}

/// Returns the messages per second of the list source: each changed line to each watcher, and request and answer of
/// each watch renewal and of each full read by the leader.
fn source_messages(inputs: &Inputs, load: &WindowLoad, watchers: f64) -> f64 {
    let changes = load.host_lines * watchers / inputs.target.load.change_bound_seconds;
    changes + 2.0 * watchers / limits::WATCH_RENEWAL_SECONDS + 2.0 / limits::FULL_SYNC_SECONDS
}

fn controller_rows(inputs: &Inputs) -> Vec<Row> {
    let routers = inputs.target.fleet.routers;
    vec![
        Row::constant(
            Role::ReleaseController,
            "connections",
            Unit::Count,
            Estimate::given(routers),
        )
        .carried_by("`spokeflow-router`, `desk`; the controller is not ours"),
        Row::by_situation(
            Role::ReleaseController,
            "bytes, votes and counts",
            Unit::BytesPerSecond,
            |_| Estimate {
                missing: ["release controller: bytes by routers".to_string()].into(),
                ..Estimate::default()
            },
        )
        .carried_by("`spokeflow-proto`, `ToDesk`, `FromDesk`"),
    ]
}

fn tool_rows(inputs: &Inputs) -> Vec<Row> {
    let proposal = inputs.per_tenants(Role::Tool, encoded::TENANT_PROPOSAL);
    let record = inputs.per_tenants(Role::Voter, encoded::TENANT_RECORD);
    let status = record.times(limits::MAX_REVISIONS);
    let frame = || {
        Budget::new(
            limits::CALLER_FRAME_BYTES,
            "frame limit between a voter and a person",
        )
    };
    vec![
        Row::constant(
            Role::Tool,
            "offer that changes one tenant",
            Unit::Bytes,
            proposal,
        )
        .with_budget(frame())
        .carried_by("`spokeflowctl propose`")
        .remedied_by(Remedy::ChangesByTenant),
        Row::constant(
            Role::Tool,
            "answer to `status`, with 500 revisions",
            Unit::Bytes,
            status,
        )
        .with_budget(frame())
        .carried_by("`spokeflowctl status`")
        .remedied_by(Remedy::ChangesByTenant)
        .reached_after(PROPOSAL_FITS),
    ]
}
