//! Frames of the control protocol and durable records that commit d62ab1d encoded, read by the
//! present code.
//!
//! `fixtures/d62ab1d/frames.txt` holds one message a line: the name that it had at that commit,
//! then the whole frame (length and body) in hexadecimal digits. `fixtures/d62ab1d/records.txt`
//! holds in the same way what the log and its snapshots store: acts, and the state that a sequence
//! of acts makes; these have no length in front. Each line is decoded and compared with a value that
//! is written out here, in which no two fields hold the same number, so that fields which changed
//! places are noticed; encoding that value has to give the same bytes. The names are those of
//! d62ab1d and stay as they are when a type is renamed.

use std::collections::BTreeSet;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_coordination::wire::{
    Answer, Ask, Caller, Common, FromKeeper, Refusal, ToKeeper, View,
};
use spokeflow_coordination::{
    Act, Asked, Grant, HostState, Known, Ledger, ListNo, ListPart, ListedHost, Offer, Record,
    Rejection, Revision, RevisionNo, Seats, SourceNews, Values, Verdict,
};
use spokeflow_raft::{Entry, LogIndex, Message, NodeId, Payload, Snapshot, Term};

const FRAMES: &str = include_str!("fixtures/d62ab1d/frames.txt");
const RECORDS: &str = include_str!("fixtures/d62ab1d/records.txt");

/// A value beside the name under which its bytes are found in the file.
type Named<Value> = (&'static str, Value);

fn bytes_of(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    pairs.map(byte).collect()
}

/// Names and bytes of all lines whose name begins with this type's.
fn lines_of(file: &'static str, type_name: &str) -> Vec<Named<Vec<u8>>> {
    let lines = file.lines().map(|line| line.split_once(' ').unwrap());
    let of_type = lines.filter(|(name, _)| name.split("::").next() == Some(type_name));
    of_type
        .map(|(name, digits)| (name, bytes_of(digits)))
        .collect()
}

/// The body of a frame, whose length has to be the one that its first four bytes say.
fn body_of(frame: &[u8]) -> &[u8] {
    let (length, body) = frame.split_first_chunk::<4>().unwrap();
    assert_eq!(u32::from_be_bytes(*length) as usize, body.len());
    body
}

/// Frames of this type, their lengths taken off.
fn bodies_of(type_name: &str) -> Vec<Named<Vec<u8>>> {
    let frames = lines_of(FRAMES, type_name);
    frames
        .iter()
        .map(|(name, frame)| (*name, body_of(frame).to_vec()))
        .collect()
}

/// Each stored value, in the file's order, against the one written out for it.
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
        assert!(rest.is_empty(), "{name}: bytes follow");
        assert_eq!(&postcard::to_stdvec(value).unwrap(), bytes, "{name}");
    }
}

/// Each value is of the variant that its name says. The functions that tell the variants have no
/// arm for all others, so that a new variant does not compile before it is named there.
fn check_names<Value>(expected: &[Named<Value>], name_of: impl Fn(&Value) -> &'static str) {
    for (name, value) in expected {
        let rest = name.strip_prefix(name_of(value));
        assert!(
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
            "{name}"
        );
    }
}

/// The numbers of variants that stand after `prefix` in the bytes are all that there are: the
/// number after the greatest one is not read as the beginning of any value.
fn check_every_kind<Value>(stored: &[Named<Vec<u8>>], prefix: &[u8])
where
    Value: DeserializeOwned + Debug,
{
    let kinds = stored
        .iter()
        .filter_map(|line| line.1.strip_prefix(prefix)?.first().copied());
    let kinds: BTreeSet<u8> = kinds.collect();
    let count = kinds.len() as u8;
    assert!(
        count > 0 && kinds.into_iter().eq(0..count),
        "after {prefix:?}"
    );
    let next = [prefix, &[count]].concat();
    let fault = postcard::from_bytes::<Value>(&next).unwrap_err();
    assert_ne!(
        fault,
        postcard::Error::DeserializeUnexpectedEnd,
        "after {prefix:?}"
    );
}

fn common() -> Common {
    Common {
        fleet: 1_001,
        silence_us: 1_002,
        lease_us: 1_003,
        drift: 0.25,
    }
}

fn address(keeper: u32) -> (NodeId, String) {
    (NodeId(keeper), format!("10.0.0.{keeper}:7500"))
}

fn values(name: &str, value: &str) -> Values {
    Values::from([(name.to_string(), value.to_string())])
}

fn revision(number: u64) -> Revision {
    Revision {
        number: RevisionNo(number),
        values: values("delivery-cap", &number.to_string()),
    }
}

