//! The leading voter: leases, the log, the replicated state.

use super::super::encoded;
use super::super::estimate::{Estimate, Need};
use super::super::limits;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::situation::WindowLoad;
use super::control::{scale_run, OFFER_FITS};
use super::{Inputs, BYTES_PER_MB};

const CONTROL_PLANE: &str = "`spokeflow-control-plane`; `spokeflow-coordination`, `Coordinator`";
const LEASES: &str = "`spokeflow-coordination`, `LeaseGranter`";
const LEDGER: &str = "`spokeflow-coordination`, `ConfigState`";
const LOG: &str = "`spokeflow-raft`, `RaftNode`";
/// The part of a second that changes may be under way, one at a time.
const ALL_THE_TIME: f64 = 1.0;

pub(super) fn rows(inputs: &Inputs) -> Vec<Row> {
    let mut rows = link_rows(inputs);
    rows.extend(state_rows(inputs));
    rows.extend(process_rows(inputs));
    rows
}

fn link_rows(inputs: &Inputs) -> Vec<Row> {
    let mut rows = byte_rows(inputs);
    rows.extend(message_rows(inputs));
    rows.extend(caller_rows(inputs));
    rows.extend(limit_rows(inputs));
    rows
}

/// Bytes on the links of the leader.
fn byte_rows(inputs: &Inputs) -> Vec<Row> {
    let network = || {
        let bytes = inputs.target.assumptions.control_machine_mb_per_second * BYTES_PER_MB;
        Budget::new(bytes, "network of a control machine (assumed)")
    };
    vec![
        Row::varying(
            Role::VoterLeader,
            "bytes sent without changes of settings",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(sent_without_changes(inputs, &inputs.load(situation))),
        )
        .within(network())
        .by(LEASES)
        .mended_by(Remedy::RelayPerRegion),
        Row::varying(
            Role::VoterLeader,
            "bytes sent for changes of one tenant each",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(sent_for_changes(inputs, &inputs.load(situation))),
        )
        .within(network())
        .by(LEASES)
        .mended_by(Remedy::ChangesByTenant)
        .reached_after(OFFER_FITS),
        Row::steady(
            Role::VoterLeader,
            "bytes received in renewals",
            Unit::BytesPerSecond,
            received(inputs),
        )
        .within(network())
        .by(LEASES)
        .mended_by(Remedy::LeaseInBatches),
    ]
}

/// Messages of leases, and the work for them.
fn message_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    vec![
        Row::varying(
            Role::VoterLeader,
            "messages of leases",
            Unit::PerSecond,
            |situation| {
                let changes = inputs.load(situation).changes / target.load.change_bound_seconds;
                Estimate::given(
                    2.0 * target.fleet.routers * (inputs.renewals_per_second() + changes),
                )
            },
        )
        .by(LEASES),
        Row::steady(
            Role::VoterLeader,
            "instructions of the granter for renewals",
            Unit::PerSecond,
            renewal_instructions(inputs),
        )
        .by(LEASES),
        Row::steady(
            Role::VoterFollower,
            "messages of leases, its own callers' and to the leader",
            Unit::PerSecond,
            Estimate::given(forwarded_messages(inputs)),
        )
        .by("`spokeflow-coordination`, `Coordinator::forward`"),
    ]
}

