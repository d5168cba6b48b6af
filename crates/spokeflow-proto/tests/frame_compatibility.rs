//! Compatibility of the encoding with commit d62ab1d.
//!
//! `fixtures/d62ab1d/frames.txt` holds one frame per line: the name that the message had at that
//! commit, then the whole frame (length and body) in hexadecimal digits. Each line is decoded and
//! compared with a value written out here, and encoding that value must give the same bytes. No two
//! fields of a value hold the same number, so that swapped fields are noticed. The names are those
//! of d62ab1d and stay when a type is renamed. The values of all links are in this one file, so that
//! it covers the whole fixture.

use std::fmt::Debug;

use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use spokeflow_proto::*;
use tokio_util::codec::Decoder;

const FRAMES: &str = include_str!("fixtures/d62ab1d/frames.txt");

/// A message and the name of its frame in the fixture.
type Named<Message> = (&'static str, Message);

fn bytes_of(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    pairs.map(byte).collect()
}

/// Returns the names and bytes of all frames of this type in the fixture.
fn frames_of(type_name: &str) -> Vec<(&'static str, Vec<u8>)> {
    let lines = FRAMES.lines().map(|line| line.split_once(' ').unwrap());
    let of_type = lines.filter(|(name, _)| name.split_once("::").unwrap().0 == type_name);
    of_type
        .map(|(name, digits)| (name, bytes_of(digits)))
        .collect()
}

fn codec<Message>() -> FrameCodec<Message, Message> {
    FrameCodec::new(LIST_LIMIT)
}

fn decoded<Message: DeserializeOwned>(frame: &[u8]) -> Result<Option<Message>, FrameError> {
    codec().decode(&mut BytesMut::from(frame))
}

fn encoded<Message: Serialize>(message: &Message) -> Vec<u8> {
    let mut frame = BytesMut::new();
    codec().write(message, &mut frame).unwrap();
    frame.to_vec()
}

/// Checks that each frame of this type, in the fixture's order, decodes to the expected message and is encoded
/// from it.
fn check_frames<Message>(type_name: &str, expected: &[Named<Message>])
where
    Message: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let frames = frames_of(type_name);
    let names: Vec<&str> = frames.iter().map(|frame| frame.0).collect();
    let expected_names: Vec<&str> = expected.iter().map(|named| named.0).collect();
    assert_eq!(names, expected_names);
    for ((name, frame), (_, message)) in frames.iter().zip(expected) {
        let read = decoded::<Message>(frame).unwrap().unwrap();
        assert_eq!(&read, message, "{name}");
        assert_eq!(&encoded(message), frame, "{name}");
    }
    check_every_kind::<Message>(&frames);
}

/// Checks that the fixture holds every message kind (first byte of a body) of the type.
fn check_every_kind<Message: DeserializeOwned + Debug>(frames: &[(&str, Vec<u8>)]) {
    let mut kinds: Vec<u8> = frames.iter().map(|frame| frame.1[4]).collect();
    kinds.dedup();
    let count = kinds.len() as u8;
    assert_eq!(kinds, (0..count).collect::<Vec<u8>>());
    let next = decoded::<Message>(&[0, 0, 0, 1, count]);
    assert!(
        matches!(next, Err(FrameError::UnknownKind(kind)) if kind == count),
        "{next:?}"
    );
}

/// Checks that each message is of the variant that its name says. The `name_of` functions have no wildcard
/// arm, so that a new variant does not compile until it is named there.
fn check_names<Message>(expected: &[Named<Message>], name_of: impl Fn(&Message) -> &'static str) {
    for (name, message) in expected {
        let rest = name.strip_prefix(name_of(message));
        assert!(
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
            "{name}"
        );
    }
}

fn hello(role: Role) -> Hello {
    Hello {
        magic: *b"SPKF",
        version: 2,
        role,
        index: 70_000,
        zone: 301,
    }
}

fn refused() -> Refused {
    Refused {
        code: 9,
        text: "id in use".into(),
    }
}

fn command() -> Command {
    Command {
        id: 1_001,
        op: 302,
        tenant: 70_003,
        key: 1_004,
        idempotency_key: 1_005,
        left_us: 1_006,
        body: Bytes::from_static(b"body"),
    }
}

