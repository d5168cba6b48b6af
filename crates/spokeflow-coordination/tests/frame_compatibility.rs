//! Compatibility of the control protocol and of durable records with commit d62ab1d: the current code must read and
//! write the same bytes.
//!
//! `fixtures/d62ab1d/frames.txt` has one message per line: its name at that commit, then the whole frame (length and
//! body) in hexadecimal digits. `fixtures/d62ab1d/records.txt` has the records of the log and its snapshots in the same
//! form, without a length: commands, and the state after a sequence of commands. Each line is decoded and compared with
//! a value that is written out here, and that value must encode to the same bytes. No two fields of a value hold the
//! same number, so that swapped fields are noticed. The names are those of d62ab1d and stay when a type is renamed.
//!
//! The file is long because every message and record is written out with all its fields.

use std::collections::BTreeSet;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_coordination::wire::{
    Caller, ClusterParameters, ClusterStatus, FromNode, Refusal, Request, Response, ToNode,
};
use spokeflow_coordination::{
    ConfigState, EndpointListUpdate, HostState, KnownRevisions, LeaseGrant, LeaseRequest,
    ListVersion, ListedHost, LogCommand, Overrides, Proposal, ProposalOutcome, Rejection, Revision,
    RevisionNumber, RevisionRecord, RevisionRef, SourceUpdate, VoterAddresses,
};
use spokeflow_raft::{AppendOutcome, Entry, LogIndex, Message, NodeId, Payload, Snapshot, Term};

const FRAMES: &str = include_str!("fixtures/d62ab1d/frames.txt");
const RECORDS: &str = include_str!("fixtures/d62ab1d/records.txt");

/// A value, and the name of its line in the fixture file.
type Named<Value> = (&'static str, Value);

fn bytes_of(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    pairs.map(byte).collect()
}

/// Returns the names and bytes of all lines whose name starts with this type name.
fn lines_of(file: &'static str, type_name: &str) -> Vec<Named<Vec<u8>>> {
    let lines = file.lines().map(|line| line.split_once(' ').unwrap());
    let of_type = lines.filter(|(name, _)| name.split("::").next() == Some(type_name));
    of_type
        .map(|(name, digits)| (name, bytes_of(digits)))
        .collect()
}

/// Returns the body of a frame, after checking its length against the first four bytes.
fn body_of(frame: &[u8]) -> &[u8] {
    let (length, body) = frame.split_first_chunk::<4>().unwrap();
    assert_eq!(
        u32::from_be_bytes(*length) as usize,
        body.len(),
        "length of the frame's body"
    );
    body
}

/// Returns the bodies of all frames of this type.
fn bodies_of(type_name: &str) -> Vec<Named<Vec<u8>>> {
    let frames = lines_of(FRAMES, type_name);
    frames
        .iter()
        .map(|(name, frame)| (*name, body_of(frame).to_vec()))
        .collect()
}

/// Checks that each stored value, in the order of the file, decodes to the expected one, and encodes to the same bytes.
fn check_values<Value>(stored: &[Named<Vec<u8>>], expected: &[Named<Value>])
where
    Value: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let names: Vec<&str> = stored.iter().map(|line| line.0).collect();
    let expected_names: Vec<&str> = expected.iter().map(|named| named.0).collect();
    assert_eq!(names, expected_names);
    for ((name, bytes), (_, value)) in stored.iter().zip(expected) {
        let (read, rest) = postcard::take_from_bytes::<Value>(bytes).unwrap();
        assert_eq!(&read, value, "{name}");
        assert!(
            rest.is_empty(),
            "{name}: {} bytes follow the value",
            rest.len()
        );
        assert_eq!(&postcard::to_stdvec(value).unwrap(), bytes, "{name}");
    }
}

/// Checks that each value is of the variant that its name says. The functions that return a variant's name match
/// without a wildcard arm, so that a new variant does not compile before it is named there.
fn check_names<Value>(expected: &[Named<Value>], name_of: impl Fn(&Value) -> &'static str) {
    for (name, value) in expected {
        let rest = name.strip_prefix(name_of(value));
        assert!(
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
            "{name}"
        );
    }
}

