//! The release controller's model: stages, votes and rollbacks.

use spokeflow_scenario::observation::RolloutState;
use spokeflow_scenario::release_controller::{
    ControllerVote, FleetOrder, ReleaseController, VoteOutcome,
};
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::{Micros, SECOND};

/// Starts what is ordered at once.
fn settle(controller: &mut ReleaseController, now: Micros, orders: &mut Vec<FleetOrder>) {
    while let Some(order) = orders.pop() {
        if let FleetOrder::Start { host, .. } = order {
            controller.on_host_started(now, host, orders);
        }
    }
}

fn controller() -> ReleaseController {
    ReleaseController::new(&Scenario::plain(1, 60 * SECOND))
}

#[test]
fn a_build_goes_through_all_stages_by_votes_and_no_sooner_than_baked() {
    let (mut controller, mut orders, mut now) = (controller(), Vec::new(), SECOND);
    assert!(controller.offer(now, 2, &mut orders));
    for stage in 0..5 {
        settle(&mut controller, now, &mut orders);
        assert_eq!(
            controller.vote(now, 0, 2, stage, ControllerVote::On),
            VoteOutcome::Counted
        );
        controller.tick(now + 2_900_000, &mut orders);
        assert_eq!(
            (controller.state.stage, controller.state.rollout),
            (stage, RolloutState::Canary)
        );
        now += 3 * SECOND;
        controller.tick(now, &mut orders);
    }
    settle(&mut controller, now, &mut orders);
    assert_eq!(controller.state.rollout, RolloutState::Released);
    assert!(controller.slots.iter().all(|p| p.build == 2));
}

#[test]
fn a_vote_back_takes_the_build_off_and_starts_the_earlier_one_again() {
    let (mut controller, mut orders) = (controller(), Vec::new());
    controller.offer(0, 2, &mut orders);
    settle(&mut controller, 0, &mut orders);
    assert_eq!(
        controller.vote(1, 1, 2, 0, ControllerVote::Back),
        VoteOutcome::Counted
    );
    controller.tick(2, &mut orders);
    assert_eq!(
        (controller.state.rollout, controller.state.cap),
        (RolloutState::RollingBack, 0.0)
    );
    settle(&mut controller, 3, &mut orders);
    controller.tick(4, &mut orders);
    assert_eq!(controller.state.rollout, RolloutState::Withdrawn);
    assert!(controller.slots.iter().all(|p| p.build == 1));
    assert_eq!(
        controller.vote(5, 1, 2, 0, ControllerVote::On),
        VoteOutcome::Stale
    );
}

#[test]
fn a_second_offer_takes_off_what_is_still_on_trial() {
    let (mut controller, mut orders) = (controller(), Vec::new());
    controller.offer(0, 2, &mut orders);
    assert!(!controller.offer(10, 3, &mut orders));
    settle(&mut controller, 11, &mut orders);
    controller.tick(12, &mut orders);
    assert!(controller.offer(13, 3, &mut orders));
    assert_eq!(controller.state.build, 3);
}

#[test]
fn votes_are_bounded_and_pass_away() {
    let (mut controller, mut orders) = (controller(), Vec::new());
    controller.offer(0, 2, &mut orders);
    settle(&mut controller, 0, &mut orders);
    let counted = (0..500)
        .filter(|n| controller.vote(0, *n, 2, 0, ControllerVote::On) == VoteOutcome::Counted)
        .count();
    assert_eq!(counted, 50);
    controller.tick(11 * SECOND, &mut orders);
    assert_eq!(controller.state.stage, 0, "votes stand for ten seconds");
}
