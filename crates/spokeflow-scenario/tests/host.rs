//! The model of a host: slow start, queue, deduplication, cache and cancellation.

use spokeflow_scenario::host::{DeduplicationTable, Host, Job, JobOutcome};
use spokeflow_scenario::scenario::{BuildDefect, CancelPolicy, Scenario};
use spokeflow_scenario::{Micros, SECOND};

fn job(n: u64, op: usize) -> Job {
    Job {
        from: 1,
        delivery: n,
        attempt: n,
        command: n,
        op,
        key: n,
        idempotency_key: n,
        expires: 100 * SECOND,
    }
}

fn host(started: Option<Micros>) -> (Scenario, Host) {
    let scenario = Scenario::plain(1, 60 * SECOND);
    let host = Host::new(&scenario, BuildDefect::None, 1.0, started, 5);
    (scenario, host)
}

#[test]
fn a_cold_host_has_less_capacity_and_crashes_when_sent_more_than_its_budget() {
    let (_, mut cold) = host(Some(0));
    assert!(
        (cold.warm_up_fraction(0) - 0.31).abs() < 1e-9
            && (cold.warm_up_fraction(3_700_000) - 1.0).abs() < 1e-9
    );
    // The budget is 3 times 0.31 cores for 3 s, which is 2.79 s of work or 21 commands of 130 ms. The random allowance
    // adds 3 times the square root of the budget in commands of mean work, and 3 more.
    let crashed_at = (1..60).find(|n| {
        cold.arrive(1000, job(*n, 0));
        cold.crashed
    });
    assert_eq!(crashed_at, Some(41));
    let (_, mut warm) = host(None);
    (0..60).for_each(|n| {
        warm.arrive(1000, job(n, 0));
    });
    assert!(!warm.crashed);
}

#[test]
fn a_full_queue_refuses_jobs_and_a_repeat_has_no_effect() {
    let (_, mut host) = host(None);
    let accepted = (1..60).filter(|n| host.arrive(0, job(*n, 1))).count();
    assert_eq!(accepted, 24);
    let mut deduplication = DeduplicationTable::default();
    let first = host.start_jobs(0, &mut deduplication);
    assert!(first[0].effect);
    host.cancel(1, first[0].attempt);
    (2..60).for_each(|n| host.cancel(1, n));
    host.arrive(1, job(first[0].attempt, 1));
    assert!(!host.start_jobs(1, &mut deduplication)[0].effect);
}

#[test]
fn an_expired_job_does_not_run() {
    let (_, mut host) = host(None);
    host.arrive(
        0,
        Job {
            expires: 10,
            ..job(1, 0)
        },
    );
    assert!(host
        .start_jobs(10, &mut DeduplicationTable::default())
        .is_empty());
    assert_eq!(host.next_completion(), None);
}

#[test]
fn a_host_that_hangs_does_not_answer() {
    let (_, mut host) = host(None);
    host.arrive(0, job(1, 0));
    host.start_jobs(0, &mut DeduplicationTable::default());
    host.fault.hangs = true;
    let at = host.next_completion().unwrap();
    assert_eq!(host.take_completed(at)[0].1, JobOutcome::Silent);
}

#[test]
fn cached_keys_cost_less_and_cancellation_follows_the_policy() {
    let scenario = Scenario {
        cache_keys: 2,
        miss_cost: 3.0,
        ..Scenario::plain(1, 60 * SECOND)
    };
    let mut host = Host::new(&scenario, BuildDefect::None, 1.0, None, 5);
    let cost: Vec<f64> = [1, 1, 2, 3, 2, 1]
        .iter()
        .map(|key| host.access_key(*key))
        .collect();
    assert_eq!(cost, [3.0, 1.0, 3.0, 3.0, 1.0, 3.0]);
    for (cancel, left) in [
        (CancelPolicy::Stops, 0),
        (CancelPolicy::Waiting, 1),
        (CancelPolicy::Ignored, 2),
    ] {
        let scenario = Scenario {
            cancel,
            ..scenario.clone()
        };
        let mut host = Host::new(&scenario, BuildDefect::None, 1.0, None, 5);
        assert!((1..3).all(|n| host.arrive(0, job(n, 0))));
        host.start_jobs(0, &mut DeduplicationTable::default());
        (1..3).for_each(|n| host.cancel(1, n));
        assert_eq!(host.queued(), left);
    }
}
