//! The runs of a plan, and the errors of its flags.

use clap::Parser;
use spokeflow_experiments::plan::{ConfigOverrides, PlanFlags, PlannedRun, ScenarioChoice, Seeds};
use spokeflow_scenario::SECOND;

#[derive(Parser)]
struct Program {
    #[command(flatten)]
    plan: PlanFlags,
}

#[test]
fn plan_is_the_product_of_its_flags_and_every_run_has_its_own_key() {
    let flags = [
        "x",
        "--days=plain,only:cut",
        "--seeds=1-3,9",
        "--terms=usual,bake=4s+slack=2",
        "--who=engine,random",
    ];
    let runs = Program::parse_from(flags).plan.runs().unwrap();
    assert_eq!(runs.len(), 2 * 4 * 2 * 2);
    let keys: std::collections::BTreeSet<String> = runs.iter().map(PlannedRun::key).collect();
    assert_eq!(keys.len(), runs.len());
    let overridden = runs.iter().find(|run| run.overrides != "usual").unwrap();
    assert_eq!(
        (overridden.scenario.bake, overridden.scenario.slack),
        (4 * SECOND, 2.0)
    );
}

#[test]
fn errors_for_unknown_names_list_the_known_ones() {
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