/// Connections, and the largest message between voters.
fn caller_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    let callers = Budget::new(
        inputs.target.terms.callers_at_most,
        "callers of one voter, `--callers-at-most`",
    );
    let voters = Budget::new(limits::VOTER_FRAME, "frame limit between voters");
    let connections = target.fleet.routers + 2.0 * (target.terms.voters - 1.0);
    vec![
        Row::steady(
            Role::VoterFollower,
            "connections",
            Unit::Count,
            Estimate::given(routers_of_one_voter(inputs) + 2.0 * others(inputs)),
        )
        .within(callers.clone())
        .by(CONTROL_PLANE),
        Row::varying(
            Role::VoterLeader,
            "one message that catches a voter up",
            Unit::Bytes,
            |situation| {
                let load = inputs.load(situation);
                let entries = load
                    .changes
                    .max(load.missed_changes)
                    .clamp(1.0, limits::ENTRIES_PER_MESSAGE)
                    .round();
                entry(inputs).times(entries)
            },
        )
        .within(voters)
        .by(LOG)
        .mended_by(Remedy::ChangesByTenant)
        .reached_after(OFFER_FITS),
        Row::steady(
            Role::VoterLeader,
            "connections, all routers at one voter",
            Unit::Count,
            Estimate::given(connections),
        )
        .within(callers)
        .by(CONTROL_PLANE)
        .mended_by(Remedy::RelayPerRegion),
    ]
}

/// Limits of the leader.
fn limit_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    let leases = Budget::new(limits::MAX_LEASES, "leases that a leader keeps in mind");
    vec![
        Row::steady(
            Role::VoterLeader,
            "leases kept",
            Unit::Count,
            Estimate::given(target.fleet.routers),
        )
        .within(leases)
        .by(LEASES)
        .mended_by(Remedy::LeaseInBatches),
        Row::varying(
            Role::VoterLeader,
            "part of the time that a change is under way",
            Unit::Count,
            |situation| Estimate::given(change_time_fraction(inputs, &inputs.load(situation))),
        )
        .within(Budget::new(
            ALL_THE_TIME,
            "changes are announced one at a time",
        ))
        .by("`spokeflow-coordination`, `ConfigState::pending`")
        .mended_by(Remedy::ManyChangesAtOnce),
    ]
}

fn state_rows(inputs: &Inputs) -> Vec<Row> {
    let state = ledger_state(inputs);
    let memory = inputs.target.assumptions.control_machine_mb * BYTES_PER_MB;
    vec![
        Row::steady(
            Role::Voter,
            "state kept: host list and 500 revisions",
            Unit::Bytes,
            state.clone(),
        )
        .within(Budget::new(memory, "memory of a control machine (assumed)"))
        .by(LEDGER)
        .mended_by(Remedy::ChangesByTenant)
        .reached_after(OFFER_FITS),
        Row::steady(
            Role::Voter,
            "one message with a snapshot of that state",
            Unit::Bytes,
            state,
        )
        .within(Budget::new(
            limits::VOTER_FRAME,
            "frame limit between voters",
        ))
        .by(LEDGER)
        .mended_by(Remedy::ChangesByTenant)
        .reached_after(OFFER_FITS),
        Row::steady(
            Role::Voter,
            "one message with a snapshot of the host list",
            Unit::Bytes,
            inputs.per_hosts(Role::Voter, encoded::LIST_STATE),
        )
        .within(Budget::new(
            limits::VOTER_FRAME,
            "frame limit between voters",
        ))
        .by(LEDGER)
        .mended_by(Remedy::ListInParts),
        Row::varying(
            Role::Voter,
            "bytes synced to disk by changes of one tenant each",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(entry(inputs).times(inputs.load(situation).changes)),
        )
        .by("`spokeflow-control-plane`, `Store`")
        .reached_after(OFFER_FITS),
    ]
}

