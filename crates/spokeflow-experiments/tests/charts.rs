//! Charts are written in both forms.

use spokeflow_experiments::charts::services;
use spokeflow_experiments::tables::{Group, GroupKey};

#[test]
fn both_forms_are_written_and_hold_the_names() {
    let folder = std::env::temp_dir().join(format!("spokeflow-charts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let group = |who: &str, service| Group {
        key: GroupKey {
            scenario: "bad-day".into(),
            size: "small".into(),
            overrides: "usual".into(),
            strategy: who.into(),
        },
        days: 3,
        service,
        service_by: 0.02,
        ..Group::default()
    };
    services(&folder, "s", &[group("engine", 0.9), group("random", 0.7)]).unwrap();
    let svg = std::fs::read_to_string(folder.join("s.svg")).unwrap();
    assert!(svg.contains("engine") && svg.contains("bad-day") && svg.contains("part of all asked"));
    assert!(std::fs::read(folder.join("s.png"))
        .unwrap()
        .starts_with(b"\x89PNG"));
    std::fs::remove_dir_all(&folder).unwrap();
}
