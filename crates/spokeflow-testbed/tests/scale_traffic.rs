//! `TapRecord`: lapses, which are leases that expired before the next grant, and the leader.

use spokeflow_testbed::scale::{Lapses, TapRecord};

const LEASE: i64 = 3000;

#[test]
fn grant_after_expiry_of_the_last_lease_is_a_lapse() {
    let mut record = TapRecord::default();
    record.granted(110, 0, 100, LEASE);
    record.granted(1110, 0, 1100, LEASE);
    assert_eq!(record.lapses, Lapses::default());
    // The last lease expired at 4100, counted from the sending of its request.
    record.granted(4500, 0, 4490, LEASE);
    assert_eq!(
        record.lapses,
        Lapses {
            count: 1,
            longest: 400
        }
    );
    // A grant for an older request, forwarded late, must not shorten the lease.
    record.granted(4600, 0, 1200, LEASE);
    record.granted(7000, 0, 6990, LEASE);
    assert_eq!(
        record.lapses,
        Lapses {
            count: 1,
            longest: 400
        }
    );
}

#[test]
fn lease_of_an_earlier_process_does_not_count_for_a_restarted_router() {
    let mut record = TapRecord::default();
    record.granted(110, 0, 100, LEASE);
    record.propagation.left(200, 0);
    record.propagation.returned(1200, 0);
    record.started(1200, 0);
    record.granted(5000, 0, 4900, LEASE);
    assert_eq!(record.lapses, Lapses::default());
}

#[test]
fn router_that_is_cut_off_has_no_lapse() {
    let mut record = TapRecord::default();
    record.granted(110, 0, 100, LEASE);
    record.propagation.left(2000, 0);
    record.propagation.returned(9000, 0);
    record.granted(9100, 0, 9050, LEASE);
    assert_eq!(record.lapses, Lapses::default());
}

#[test]
fn only_a_later_term_changes_the_leader() {
    let mut record = TapRecord::default();
    record.led(100, 2, 5);
    record.granted(150, 0, 140, LEASE);
    record.led(200, 1, 4);
    record.led(300, 2, 5);
    assert_eq!(
        (
            record.leadership.voter,
            record.leadership.since,
            record.leadership.first_grant
        ),
        (2, 100, Some(150))
    );
    record.led(400, 3, 6);
    assert_eq!(
        (
            record.leadership.voter,
            record.leadership.since,
            record.leadership.first_grant
        ),
        (3, 400, None)
    );
}
