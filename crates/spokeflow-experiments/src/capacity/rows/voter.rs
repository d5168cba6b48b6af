//! Rows of the voters: leases, the log and the replicated state.

use super::super::encoded;
use super::super::estimate::{Estimate, Need};
use super::super::limits;
use super::super::records::Role;
use super::super::remedy::Remedy;
use super::super::row::{Budget, Row, Unit};
use super::super::situation::WindowLoad;
use super::control::{scale_run_estimate, PROPOSAL_FITS};
use super::{Inputs, BYTES_PER_MB};

const CONTROL_PLANE: &str = "`spokeflow-control-plane`; `spokeflow-coordination`, `Coordinator`";
const LEASES: &str = "`spokeflow-coordination`, `LeaseGranter`";
const CONFIG_STATE: &str = "`spokeflow-coordination`, `ConfigState`";
const LOG: &str = "`spokeflow-raft`, `RaftNode`";
/// Largest fraction of the time for which changes may be pending: they are announced one at a time.
const MAX_PENDING_FRACTION: f64 = 1.0;

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

/// Rows of the bytes on the links of the leader.
fn byte_rows(inputs: &Inputs) -> Vec<Row> {
    let network = || {
        let bytes = inputs.target.assumptions.control_machine_mb_per_second * BYTES_PER_MB;
        Budget::new(bytes, "network of a control machine (assumed)")
    };
    vec![
        Row::by_situation(
            Role::VoterLeader,
            "bytes sent without changes of settings",
            Unit::BytesPerSecond,
            |situation| {
                inputs.per_second(bytes_sent_without_changes(inputs, &inputs.load(situation)))
            },
        )
        .with_budget(network())
        .carried_by(LEASES)
        .remedied_by(Remedy::RelayPerRegion),
        Row::by_situation(
            Role::VoterLeader,
            "bytes sent for changes of one tenant each",
            Unit::BytesPerSecond,
            |situation| inputs.per_second(bytes_sent_for_changes(inputs, &inputs.load(situation))),
        )
        .with_budget(network())
        .carried_by(LEASES)
        .remedied_by(Remedy::ChangesByTenant)
        .reached_after(PROPOSAL_FITS),
        Row::constant(
            Role::VoterLeader,
            "bytes received in renewals",
            Unit::BytesPerSecond,
            renewal_bytes_received(inputs),
        )
        .with_budget(network())
        .carried_by(LEASES)
        .remedied_by(Remedy::LeaseInBatches),
    ]
}

/// Rows of the lease messages and of the work for them.
fn message_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    vec![
        Row::by_situation(
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
        .carried_by(LEASES),
        Row::constant(
            Role::VoterLeader,
            "instructions of the granter for renewals",
            Unit::PerSecond,
            renewal_instructions(inputs),
        )
        .carried_by(LEASES),
        Row::constant(
            Role::VoterFollower,
            "messages of leases, its own callers' and to the leader",
            Unit::PerSecond,
            Estimate::given(forwarded_messages(inputs)),
        )
        .carried_by("`spokeflow-coordination`, `Coordinator::forward`"),
    ]
}

/// Rows of the connections and of the largest message between voters.
fn caller_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    let callers = Budget::new(
        inputs.target.terms.callers_at_most,
        "callers of one voter, `--callers-at-most`",
    );
    let voters = Budget::new(limits::VOTER_FRAME_BYTES, "frame limit between voters");
    let connections = target.fleet.routers + 2.0 * (target.terms.voters - 1.0);
    vec![
        Row::constant(
            Role::VoterFollower,
            "connections",
            Unit::Count,
            Estimate::given(routers_of_one_voter(inputs) + 2.0 * other_voters(inputs)),
        )
        .with_budget(callers.clone())
        .carried_by(CONTROL_PLANE),
        Row::by_situation(
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
                log_entry_bytes(inputs).times(entries)
            },
        )
        .with_budget(voters)
        .carried_by(LOG)
        .remedied_by(Remedy::ChangesByTenant)
        .reached_after(PROPOSAL_FITS),
        Row::constant(
            Role::VoterLeader,
            "connections, all routers at one voter",
            Unit::Count,
            Estimate::given(connections),
        )
        .with_budget(callers)
        .carried_by(CONTROL_PLANE)
        .remedied_by(Remedy::RelayPerRegion),
    ]
}

/// Rows of the limits of the leader.
fn limit_rows(inputs: &Inputs) -> Vec<Row> {
    let target = inputs.target;
    let leases = Budget::new(limits::MAX_LEASES, "leases that a leader keeps in mind");
    vec![
        Row::constant(
            Role::VoterLeader,
            "leases kept",
            Unit::Count,
            Estimate::given(target.fleet.routers),
        )
        .with_budget(leases)
        .carried_by(LEASES)
        .remedied_by(Remedy::LeaseInBatches),
        Row::by_situation(
            Role::VoterLeader,
            "part of the time that a change is under way",
            Unit::Count,
            |situation| Estimate::given(pending_fraction(inputs, &inputs.load(situation))),
        )
        .with_budget(Budget::new(
            MAX_PENDING_FRACTION,
            "changes are announced one at a time",
        ))
        .carried_by("`spokeflow-coordination`, `ConfigState::pending`")
        .remedied_by(Remedy::ManyChangesAtOnce),
    ]
}