fn full_record(phase: EndpointPhase) -> EndpointRecord {
    EndpointRecord {
        host: 70_001,
        address: "10.0.0.1:7600".into(),
        build: Some(302),
        cell: 303,
        zone: 304,
        phase,
        incarnation: 1_005,
        up_us: Some(1_006),
    }
}

fn record_without_options() -> EndpointRecord {
    EndpointRecord {
        build: None,
        up_us: None,
        ..full_record(EndpointPhase::Draining)
    }
}

fn update(phase: RolloutPhase) -> RolloutUpdate {
    RolloutUpdate {
        build: 301,
        stage: 2,
        phase,
        exposure_cap: 0.25,
        age_us: 1_005,
    }
}

fn vote(choice: VoteChoice) -> ToController {
    ToController::Vote {
        ballot: 1_001,
        build: 302,
        stage: 3,
        choice,
    }
}

fn voted(result: VoteResult) -> FromController {
    FromController::Voted {
        ballot: 1_001,
        result,
    }
}

fn from_client() -> Vec<Named<FromClient>> {
    vec![
        (
            "FromClient::Hello/Client",
            FromClient::Hello(hello(Role::Client)),
        ),
        (
            "FromClient::Hello/Router",
            FromClient::Hello(hello(Role::Router)),
        ),
        ("FromClient::Command", FromClient::Command(command())),
        ("FromClient::Leave", FromClient::Abandon { id: 1_001 }),
        (
            "FromClient::Disputed",
            FromClient::WrongAnswer { receipt: 1_002 },
        ),
        (
            "FromClient::Told",
            FromClient::Gossip {
                text: Bytes::from_static(b"told"),
            },
        ),
    ]
}

fn name_of_from_client(message: &FromClient) -> &'static str {
    match message {
        FromClient::Hello(hello) => match hello.role {
            Role::Client => "FromClient::Hello/Client",
            Role::Router => "FromClient::Hello/Router",
        },
        FromClient::Command(_) => "FromClient::Command",
        FromClient::Abandon { .. } => "FromClient::Leave",
        FromClient::WrongAnswer { .. } => "FromClient::Disputed",
        FromClient::Gossip { .. } => "FromClient::Told",
    }
}

fn to_client() -> Vec<Named<ToClient>> {
    let acked = ToClient::Acked {
        id: 1_001,
        build: 302,
        receipt: 1_003,
        body: Bytes::from_static(b"done"),
    };
    vec![
        ("ToClient::Welcome", ToClient::Welcome),
        ("ToClient::Refused", ToClient::Refused(refused())),
        ("ToClient::Acked", acked),
        (
            "ToClient::Nacked/in-time",
            ToClient::Nacked {
                id: 1_001,
                retry_after_us: Some(1_002),
            },
        ),
        (
            "ToClient::Nacked/no-time",
            ToClient::Nacked {
                id: 1_001,
                retry_after_us: None,
            },
        ),
        ("ToClient::Failed", ToClient::Failed { id: 1_001 }),
        ("ToClient::Closing", ToClient::Closing),
    ]
}

fn name_of_to_client(message: &ToClient) -> &'static str {
    match message {
        ToClient::Welcome => "ToClient::Welcome",
        ToClient::Refused(_) => "ToClient::Refused",
        ToClient::Acked { .. } => "ToClient::Acked",
        ToClient::Nacked { .. } => "ToClient::Nacked",
        ToClient::Failed { .. } => "ToClient::Failed",
        ToClient::Closing => "ToClient::Closing",
    }
}

fn to_host() -> Vec<Named<ToHost>> {
    let deliver = ToHost::Deliver {
        delivery: 1_001,
        op: 302,
        tenant: 70_003,
        key: 1_004,
        idempotency_key: 1_005,
        left_us: 1_006,
        body: Bytes::from_static(b"body"),
    };
    vec![
        ("ToHost::Hello", ToHost::Hello(hello(Role::Router))),
        ("ToHost::Deliver", deliver),
        ("ToHost::Cancel", ToHost::Cancel { delivery: 1_001 }),
        ("ToHost::Probe", ToHost::Probe { probe: 1_002 }),
        ("ToHost::Ping", ToHost::Ping),
    ]
}

