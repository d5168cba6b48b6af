//! Built-in scenarios follow from their seeds; faults and builds survive their own text.

use spokeflow_scenario::scenario::{Build, BuildDefect, Fault, FaultKind, Scenario};
use spokeflow_scenario::SECOND;

#[test]
fn equal_seeds_draw_equal_days_and_others_others() {
    let day = |seed| serde_json::to_string(&Scenario::bad_day(seed, 60 * SECOND)).unwrap();
    assert_eq!(day(3), day(3));
    assert_ne!(day(3), day(4));
}

#[test]
fn a_trouble_survives_its_own_text_and_faults_are_named() {
    let trouble: Fault = "cut:at=5s:lasts=6.5s".parse().unwrap();
    assert_eq!(
        (trouble.kind, trouble.at, trouble.lasts),
        (FaultKind::Cut, 5 * SECOND, 6_500_000)
    );
    assert_eq!(
        trouble.to_string().parse::<Fault>().unwrap().to_string(),
        trouble.to_string()
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
