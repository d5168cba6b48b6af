//! Short scenarios on loopback sockets with real router processes must keep all rules under every kind of fault.

use std::sync::Arc;

use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::scenario::{BuildDefect, FaultKind, Scenario};
use spokeflow_testbed::day::{play, ScenarioRun};
use spokeflow_testbed::routers::Starting;
use spokeflow_testbed::{Micros, SECOND};

fn starting() -> Starting {
    let program = env!("CARGO_BIN_EXE_spokeflow-testbed").into();
    Starting {
        program,
        first: vec!["router".into()],
        logs: None,
        log: "info".into(),
    }
}

/// Runs scenarios concurrently, since most of the time of a run is waiting.
fn run_all(scenarios: Vec<Scenario>) -> Vec<ScenarioRun> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let tasks = scenarios
            .into_iter()
            .map(|scenario| tokio::spawn(play(scenario, starting(), |_| {})));
        let mut runs = Vec::new();
        for task in tasks.collect::<Vec<_>>() {
            runs.push(task.await.unwrap().unwrap());
        }
        runs
    })
}

fn assert_rules_kept(run: &ScenarioRun) {
    let report = &run.report;
    assert!(report.passed(), "{}", report.text());
    // A run without messages on the sockets would keep every rule.
    assert!(
        report.commands > 200 && report.acked * 2 > report.commands,
        "{}",
        report.text()
    );
}

const SHORT_LENGTH: Micros = 9 * SECOND;

/// Lowers the rate of a scenario below that of the command line: tests share a small machine and run unoptimized.
fn with_low_rate(mut scenario: Scenario) -> Scenario {
    scenario.rate = 30.0;
    scenario
}

#[test]
fn rules_hold_under_faults_of_hosts_and_links() {
    let kinds = [
        FaultKind::Kill,
        FaultKind::Hang,
        FaultKind::Cut,
        FaultKind::SlowLink,
    ];
    let scenarios = kinds
        .map(|kind| with_low_rate(Scenario::only(kind, 11, SHORT_LENGTH)))
        .to_vec();
    run_all(scenarios).iter().for_each(assert_rules_kept);
}

#[test]
fn rules_hold_under_faults_of_registry_and_release_controller() {
    let kinds = [
        FaultKind::StalledController,
        FaultKind::LateController,
        FaultKind::ListBreaks,
        FaultKind::CutList,
    ];
    let scenarios = kinds
        .map(|kind| with_low_rate(Scenario::only(kind, 12, SHORT_LENGTH)))
        .to_vec();
    run_all(scenarios).iter().for_each(assert_rules_kept);
}

#[test]
fn rules_hold_under_router_restarts_and_client_retry_storms() {
    let kinds = [
        FaultKind::RouterKill,
        FaultKind::RouterRoll,
        FaultKind::RetryStorm,
        FaultKind::GiveUp,
    ];
    let scenarios = kinds
        .map(|kind| with_low_rate(Scenario::only(kind, 13, SHORT_LENGTH)))
        .to_vec();
    let runs = run_all(scenarios);
    runs.iter().for_each(assert_rules_kept);
    let killed = |run: &ScenarioRun| {
        run.observations
            .iter()
            .filter(|observation| matches!(observation.1, Observation::RouterKilled(_)))
            .count()
    };
    let ended = |run: &ScenarioRun| {
        run.observations
            .iter()
            .filter(|observation| matches!(observation.1, Observation::RouterEnded(_)))
            .count()
    };
    assert!(killed(&runs[0]) >= 1 && ended(&runs[1]) >= 2);
}

#[test]
fn bad_build_is_rolled_back_and_bad_day_scenarios_keep_the_rules() {
    let mut bad_build = Scenario::only(FaultKind::BadBuild, 14, 20 * SECOND);
    bad_build.builds[1].defect = BuildDefect::Errors(0.9);
    let scenarios = vec![
        bad_build,
        with_low_rate(Scenario::bad_day(15, 12 * SECOND)),
        with_low_rate(Scenario::bad_day(16, 12 * SECOND)),
    ];
    let runs = run_all(scenarios);
    runs.iter().for_each(assert_rules_kept);
    let report = &runs[0].report;
    assert!(
        report.builds[0].end.starts_with("sent back"),
        "{}",
        report.text()
    );
}

/// The default scenario of the command line, shorter. With seeds 13 and 31337 a fault of the checker reported violations
/// of rule 5.
#[test]
fn bad_day_scenarios_of_several_seeds_keep_the_rules() {
    let scenarios = [2, 7, 13, 31_337]
        .map(|seed| with_low_rate(Scenario::bad_day(seed, SHORT_LENGTH)))
        .to_vec();
    run_all(scenarios).iter().for_each(assert_rules_kept);
}

#[test]
fn command_line_prints_the_report_and_rejects_an_unknown_fault() {
    let run = |flags: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_spokeflow-testbed"));
        command.arg("day").args(flags).output().unwrap()
    };
    let rejected = run(&["--only", "earthquake"]);
    assert_eq!(rejected.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&rejected.stderr).contains("router-roll"));
    let file =
        Arc::new(std::env::temp_dir().join(format!("spokeflow-trace-{}", std::process::id())));
    let trace = format!("--trace={}", file.display());
    let passed = run(&["--seconds=5", "--only=none", "--json", &trace]);
    assert_eq!(
        passed.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&passed.stderr)
    );
    let report: serde_json::Value = serde_json::from_slice(&passed.stdout).unwrap();
    assert!(
        report["acked"].as_u64().unwrap() > 50 && report["broken"].as_array().unwrap().is_empty()
    );
    let lines = std::fs::read_to_string(&*file).unwrap();
    std::fs::remove_file(&*file).unwrap();
    assert!(lines.lines().count() > 500);
}
