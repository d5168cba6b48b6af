//! What a plan makes of its flags.

use clap::Parser;
use spokeflow_experiments::plan::{Cell, ConfigOverrides, PlanFlags, ScenarioChoice, Seeds};
use spokeflow_scenario::SECOND;

#[derive(Parser)]
struct Program {
    #[command(flatten)]
    plan: PlanFlags,
}

#[test]
fn a_plan_has_each_scenario_once_and_keys_tell_all_apart() {
    let flags = [
        "x",
        "--days=plain,only:cut",
        "--seeds=1-3,9",
        "--terms=usual,bake=4s+slack=2",
        "--who=engine,random",
    ];
    let cells = Program::parse_from(flags).plan.cells().unwrap();
    assert_eq!(cells.len(), 2 * 4 * 2 * 2);
    let keys: std::collections::BTreeSet<String> = cells.iter().map(Cell::key).collect();
    assert_eq!(keys.len(), cells.len());
    let changed = cells.iter().find(|cell| cell.overrides != "usual").unwrap();
    assert_eq!(
        (changed.scenario.bake, changed.scenario.slack),
        (4 * SECOND, 2.0)
    );
}

#[test]
fn unknown_names_are_answered_with_the_known_ones() {
    assert!("quake"
        .parse::<ScenarioChoice>()
        .unwrap_err()
        .to_string()
        .contains("only:KIND"));
    assert!("only:quake"
        .parse::<ScenarioChoice>()
        .unwrap_err()
        .to_string()
        .contains("router-roll"));
    assert!("5-2".parse::<Seeds>().is_err() && "a".parse::<Seeds>().is_err());
    assert!("baking=2"
        .parse::<ConfigOverrides>()
        .unwrap_err()
        .to_string()
        .contains("drain-grace"));
}
