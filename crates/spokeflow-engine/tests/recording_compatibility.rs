//! The format of recordings stays compatible: reads a router's recording that commit d62ab1d wrote.
//!
//! `fixtures/d62ab1d/router.recording` is what `spokeflow-router --record` of that commit wrote in
//! five seconds: it followed a control plane of three nodes for its configuration and its list, took five
//! commands from one client, delivered them to two hosts, and was ended by SIGTERM.

use bytes::Bytes;
use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::Micros;
use spokeflow_engine::{Input, Recording, TornEntryError};
use spokeflow_proto::{
    Command, EndpointPhase, EndpointRecord, FromController, FromHost, FromList, RolloutPhase,
    RolloutUpdate,
};

const RECORDING: &[u8] = include_bytes!("fixtures/d62ab1d/router.recording");

/// Returns all inputs except timers, with their times.
fn inputs() -> Vec<(Micros, Input)> {
    let recording = Recording::read(RECORDING).unwrap();
    assert_eq!((recording.seed, recording.start), (62, 30));
    assert_eq!((recording.inputs.len(), recording.error), (278, None));
    recording
        .inputs
        .into_iter()
        .filter(|recorded| recorded.input != Input::Timer)
        .map(|recorded| (recorded.at, recorded.input))
        .collect()
}

/// Returns the contents that `select` takes from the inputs, with the times of those inputs.
fn of_kind<Content>(select: impl Fn(Input) -> Option<Content>) -> Vec<(Micros, Content)> {
    let selected = inputs()
        .into_iter()
        .filter_map(|(at, input)| Some((at, select(input)?)));
    selected.collect()
}

fn record(host: u32, index: u16, phase: EndpointPhase, up_us: Option<u64>) -> EndpointRecord {
    EndpointRecord {
        host,
        address: format!("127.0.0.1:{}", 27931 + u32::from(index)),
        build: Some(7),
        cell: 11 + index,
        zone: index,
        phase,
        incarnation: 41 + u64::from(index),
        up_us,
    }
}

/// Returns the records of the three hosts, with the uptimes of the first and the third. The second has none because
/// it started long ago.
fn records(first_up_us: u64, third_up_us: u64) -> Vec<EndpointRecord> {
    vec![
        record(301, 0, EndpointPhase::Ready, Some(first_up_us)),
        record(302, 1, EndpointPhase::Ready, None),
        record(303, 2, EndpointPhase::Draining, Some(third_up_us)),
    ]
}

/// Returns the configuration that the router's own flags set.
fn own_config() -> EffectiveConfig {
    EffectiveConfig {
        tenant_quotas: vec![50.0],
        fleet_size: 1,
        delivery_cap: 4,
        may_hedge: false,
        longest_retry_after: 2_000_000,
        drain_grace: 1_000_000,
        slow_start_from: 0.3,
        overload_multiple: 3.0,
        stage_caps: vec![0.07, 0.28, 0.7, 1.0],
        exposure_allowance: 1.0,
        guarded_stages: 0,
        complaint_share: 0.0,
        rollback_votes: 0,
        votes_per_second: f64::INFINITY,
    }
}

fn second_revision() -> EffectiveConfig {
    EffectiveConfig {
        delivery_cap: 3,
        stage_caps: vec![0.02, 0.1, 0.4, 1.0],
        ..own_config()
    }
}

fn acked(delivery: u64, host: u32) -> FromHost {
    FromHost::Acked {
        delivery,
        body: Bytes::from(format!("done by {host}")),
    }
}

#[test]
fn commands_of_the_client_are_read() {
    let commands = of_kind(|input| match input {
        Input::Command { conn, command } => Some((conn, command)),
        _ => None,
    });
    let expected = (1..=5).map(|n| {
        let body = Bytes::from(format!("command {n}"));
        let (op, key, idempotency_key) = ((n % 2) as u16, 9000 + n, 500 + n);
        (
            1,
            Command {
                id: 100 + n,
                op,
                tenant: 0,
                key,
                idempotency_key,
                left_us: 1_500_000,
                body,
            },
        )
    });
    assert!(commands
        .iter()
        .map(|command| command.1.clone())
        .eq(expected));
    let times: Vec<Micros> = commands.iter().map(|command| command.0).collect();
    assert_eq!(
        times,
        [1_505_534, 1_556_752, 1_607_287, 1_664_488, 1_714_954]
    );
}