fn offer() -> Offer {
    Offer {
        token: 1_001,
        against: RevisionNo(1_002),
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

/// The states that [`hosts_in_each_state`] has are all that there are: another one does not compile
/// here.
fn name_of_state(state: HostState) -> &'static str {
    match state {
        HostState::Gone => "Gone",
        HostState::Ready => "Ready",
        HostState::Draining => "Draining",
    }
}

fn caller() -> Caller {
    Caller::Keeper {
        id: NodeId(301),
        start: 1_002,
        processes: vec![1_003, 1_004],
        common: common(),
        addresses: vec![address(5), address(6)],
    }
}

fn hello(caller: Caller) -> ToKeeper {
    ToKeeper::Hello {
        magic: *b"SPKK",
        version: 1,
        caller,
    }
}

fn entries_of_each_body() -> Vec<Entry> {
    vec![
        Entry {
            term: Term(1_011),
            body: Payload::Noop,
        },
        Entry {
            term: Term(1_012),
            body: Payload::Command(vec![7, 8, 9]),
        },
        Entry {
            term: Term(1_013),
            body: Payload::Membership(vec![NodeId(5), NodeId(6)]),
        },
    ]
}

/// The bodies that [`entries_of_each_body`] has are all that there are: another one does not
/// compile here.
fn name_of_body(body: &Payload) -> &'static str {
    match body {
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
        entries: entries_of_each_body(),
        leader_commit: LogIndex(1_004),
        round: 1_005,
    }
}

fn install() -> Message {
    let snapshot = Snapshot {
        last_included_index: LogIndex(1_002),
        term: Term(1_003),
        members: vec![NodeId(5), NodeId(6)],
        state: vec![1, 2, 3],
    };
    Message::InstallSnapshot {
        term: Term(1_001),
        snapshot,
        round: 1_004,
    }
}

fn appended(upto: Result<LogIndex, LogIndex>) -> ToKeeper {
    ToKeeper::Quorum(Message::AppendEntriesResponse {
        term: Term(1_001),
        round: 1_002,
        match_index: upto,
    })
}

fn asked(list: Option<ListNo>) -> Asked {
    Asked {
        process: 1_001,
        router: 70_002,
        knows: [RevisionNo(1_003), RevisionNo(1_004)],
        acts_on: RevisionNo(1_005),
        seats: 1_006,
        list,
    }
}

fn ask(ask: Ask) -> ToKeeper {
    ToKeeper::Ask { number: 5, ask }
}

fn hellos() -> Vec<Named<ToKeeper>> {
    vec![
        ("ToKeeper::Hello/Keeper", hello(caller())),
        (
            "ToKeeper::Hello/Router",
            hello(Caller::Router { index: 70_001 }),
        ),
        ("ToKeeper::Hello/Person", hello(Caller::Person)),
    ]
}

fn quorum_messages() -> Vec<Named<ToKeeper>> {
    let (term, last, last_log_term) = (Term(1_001), LogIndex(1_002), Term(1_003));
    let vote = |sounded, granted| {
        ToKeeper::Quorum(Message::VoteResponse {
            term,
            pre_vote: sounded,
            granted,
        })
    };
    vec![
        (
            "ToKeeper::Quorum/Sound",
            ToKeeper::Quorum(Message::PreVote {
                term,
                last_log_index: last,
                last_log_term,
            }),
        ),
        (
            "ToKeeper::Quorum/Stand",
            ToKeeper::Quorum(Message::RequestVote {
                term,
                last_log_index: last,
                last_log_term,
            }),
        ),
        ("ToKeeper::Quorum/Vote/sounded", vote(true, false)),
        ("ToKeeper::Quorum/Vote/granted", vote(false, true)),
        ("ToKeeper::Quorum/Append", ToKeeper::Quorum(append())),
        (
            "ToKeeper::Quorum/Appended/agrees",
            appended(Ok(LogIndex(1_003))),
        ),
        (
            "ToKeeper::Quorum/Appended/differs",
            appended(Err(LogIndex(1_004))),
        ),
        ("ToKeeper::Quorum/Install", ToKeeper::Quorum(install())),
    ]
}

fn asks() -> Vec<Named<ToKeeper>> {
    let (keeper, address) = address(5);
    vec![
        (
            "ToKeeper::Ask/Lease/with-list",
            ask(Ask::Lease(asked(Some(ListNo(1_007))))),
        ),
        (
            "ToKeeper::Ask/Lease/without-list",
            ask(Ask::Lease(asked(None))),
        ),
        ("ToKeeper::Ask/Offer", ask(Ask::Offer(offer()))),
        ("ToKeeper::Ask/View", ask(Ask::View)),
        (
            "ToKeeper::Ask/SetAddress",
            ask(Ask::SetAddress { keeper, address }),
        ),
        ("ToKeeper::Ask/TrustList", ask(Ask::TrustList)),
        (
            "ToKeeper::Ask/Members",
            ask(Ask::Members(vec![NodeId(6), NodeId(7)])),
        ),
    ]
}

