//! What clients ask, and when they try again.

use spokeflow_scenario::active_faults::ActiveFaults;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::traffic::{AttemptEnd, Client, PlannedCommand, Traffic};
use spokeflow_scenario::SECOND;

#[test]
fn an_open_loop_asks_at_its_rate_and_equal_seeds_ask_alike() {
    let day = Scenario {
        rate: 200.0,
        burst: 2.0,
        ..Scenario::plain(4, 60 * SECOND)
    };
    let draw = |n: usize| {
        let mut traffic = Traffic::new(&day, 0);
        (0..n)
            .map(|_| traffic.next(&day, &ActiveFaults::default()))
            .collect::<Vec<_>>()
    };
    let (one, two) = (draw(20_000), draw(20_000));
    assert_eq!(one, two);
    let rate = 20_000.0 / (one[19_999].due as f64 / SECOND as f64);
    assert!(
        (200.0..300.0).contains(&rate),
        "bursts of a second each eleven or so add to it: {rate}"
    );
    assert!(one.windows(2).all(|w| w[0].due < w[1].due));
    let by_tenant = |c| one.iter().filter(|w| w.tenant == c).count();
    assert!(
        by_tenant(0) > 2 * by_tenant(3),
        "customers send by what they are allowed and use"
    );
}

#[test]
fn what_may_have_run_is_not_asked_again_unless_a_repeat_is_harmless() {
    let (day, faults) = (Scenario::plain(4, 60 * SECOND), ActiveFaults::default());
    let again = |op, end, now| {
        let wanted = PlannedCommand {
            op,
            tenant: 0,
            site: 0,
            key: 1,
            due: 0,
            seed: 3,
        };
        let mut client = Client::new(wanted);
        client.begin_attempt(&day, &faults, now).unwrap();
        client.retry_delay(&day, &faults, now, end)
    };
    assert!(again(0, AttemptEnd::Failed, 0).is_some() && again(2, AttemptEnd::Failed, 0).is_none());
    assert!(
        again(1, AttemptEnd::Broken, SECOND).is_some()
            && again(1, AttemptEnd::Broken, 3 * SECOND).is_none()
    );
    assert!(again(2, AttemptEnd::Nacked(Some(SECOND)), 0).is_some_and(|p| p >= SECOND));
    assert!(again(
        0,
        AttemptEnd::Acked {
            build: 1,
            wrong: false
        },
        0
    )
    .is_none());
}