/// Checks that the stored values cover all variants whose number follows `prefix`: decoding must fail for the number
/// after the greatest one.
fn check_all_variants<Value>(stored: &[Named<Vec<u8>>], prefix: &[u8])
where
    Value: DeserializeOwned + Debug,
{
    let variants = stored
        .iter()
        .filter_map(|line| line.1.strip_prefix(prefix)?.first().copied());
    let variants: BTreeSet<u8> = variants.collect();
    let count = variants.len() as u8;
    assert!(
        count > 0 && variants.into_iter().eq(0..count),
        "stored variants after {prefix:?} are not consecutive from 0"
    );
    let next = [prefix, &[count]].concat();
    let error = postcard::from_bytes::<Value>(&next).unwrap_err();
    assert_ne!(
        error,
        postcard::Error::DeserializeUnexpectedEnd,
        "variant {count} after {prefix:?} exists and is not stored"
    );
}

fn parameters() -> ClusterParameters {
    ClusterParameters {
        fleet: 1_001,
        election_timeout_us: 1_002,
        lease_us: 1_003,
        max_clock_drift: 0.25,
    }
}

fn address(node: u32) -> (NodeId, String) {
    (NodeId(node), format!("10.0.0.{node}:7500"))
}

fn values(name: &str, value: &str) -> Overrides {
    Overrides::from([(name.to_string(), value.to_string())])
}

fn revision(number: u64) -> Revision {
    Revision {
        number: RevisionNumber(number),
        values: values("delivery-cap", &number.to_string()),
    }
}

fn proposal() -> Proposal {
    Proposal {
        token: 1_001,
        base: RevisionNumber(1_002),
        who: "ann".into(),
        why: "slower stages".into(),
        at_s: 1_003,
        values: values("stage-cap", "0.05,1"),
    }
}

fn host(host: u32, state: HostState) -> ListedHost {
    ListedHost {
        host,
        address: "10.0.0.9:7600".into(),
        build: Some(302),
        cell: 303,
        zone: 304,
        state,
        incarnation: 1_005,
        up_us: Some(1_006),
    }
}

fn host_without_options() -> ListedHost {
    ListedHost {
        build: None,
        up_us: None,
        ..host(70_004, HostState::Ready)
    }
}

fn hosts_in_each_state() -> Vec<ListedHost> {
    vec![
        host(70_001, HostState::Gone),
        host(70_002, HostState::Ready),
        host(70_003, HostState::Draining),
        host_without_options(),
    ]
}

/// Returns the name of the variant. A new variant does not compile here, as a reminder to add it to
/// [`hosts_in_each_state`].
fn name_of_state(state: HostState) -> &'static str {
    match state {
        HostState::Gone => "Gone",
        HostState::Ready => "Ready",
        HostState::Draining => "Draining",
    }
}

fn caller() -> Caller {
    Caller::Node {
        id: NodeId(301),
        start: 1_002,
        processes: vec![1_003, 1_004],
        parameters: parameters(),
        addresses: vec![address(5), address(6)],
    }
}

fn hello(caller: Caller) -> ToNode {
    ToNode::Hello {
        magic: *b"SPKK",
        version: 1,
        caller,
    }
}

fn entries_of_each_payload() -> Vec<Entry> {
    vec![
        Entry {
            term: Term(1_011),
            payload: Payload::Noop,
        },
        Entry {
            term: Term(1_012),
            payload: Payload::Command(vec![7, 8, 9]),
        },
        Entry {
            term: Term(1_013),
            payload: Payload::Membership(vec![NodeId(5), NodeId(6)]),
        },
    ]
}

/// Returns the name of the variant at d62ab1d. A new variant does not compile here, as a reminder to add it to
/// [`entries_of_each_payload`].
fn name_of_payload(payload: &Payload) -> &'static str {
    match payload {
        Payload::Noop => "Begin",
        Payload::Command(_) => "Act",
        Payload::Membership(_) => "Members",
    }
}

fn append() -> Message {
    Message::AppendEntries {
        term: Term(1_001),
        prev_log_index: LogIndex(1_002),
        prev_log_term: Term(1_003),
        entries: entries_of_each_payload(),
        leader_commit: LogIndex(1_004),
        round: 1_005,
    }
}

fn install() -> Message {
    let snapshot = Snapshot {
        last_included_index: LogIndex(1_002),
        term: Term(1_003),
        voters: vec![NodeId(5), NodeId(6)],
        state: vec![1, 2, 3],
    };
    Message::InstallSnapshot {
        term: Term(1_001),
        snapshot,
        round: 1_004,
    }
}

