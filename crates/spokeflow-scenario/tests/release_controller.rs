//! The model of the release controller: stages, votes and rollbacks.

use spokeflow_scenario::observation::RolloutState;
use spokeflow_scenario::release_controller::{
    ControllerVote, FleetOrder, ReleaseController, VoteOutcome,
};
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::{Micros, SECOND};

/// Starts all ordered hosts at once.
fn start_ordered_hosts(
    controller: &mut ReleaseController,
    now: Micros,
    orders: &mut Vec<FleetOrder>,
) {
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
fn a_build_passes_a_stage_by_a_vote_and_not_before_its_bake_time() {
    let (mut controller, mut orders, mut now) = (controller(), Vec::new(), SECOND);
    assert!(controller.offer(now, 2, &mut orders));
    for stage in 0..5 {
        start_ordered_hosts(&mut controller, now, &mut orders);
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
    start_ordered_hosts(&mut controller, now, &mut orders);
    assert_eq!(controller.state.rollout, RolloutState::Released);
    assert!(controller.slots.iter().all(|slot| slot.build == 2));
}

#[test]
fn a_rollback_vote_replaces_the_build_with_the_earlier_one() {
    let (mut controller, mut orders) = (controller(), Vec::new());
    controller.offer(0, 2, &mut orders);
    start_ordered_hosts(&mut controller, 0, &mut orders);
    assert_eq!(
        controller.vote(1, 1, 2, 0, ControllerVote::Back),
        VoteOutcome::Counted
    );
    controller.tick(2, &mut orders);
    assert_eq!(
        (controller.state.rollout, controller.state.cap),
        (RolloutState::RollingBack, 0.0)
    );
    start_ordered_hosts(&mut controller, 3, &mut orders);
    controller.tick(4, &mut orders);
    assert_eq!(controller.state.rollout, RolloutState::Withdrawn);
    assert!(controller.slots.iter().all(|slot| slot.build == 1));
    assert_eq!(
        controller.vote(5, 1, 2, 0, ControllerVote::On),
        VoteOutcome::Stale
    );
}

#[test]
fn a_second_offer_rolls_back_a_build_in_its_canary() {
    let (mut controller, mut orders) = (controller(), Vec::new());
    controller.offer(0, 2, &mut orders);
    assert!(!controller.offer(10, 3, &mut orders));
    start_ordered_hosts(&mut controller, 11, &mut orders);
    controller.tick(12, &mut orders);
    assert!(controller.offer(13, 3, &mut orders));
    assert_eq!(controller.state.build, 3);
}

#[test]
fn votes_are_rate_limited_and_expire() {
    let (mut controller, mut orders) = (controller(), Vec::new());
    controller.offer(0, 2, &mut orders);
    start_ordered_hosts(&mut controller, 0, &mut orders);
    let counted = (0..500)
        .filter(|n| controller.vote(0, *n, 2, 0, ControllerVote::On) == VoteOutcome::Counted)
        .count();
    assert_eq!(counted, 50);
    controller.tick(11 * SECOND, &mut orders);
    assert_eq!(controller.state.stage, 0, "votes expire after 10 s");
}
