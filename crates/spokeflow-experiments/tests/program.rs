//! The program as a process: killed sweeps, invalid flags, and agreement of runs on sockets with simulated ones.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use clap::Parser;
use spokeflow_router::RouterFlags;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::SECOND;
use spokeflow_simulator::engine_config;
use spokeflow_testbed::routers::flags;

fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeflow-experiments"));
    command.args(args);
    command
}

fn run(args: &[&str]) -> Output {
    program(args).output().unwrap()
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!(
        "spokeflow-experiments-{name}-{}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn sweep(folder: &Path) -> Command {
    let mut command = program(&[
        "sweep",
        "--days=drawn,only:cut",
        "--seeds=1-30",
        "--seconds=12",
        "--jobs=2",
    ]);
    command.args(["--who=engine,random,full-sight", "--label=test"]);
    command
        .arg("--store")
        .arg(folder.join("r.redb"))
        .arg("--out")
        .arg(folder);
    command
}

#[test]
fn killed_sweep_resumes_and_writes_the_same_tables() {
    let (uninterrupted, killed) = (folder("uninterrupted"), folder("killed"));
    assert_eq!(
        sweep(&uninterrupted).output().unwrap().status.code(),
        Some(0)
    );
    let mut resumed = 0;
    for _ in 0..4 {
        let mut child = sweep(&killed)
            .stderr(std::process::Stdio::null())
            .spawn()
            .unwrap();
        std::thread::sleep(Duration::from_millis(350));
        // SIGKILL: the process cannot finish a write.
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let output = sweep(&killed).output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    if let Some(line) = stderr
        .lines()
        .find(|line| line.contains("are in the store"))
    {
        resumed = line.split(' ').next().unwrap().parse::<u32>().unwrap();
    }
    assert!(output.status.success() && resumed > 0, "{stderr}");
    for file in ["sweep.md", "sweep.csv", "sweep.svg"] {
        let [expected, actual] = [&uninterrupted, &killed]
            .map(|folder| std::fs::read_to_string(folder.join(file)).unwrap());
        assert!(expected == actual && expected.len() > 200, "{file}");
    }
    // A sweep with all results in the store plays no run.
    let again = sweep(&killed).output().unwrap();
    assert!(String::from_utf8_lossy(&again.stderr).contains("180 of 180 runs are in the store"));
    std::fs::remove_dir_all(uninterrupted).unwrap();
    std::fs::remove_dir_all(killed).unwrap();
}

#[test]
fn run_prints_the_same_report_each_time_and_writes_charts() {
    let folder = folder("run");
    let charts = format!("--charts={}", folder.display());
    let [first, second] =
        [(); 2].map(|()| run(&["run", "--seconds=15", "--seed=4", "--json", &charts]));
    assert_eq!(
        first.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&first.stderr)
    );
    assert_eq!(first.stdout, second.stdout);
    let report: serde_json::Value = serde_json::from_slice(&first.stdout).unwrap();
    assert!(
        report["acked"].as_u64().unwrap() > 300
            && report["over_time"].as_array().unwrap().len() > 10
    );
    let svg = std::fs::read_to_string(folder.join("bad-day-4-engine.svg")).unwrap();
    assert!(svg.contains("Service by tenant") && svg.contains("seconds of the run"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn compare_pairs_runs_and_reports_missing_results_of_another_build() {
    let folder = folder("compare");
    let store = format!("--store={}", folder.join("r.redb").display());
    let common_args = [
        "compare",
        "--days=only:hang",
        "--seeds=1-6",
        "--seconds=30",
        "--label=x",
        &store,
    ];
    let args = [
        &common_args[..],
        &["--first=random", "--second=full-sight", "--json"],
    ]
    .concat();
    let output = run(&args);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let differences: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let service = &differences[0];
    assert_eq!(
        (service["figure"].as_str(), service["days"].as_u64()),
        (Some("service"), Some(6))
    );
    assert!(
        service["from"].as_f64().unwrap() > 0.0,
        "expected more service by full sight when hosts hang: {service}"
    );
    let other = run(&[&common_args[..], &["--first-label=y"]].concat());
    assert_eq!(other.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&other.stderr).contains("--first-label y: the store lacks"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn invalid_flags_are_reported_and_a_file_that_is_not_a_store_is_left_unchanged() {
    for (args, expected) in [
        (vec!["sweep", "--days=quake"], "only:KIND"),
        (vec!["sweep", "--seeds=9-1"], "FIRST-LAST"),
        (vec!["sweep", "--terms=baking=1"], "drain-grace"),
        (vec!["run", "--build=1:at=2s"], "from 2"),
        (vec!["run", "--who=oracle"], "full-sight"),
        (
            vec!["report", "--store=/nowhere/at-all.redb"],
            "/nowhere/at-all.redb: no such file",
        ),
    ] {
        let output = run(&args);
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(
            output.status.code() == Some(2) && stderr.contains(expected),
            "{args:?}: expected {expected:?} in {stderr}"
        );
    }
    let folder = folder("damage");
    let file = folder.join("letter.txt");
    std::fs::write(&file, "not a store").unwrap();
    let store = format!("--store={}", file.display());
    let output = run(&["sweep", "--seconds=5", "--seeds=1", &store]);
    assert!(
        output.status.code() == Some(2)
            && String::from_utf8_lossy(&output.stderr).contains("letter.txt")
    );
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "not a store");
    std::fs::remove_dir_all(folder).unwrap();
}

#[derive(Parser)]
struct RouterArgs {
    #[command(flatten)]
    flags: RouterFlags,
}

/// Guards against settings that a router process on sockets gets by flags and a simulated engine gets differently.
#[test]
fn engine_config_is_the_same_on_sockets_and_in_simulated_time() {
    for seed in 0..20 {
        let scenario = Scenario::drawn(seed, 30 * SECOND);
        for index in 0..scenario.routers {
            let address = ([127, 0, 0, 1], 1).into();
            let args = [
                vec!["router".to_string()],
                flags(&scenario, index, address, address),
            ]
            .concat();
            let on_sockets = RouterArgs::parse_from(args).flags.engine_config();
            assert_eq!(
                format!("{on_sockets:?}"),
                format!("{:?}", engine_config(&scenario, index))
            );
        }
    }
}

/// The bound is wide because the run on sockets shares a small machine with other tests; `spokeflow-experiments agree`
/// measures the difference precisely.
#[test]
fn runs_on_sockets_and_in_simulated_time_agree() {
    use spokeflow_scenario::scenario::FaultKind;
    use spokeflow_testbed::routers::Starting;
    let starting = Starting {
        program: env!("CARGO_BIN_EXE_spokeflow-experiments").into(),
        first: vec!["router".into()],
        logs: None,
        log: "info".into(),
    };
    let scenarios = [FaultKind::None, FaultKind::Cut, FaultKind::Kill].map(|kind| {
        let mut scenario = Scenario::only(kind, 11, 12 * SECOND);
        scenario.set_rate(30.0);
        scenario
    });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let socket_reports = runtime.block_on(async {
        let tasks = scenarios.clone().map(|scenario| {
            tokio::spawn(spokeflow_testbed::day::play(
                scenario,
                starting.clone(),
                |_| {},
            ))
        });
        let mut reports = Vec::new();
        for task in tasks {
            reports.push(task.await.unwrap().unwrap().report);
        }
        reports
    });
    for (scenario, sockets) in scenarios.iter().zip(socket_reports) {
        let simulated =
            spokeflow_simulator::play(scenario, spokeflow_simulator::StrategyKind::Engine, false)
                .report;
        assert!(
            sockets.passed() && simulated.passed(),
            "{}{}",
            sockets.text(),
            simulated.text()
        );
        let acked_fraction = |report: &spokeflow_scenario::report::Report| {
            report.acked as f64 / report.commands as f64
        };
        let difference = (sockets.service - simulated.service)
            .abs()
            .max((acked_fraction(&sockets) - acked_fraction(&simulated)).abs());
        let has_same_load =
            sockets.commands.abs_diff(simulated.commands) * 50 <= simulated.commands;
        assert!(
            difference <= 0.08 && has_same_load,
            "{}{}",
            sockets.text(),
            simulated.text()
        );
    }
}

#[test]
fn former_names_of_a_subcommand_and_a_flag_are_accepted() {
    let control_plane = run(&["keeper", "--help"]);
    assert_eq!(control_plane.status.code(), Some(0));
    let args = ["--days=1", "--seconds=5", "--routers=3", "--keepers=3"];
    let agreement = run(&[&["agreement"], &args[..]].concat());
    assert_eq!(
        agreement.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&agreement.stderr)
    );
}
