//! The figures of groups of results.

use spokeflow_experiments::store::StoredResult;
use spokeflow_experiments::tables::{comma_separated, groups, markdown, rows, HEAD};
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::SECOND;
use spokeflow_simulator::{play, StrategyKind};

#[test]
fn scores_only_count_seeds_that_the_group_and_both_baselines_played() {
    let report = play(&Scenario::plain(1, 5 * SECOND), StrategyKind::Engine, false).report;
    let stored = |strategy: &str, seed, service| {
        let mut report = report.clone();
        report.service = service;
        StoredResult {
            build: "b".to_string(),
            scenario: "plain".to_string(),
            seed,
            size: "small".to_string(),
            overrides: "usual".to_string(),
            strategy: strategy.to_string(),
            report,
        }
    };
    let results = [
        stored("random", 1, 0.5),
        stored("engine", 1, 0.8),
        stored("full-sight", 1, 0.9),
        // The baselines have not played seed 2, so it must not count for the score.
        stored("engine", 2, 0.1),
    ];
    let groups = groups(&results);
    let group = |strategy: &str| {
        groups
            .iter()
            .find(|group| group.key.strategy == strategy)
            .unwrap()
    };
    assert!((group("engine").score.unwrap() - 0.75).abs() < 1e-9);
    assert_eq!(
        (group("random").score, group("full-sight").score),
        (Some(0.0), Some(1.0))
    );
    assert!((group("engine").service - 0.45).abs() < 1e-9);
    let csv = comma_separated(&HEAD, &rows(&groups)).unwrap();
    assert_eq!(csv.lines().count(), 4);
    assert!(markdown(&HEAD, &rows(&groups)).starts_with("| day | size |"));
}
