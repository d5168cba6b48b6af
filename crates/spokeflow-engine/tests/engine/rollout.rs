//! The rollout: votes, the release controller's caps, and the lease of the control plane.

use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::Micros;
use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, FromController, RolloutPhase, RolloutUpdate};

use crate::common::*;

/// Starts a rollout with two hosts of each build, whose stage allows the canary a share of 0.4.
fn start_canary(harness: &mut Harness) {
    harness.list_ready(&[1, 2], STABLE);
    harness.warm_up();
    harness.change_endpoint(3, CANARY, EndpointPhase::Ready, 1);
    harness.change_endpoint(4, CANARY, EndpointPhase::Ready, 1);
    let update = RolloutUpdate {
        build: CANARY,
        stage: 1,
        phase: RolloutPhase::Canary,
        exposure_cap: 0.4,
        age_us: 0,
    };
    harness.input(Input::FromController(FromController::RolloutUpdate(update)));
}

fn base_config() -> EffectiveConfig {
    EffectiveConfig::from(&config().service)
}

fn grant_lease(harness: &mut Harness, duration: Micros, change: impl FnOnce(&mut EffectiveConfig)) {
    let mut config = base_config();
    change(&mut config);
    let until = harness.now + duration;
    harness.input(Input::Lease {
        until,
        config: Box::new(config),
    });
}

/// Deliveries by the build of their host.
struct Split {
    stable: usize,
    canary: usize,
}

/// Serves commands for `span` and counts their deliveries.
fn serve(harness: &mut Harness, span: Micros) -> Split {
    let before = harness.transport.deliveries.len();
    harness.serve(span);
    let served = &harness.transport.deliveries[before..];
    let canary = served.iter().filter(|sent| is_canary(sent)).count();
    let stable = served.len() - canary;
    Split { stable, canary }
}

fn is_canary(sent: &SentDelivery) -> bool {
    sent.host > 2
}

#[test]
fn an_unanswered_vote_is_cast_again() {
    let mut harness = Harness::new(11, 0);
    harness.list_ready(&[1, 2], 7);
    harness.warm_up();
    harness.change_endpoint(3, 8, EndpointPhase::Ready, 2);
    let update = RolloutUpdate {
        build: 8,
        stage: 0,
        phase: RolloutPhase::Canary,
        exposure_cap: 1.0,
        age_us: 0,
    };
    harness.input(Input::FromController(FromController::RolloutUpdate(update)));
    harness.serve(4 * SECOND);
    let votes = harness.transport.votes.len();
    assert!(
        votes >= 1,
        "a build without failures gets a vote to promote"
    );
    harness.serve(4 * SECOND);
    assert!(harness.transport.votes.len() > votes);
}

#[test]
fn without_a_lease_the_canary_gets_nothing_and_commands_are_served() {
    let mut harness = Harness::new(5, 0);
    grant_lease(&mut harness, 0, |_| {});
    start_canary(&mut harness);
    let Split { stable, canary } = serve(&mut harness, 4 * SECOND);
    assert!(
        stable > 150 && canary == 0,
        "before the first lease: {stable} stable and {canary} canary deliveries"
    );
    grant_lease(&mut harness, 8 * SECOND, |_| {});
    let Split { canary, .. } = serve(&mut harness, 7 * SECOND);
    assert!(
        canary > 20,
        "under the first lease: {canary} canary deliveries"
    );
    harness.advance(SECOND);
    harness.transport.open.clear();
    let Split { stable, canary } = serve(&mut harness, 4 * SECOND);
    assert!(
        stable > 150 && canary == 0,
        "after the first lease: {stable} stable and {canary} canary deliveries"
    );
    // Under a new lease the rollout continues at the same stage.
    grant_lease(&mut harness, 8 * SECOND, |_| {});
    let Split { canary, .. } = serve(&mut harness, 6 * SECOND);
    assert!(
        canary > 20,
        "under the second lease: {canary} canary deliveries"
    );
}

