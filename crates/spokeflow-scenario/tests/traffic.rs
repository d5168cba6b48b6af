//! Generated commands, and when clients retry.

use spokeflow_scenario::active_faults::ActiveFaults;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::traffic::{AttemptEnd, Client, PlannedCommand, Traffic};
use spokeflow_scenario::SECOND;

#[test]
fn commands_are_due_at_the_rate_and_are_equal_for_equal_seeds() {
    let scenario = Scenario {
        rate: 200.0,
        burst: 2.0,
        ..Scenario::plain(4, 60 * SECOND)
    };
    let draw = |n: usize| {
        let mut traffic = Traffic::new(&scenario, 0);
        (0..n)
            .map(|_| traffic.next(&scenario, &ActiveFaults::default()))
            .collect::<Vec<_>>()
    };
    let (first, second) = (draw(20_000), draw(20_000));
    assert_eq!(first, second);
    let rate = 20_000.0 / (first[19_999].due as f64 / SECOND as f64);
    assert!(
        (200.0..300.0).contains(&rate),
        "bursts of 1 s about every 11 s add to the rate: {rate}"
    );
    assert!(first.windows(2).all(|pair| pair[0].due < pair[1].due));
    let by_tenant = |tenant| {
        first
            .iter()
            .filter(|command| command.tenant == tenant)
            .count()
    };
    assert!(
        by_tenant(0) > 2 * by_tenant(3),
        "tenants send by quota and usage"
    );
}

#[test]
fn a_command_that_may_have_run_is_retried_only_if_a_repeat_is_harmless() {
    let (scenario, faults) = (Scenario::plain(4, 60 * SECOND), ActiveFaults::default());
    let retry_delay = |op, end, now| {
        let command = PlannedCommand {
            op,
            tenant: 0,
            site: 0,
            key: 1,
            due: 0,
            seed: 3,
        };
        let mut client = Client::new(command);
        client.begin_attempt(&scenario, &faults, now).unwrap();
        client.retry_delay(&scenario, &faults, now, end)
    };
    assert!(
        retry_delay(0, AttemptEnd::Failed, 0).is_some()
            && retry_delay(2, AttemptEnd::Failed, 0).is_none()
    );
    assert!(
        retry_delay(1, AttemptEnd::Broken, SECOND).is_some()
            && retry_delay(1, AttemptEnd::Broken, 3 * SECOND).is_none()
    );
    assert!(
        retry_delay(2, AttemptEnd::Nacked(Some(SECOND)), 0).is_some_and(|delay| delay >= SECOND)
    );
    assert!(retry_delay(
        0,
        AttemptEnd::Acked {
            build: 1,
            wrong: false
        },
        0
    )
    .is_none());
}