#[test]
fn abandon_disconnect_and_close_are_read() {
    let all = inputs();
    let abandon = all
        .iter()
        .find(|(_, input)| matches!(input, Input::Abandon { .. }))
        .unwrap();
    assert_eq!(abandon, &(1_791_988, Input::Abandon { conn: 1, id: 105 }));
    assert!(all.contains(&(1_967_827, Input::ClientDisconnected { conn: 1 })));
    assert!(all.contains(&(5_065_730, Input::Close)));
}

#[test]
fn answers_of_hosts_are_read() {
    let received = of_kind(|input| match input {
        Input::FromHost { host, message } => Some((host, message)),
        _ => None,
    });
    let messages: Vec<(u32, FromHost)> = received.into_iter().map(|received| received.1).collect();
    let welcome = |host, incarnation| FromHost::Welcome {
        host,
        build: 7,
        incarnation,
        up_us: 9_500_000,
    };
    let expected = [
        (302, welcome(302, 42)),
        (302, acked(0, 302)),
        (302, acked(1, 302)),
        (301, welcome(301, 41)),
        (301, acked(2, 301)),
        (302, acked(3, 302)),
        (302, acked(4, 302)),
    ];
    assert_eq!(messages, expected);
}

#[test]
fn messages_of_list_and_release_controller_are_read() {
    let all = inputs();
    let complete = FromList::Complete {
        version: 77,
        endpoints: records(9_000_000, 5_000_000),
    };
    assert!(all.contains(&(6_383, Input::FromList(complete))));
    let phase = RolloutPhase::Released;
    let update = RolloutUpdate {
        build: 7,
        stage: 0,
        phase,
        exposure_cap: 1.0,
        age_us: 123_456,
    };
    assert!(all.contains(&(
        6_407,
        Input::FromController(FromController::RolloutUpdate(update))
    )));
}

#[test]
fn lists_from_the_control_plane_are_read() {
    let lists = of_kind(|input| match input {
        Input::ReplicatedList { complete, hosts } => Some((complete, hosts)),
        _ => None,
    });
    let first = (1_140, (false, Vec::new()));
    let second = (7_795, (true, records(10_920_152, 6_920_152)));
    assert_eq!(lists, [first, second]);
}

#[test]
fn leases_from_the_control_plane_are_read() {
    let leases = of_kind(|input| match input {
        Input::Lease { until, config } => Some((until, *config)),
        _ => None,
    });
    assert_eq!(leases.len(), 9);
    assert_eq!(leases[0], (1_129, (1_129, own_config())));
    assert_eq!(leases[1], (7_838, (2_977_496, second_revision())));
    // The stricter of the values in revisions 3 (in force) and 4 (pending).
    let last = EffectiveConfig {
        delivery_cap: 2,
        guarded_stages: 1,
        ..second_revision()
    };
    assert_eq!(leases[8], (4_968_011, (7_937_449, last)));
}

#[test]
fn encoding_the_inputs_again_gives_the_same_bytes() {
    let recording = Recording::read(RECORDING).unwrap();
    let entries = recording
        .inputs
        .iter()
        .flat_map(|recorded| Recording::entry(recorded.at, &recorded.input));
    let written: Vec<u8> = Recording::head(recording.seed, recording.start)
        .into_iter()
        .chain(entries)
        .collect();
    assert_eq!(written, RECORDING);
}

#[test]
fn a_changed_byte_is_detected() {
    let mut changed = RECORDING.to_vec();
    changed[4_000] ^= 1;
    let error = Recording::read(&changed).unwrap().error;
    assert!(matches!(error, Some(TornEntryError { .. })), "{error:?}");
}