fn name_of_to_host(message: &ToHost) -> &'static str {
    match message {
        ToHost::Hello(_) => "ToHost::Hello",
        ToHost::Deliver { .. } => "ToHost::Deliver",
        ToHost::Cancel { .. } => "ToHost::Cancel",
        ToHost::Probe { .. } => "ToHost::Probe",
        ToHost::Ping => "ToHost::Ping",
    }
}

fn from_host() -> Vec<Named<FromHost>> {
    let welcome = FromHost::Welcome {
        host: 70_001,
        build: 302,
        incarnation: 1_003,
        up_us: 1_004,
    };
    let acked = FromHost::Acked {
        delivery: 1_001,
        body: Bytes::from_static(b"done"),
    };
    vec![
        ("FromHost::Welcome", welcome),
        ("FromHost::Refused", FromHost::Refused(refused())),
        ("FromHost::Acked", acked),
        ("FromHost::Error", FromHost::Error { delivery: 1_002 }),
        ("FromHost::Full", FromHost::Full { delivery: 1_003 }),
        (
            "FromHost::Answering",
            FromHost::ResponseStarted { delivery: 1_004 },
        ),
        ("FromHost::Probed", FromHost::Probed { probe: 1_005 }),
        ("FromHost::Pong", FromHost::Pong),
        ("FromHost::Report", FromHost::LoadReport { busy: 301 }),
    ]
}

fn name_of_from_host(message: &FromHost) -> &'static str {
    match message {
        FromHost::Welcome { .. } => "FromHost::Welcome",
        FromHost::Refused(_) => "FromHost::Refused",
        FromHost::Acked { .. } => "FromHost::Acked",
        FromHost::Error { .. } => "FromHost::Error",
        FromHost::Full { .. } => "FromHost::Full",
        FromHost::ResponseStarted { .. } => "FromHost::Answering",
        FromHost::Probed { .. } => "FromHost::Probed",
        FromHost::Pong => "FromHost::Pong",
        FromHost::LoadReport { .. } => "FromHost::Report",
    }
}

fn to_list() -> Vec<Named<ToList>> {
    vec![
        ("ToList::Hello", ToList::Hello(hello(Role::Router))),
        ("ToList::Watch/has", ToList::Watch { have: Some(1_001) }),
        ("ToList::Watch/has-none", ToList::Watch { have: None }),
        ("ToList::Fetch", ToList::Fetch),
    ]
}

fn name_of_to_list(message: &ToList) -> &'static str {
    match message {
        ToList::Hello(_) => "ToList::Hello",
        ToList::Watch { .. } => "ToList::Watch",
        ToList::Fetch => "ToList::Fetch",
    }
}

fn from_list() -> Vec<Named<FromList>> {
    let complete = FromList::Complete {
        version: 1_001,
        endpoints: vec![full_record(EndpointPhase::Ready), record_without_options()],
    };
    let changes = |phase| FromList::Changes {
        version: 1_002,
        endpoints: vec![full_record(phase)],
    };
    let sizes = FromList::Sizes {
        sizes: vec![
            HostSize {
                host: 70_001,
                size: 0.5,
            },
            HostSize {
                host: 70_002,
                size: 4.0,
            },
        ],
    };
    vec![
        ("FromList::Welcome", FromList::Welcome),
        ("FromList::Refused", FromList::Refused(refused())),
        ("FromList::Whole", complete),
        ("FromList::Changes/Gone", changes(EndpointPhase::Gone)),
        ("FromList::Changes/Ready", changes(EndpointPhase::Ready)),
        (
            "FromList::Changes/Draining",
            changes(EndpointPhase::Draining),
        ),
        ("FromList::Failed", FromList::Failed),
        ("FromList::Sizes", sizes),
    ]
}

fn name_of_from_list(message: &FromList) -> &'static str {
    match message {
        FromList::Welcome => "FromList::Welcome",
        FromList::Refused(_) => "FromList::Refused",
        FromList::Complete { .. } => "FromList::Whole",
        FromList::Changes {
            endpoints: lines, ..
        } => match lines[0].phase {
            EndpointPhase::Gone => "FromList::Changes/Gone",
            EndpointPhase::Ready => "FromList::Changes/Ready",
            EndpointPhase::Draining => "FromList::Changes/Draining",
        },
        FromList::Failed => "FromList::Failed",
        FromList::Sizes { .. } => "FromList::Sizes",
    }
}

