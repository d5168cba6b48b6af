//! Shrinking of a scenario with a finding.

use spokeflow_experiments::hunt::{evaluate, run_flags, shrink, Finding};
use spokeflow_scenario::scenario::{BuildDefect, FaultKind, Scenario};
use spokeflow_scenario::SECOND;

#[test]
fn shrinking_drops_faults_without_effect_and_keeps_the_bad_build() {
    // Only the bad build loses service; the late list and the clients that give up have no effect on the finding.
    let mut scenario = Scenario::only(FaultKind::BadBuild, 4, 40 * SECOND);
    scenario.builds[1].defect = BuildDefect::Wrong(0.9);
    scenario
        .faults
        .push("late-list:at=30s:lasts=1s:size=0.1".parse().unwrap());
    scenario
        .faults
        .push("give-up:at=31s:lasts=1s:size=0.9".parse().unwrap());
    let finding = evaluate(&scenario);
    assert!(
        matches!(finding, Finding::Loss(loss) if loss > 0.0),
        "{finding:?}"
    );
    let shrunk = shrink(&scenario, finding, 60);
    assert!(
        shrunk.faults.is_empty() && shrunk.builds.len() == 2,
        "{}",
        run_flags(&shrunk)
    );
    assert!(
        run_flags(&shrunk).contains("--build 2:at=4s:flaw=wrong:size=0.9"),
        "{}",
        run_flags(&shrunk)
    );
}