fn to_keeper() -> Vec<Named<ToKeeper>> {
    [hellos(), quorum_messages(), asks()].concat()
}

fn name_of_to_keeper(message: &ToKeeper) -> &'static str {
    match message {
        ToKeeper::Hello { caller, .. } => match caller {
            Caller::Keeper { .. } => "ToKeeper::Hello/Keeper",
            Caller::Router { .. } => "ToKeeper::Hello/Router",
            Caller::Person => "ToKeeper::Hello/Person",
        },
        ToKeeper::Quorum(message) => match message {
            Message::PreVote { .. } => "ToKeeper::Quorum/Sound",
            Message::RequestVote { .. } => "ToKeeper::Quorum/Stand",
            Message::VoteResponse { .. } => "ToKeeper::Quorum/Vote",
            Message::AppendEntries { .. } => "ToKeeper::Quorum/Append",
            Message::AppendEntriesResponse { .. } => "ToKeeper::Quorum/Appended",
            Message::InstallSnapshot { .. } => "ToKeeper::Quorum/Install",
        },
        ToKeeper::Ask { ask, .. } => match ask {
            Ask::Lease(_) => "ToKeeper::Ask/Lease",
            Ask::Offer(_) => "ToKeeper::Ask/Offer",
            Ask::View => "ToKeeper::Ask/View",
            Ask::SetAddress { .. } => "ToKeeper::Ask/SetAddress",
            Ask::TrustList => "ToKeeper::Ask/TrustList",
            Ask::Members(_) => "ToKeeper::Ask/Members",
        },
    }
}

fn whole_grant() -> Grant {
    Grant {
        in_force: Known {
            number: RevisionNo(1_001),
            revision: Some(revision(1_001)),
        },
        announced: Some(Known {
            number: RevisionNo(1_002),
            revision: None,
        }),
        seats: Some(Seats {
            mark: 1_003,
            addresses: vec!["10.0.0.5:7500".into()],
        }),
        list: Some(ListPart {
            version: ListNo(1_004),
            whole: true,
            hosts: hosts_in_each_state(),
        }),
    }
}

fn grant_without_options() -> Grant {
    let in_force = Known {
        number: RevisionNo(1_001),
        revision: None,
    };
    Grant {
        in_force,
        announced: None,
        seats: None,
        list: None,
    }
}

fn records() -> Vec<Record> {
    let record = |number, in_force_s| Record {
        revision: revision(number),
        who: "ann".into(),
        why: "slower stages".into(),
        offered_s: 1_101,
        in_force_s,
    };
    vec![record(1_004, Some(1_102)), record(1_005, None)]
}

fn view(list_rejection: Option<Rejection>) -> View {
    View {
        leader: NodeId(301),
        term: Term(1_002),
        committed: LogIndex(1_003),
        in_force: revision(1_004),
        announced: Some(revision(1_005)),
        history: records(),
        members: vec![NodeId(5), NodeId(6)],
        addresses: vec![address(5), address(6)],
        leases: 1_006,
        list: 1_007,
        list_source: 1_008,
        hosts: 1_009,
        list_rejection,
        acting: 1_010,
    }
}

fn view_without_options() -> View {
    View {
        announced: None,
        ..view(None)
    }
}

fn answer(answer: Answer) -> FromKeeper {
    FromKeeper::Answer { number: 5, answer }
}

fn refused(why: Refusal) -> FromKeeper {
    FromKeeper::Refused {
        why,
        text: "refused".into(),
    }
}

fn openings() -> Vec<Named<FromKeeper>> {
    let welcome = FromKeeper::Welcome {
        keeper: NodeId(301),
        common: common(),
    };
    vec![
        ("FromKeeper::Welcome", welcome),
        ("FromKeeper::Refused/Version", refused(Refusal::Version)),
        (
            "FromKeeper::Refused/OutOfOrder",
            refused(Refusal::OutOfOrder),
        ),
        ("FromKeeper::Refused/Terms", refused(Refusal::Terms)),
        ("FromKeeper::Refused/OldDisk", refused(Refusal::OldDisk)),
        ("FromKeeper::Refused/Full", refused(Refusal::Full)),
    ]
}

