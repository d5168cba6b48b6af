//! What has left for a host and what has not, whatever happens to the connection.

use spokeflow_core::Micros;
use spokeflow_engine::{Left, Outgoing};
use spokeflow_proto::ToHost;

const LATER: Micros = 1_000_000;

fn deliver(delivery: u64) -> ToHost {
    ToHost::Deliver {
        delivery,
        op: 0,
        share: 0,
        key: 0,
        mark: 0,
        left_us: 1,
        body: Default::default(),
    }
}

/// Queues and encodes, each frame of ten bytes.
fn encode(outgoing: &mut Outgoing, deliveries: &[u64]) {
    for d in deliveries {
        assert_eq!(outgoing.push(deliver(*d), LATER), None);
        let message = outgoing.next(0, &mut Vec::new()).unwrap();
        outgoing.encoded(&message, 10);
    }
}

#[test]
fn a_frame_that_left_in_part_never_ran() {
    for remaining in 0..=30 {
        let mut outgoing = Outgoing::default();
        encode(&mut outgoing, &[1, 2, 3]);
        let whole = (30 - remaining as u64) / 10;
        let left = outgoing.broken(remaining);
        assert_eq!(
            left.sent,
            (1..=whole).collect::<Vec<_>>(),
            "{remaining} bytes left behind"
        );
        assert_eq!(left.unsent, (whole + 1..=3).collect::<Vec<_>>());
        assert!(outgoing.idle());
    }
}

#[test]
fn what_was_answered_or_only_queued_is_no_break() {
    let mut outgoing = Outgoing::default();
    encode(&mut outgoing, &[1, 2]);
    outgoing.remaining(0);
    outgoing.answered(1);
    outgoing.push(deliver(3), LATER);
    assert_eq!(
        outgoing.broken(0),
        Left {
            unsent: vec![3],
            sent: vec![2]
        }
    );
}

#[test]
fn a_drain_takes_out_all_that_waits_and_lets_nothing_more_in() {
    let mut outgoing = Outgoing::default();
    encode(&mut outgoing, &[1]);
    outgoing.push(deliver(2), LATER);
    outgoing.push(ToHost::Cancel { delivery: 1 }, LATER);
    assert_eq!(outgoing.close(), [2]);
    assert_eq!(outgoing.push(deliver(3), LATER), Some(3));
    // A cancel of what is out still goes.
    assert_eq!(
        outgoing.next(0, &mut Vec::new()),
        Some(ToHost::Cancel { delivery: 1 })
    );
    assert_eq!(outgoing.next(0, &mut Vec::new()), Some(ToHost::Ping));
    assert!(outgoing.half_sent());
    outgoing.open();
    assert_eq!(outgoing.push(deliver(4), LATER), None);
}

#[test]
fn a_cancel_overtakes_its_delivery_while_that_waits() {
    let mut outgoing = Outgoing::default();
    outgoing.push(deliver(1), LATER);
    outgoing.push(deliver(2), LATER);
    assert_eq!(
        outgoing.push(ToHost::Cancel { delivery: 1 }, LATER),
        Some(1)
    );
    assert_eq!(outgoing.next(0, &mut Vec::new()), Some(deliver(2)));
    // What is known to neither side is not sent.
    assert_eq!(outgoing.push(ToHost::Cancel { delivery: 9 }, LATER), None);
    assert_eq!(outgoing.next(0, &mut Vec::new()), None);
}

#[test]
fn what_is_past_its_time_does_not_leave() {
    let mut outgoing = Outgoing::default();
    outgoing.push(deliver(1), 100);
    outgoing.push(deliver(2), 200);
    let mut late = Vec::new();
    assert_eq!(outgoing.next(100, &mut late), Some(deliver(2)));
    assert_eq!(late, [1]);
}

/// Found by the emulator: a delivery and its cancel, both held by a cut, arrived when it ended, seconds after
/// hosts had forgotten the mark of its repeat. While nothing shows that they have arrived the way is watched.
#[test]
fn what_was_cancelled_is_on_the_way_until_a_later_ping_is_answered() {
    let mut outgoing = Outgoing::default();
    encode(&mut outgoing, &[1]);
    outgoing.remaining(0);
    // A ping from before the cancel shows nothing of it.
    outgoing.push(ToHost::Ping, LATER);
    outgoing.push(ToHost::Cancel { delivery: 1 }, LATER);
    let left: Vec<ToHost> = std::iter::from_fn(|| outgoing.next(0, &mut Vec::new())).collect();
    assert_eq!(left, [ToHost::Ping, ToHost::Cancel { delivery: 1 }]);
    assert!(!outgoing.idle());
    outgoing.pong();
    assert!(!outgoing.idle());
    assert_eq!(outgoing.next(0, &mut Vec::new()), Some(ToHost::Ping));
    outgoing.pong();
    assert!(outgoing.idle());
    // One whose frame was leaving when it was cancelled is not waited for as unanswered.
    encode(&mut outgoing, &[2]);
    outgoing.push(ToHost::Cancel { delivery: 2 }, LATER);
    outgoing.remaining(0);
    assert_eq!(outgoing.broken(0), Left::default());
    assert!(outgoing.idle());
}