fn process_rows(inputs: &Inputs) -> Vec<Row> {
    let assumed = &inputs.target.assumptions;
    let rows = [Role::VoterLeader, Role::VoterFollower].map(|role| {
        [
            Row::varying(role, "processor", Unit::Cores, |situation| {
                scale_run(inputs, role, "processor_share", situation)
            })
            .within(Budget::new(
                assumed.voter_cores,
                "cores that a voter's one thread can use (assumed)",
            ))
            .by(CONTROL_PLANE)
            .mended_by(Remedy::RelayPerRegion),
            Row::varying(role, "memory", Unit::Bytes, |situation| {
                scale_run(inputs, role, "memory_peak", situation)
            })
            .within(Budget::new(
                assumed.control_machine_mb * BYTES_PER_MB,
                "memory of a control machine (assumed)",
            ))
            .by(CONTROL_PLANE)
            .mended_by(Remedy::RelayPerRegion),
            Row::varying(
                role,
                "bytes sent, measured on its links",
                Unit::BytesPerSecond,
                |situation| scale_run(inputs, role, "bytes_sent", situation),
            )
            .within(Budget::new(
                assumed.control_machine_mb_per_second * BYTES_PER_MB,
                "network of a control machine (assumed)",
            ))
            .by(CONTROL_PLANE)
            .mended_by(Remedy::RelayPerRegion),
        ]
    });
    rows.into_iter().flatten().collect()
}

/// Bytes in a window, to all routers and to the other voters.
fn sent_without_changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
    let target = inputs.target;
    let renewals =
        inputs.renewals_per_second() * target.load.change_bound_seconds * target.fleet.routers;
    let list_lines = inputs
        .line_grants(load.host_lines)
        .times(target.fleet.routers);
    let starts = inputs.list_grant().times(load.starting_routers);
    let missed_lines = inputs.line_grants(load.missed_host_lines.min(limits::MAX_LIST_CHANGES));
    let log = inputs
        .per_hosts(Role::Voter, encoded::HOST_ENTRY)
        .times(load.host_lines * others(inputs));
    let rejoins = missed_lines.times(load.rejoining_routers);
    inputs
        .renewal_answer()
        .times(renewals)
        .plus(list_lines)
        .plus(starts)
        .plus(rejoins)
        .plus(log)
}

fn sent_for_changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
    let lack_one = load.starting_routers + load.rejoining_routers;
    let grants = load.changes * inputs.target.fleet.routers + lack_one;
    let log = entry(inputs).times(load.changes * others(inputs));
    inputs.change_grant().times(grants).plus(log)
}

fn received(inputs: &Inputs) -> Estimate {
    inputs
        .renewal_request()
        .times(inputs.renewals_per_second() * inputs.target.fleet.routers)
}

fn entry(inputs: &Inputs) -> Estimate {
    inputs.per_tenants(Role::Voter, encoded::TENANT_ENTRY)
}

fn ledger_state(inputs: &Inputs) -> Estimate {
    let record = inputs.per_tenants(Role::Voter, encoded::TENANT_RECORD);
    // The revision in force is kept beside its record.
    let revisions = record.times(limits::MAX_REVISIONS + 1.0);
    inputs
        .per_hosts(Role::Voter, encoded::LIST_STATE)
        .plus(revisions)
}

fn renewal_instructions(inputs: &Inputs) -> Estimate {
    let quantity = "processor work of one lease request in Granter::ask";
    let need = Need {
        role: Role::Voter,
        quantity,
        phase: "peace",
        per: "routers",
    };
    let routers = inputs.target.fleet.routers;
    inputs
        .measured(need, routers)
        .times(inputs.renewals_per_second() * routers)
}

/// Routers that ask one voter, where each voter has as many.
fn routers_of_one_voter(inputs: &Inputs) -> f64 {
    (inputs.target.fleet.routers / inputs.target.terms.voters).ceil()
}

/// A request and an answer from and to a router, and the same to and from the leader.
fn forwarded_messages(inputs: &Inputs) -> f64 {
    4.0 * routers_of_one_voter(inputs) * inputs.renewals_per_second()
}

/// Voters beside the leader.
fn others(inputs: &Inputs) -> f64 {
    inputs.target.terms.voters - 1.0
}

/// At the longest: each change waits for one lease.
fn change_time_fraction(inputs: &Inputs, load: &WindowLoad) -> f64 {
    let terms = &inputs.target.terms;
    let longest = terms.lease_seconds * (1.0 + terms.clock_drift);
    load.changes * longest / inputs.target.load.change_bound_seconds
}