fn append_response(outcome: AppendOutcome) -> ToNode {
    ToNode::Raft(Message::AppendEntriesResponse {
        term: Term(1_001),
        round: 1_002,
        outcome,
    })
}

fn lease_request(list: Option<ListVersion>) -> LeaseRequest {
    LeaseRequest {
        process: 1_001,
        router: 70_002,
        known_revisions: KnownRevisions {
            in_force: RevisionNumber(1_003),
            newest: RevisionNumber(1_004),
        },
        applied_revision: RevisionNumber(1_005),
        voters_fingerprint: 1_006,
        list,
    }
}

fn request(request: Request) -> ToNode {
    ToNode::Request { number: 5, request }
}

fn hellos() -> Vec<Named<ToNode>> {
    vec![
        ("ToKeeper::Hello/Keeper", hello(caller())),
        (
            "ToKeeper::Hello/Router",
            hello(Caller::Router { index: 70_001 }),
        ),
        ("ToKeeper::Hello/Person", hello(Caller::Operator)),
    ]
}

fn raft_messages() -> Vec<Named<ToNode>> {
    let (term, last, last_log_term) = (Term(1_001), LogIndex(1_002), Term(1_003));
    let vote = |pre_vote, granted| {
        ToNode::Raft(Message::VoteResponse {
            term,
            pre_vote,
            granted,
        })
    };
    vec![
        (
            "ToKeeper::Quorum/Sound",
            ToNode::Raft(Message::PreVote {
                term,
                last_log_index: last,
                last_log_term,
            }),
        ),
        (
            "ToKeeper::Quorum/Stand",
            ToNode::Raft(Message::RequestVote {
                term,
                last_log_index: last,
                last_log_term,
            }),
        ),
        ("ToKeeper::Quorum/Vote/sounded", vote(true, false)),
        ("ToKeeper::Quorum/Vote/granted", vote(false, true)),
        ("ToKeeper::Quorum/Append", ToNode::Raft(append())),
        (
            "ToKeeper::Quorum/Appended/agrees",
            append_response(AppendOutcome::Matched(LogIndex(1_003))),
        ),
        (
            "ToKeeper::Quorum/Appended/differs",
            append_response(AppendOutcome::Mismatched(LogIndex(1_004))),
        ),
        ("ToKeeper::Quorum/Install", ToNode::Raft(install())),
    ]
}

fn requests() -> Vec<Named<ToNode>> {
    let (node, address) = address(5);
    vec![
        (
            "ToKeeper::Ask/Lease/with-list",
            request(Request::Lease(lease_request(Some(ListVersion(1_007))))),
        ),
        (
            "ToKeeper::Ask/Lease/without-list",
            request(Request::Lease(lease_request(None))),
        ),
        ("ToKeeper::Ask/Offer", request(Request::Propose(proposal()))),
        ("ToKeeper::Ask/View", request(Request::Status)),
        (
            "ToKeeper::Ask/SetAddress",
            request(Request::SetAddress { node, address }),
        ),
        ("ToKeeper::Ask/TrustList", request(Request::TrustList)),
        (
            "ToKeeper::Ask/Members",
            request(Request::ChangeVoters(vec![NodeId(6), NodeId(7)])),
        ),
    ]
}

fn to_node() -> Vec<Named<ToNode>> {
    [hellos(), raft_messages(), requests()].concat()
}

fn name_of_to_node(message: &ToNode) -> &'static str {
    match message {
        ToNode::Hello { caller, .. } => match caller {
            Caller::Node { .. } => "ToKeeper::Hello/Keeper",
            Caller::Router { .. } => "ToKeeper::Hello/Router",
            Caller::Operator => "ToKeeper::Hello/Person",
        },
        ToNode::Raft(message) => match message {
            Message::PreVote { .. } => "ToKeeper::Quorum/Sound",
            Message::RequestVote { .. } => "ToKeeper::Quorum/Stand",
            Message::VoteResponse { .. } => "ToKeeper::Quorum/Vote",
            Message::AppendEntries { .. } => "ToKeeper::Quorum/Append",
            Message::AppendEntriesResponse { .. } => "ToKeeper::Quorum/Appended",
            Message::InstallSnapshot { .. } => "ToKeeper::Quorum/Install",
        },
        ToNode::Request { request, .. } => match request {
            Request::Lease(_) => "ToKeeper::Ask/Lease",
            Request::Propose(_) => "ToKeeper::Ask/Offer",
            Request::Status => "ToKeeper::Ask/View",
            Request::SetAddress { .. } => "ToKeeper::Ask/SetAddress",
            Request::TrustList => "ToKeeper::Ask/TrustList",
            Request::ChangeVoters(_) => "ToKeeper::Ask/Members",
        },
    }
}

