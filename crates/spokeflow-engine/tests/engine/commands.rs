//! Commands from clients: one final answer each, and which commands are refused at once.

use spokeflow_core::Micros;
use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, ToClient};

use crate::common::*;

#[test]
fn an_acked_delivery_is_the_only_final_answer() {
    let mut harness = Harness::new(1, 0);
    harness.list_ready(&[1, 2], 7);
    harness.command(10, 5, AT_MOST_ONCE, 1);
    let sent = harness.take_delivery();
    harness.ack(sent);
    assert!(matches!(
        harness.answers(10)[..],
        [ToClient::Acked {
            id: 5,
            build: 7,
            ..
        }]
    ));
    // A repeated or late answer from the host is only counted.
    harness.ack(sent);
    harness.advance(5 * SECOND);
    assert_eq!(harness.answers(10).len(), 1);
    assert_eq!(
        (
            harness.engine.counts().late,
            harness.engine.waiting_commands()
        ),
        (1, 0)
    );
}

#[test]
fn an_unanswered_command_fails_before_the_client_times_out() {
    let mut harness = Harness::new(3, 0);
    harness.list_ready(&[1, 2], 7);
    harness.command(10, 1, AT_MOST_ONCE, 1);
    let sent_at = harness.now;
    harness.take_delivery();
    harness.advance(3 * SECOND);
    let mut answers = harness.transport.answers.iter();
    let answer = answers.find(|answer| answer.conn == 10).unwrap();
    assert!(matches!(answer.message, ToClient::Failed { id: 1 }));
    let latency = answer.at - sent_at;
    assert!(
        latency <= 2 * SECOND - MARGIN,
        "answered after {latency} us"
    );
    assert_eq!(harness.engine.counts().overdue, 0);
}

#[test]
fn a_disconnected_client_gets_no_answer_and_its_ids_are_free_again() {
    let mut harness = Harness::new(4, 0);
    harness.list_ready(&[1, 2], 7);
    harness.command(10, 1, IDEMPOTENT, 1);
    let sent = harness.take_delivery();
    harness.input(Input::ClientDisconnected { conn: 10 });
    harness.ack(sent);
    assert!(harness.answers(10).is_empty());
    harness.command(10, 1, IDEMPOTENT, 1);
    let sent = harness.take_delivery();
    harness.ack(sent);
    assert_eq!(harness.answers(10).len(), 1);
}

#[test]
fn an_id_in_use_is_refused_and_the_first_command_goes_on() {
    let mut harness = Harness::new(5, 0);
    harness.list_ready(&[1], 7);
    harness.command(10, 1, IDEMPOTENT, 1);
    harness.command(11, 1, IDEMPOTENT, 2);
    harness.command(10, 1, IDEMPOTENT, 3);
    assert!(matches!(&harness.answers(10)[..], [ToClient::Refused(refused)] if refused.code == 9));
    assert!(
        harness.answers(11).is_empty(),
        "the same id on another connection belongs to another command"
    );
    assert_eq!(harness.engine.waiting_commands(), 2);
}

#[test]
fn command_ids_wrap_around_past_those_in_use() {
    let mut harness = Harness::new(6, 0);
    harness.list_ready(&[1, 2, 3], 7);
    harness.engine.set_next_command_id(u32::MAX - 1);
    for id in 0..4 {
        harness.command(10, id, IDEMPOTENT, 0);
    }
    harness.engine.set_next_command_id(u32::MAX - 1);
    harness.command(10, 9, IDEMPOTENT, 0);
    let open = std::mem::take(&mut harness.transport.open);
    assert_eq!(open.len(), 5);
    for sent in open {
        harness.ack(sent);
    }
    let mut ids: Vec<u64> = harness.answers(10).iter().map(id_of).collect();
    ids.sort_unstable();
    assert_eq!(ids, [0, 1, 2, 3, 9]);
}

#[test]
fn a_command_that_cannot_be_served_is_nacked_at_once() {
    let mut harness = Harness::new(10, 0);
    harness.list_ready(&[1], 7);
    harness.command(10, 1, 77, 1);
    harness.command_within(10, 2, AT_MOST_ONCE, 1, MARGIN);
    harness.input(Input::Close);
    harness.command(10, 3, AT_MOST_ONCE, 1);
    assert!(matches!(
        harness.answers(10)[..],
        [
            ToClient::Nacked { id: 1, .. },
            ToClient::Nacked { id: 2, .. },
            ToClient::Nacked { id: 3, .. }
        ]
    ));
    assert!(harness.transport.open.is_empty());
}

#[test]
fn any_order_of_inputs_gives_one_answer_for_each_command() {
    // Random inputs: commands on two connections, deliveries that end in every way or not at all, and hosts that
    // restart, drain and go.
    for seed in 0..60 {
        let mut harness = Harness::new(seed, seed);
        harness.list_ready(&[1, 2, 3, 4], 7);
        let mut id = 0;
        for _ in 0..400 {
            match harness.random_below(9) {
                0..=3 => {
                    id += 1;
                    let op = harness.random_below(3) as u16;
                    let key = harness.random_below(9);
                    let left = MARGIN + 1000 * (1 + harness.random_below(1500) as Micros);
                    harness.command_within(10 + id % 2, id, op, key, left);
                }
                4 | 5 => harness.end_random_delivery(),
                6 => {
                    let host = 1 + harness.random_below(4) as u32;
                    let phase = match harness.random_below(3) {
                        0 => EndpointPhase::Ready,
                        1 => EndpointPhase::Draining,
                        _ => EndpointPhase::Gone,
                    };
                    let build = 7 + harness.random_below(2) as u16;
                    let incarnation = harness.random_below(50);
                    harness.change_endpoint(host, build, phase, incarnation);
                }
                _ => {
                    let wait = harness.random_below(60_000) as Micros;
                    harness.advance(wait);
                }
            }
        }
        harness.advance(3 * SECOND);
        harness.transport.assert_one_answer_each(id);
        assert_eq!(
            (
                harness.engine.waiting_commands(),
                harness.engine.counts().overdue
            ),
            (0, 0),
            "seed {seed}"
        );
    }
}