fn state_rows(inputs: &Inputs) -> Vec<Row> {
    let state = config_state_bytes(inputs);
    let memory = inputs.target.assumptions.control_machine_mb * BYTES_PER_MB;
    vec![
        Row::constant(
            Role::Voter,
            "state kept: host list and 500 revisions",
            Unit::Bytes,
            state.clone(),
        )
        .with_budget(Budget::new(memory, "memory of a control machine (assumed)"))
        .carried_by(CONFIG_STATE)
        .remedied_by(Remedy::ChangesByTenant)
        .reached_after(PROPOSAL_FITS),
        Row::constant(
            Role::Voter,
            "one message with a snapshot of that state",
            Unit::Bytes,
            state,
        )
        .with_budget(Budget::new(
            limits::VOTER_FRAME_BYTES,
            "frame limit between voters",
        ))
        .carried_by(CONFIG_STATE)
        .remedied_by(Remedy::ChangesByTenant)
        .reached_after(PROPOSAL_FITS),
        Row::constant(
            Role::Voter,
            "one message with a snapshot of the host list",
            Unit::Bytes,
            inputs.per_hosts(Role::Voter, encoded::LIST_STATE),
        )
        .with_budget(Budget::new(
            limits::VOTER_FRAME_BYTES,
            "frame limit between voters",
        ))
        .carried_by(CONFIG_STATE)
        .remedied_by(Remedy::ListInParts),
        Row::by_situation(
            Role::Voter,
            "bytes synced to disk by changes of one tenant each",
            Unit::BytesPerSecond,
            |situation| {
                inputs.per_second(log_entry_bytes(inputs).times(inputs.load(situation).changes))
            },
        )
        .carried_by("`spokeflow-control-plane`, `Store`")
        .reached_after(PROPOSAL_FITS),
    ]
}

fn process_rows(inputs: &Inputs) -> Vec<Row> {
    let assumed = &inputs.target.assumptions;
    let rows = [Role::VoterLeader, Role::VoterFollower].map(|role| {
        [
            Row::by_situation(role, "processor", Unit::Cores, |situation| {
                scale_run_estimate(inputs, role, "processor_share", situation)
            })
            .with_budget(Budget::new(
                assumed.voter_cores,
                "cores that a voter's one thread can use (assumed)",
            ))
            .carried_by(CONTROL_PLANE)
            .remedied_by(Remedy::RelayPerRegion),
            Row::by_situation(role, "memory", Unit::Bytes, |situation| {
                scale_run_estimate(inputs, role, "memory_peak", situation)
            })
            .with_budget(Budget::new(
                assumed.control_machine_mb * BYTES_PER_MB,
                "memory of a control machine (assumed)",
            ))
            .carried_by(CONTROL_PLANE)
            .remedied_by(Remedy::RelayPerRegion),
            Row::by_situation(
                role,
                "bytes sent, measured on its links",
                Unit::BytesPerSecond,
                |situation| scale_run_estimate(inputs, role, "bytes_sent", situation),
            )
            .with_budget(Budget::new(
                assumed.control_machine_mb_per_second * BYTES_PER_MB,
                "network of a control machine (assumed)",
            ))
            .carried_by(CONTROL_PLANE)
            .remedied_by(Remedy::RelayPerRegion),
        ]
    });
    rows.into_iter().flatten().collect()
}

/// Returns the bytes that the leader sends in a window to all routers and to the other voters, without changes of
/// settings.
fn bytes_sent_without_changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
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
        .times(load.host_lines * other_voters(inputs));
    let rejoins = missed_lines.times(load.rejoining_routers);
    inputs
        .renewal_answer()
        .times(renewals)
        .plus(list_lines)
        .plus(starts)
        .plus(rejoins)
        .plus(log)
}

/// Returns the bytes that the leader sends in a window for changes of settings.
fn bytes_sent_for_changes(inputs: &Inputs, load: &WindowLoad) -> Estimate {
    let routers_without_newest_revision = load.starting_routers + load.rejoining_routers;
    let grants = load.changes * inputs.target.fleet.routers + routers_without_newest_revision;
    let log = log_entry_bytes(inputs).times(load.changes * other_voters(inputs));
    inputs.change_grant().times(grants).plus(log)
}

/// Returns the bytes per second of lease renewals that the leader receives.
fn renewal_bytes_received(inputs: &Inputs) -> Estimate {
    inputs
        .renewal_request()
        .times(inputs.renewals_per_second() * inputs.target.fleet.routers)
}

/// Returns the bytes of a log entry with a change of one tenant's share.
fn log_entry_bytes(inputs: &Inputs) -> Estimate {
    inputs.per_tenants(Role::Voter, encoded::TENANT_ENTRY)
}

fn config_state_bytes(inputs: &Inputs) -> Estimate {
    let record = inputs.per_tenants(Role::Voter, encoded::TENANT_RECORD);
    // The revision in force is stored in addition to its record.
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

/// Returns the number of routers connected to one voter if they are spread evenly.
fn routers_of_one_voter(inputs: &Inputs) -> f64 {
    (inputs.target.fleet.routers / inputs.target.terms.voters).ceil()
}

/// Returns the lease messages per second of a follower: each request and answer is exchanged with the router and
/// forwarded to and from the leader.
fn forwarded_messages(inputs: &Inputs) -> f64 {
    4.0 * routers_of_one_voter(inputs) * inputs.renewals_per_second()
}

/// Returns the number of voters other than the leader.
fn other_voters(inputs: &Inputs) -> f64 {
    inputs.target.terms.voters - 1.0
}

/// Returns the largest fraction of the time for which a change can be pending: each change waits for at most one lease.
fn pending_fraction(inputs: &Inputs, load: &WindowLoad) -> f64 {
    let terms = &inputs.target.terms;
    let longest_wait = terms.lease_seconds * (1.0 + terms.clock_drift);
    load.changes * longest_wait / inputs.target.load.change_bound_seconds
}