fn complete_grant() -> LeaseGrant {
    LeaseGrant {
        in_force: RevisionRef {
            number: RevisionNumber(1_001),
            revision: Some(revision(1_001)),
        },
        pending: Some(RevisionRef {
            number: RevisionNumber(1_002),
            revision: None,
        }),
        voters: Some(VoterAddresses {
            fingerprint: 1_003,
            addresses: vec!["10.0.0.5:7500".into()],
        }),
        list: Some(EndpointListUpdate {
            version: ListVersion(1_004),
            complete: true,
            hosts: hosts_in_each_state(),
        }),
    }
}

fn grant_without_options() -> LeaseGrant {
    let in_force = RevisionRef {
        number: RevisionNumber(1_001),
        revision: None,
    };
    LeaseGrant {
        in_force,
        pending: None,
        voters: None,
        list: None,
    }
}

fn records() -> Vec<RevisionRecord> {
    let record = |number, in_force_s| RevisionRecord {
        revision: revision(number),
        who: "ann".into(),
        why: "slower stages".into(),
        proposed_s: 1_101,
        in_force_s,
    };
    vec![record(1_004, Some(1_102)), record(1_005, None)]
}

fn status(list_rejection: Option<Rejection>) -> ClusterStatus {
    ClusterStatus {
        leader: NodeId(301),
        term: Term(1_002),
        committed: LogIndex(1_003),
        in_force: revision(1_004),
        pending: Some(revision(1_005)),
        history: records(),
        voters: vec![NodeId(5), NodeId(6)],
        addresses: vec![address(5), address(6)],
        leases: 1_006,
        list: 1_007,
        list_source: 1_008,
        hosts: 1_009,
        list_rejection,
        up_to_date_leases: 1_010,
    }
}

fn status_without_options() -> ClusterStatus {
    ClusterStatus {
        pending: None,
        ..status(None)
    }
}

fn response(response: Response) -> FromNode {
    FromNode::Response {
        number: 5,
        response,
    }
}

fn refused(why: Refusal) -> FromNode {
    FromNode::Refused {
        why,
        text: "refused".into(),
    }
}

fn openings() -> Vec<Named<FromNode>> {
    let welcome = FromNode::Welcome {
        node: NodeId(301),
        parameters: parameters(),
    };
    vec![
        ("FromKeeper::Welcome", welcome),
        ("FromKeeper::Refused/Version", refused(Refusal::Version)),
        (
            "FromKeeper::Refused/OutOfOrder",
            refused(Refusal::OutOfOrder),
        ),
        (
            "FromKeeper::Refused/Terms",
            refused(Refusal::ConfigMismatch),
        ),
        ("FromKeeper::Refused/OldDisk", refused(Refusal::StaleStore)),
        (
            "FromKeeper::Refused/Full",
            refused(Refusal::TooManyConnections),
        ),
    ]
}

fn responses_to_proposals() -> Vec<Named<FromNode>> {
    let proposed = |outcome| response(Response::Proposed(outcome));
    let pending = ProposalOutcome::Pending(RevisionNumber(1_001));
    let stale = ProposalOutcome::Stale {
        newest: RevisionNumber(1_002),
    };
    let busy = ProposalOutcome::Busy {
        pending: RevisionNumber(1_003),
    };
    vec![
        ("FromKeeper::Answer/Offered/Announced", proposed(pending)),
        ("FromKeeper::Answer/Offered/Stale", proposed(stale)),
        ("FromKeeper::Answer/Offered/Busy", proposed(busy)),
    ]
}

