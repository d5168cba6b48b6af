//! `Propagation`: delays from the proposal of a revision until routers have it in force, absences, and starts of
//! routers.

use std::collections::BTreeSet;

use spokeflow_testbed::scale::Propagation;

const ROUTERS: u32 = 3;

#[test]
fn delay_of_each_router_counts_from_the_proposal_to_its_confirmation() {
    let mut propagation = Propagation::default();
    propagation.proposed(1, 100);
    for router in 0..ROUTERS {
        propagation.granted(200, router, 1, false, false);
        propagation.confirmed(300 + i64::from(router), router, 1);
    }
    let delays = propagation.delays(1, ROUTERS).unwrap();
    assert_eq!(delays.granted, [100, 100, 100]);
    assert_eq!(delays.confirmed, [200, 201, 202]);
    assert!(delays.missing.is_empty());
    assert!(propagation.missing(ROUTERS).is_empty());
    assert_eq!(propagation.delays(2, ROUTERS), None);
}

#[test]
fn present_router_without_confirmation_is_missing() {
    let mut propagation = Propagation::default();
    propagation.proposed(1, 100);
    propagation.granted(200, 0, 1, false, false);
    propagation.confirmed(300, 0, 1);
    // Router 1 was granted the revision but has not confirmed it.
    propagation.granted(200, 1, 1, false, false);
    assert_eq!(
        propagation.delays(1, ROUTERS).unwrap().missing,
        BTreeSet::from([1, 2])
    );
    assert_eq!(propagation.missing(ROUTERS), BTreeSet::from([1, 2]));
}

#[test]
fn delay_of_an_absent_router_counts_from_its_return() {
    let mut propagation = Propagation::default();
    propagation.left(50, 0);
    propagation.left(150, 1);
    propagation.proposed(1, 100);
    assert_eq!(
        propagation.delays(1, 2).unwrap().missing,
        BTreeSet::new(),
        "absent routers do not count as missing"
    );
    propagation.returned(1000, 0);
    propagation.returned(2000, 1);
    propagation.confirmed(1300, 0, 1);
    propagation.confirmed(2400, 1, 1);
    let delays = propagation.delays(1, 2).unwrap();
    assert_eq!(delays.confirmed, [300, 400]);
    assert!(!propagation.was_present(1, 1900, 3000));
    assert!(propagation.was_present(1, 2001, 3000));
}

#[test]
fn absence_after_the_arrival_does_not_change_the_delay() {
    let mut propagation = Propagation::default();
    propagation.proposed(1, 100);
    propagation.confirmed(400, 0, 1);
    propagation.left(500, 0);
    propagation.returned(600, 0);
    assert_eq!(propagation.delays(1, 1).unwrap().confirmed, [300]);
}

#[test]
fn confirmation_of_a_revision_confirms_all_earlier_ones() {
    let mut propagation = Propagation::default();
    propagation.proposed(1, 100);
    propagation.proposed(2, 200);
    propagation.confirmed(500, 0, 2);
    assert_eq!(propagation.delays(1, 1).unwrap().confirmed, [400]);
    assert_eq!(propagation.delays(2, 1).unwrap().confirmed, [300]);
    // A late request over an older connection must not revert the newest confirmed revision.
    propagation.confirmed(600, 0, 1);
    assert!(propagation.missing(1).is_empty());
}

#[test]
fn router_that_needs_the_host_list_is_ready_only_with_it() {
    let mut propagation = Propagation::default();
    propagation.started(100, 0);
    propagation.started(100, 1);
    propagation.granted(150, 0, 0, false, true);
    assert_eq!(propagation.starting(), BTreeSet::from([0, 1]));
    propagation.granted(160, 0, 0, true, true);
    propagation.granted(170, 1, 0, false, false);
    assert!(propagation.starting().is_empty());
    assert_eq!(propagation.take_ready(), [60, 70]);
    assert!(propagation.take_ready().is_empty());
}