fn answers_to_offers() -> Vec<Named<FromKeeper>> {
    let offered = |verdict| answer(Answer::Offered(verdict));
    let announced = Verdict::Announced(RevisionNo(1_001));
    let stale = Verdict::Stale {
        newest: RevisionNo(1_002),
    };
    let busy = Verdict::Busy {
        announced: RevisionNo(1_003),
    };
    vec![
        ("FromKeeper::Answer/Offered/Announced", offered(announced)),
        ("FromKeeper::Answer/Offered/Stale", offered(stale)),
        ("FromKeeper::Answer/Offered/Busy", offered(busy)),
    ]
}

fn views() -> Vec<Named<FromKeeper>> {
    let rejected = |rejection| answer(Answer::View(Box::new(view(Some(rejection)))));
    let backwards = Rejection::Backwards {
        told: 1_021,
        before: 1_022,
    };
    let forked = Rejection::Forked { version: 1_023 };
    let halved = Rejection::Halved {
        before: 1_024,
        missing: 1_025,
    };
    let least = answer(Answer::View(Box::new(view_without_options())));
    vec![
        ("FromKeeper::Answer/View/no-rejection", least),
        ("FromKeeper::Answer/View/Backwards", rejected(backwards)),
        ("FromKeeper::Answer/View/Forked", rejected(forked)),
        ("FromKeeper::Answer/View/Halved", rejected(halved)),
    ]
}

fn other_answers() -> Vec<Named<FromKeeper>> {
    let granted = |grant| answer(Answer::Granted(Box::new(grant)));
    vec![
        ("FromKeeper::Answer/Granted/whole", granted(whole_grant())),
        (
            "FromKeeper::Answer/Granted/without-options",
            granted(grant_without_options()),
        ),
        ("FromKeeper::Answer/NoLeader", answer(Answer::NoLeader)),
        ("FromKeeper::Answer/Unclear", answer(Answer::Unclear)),
        (
            "FromKeeper::Answer/Bad",
            answer(Answer::Bad("not a flag".into())),
        ),
        ("FromKeeper::Answer/Begun", answer(Answer::Begun)),
    ]
}

fn from_keeper() -> Vec<Named<FromKeeper>> {
    [openings(), answers_to_offers(), views(), other_answers()].concat()
}

fn name_of_from_keeper(message: &FromKeeper) -> &'static str {
    match message {
        FromKeeper::Welcome { .. } => "FromKeeper::Welcome",
        FromKeeper::Refused { why, .. } => name_of_refusal(*why),
        FromKeeper::Answer { answer, .. } => name_of_answer(answer),
    }
}

fn name_of_refusal(why: Refusal) -> &'static str {
    match why {
        Refusal::Version => "FromKeeper::Refused/Version",
        Refusal::OutOfOrder => "FromKeeper::Refused/OutOfOrder",
        Refusal::Terms => "FromKeeper::Refused/Terms",
        Refusal::OldDisk => "FromKeeper::Refused/OldDisk",
        Refusal::Full => "FromKeeper::Refused/Full",
    }
}

fn name_of_answer(answer: &Answer) -> &'static str {
    match answer {
        Answer::Granted(_) => "FromKeeper::Answer/Granted",
        Answer::NoLeader => "FromKeeper::Answer/NoLeader",
        Answer::Offered(verdict) => match verdict {
            Verdict::Announced(_) => "FromKeeper::Answer/Offered/Announced",
            Verdict::Stale { .. } => "FromKeeper::Answer/Offered/Stale",
            Verdict::Busy { .. } => "FromKeeper::Answer/Offered/Busy",
        },
        Answer::Unclear => "FromKeeper::Answer/Unclear",
        Answer::Bad(_) => "FromKeeper::Answer/Bad",
        Answer::View(view) => match view.list_rejection {
            None => "FromKeeper::Answer/View/no-rejection",
            Some(Rejection::Backwards { .. }) => "FromKeeper::Answer/View/Backwards",
            Some(Rejection::Forked { .. }) => "FromKeeper::Answer/View/Forked",
            Some(Rejection::Halved { .. }) => "FromKeeper::Answer/View/Halved",
        },
        Answer::Begun => "FromKeeper::Answer/Begun",
    }
}

fn acts() -> Vec<Named<Act>> {
    let (keeper, address) = address(5);
    let news = SourceNews {
        version: 1_001,
        whole: true,
        hosts: hosts_in_each_state(),
    };
    vec![
        ("Act::Offer", Act::Offer(offer())),
        (
            "Act::InForce",
            Act::InForce {
                revision: RevisionNo(1_001),
                at_s: 1_002,
            },
        ),
        ("Act::List", Act::List(news)),
        ("Act::TrustList", Act::TrustList),
        ("Act::SetAddress", Act::SetAddress { keeper, address }),
    ]
}