fn statuses() -> Vec<Named<FromNode>> {
    let rejected = |rejection| response(Response::Status(Box::new(status(Some(rejection)))));
    let backwards = Rejection::Backwards {
        received: 1_021,
        before: 1_022,
    };
    let forked = Rejection::Forked { version: 1_023 };
    let halved = Rejection::Halved {
        before: 1_024,
        missing: 1_025,
    };
    let without_options = response(Response::Status(Box::new(status_without_options())));
    vec![
        ("FromKeeper::Answer/View/no-rejection", without_options),
        ("FromKeeper::Answer/View/Backwards", rejected(backwards)),
        ("FromKeeper::Answer/View/Forked", rejected(forked)),
        ("FromKeeper::Answer/View/Halved", rejected(halved)),
    ]
}

fn other_responses() -> Vec<Named<FromNode>> {
    let granted = |grant| response(Response::Granted(Box::new(grant)));
    vec![
        (
            "FromKeeper::Answer/Granted/whole",
            granted(complete_grant()),
        ),
        (
            "FromKeeper::Answer/Granted/without-options",
            granted(grant_without_options()),
        ),
        ("FromKeeper::Answer/NoLeader", response(Response::NoLeader)),
        (
            "FromKeeper::Answer/Unclear",
            response(Response::Indeterminate),
        ),
        (
            "FromKeeper::Answer/Bad",
            response(Response::Invalid("not a flag".into())),
        ),
        ("FromKeeper::Answer/Begun", response(Response::Accepted)),
    ]
}

fn from_node() -> Vec<Named<FromNode>> {
    [
        openings(),
        responses_to_proposals(),
        statuses(),
        other_responses(),
    ]
    .concat()
}

fn name_of_from_node(message: &FromNode) -> &'static str {
    match message {
        FromNode::Welcome { .. } => "FromKeeper::Welcome",
        FromNode::Refused { why, .. } => name_of_refusal(*why),
        FromNode::Response { response, .. } => name_of_response(response),
    }
}

fn name_of_refusal(why: Refusal) -> &'static str {
    match why {
        Refusal::Version => "FromKeeper::Refused/Version",
        Refusal::OutOfOrder => "FromKeeper::Refused/OutOfOrder",
        Refusal::ConfigMismatch => "FromKeeper::Refused/Terms",
        Refusal::StaleStore => "FromKeeper::Refused/OldDisk",
        Refusal::TooManyConnections => "FromKeeper::Refused/Full",
    }
}

fn name_of_response(response: &Response) -> &'static str {
    match response {
        Response::Granted(_) => "FromKeeper::Answer/Granted",
        Response::NoLeader => "FromKeeper::Answer/NoLeader",
        Response::Proposed(outcome) => match outcome {
            ProposalOutcome::Pending(_) => "FromKeeper::Answer/Offered/Announced",
            ProposalOutcome::Stale { .. } => "FromKeeper::Answer/Offered/Stale",
            ProposalOutcome::Busy { .. } => "FromKeeper::Answer/Offered/Busy",
        },
        Response::Indeterminate => "FromKeeper::Answer/Unclear",
        Response::Invalid(_) => "FromKeeper::Answer/Bad",
        Response::Status(status) => match status.list_rejection {
            None => "FromKeeper::Answer/View/no-rejection",
            Some(Rejection::Backwards { .. }) => "FromKeeper::Answer/View/Backwards",
            Some(Rejection::Forked { .. }) => "FromKeeper::Answer/View/Forked",
            Some(Rejection::Halved { .. }) => "FromKeeper::Answer/View/Halved",
        },
        Response::Accepted => "FromKeeper::Answer/Begun",
    }
}

fn commands() -> Vec<Named<LogCommand>> {
    let (node, address) = address(5);
    let update = SourceUpdate {
        version: 1_001,
        complete: true,
        hosts: hosts_in_each_state(),
    };
    vec![
        ("Act::Offer", LogCommand::Propose(proposal())),
        (
            "Act::InForce",
            LogCommand::PutInForce {
                revision: RevisionNumber(1_001),
                at_s: 1_002,
            },
        ),
        ("Act::List", LogCommand::UpdateList(update)),
        ("Act::TrustList", LogCommand::TrustList),
        ("Act::SetAddress", LogCommand::SetAddress { node, address }),
    ]
}

fn name_of_command(command: &LogCommand) -> &'static str {
    match command {
        LogCommand::Propose(_) => "Act::Offer",
        LogCommand::PutInForce { .. } => "Act::InForce",
        LogCommand::UpdateList(_) => "Act::List",
        LogCommand::TrustList => "Act::TrustList",
        LogCommand::SetAddress { .. } => "Act::SetAddress",
    }
}

