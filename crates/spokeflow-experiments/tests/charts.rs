//! Charts are written as SVG and PNG.

use spokeflow_experiments::charts::draw_services;
use spokeflow_experiments::tables::{Group, GroupKey};

#[test]
fn chart_is_written_as_svg_with_its_labels_and_as_png() {
    let folder = std::env::temp_dir().join(format!("spokeflow-charts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let group = |strategy: &str, service| Group {
        key: GroupKey {
            scenario: "bad-day".into(),
            size: "small".into(),
            overrides: "usual".into(),
            strategy: strategy.into(),
        },
        runs: 3,
        service,
        service_half_width: 0.02,
        ..Group::default()
    };
    draw_services(&folder, "s", &[group("engine", 0.9), group("random", 0.7)]).unwrap();
    let svg = std::fs::read_to_string(folder.join("s.svg")).unwrap();
    assert!(
        svg.contains("engine") && svg.contains("bad-day") && svg.contains("fraction of all due")
    );
    assert!(std::fs::read(folder.join("s.png"))
        .unwrap()
        .starts_with(b"\x89PNG"));
    std::fs::remove_dir_all(&folder).unwrap();
}
