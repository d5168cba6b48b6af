//! Leases that were over before the next grant came, and who leads, by what the tap notes.

use spokeflow_testbed::scale::{Lapses, TapRecord};

const LEASE: i64 = 3000;

#[test]
fn a_grant_after_the_end_of_the_last_lease_is_a_lapse() {
    let mut seen = TapRecord::default();
    seen.granted(110, 0, 100, LEASE);
    seen.granted(1110, 0, 1100, LEASE);
    assert_eq!(seen.lapses, Lapses::default());
    // The last lease was over at 4100, counted from the sending of its request.
    seen.granted(4500, 0, 4490, LEASE);
    assert_eq!(
        seen.lapses,
        Lapses {
            count: 1,
            longest: 400
        }
    );
    // An answer that was overtaken takes nothing back.
    seen.granted(4600, 0, 1200, LEASE);
    seen.granted(7000, 0, 6990, LEASE);
    assert_eq!(
        seen.lapses,
        Lapses {
            count: 1,
            longest: 400
        }
    );
}

#[test]
fn the_lease_of_an_earlier_process_is_not_the_routers_own() {
    let mut seen = TapRecord::default();
    seen.granted(110, 0, 100, LEASE);
    seen.propagation.left(200, 0);
    seen.propagation.returned(1200, 0);
    seen.started(1200, 0);
    seen.granted(5000, 0, 4900, LEASE);
    assert_eq!(seen.lapses, Lapses::default());
}

#[test]
fn a_router_that_is_cut_off_has_no_lapse_of_its_own() {
    let mut seen = TapRecord::default();
    seen.granted(110, 0, 100, LEASE);
    seen.propagation.left(2000, 0);
    seen.propagation.returned(9000, 0);
    seen.granted(9100, 0, 9050, LEASE);
    assert_eq!(seen.lapses, Lapses::default());
}

#[test]
fn only_a_later_term_changes_who_leads() {
    let mut seen = TapRecord::default();
    seen.led(100, 2, 5);
    seen.granted(150, 0, 140, LEASE);
    seen.led(200, 1, 4);
    seen.led(300, 2, 5);
    assert_eq!(
        (
            seen.leadership.voter,
            seen.leadership.since,
            seen.leadership.first_grant
        ),
        (2, 100, Some(150))
    );
    seen.led(400, 3, 6);
    assert_eq!(
        (
            seen.leadership.voter,
            seen.leadership.since,
            seen.leadership.first_grant
        ),
        (3, 400, None)
    );
}
