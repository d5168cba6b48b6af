//! Built-in scenarios are determined by their seeds; faults and builds are parsed from their own text form.

use spokeflow_scenario::scenario::{Build, BuildDefect, Fault, FaultKind, Scenario};
use spokeflow_scenario::SECOND;

#[test]
fn equal_seeds_draw_equal_scenarios_and_other_seeds_draw_others() {
    let drawn = |seed| serde_json::to_string(&Scenario::bad_day(seed, 60 * SECOND)).unwrap();
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
}

#[test]
fn faults_and_builds_are_parsed_from_their_text_and_errors_name_the_cause() {
    let fault: Fault = "cut:at=5s:lasts=6.5s".parse().unwrap();
    assert_eq!(
        (fault.kind, fault.at, fault.lasts),
        (FaultKind::Cut, 5 * SECOND, 6_500_000)
    );
    assert_eq!(
        fault.to_string().parse::<Fault>().unwrap().to_string(),
        fault.to_string()
    );
    assert!("cut"
        .parse::<Fault>()
        .unwrap_err()
        .contains("at= is missing"));
    assert!("cutt:at=1s"
        .parse::<Fault>()
        .unwrap_err()
        .contains("router-roll"));
    assert!("cut:at=1"
        .parse::<Fault>()
        .unwrap_err()
        .contains("ends in s"));
    let build: Build = "3:at=5.5s:flaw=one-op:size=0.25".parse().unwrap();
    assert_eq!(
        (build.number, build.offered, build.defect),
        (3, 5_500_000, BuildDefect::OneOp(0.25))
    );
    assert_eq!(
        build.to_string().parse::<Build>().unwrap().to_string(),
        build.to_string()
    );
    assert!("1:at=5s".parse::<Build>().unwrap_err().contains("from 2"));
    assert!("2:at=5s:flaw=ugly"
        .parse::<Build>()
        .unwrap_err()
        .contains("under-load"));
}