fn to_controller() -> Vec<Named<ToController>> {
    vec![
        ("ToDesk::Hello", ToController::Hello(hello(Role::Router))),
        ("ToDesk::Vote/None", vote(VoteChoice::Abstain)),
        ("ToDesk::Vote/On", vote(VoteChoice::Promote)),
        ("ToDesk::Vote/Hold", vote(VoteChoice::Hold)),
        ("ToDesk::Vote/Back", vote(VoteChoice::RollBack)),
    ]
}

fn name_of_to_controller(message: &ToController) -> &'static str {
    match message {
        ToController::Hello(_) => "ToDesk::Hello",
        ToController::Vote { choice, .. } => match choice {
            VoteChoice::Abstain => "ToDesk::Vote/None",
            VoteChoice::Promote => "ToDesk::Vote/On",
            VoteChoice::Hold => "ToDesk::Vote/Hold",
            VoteChoice::RollBack => "ToDesk::Vote/Back",
        },
    }
}

fn from_controller() -> Vec<Named<FromController>> {
    let stats = DeliveryStats {
        build: 301,
        op: 302,
        sampled: 70_003,
        failed: 70_004,
        mean_us: 1_005,
        age_us: 1_006,
    };
    vec![
        ("FromDesk::Welcome", FromController::Welcome),
        ("FromDesk::Refused", FromController::Refused(refused())),
        (
            "FromDesk::News/OnTrial",
            FromController::RolloutUpdate(update(RolloutPhase::Canary)),
        ),
        (
            "FromDesk::News/GoingBack",
            FromController::RolloutUpdate(update(RolloutPhase::RollingBack)),
        ),
        (
            "FromDesk::News/Released",
            FromController::RolloutUpdate(update(RolloutPhase::Released)),
        ),
        (
            "FromDesk::News/Withdrawn",
            FromController::RolloutUpdate(update(RolloutPhase::Withdrawn)),
        ),
        ("FromDesk::Voted/Counted", voted(VoteResult::Counted)),
        ("FromDesk::Voted/Moot", voted(VoteResult::Stale)),
        ("FromDesk::Voted/TooMany", voted(VoteResult::RateLimited)),
        ("FromDesk::Voted/Refused", voted(VoteResult::Refused)),
        ("FromDesk::Counted", FromController::Stats(stats)),
    ]
}

fn name_of_from_controller(message: &FromController) -> &'static str {
    match message {
        FromController::Welcome => "FromDesk::Welcome",
        FromController::Refused(_) => "FromDesk::Refused",
        FromController::RolloutUpdate(update) => match update.phase {
            RolloutPhase::Canary => "FromDesk::News/OnTrial",
            RolloutPhase::RollingBack => "FromDesk::News/GoingBack",
            RolloutPhase::Released => "FromDesk::News/Released",
            RolloutPhase::Withdrawn => "FromDesk::News/Withdrawn",
        },
        FromController::Voted { result, .. } => match result {
            VoteResult::Counted => "FromDesk::Voted/Counted",
            VoteResult::Stale => "FromDesk::Voted/Moot",
            VoteResult::RateLimited => "FromDesk::Voted/TooMany",
            VoteResult::Refused => "FromDesk::Voted/Refused",
        },
        FromController::Stats(_) => "FromDesk::Counted",
    }
}

#[test]
fn client_link_frames_are_compatible() {
    check_frames("FromClient", &from_client());
    check_names(&from_client(), name_of_from_client);
    check_frames("ToClient", &to_client());
    check_names(&to_client(), name_of_to_client);
}

#[test]
fn host_link_frames_are_compatible() {
    check_frames("ToHost", &to_host());
    check_names(&to_host(), name_of_to_host);
    check_frames("FromHost", &from_host());
    check_names(&from_host(), name_of_from_host);
}

#[test]
fn list_link_frames_are_compatible() {
    check_frames("ToList", &to_list());
    check_names(&to_list(), name_of_to_list);
    check_frames("FromList", &from_list());
    check_names(&from_list(), name_of_from_list);
}

#[test]
fn release_controller_link_frames_are_compatible() {
    check_frames("ToDesk", &to_controller());
    check_names(&to_controller(), name_of_to_controller);
    check_frames("FromDesk", &from_controller());
    check_names(&from_controller(), name_of_from_controller);
}
