//! Times from an offer to its coming into force, by what is noted of each router.

use std::collections::BTreeSet;

use spokeflow_testbed::scale::Propagation;

const ROUTERS: u32 = 3;

#[test]
fn each_router_counts_from_the_offer_to_its_own_word() {
    let mut propagation = Propagation::default();
    propagation.offered(1, 100);
    for router in 0..ROUTERS {
        propagation.granted(200, router, 1, false, false);
        propagation.confirmed(300 + i64::from(router), router, 1);
    }
    let spread = propagation.spread(1, ROUTERS).unwrap();
    assert_eq!(spread.granted, [100, 100, 100]);
    assert_eq!(spread.confirmed, [200, 201, 202]);
    assert!(spread.missing.is_empty());
    assert!(propagation.missing(ROUTERS).is_empty());
    assert_eq!(propagation.spread(2, ROUTERS), None);
}

#[test]
fn a_router_that_is_there_and_says_nothing_is_missing() {
    let mut propagation = Propagation::default();
    propagation.offered(1, 100);
    propagation.granted(200, 0, 1, false, false);
    propagation.confirmed(300, 0, 1);
    // Told is not confirmed.
    propagation.granted(200, 1, 1, false, false);
    assert_eq!(
        propagation.spread(1, ROUTERS).unwrap().missing,
        BTreeSet::from([1, 2])
    );
    assert_eq!(propagation.missing(ROUTERS), BTreeSet::from([1, 2]));
}

#[test]
fn a_router_that_was_away_counts_from_its_return() {
    let mut propagation = Propagation::default();
    propagation.left(50, 0);
    propagation.left(150, 1);
    propagation.offered(1, 100);
    assert_eq!(
        propagation.spread(1, 2).unwrap().missing,
        BTreeSet::new(),
        "who is away is not waited for"
    );
    propagation.returned(1000, 0);
    propagation.returned(2000, 1);
    propagation.confirmed(1300, 0, 1);
    propagation.confirmed(2400, 1, 1);
    let spread = propagation.spread(1, 2).unwrap();
    assert_eq!(spread.confirmed, [300, 400]);
    assert!(!propagation.was_present(1, 1900, 3000));
    assert!(propagation.was_present(1, 2001, 3000));
}

#[test]
fn an_absence_after_the_arrival_changes_nothing() {
    let mut propagation = Propagation::default();
    propagation.offered(1, 100);
    propagation.confirmed(400, 0, 1);
    propagation.left(500, 0);
    propagation.returned(600, 0);
    assert_eq!(propagation.spread(1, 1).unwrap().confirmed, [300]);
}

#[test]
fn a_later_revision_stands_for_those_before_it() {
    let mut propagation = Propagation::default();
    propagation.offered(1, 100);
    propagation.offered(2, 200);
    propagation.confirmed(500, 0, 2);
    assert_eq!(propagation.spread(1, 1).unwrap().confirmed, [400]);
    assert_eq!(propagation.spread(2, 1).unwrap().confirmed, [300]);
    // What comes late, over an older connection, takes nothing back.
    propagation.confirmed(600, 0, 1);
    assert!(propagation.missing(1).is_empty());
}

#[test]
fn a_router_is_ready_with_its_list_where_it_needs_one() {
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
