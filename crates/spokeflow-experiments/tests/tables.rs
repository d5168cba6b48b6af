//! Figures of groups of results.

use spokeflow_experiments::store::Stored;
use spokeflow_experiments::tables::{comma_separated, groups, markdown, rows, HEAD};
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::SECOND;
use spokeflow_simulator::{play, StrategyKind};

#[test]
fn scores_lie_between_random_and_full_sight_on_the_days_that_both_played() {
    let report = play(&Scenario::plain(1, 5 * SECOND), StrategyKind::Engine, false).report;
    let stored = |who: &str, seed, service| {
        let mut report = report.clone();
        report.service = service;
        let text = |t: &str| t.to_string();
        Stored {
            build: text("b"),
            scenario: text("plain"),
            seed,
            size: text("small"),
            overrides: text("usual"),
            strategy: text(who),
            report,
        }
    };
    let all = [
        stored("random", 1, 0.5),
        stored("engine", 1, 0.8),
        stored("full-sight", 1, 0.9),
        // Not played by the others: it must not count for the score.
        stored("engine", 2, 0.1),
    ];
    let made = groups(&all);
    let of = |who: &str| made.iter().find(|g| g.key.strategy == who).unwrap();
    assert!((of("engine").score.unwrap() - 0.75).abs() < 1e-9);
    assert_eq!(
        (of("random").score, of("full-sight").score),
        (Some(0.0), Some(1.0))
    );
    assert!((of("engine").service - 0.45).abs() < 1e-9);
    let csv = comma_separated(&HEAD, &rows(&made)).unwrap();
    assert_eq!(csv.lines().count(), 4);
    assert!(markdown(&HEAD, &rows(&made)).starts_with("| day | size |"));
}