/// A process that was paused handles the inputs that wait before any of its timers.
#[test]
fn a_lease_that_expired_during_a_pause_is_noticed_before_the_next_input() {
    let mut harness = Harness::new(5, 0);
    grant_lease(&mut harness, 60 * SECOND, |_| {});
    start_canary(&mut harness);
    serve(&mut harness, 8 * SECOND);
    harness.now += 60 * SECOND;
    for id in 0..200 {
        harness.command(5, id, IDEMPOTENT, 0);
        assert!(
            harness.transport.open.iter().all(|sent| sent.host <= 2),
            "a command was delivered to the canary under an expired lease"
        );
        harness.answer_all_but_four();
    }
}

#[test]
fn deliveries_queued_for_the_canary_are_sent_within_the_lease_or_never() {
    let mut harness = Harness::new(5, 0);
    grant_lease(&mut harness, 7 * SECOND, |_| {});
    start_canary(&mut harness);
    let until = harness.now + 8 * SECOND;
    grant_lease(&mut harness, 8 * SECOND, |_| {});
    serve(&mut harness, 7 * SECOND);
    let sent = &harness.transport.deliveries;
    let (canary, stable): (Vec<&SentDelivery>, Vec<&SentDelivery>) =
        sent.iter().partition(|sent| is_canary(sent));
    assert!(
        !canary.is_empty() && canary.iter().all(|sent| sent.send_deadline <= until),
        "{canary:?}"
    );
    assert!(
        stable.iter().any(|sent| sent.send_deadline > until),
        "the stable build needs no lease"
    );
}

#[test]
fn a_configured_cap_holds_under_a_higher_one_of_the_release_controller() {
    let mut harness = Harness::new(5, 0);
    grant_lease(&mut harness, 60 * SECOND, |_| {});
    start_canary(&mut harness);
    serve(&mut harness, 10 * SECOND);
    grant_lease(&mut harness, 60 * SECOND, |config| {
        config.stage_caps = vec![0.05; 3];
        config.exposure_allowance = 0.0;
    });
    let Split { stable, canary } = serve(&mut harness, 4 * SECOND);
    assert!(
        canary as f64 <= 0.05 * (stable + canary) as f64 + 1.0,
        "just after the cap was lowered: {stable} stable and {canary} canary deliveries"
    );
    let Split { stable, canary } = serve(&mut harness, 20 * SECOND);
    assert!(
        canary > 10 && canary as f64 <= 0.05 * (stable + canary) as f64 + 1.0,
        "later under the lowered cap: {stable} stable and {canary} canary deliveries"
    );
}

/// Deliveries are recalled from the hosts of the build whose cap fell, and from no others.
#[test]
fn a_lowered_cap_recalls_what_is_queued_for_that_build() {
    let mut harness = Harness::new(5, 0);
    start_canary(&mut harness);
    let update = |build, phase, exposure_cap| {
        Input::FromController(FromController::RolloutUpdate(RolloutUpdate {
            build,
            stage: 0,
            phase,
            exposure_cap,
            age_us: 0,
        }))
    };
    harness.input(update(8, RolloutPhase::Canary, 0.1));
    harness.input(update(8, RolloutPhase::Canary, 0.4));
    harness.transport.recalled.clear();
    harness.input(update(8, RolloutPhase::Canary, 0.4));
    harness.input(update(8, RolloutPhase::Released, 1.0));
    assert!(
        harness.transport.recalled.is_empty(),
        "{:?}",
        harness.transport.recalled
    );
    harness.input(update(8, RolloutPhase::RollingBack, 0.0));
    let recalled = &harness.transport.recalled;
    let recalls_all_of_canary_host = |recall: &Recall| recall.host > 2 && recall.delivery.is_none();
    assert!(
        !recalled.is_empty() && recalled.iter().all(recalls_all_of_canary_host),
        "{recalled:?}"
    );
}