fn name_of_act(act: &Act) -> &'static str {
    match act {
        Act::Offer(_) => "Act::Offer",
        Act::InForce { .. } => "Act::InForce",
        Act::List(_) => "Act::List",
        Act::TrustList => "Act::TrustList",
        Act::SetAddress { .. } => "Act::SetAddress",
    }
}

/// One revision in force, another announced, offers with each verdict, three hosts, an address.
fn ledger() -> Ledger {
    let (keeper, address) = address(5);
    let first = Offer {
        against: RevisionNo(0),
        ..offer()
    };
    let second = Offer {
        token: 1_002,
        against: RevisionNo(1),
        ..offer()
    };
    let busy = Offer {
        token: 1_003,
        against: RevisionNo(2),
        ..offer()
    };
    let news = SourceNews {
        version: 1_001,
        whole: true,
        hosts: hosts_in_each_state(),
    };
    let mut ledger = Ledger::default();
    ledger.apply(Act::Offer(first));
    ledger.apply(Act::InForce {
        revision: RevisionNo(1),
        at_s: 1_004,
    });
    ledger.apply(Act::Offer(second));
    ledger.apply(Act::Offer(busy));
    ledger.apply(Act::Offer(Offer {
        token: 1_005,
        ..offer()
    }));
    ledger.apply(Act::List(news));
    ledger.apply(Act::SetAddress { keeper, address });
    ledger
}

#[test]
fn messages_to_a_keeper_are_read_and_written_as_before() {
    let bodies = bodies_of("ToKeeper");
    check_values(&bodies, &to_keeper());
    check_names(&to_keeper(), name_of_to_keeper);
    check_every_kind::<ToKeeper>(&bodies, &[]);
}

#[test]
fn no_kind_of_caller_quorum_message_or_ask_is_left_out() {
    let bodies = bodies_of("ToKeeper");
    check_every_kind::<ToKeeper>(&bodies, &[0, b'S', b'P', b'K', b'K', 1]);
    check_every_kind::<ToKeeper>(&bodies, &[1]);
    check_every_kind::<ToKeeper>(&bodies, &[2, 5]);
    let names = entries_of_each_body()
        .iter()
        .map(|e| name_of_body(&e.body))
        .collect::<Vec<_>>();
    assert_eq!(names, ["Begin", "Act", "Members"]);
}

#[test]
fn messages_from_a_keeper_are_read_and_written_as_before() {
    let bodies = bodies_of("FromKeeper");
    check_values(&bodies, &from_keeper());
    check_names(&from_keeper(), name_of_from_keeper);
    check_every_kind::<FromKeeper>(&bodies, &[]);
}

#[test]
fn no_kind_of_refusal_answer_or_verdict_is_left_out() {
    let bodies = bodies_of("FromKeeper");
    check_every_kind::<FromKeeper>(&bodies, &[1]);
    check_every_kind::<FromKeeper>(&bodies, &[2, 5]);
    check_every_kind::<FromKeeper>(&bodies, &[2, 5, 2]);
    let names = hosts_in_each_state()
        .iter()
        .map(|h| name_of_state(h.state))
        .collect::<Vec<_>>();
    assert_eq!(names, ["Gone", "Ready", "Draining", "Ready"]);
}

#[test]
fn acts_in_the_log_are_read_and_written_as_before() {
    let stored = lines_of(RECORDS, "Act");
    check_values(&stored, &acts());
    check_names(&acts(), name_of_act);
    check_every_kind::<Act>(&stored, &[]);
    for ((_, bytes), (_, act)) in stored.iter().zip(acts()) {
        assert_eq!(Act::read(bytes).as_ref(), Some(&act));
        assert_eq!(&act.bytes(), bytes);
    }
}

#[test]
fn the_state_in_a_snapshot_is_read_and_written_as_before() {
    let stored = lines_of(RECORDS, "Ledger");
    check_values(&stored, &[("Ledger", ledger())]);
    assert_eq!(Ledger::restore(&stored[0].1).unwrap(), ledger());
    assert_eq!(ledger().state(), stored[0].1);
    let verdicts = [1_001, 1_002, 1_003, 1_005].map(|token| ledger().verdict(token).unwrap());
    let expected = [
        Verdict::Announced(RevisionNo(1)),
        Verdict::Announced(RevisionNo(2)),
        Verdict::Busy {
            announced: RevisionNo(2),
        },
        Verdict::Stale {
            newest: RevisionNo(2),
        },
    ];
    assert_eq!(verdicts, expected);
}
