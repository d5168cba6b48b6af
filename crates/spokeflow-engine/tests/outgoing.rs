//! The send queue to a host: which deliveries were sent and which were not when their connection ends.

use spokeflow_core::Micros;
use spokeflow_engine::{Outgoing, Undelivered};
use spokeflow_proto::ToHost;

const LATER: Micros = 1_000_000;

fn deliver(delivery: u64) -> ToHost {
    ToHost::Deliver {
        delivery,
        op: 0,
        tenant: 0,
        key: 0,
        idempotency_key: 0,
        left_us: 1,
        body: Default::default(),
    }
}

/// Queues and encodes deliveries, each as a frame of ten bytes.
fn encode(outgoing: &mut Outgoing, deliveries: &[u64]) {
    for delivery in deliveries {
        assert_eq!(outgoing.push(deliver(*delivery), LATER), None);
        let message = outgoing.next(0, &mut Vec::new()).unwrap();
        outgoing.on_encoded(&message, 10);
    }
}

#[test]
fn a_partly_sent_frame_never_ran() {
    for remaining in 0..=30 {
        let mut outgoing = Outgoing::default();
        encode(&mut outgoing, &[1, 2, 3]);
        let sent_frames = (30 - remaining as u64) / 10;
        let undelivered = outgoing.on_disconnected(remaining);
        assert_eq!(
            undelivered.unconfirmed,
            (1..=sent_frames).collect::<Vec<_>>(),
            "{remaining} of 30 bytes were not sent"
        );
        assert_eq!(
            undelivered.unsent,
            (sent_frames + 1..=3).collect::<Vec<_>>()
        );
        assert!(outgoing.is_idle());
    }
}

#[test]
fn only_sent_unanswered_deliveries_are_unconfirmed() {
    let mut outgoing = Outgoing::default();
    encode(&mut outgoing, &[1, 2]);
    outgoing.on_written(0);
    outgoing.on_answered(1);
    outgoing.push(deliver(3), LATER);
    assert_eq!(
        outgoing.on_disconnected(0),
        Undelivered {
            unsent: vec![3],
            unconfirmed: vec![2]
        }
    );
}

#[test]
fn a_closed_queue_returns_what_waits_and_takes_no_more_deliveries() {
    let mut outgoing = Outgoing::default();
    encode(&mut outgoing, &[1]);
    outgoing.push(deliver(2), LATER);
    outgoing.push(ToHost::Cancel { delivery: 1 }, LATER);
    assert_eq!(outgoing.close(), [2]);
    assert_eq!(outgoing.push(deliver(3), LATER), Some(3));
    // The cancel of a delivery that is already encoded is sent.
    assert_eq!(
        outgoing.next(0, &mut Vec::new()),
        Some(ToHost::Cancel { delivery: 1 })
    );
    assert_eq!(outgoing.next(0, &mut Vec::new()), Some(ToHost::Ping));
    assert!(outgoing.is_mid_frame());
    outgoing.open();
    assert_eq!(outgoing.push(deliver(4), LATER), None);
}

#[test]
fn a_cancel_removes_a_delivery_that_still_waits() {
    let mut outgoing = Outgoing::default();
    outgoing.push(deliver(1), LATER);
    outgoing.push(deliver(2), LATER);
    assert_eq!(
        outgoing.push(ToHost::Cancel { delivery: 1 }, LATER),
        Some(1)
    );
    assert_eq!(outgoing.next(0, &mut Vec::new()), Some(deliver(2)));
    // A cancel of an unknown delivery is not sent.
    assert_eq!(outgoing.push(ToHost::Cancel { delivery: 9 }, LATER), None);
    assert_eq!(outgoing.next(0, &mut Vec::new()), None);
}

#[test]
fn an_expired_delivery_is_not_sent() {
    let mut outgoing = Outgoing::default();
    outgoing.push(deliver(1), 100);
    outgoing.push(deliver(2), 200);
    let mut late = Vec::new();
    assert_eq!(outgoing.next(100, &mut late), Some(deliver(2)));
    assert_eq!(late, [1]);
}

/// A network partition may hold back both a delivery and its cancel, and let them through when it ends, seconds after
/// hosts have forgotten the idempotency key. They are awaited until a ping shows that they have arrived.
#[test]
fn a_cancelled_delivery_is_awaited_until_a_later_ping_is_answered() {
    let mut outgoing = Outgoing::default();
    encode(&mut outgoing, &[1]);
    outgoing.on_written(0);
    // The answer to a ping sent before the cancel does not show that the cancel has arrived.
    outgoing.push(ToHost::Ping, LATER);
    outgoing.push(ToHost::Cancel { delivery: 1 }, LATER);
    let left: Vec<ToHost> = std::iter::from_fn(|| outgoing.next(0, &mut Vec::new())).collect();
    assert_eq!(left, [ToHost::Ping, ToHost::Cancel { delivery: 1 }]);
    assert!(!outgoing.is_idle());
    outgoing.on_pong();
    assert!(!outgoing.is_idle());
    assert_eq!(outgoing.next(0, &mut Vec::new()), Some(ToHost::Ping));
    outgoing.on_pong();
    assert!(outgoing.is_idle());
    // A delivery that was cancelled while its frame was leaving does not become unconfirmed.
    encode(&mut outgoing, &[2]);
    outgoing.push(ToHost::Cancel { delivery: 2 }, LATER);
    outgoing.on_written(0);
    assert_eq!(outgoing.on_disconnected(0), Undelivered::default());
    assert!(outgoing.is_idle());
}
