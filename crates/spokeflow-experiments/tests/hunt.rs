//! What a hunt makes of a scenario that it found.

use spokeflow_experiments::hunt::{evaluate, run_flags, shrink, Finding};
use spokeflow_scenario::scenario::{BuildDefect, FaultKind, Scenario};
use spokeflow_scenario::SECOND;

#[test]
fn a_day_is_shrunk_to_what_matters() {
    // What loses here is the bad build alone; a list that is late for a moment has no part in it.
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
    let small = shrink(&scenario, finding, 60);
    assert!(
        small.faults.is_empty() && small.builds.len() == 2,
        "{}",
        run_flags(&small)
    );
    assert!(
        run_flags(&small).contains("--build 2:at=4s:flaw=wrong:size=0.9"),
        "{}",
        run_flags(&small)
    );
}
