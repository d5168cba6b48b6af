//! Deliveries: whether they may have run, by how they ended, and which are recalled before they are sent.

use spokeflow_engine::{Input, TransportFailure};
use spokeflow_proto::{EndpointPhase, ToClient};

use crate::common::*;

#[test]
fn a_delivery_that_was_sent_may_have_run_and_one_without_a_connection_has_not() {
    let mut harness = Harness::new(2, 0);
    harness.list_ready(&[1, 2], 7);
    harness.command(10, 1, AT_MOST_ONCE, 1);
    let sent = harness.take_delivery();
    harness.fail_delivery(sent, TransportFailure::Reset);
    assert!(
        matches!(harness.answers(10)[..], [ToClient::Failed { id: 1 }]),
        "the delivery may have run, so the command must fail: {:?}",
        harness.answers(10)
    );
    assert_eq!(harness.transport.open.len(), 0);

    // A delivery on a connection that the router closed as unresponsive may have run as well.
    harness.command(10, 3, AT_MOST_ONCE, 1);
    let sent = harness.take_delivery();
    harness.fail_delivery(sent, TransportFailure::Unresponsive);
    assert!(matches!(
        harness.answers(10)[1..],
        [ToClient::Failed { id: 3 }]
    ));
    assert_eq!(harness.transport.open.len(), 0);

    harness.command(10, 2, AT_MOST_ONCE, 1);
    let sent = harness.take_delivery();
    harness.fail_delivery(sent, TransportFailure::NotConnected);
    let second = harness.take_delivery();
    assert_ne!(sent.host, second.host);
    harness.ack(second);
    assert!(matches!(
        harness.answers(10)[2..],
        [ToClient::Acked { id: 2, .. }]
    ));
}

#[test]
fn a_host_with_a_full_send_queue_is_avoided() {
    let mut harness = Harness::new(7, 0);
    harness.list_ready(&[1, 2], 7);
    harness.transport.full_host = Some(1);
    for id in 0..6 {
        harness.command(10, id, AT_MOST_ONCE, 0);
    }
    assert_eq!(harness.transport.open.len(), 6);
    assert!(harness.transport.open.iter().all(|sent| sent.host == 2));
    assert!(harness.answers(10).is_empty());
}

#[test]
fn a_draining_host_is_closed_and_unsent_deliveries_are_retried_elsewhere() {
    let mut harness = Harness::new(8, 0);
    harness.list_ready(&[1, 2], 7);
    harness.command(10, 1, AT_MOST_ONCE, 1);
    let sent = harness.take_delivery();
    harness.change_endpoint(sent.host, 7, EndpointPhase::Draining, 1);
    let closed = ClosedHost {
        host: sent.host,
        gone: false,
    };
    assert_eq!(harness.transport.closed, [closed]);
    harness.fail_delivery(sent, TransportFailure::NotSent);
    let second = harness.take_delivery();
    assert_ne!(sent.host, second.host);
}

/// The deduplication window of 0.8 s counts from the first delivery that may have run, wherever the retry is delayed.
#[test]
fn a_retry_has_to_be_sent_within_the_deduplication_window() {
    let mut harness = Harness::new(5, 0);
    harness.list_ready(&[1, 2, 3], 7);
    harness.command(10, 1, DEDUPLICATED, 0);
    let sent = harness.take_delivery();
    harness.advance(100_000);
    harness.fail_delivery(sent, TransportFailure::NotConnected);
    let sent = harness.take_delivery();
    let window_start = harness.now;
    harness.advance(300_000);
    harness.fail_delivery(sent, TransportFailure::Reset);
    harness.take_delivery();
    let deliveries = &harness.transport.deliveries;
    assert_eq!(deliveries.len(), 3);
    assert!(
        deliveries[1].send_deadline > window_start + SECOND,
        "a delivery that never ran must not start the window: {deliveries:?}"
    );
    assert_eq!(deliveries[2].send_deadline, window_start + 800_000);
}

#[test]
fn unsent_deliveries_are_recalled_once_their_command_is_answered_or_abandoned() {
    let mut harness = Harness::new(5, 0);
    harness.list_ready(&[1, 2], 7);
    harness.command(10, 1, IDEMPOTENT, 0);
    let sent = harness.take_delivery();
    harness.input(Input::ClientDisconnected { conn: 10 });
    assert!(harness.transport.has_recalled(sent));
    harness.command(11, 2, AT_MOST_ONCE, 0);
    let sent = harness.take_delivery();
    harness.input(Input::AbortAll);
    // The delivery may have run, so the command must not be nacked.
    assert!(matches!(
        harness.answers(11)[..],
        [ToClient::Failed { id: 2 }]
    ));
    assert!(harness.transport.has_recalled(sent));
    assert_eq!(harness.engine.waiting_commands(), 0);
    harness.input(Input::AbortAll);
    assert_eq!(harness.answers(11).len(), 1);
}