/// Returns a state with one revision in force, another pending, proposals with each outcome, hosts in each state, and
/// an address.
fn state() -> ConfigState {
    let (node, address) = address(5);
    let first = Proposal {
        base: RevisionNumber(0),
        ..proposal()
    };
    let second = Proposal {
        token: 1_002,
        base: RevisionNumber(1),
        ..proposal()
    };
    let busy = Proposal {
        token: 1_003,
        base: RevisionNumber(2),
        ..proposal()
    };
    let update = SourceUpdate {
        version: 1_001,
        complete: true,
        hosts: hosts_in_each_state(),
    };
    let mut state = ConfigState::default();
    state.apply(LogCommand::Propose(first));
    state.apply(LogCommand::PutInForce {
        revision: RevisionNumber(1),
        at_s: 1_004,
    });
    state.apply(LogCommand::Propose(second));
    state.apply(LogCommand::Propose(busy));
    state.apply(LogCommand::Propose(Proposal {
        token: 1_005,
        ..proposal()
    }));
    state.apply(LogCommand::UpdateList(update));
    state.apply(LogCommand::SetAddress { node, address });
    state
}

#[test]
fn messages_to_a_node_keep_their_encoding() {
    let bodies = bodies_of("ToKeeper");
    check_values(&bodies, &to_node());
    check_names(&to_node(), name_of_to_node);
    check_all_variants::<ToNode>(&bodies, &[]);
}

#[test]
fn all_variants_of_callers_raft_messages_and_requests_are_covered() {
    let bodies = bodies_of("ToKeeper");
    check_all_variants::<ToNode>(&bodies, &[0, b'S', b'P', b'K', b'K', 1]);
    check_all_variants::<ToNode>(&bodies, &[1]);
    check_all_variants::<ToNode>(&bodies, &[2, 5]);
    let names = entries_of_each_payload()
        .iter()
        .map(|entry| name_of_payload(&entry.payload))
        .collect::<Vec<_>>();
    assert_eq!(names, ["Begin", "Act", "Members"]);
}

#[test]
fn messages_from_a_node_keep_their_encoding() {
    let bodies = bodies_of("FromKeeper");
    check_values(&bodies, &from_node());
    check_names(&from_node(), name_of_from_node);
    check_all_variants::<FromNode>(&bodies, &[]);
}

#[test]
fn all_variants_of_refusals_responses_and_outcomes_are_covered() {
    let bodies = bodies_of("FromKeeper");
    check_all_variants::<FromNode>(&bodies, &[1]);
    check_all_variants::<FromNode>(&bodies, &[2, 5]);
    check_all_variants::<FromNode>(&bodies, &[2, 5, 2]);
    let names = hosts_in_each_state()
        .iter()
        .map(|host| name_of_state(host.state))
        .collect::<Vec<_>>();
    assert_eq!(names, ["Gone", "Ready", "Draining", "Ready"]);
}

#[test]
fn commands_in_the_log_keep_their_encoding() {
    let stored = lines_of(RECORDS, "Act");
    check_values(&stored, &commands());
    check_names(&commands(), name_of_command);
    check_all_variants::<LogCommand>(&stored, &[]);
    for ((_, bytes), (_, command)) in stored.iter().zip(commands()) {
        assert_eq!(LogCommand::decode(bytes).as_ref(), Some(&command));
        assert_eq!(&command.encode(), bytes);
    }
}

#[test]
fn the_state_in_a_snapshot_keeps_its_encoding() {
    let stored = lines_of(RECORDS, "Ledger");
    check_values(&stored, &[("Ledger", state())]);
    assert_eq!(ConfigState::decode(&stored[0].1).unwrap(), state());
    assert_eq!(state().encode(), stored[0].1);
    let outcomes = [1_001, 1_002, 1_003, 1_005].map(|token| state().outcome(token).unwrap());
    let expected = [
        ProposalOutcome::Pending(RevisionNumber(1)),
        ProposalOutcome::Pending(RevisionNumber(2)),
        ProposalOutcome::Busy {
            pending: RevisionNumber(2),
        },
        ProposalOutcome::Stale {
            newest: RevisionNumber(2),
        },
    ];
    assert_eq!(outcomes, expected);
}
