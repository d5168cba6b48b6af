//! Runs the program on standard input and output: a command is delivered, and errors in the input are reported with
//! their position.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START: u8 = 0;
const LIST: u8 = 1;
const COMMAND: u8 = 2;
const DEFINE_LIST: u8 = 13;
const FOR: u8 = 14;

const SETTINGS: &str = r#"{
    "categories": [{"aim_s": 0.5, "deadline_s": 2, "effect": "idempotent", "worth": 1}],
    "tenants": [{"allowance_per_s": 50}],
    "resolution_s": 0.005,
    "caps": {"send_cap": 4},
    "guarantees": {"cold_from": 0.3, "drain_grace_s": 1, "fall_multiple": 3, "fall_s": 2, "warm_within_s": 2},
    "family_info": {"gate_mode": "single", "stage_cap": [0.1, 1], "waves": [0.1, 1], "free": 50, "span_s": 4}
}"#;

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    let mut record = vec![code];
    record.extend((body.len() as u32).to_be_bytes());
    record.extend(body);
    record
}

fn batch(clock: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut batch = (body.len() as u32).to_be_bytes().to_vec();
    batch.extend((records.len() as u32).to_be_bytes());
    batch.extend(clock.to_be_bytes());
    batch.extend(body);
    batch
}

fn for_router(number: u32) -> Vec<u8> {
    record(FOR, &[&number.to_be_bytes()])
}

fn start() -> Vec<u8> {
    let seed = 7u64.to_be_bytes();
    let length = (SETTINGS.len() as u32).to_be_bytes();
    record(START, &[&seed, &length, SETTINGS.as_bytes()])
}

/// Returns a record that defines a list with one host, which became ready long ago.
fn define_list(number: u8, host: u32) -> Vec<u8> {
    let release = 7f32.to_be_bytes();
    let cell_zone_flags_and_state = [0, 0, 0, 0, 0, 1];
    let size = 1f32.to_be_bytes();
    let ready_at = 1f64.to_be_bytes();
    record(
        DEFINE_LIST,
        &[
            &[number],
            &1u32.to_be_bytes(),
            &release,
            &cell_zone_flags_and_state,
            &size,
            &ready_at,
            &host.to_be_bytes(),
        ],
    )
}

fn list(number: u8, mode: u8) -> Vec<u8> {
    record(LIST, &[&[0; 4], &[number, mode]])
}

fn command(cmd: u32) -> Vec<u8> {
    let rest = [0; 1 + 4 + 2 + 8 + 8];
    record(COMMAND, &[&cmd.to_be_bytes(), &rest, &2f64.to_be_bytes()])
}

/// Runs the program with this standard input until it exits.
fn run(input: &[u8]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_spokeflow-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    program.stdin.take().unwrap().write_all(input).unwrap();
    program.wait_with_output().unwrap()
}

/// Splits the output into replies, without their lengths.
fn replies(mut output: &[u8]) -> Vec<&[u8]> {
    let mut replies = Vec::new();
    while let Some((length, rest)) = output.split_first_chunk() {
        let (reply, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        replies.push(reply);
        output = rest;
    }
    replies
}

#[test]
fn a_command_is_delivered_by_the_router_it_came_to() {
    let host = 301u32;
    let setup = [for_router(5), start(), define_list(2, host), list(2, 1)];
    let commands = [for_router(6), command(8), for_router(5), command(9)];
    let input = [batch(100.0, &setup), batch(100.5, &commands)].concat();
    let output = run(&input);
    assert!(output.status.success(), "{output:?}");
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), 2);
    // Router 6 was not started: the reply has no records of it.
    let from_router_5 = [&[13, 0, 0, 0, 4][..], &5u32.to_be_bytes()].concat();
    assert!(replies[1].starts_with(&from_router_5), "{:?}", replies[1]);
    let deliver = [
        &[0, 0, 0, 0, 16][..],
        &9u32.to_be_bytes(),
        &host.to_be_bytes(),
    ]
    .concat();
    let delivered = replies[1]
        .windows(deliver.len())
        .any(|part| part == deliver);
    assert!(delivered, "{:?}", replies[1]);
}

#[test]
fn errors_in_the_input_are_reported_with_their_position() {
    let started = [for_router(5), start()];
    let cases = [
        (
            batch(1.0, &[])[..9].to_vec(),
            "batch header, byte 9: input truncated: got 9 of the 16 bytes of the header",
        ),
        (
            batch(f64::NAN, &[]),
            "batch header, byte 8: the clock is NaN, expected a finite number of seconds",
        ),
        (
            batch(1.0, &[command(1)]),
            "record 0, byte 21 of its batch: an event without a router: expected a For record before it",
        ),
        (
            batch(1.0, &[for_router(5), record(START, &[&[0; 7]])]),
            "record 1, byte 30 of its batch: record truncated: expected 8 more bytes, got 7",
        ),
        (
            [
                batch(1.0, &started),
                batch(2.0, &[for_router(5), list(0, 9)]),
            ]
            .concat(),
            "record 1, byte 36 of its batch: list mode 9 is not known: expected 0 to 3",
        ),
        (
            [
                batch(1.0, &started),
                batch(2.0, &[for_router(5), list(16, 1)]),
            ]
            .concat(),
            "record 1, byte 36 of its batch: list number 16 is out of range: expected 0 to 15",
        ),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        assert!(!output.status.success());
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(stderr, format!("spokeflow-wirehost: {expected}\n"));
    }
}
