//! The program: sweeps that are killed, wrong use, and terms that are the same on sockets and in simulated time.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use clap::Parser;
use spokeflow_router::RouterFlags;
use spokeflow_scenario::scenario::Scenario;
use spokeflow_scenario::SECOND;
use spokeflow_simulator::engine_config;
use spokeflow_testbed::routers::flags;

fn lab(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeflow-experiments"));
    command.args(args);
    command
}

fn run(args: &[&str]) -> Output {
    lab(args).output().unwrap()
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("spokeflow-lab-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn sweep(folder: &Path) -> Command {
    let mut command = lab(&[
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
fn a_sweep_that_was_killed_goes_on_and_gives_the_same_tables() {
    let (whole, torn) = (folder("whole"), folder("torn"));
    assert_eq!(sweep(&whole).output().unwrap().status.code(), Some(0));
    let mut resumed = 0;
    for _ in 0..4 {
        let mut child = sweep(&torn)
            .stderr(std::process::Stdio::null())
            .spawn()
            .unwrap();
        std::thread::sleep(Duration::from_millis(350));
        // As by kill -9, whatever it was about to write.
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let done = sweep(&torn).output().unwrap();
    let said = String::from_utf8_lossy(&done.stderr).to_string();
    if let Some(line) = said.lines().find(|l| l.contains("are in the store")) {
        resumed = line.split(' ').next().unwrap().parse::<u32>().unwrap();
    }
    assert!(done.status.success() && resumed > 0, "{said}");
    for file in ["sweep.md", "sweep.csv", "sweep.svg"] {
        let [a, b] = [&whole, &torn].map(|f| std::fs::read_to_string(f.join(file)).unwrap());
        assert!(a == b && a.len() > 200, "{file}");
    }
    // Played again it plays nothing.
    let again = sweep(&torn).output().unwrap();
    assert!(String::from_utf8_lossy(&again.stderr).contains("180 of 180 days are in the store"));
    std::fs::remove_dir_all(whole).unwrap();
    std::fs::remove_dir_all(torn).unwrap();
}

#[test]
fn one_day_is_printed_drawn_and_the_same_each_time() {
    let folder = folder("run");
    let charts = format!("--charts={}", folder.display());
    let [one, two] = [(); 2].map(|()| run(&["run", "--seconds=15", "--seed=4", "--json", &charts]));
    assert_eq!(
        one.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&one.stderr)
    );
    assert_eq!(one.stdout, two.stdout);
    let report: serde_json::Value = serde_json::from_slice(&one.stdout).unwrap();
    assert!(
        report["acked"].as_u64().unwrap() > 300
            && report["over_time"].as_array().unwrap().len() > 10
    );
    let svg = std::fs::read_to_string(folder.join("bad-day-4-engine.svg")).unwrap();
    assert!(svg.contains("Service by customer") && svg.contains("seconds of the day"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn two_ways_are_compared_on_the_same_days() {
    let folder = folder("compare");
    let store = format!("--store={}", folder.join("r.redb").display());
    let days = [
        "compare",
        "--days=only:hang",
        "--seeds=1-6",
        "--seconds=30",
        "--label=x",
        &store,
    ];
    let args = [
        &days[..],
        &["--first=random", "--second=full-sight", "--json"],
    ]
    .concat();
    let done = run(&args);
    assert_eq!(
        done.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&done.stderr)
    );
    let all: serde_json::Value = serde_json::from_slice(&done.stdout).unwrap();
    let service = &all[0];
    assert_eq!(
        (service["figure"].as_str(), service["days"].as_u64()),
        (Some("service"), Some(6))
    );
    assert!(
        service["from"].as_f64().unwrap() > 0.0,
        "full sight serves more when hosts hang: {service}"
    );
    let other = run(&[&days[..], &["--first-label=y"]].concat());
    assert_eq!(other.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&other.stderr).contains("--first-label y: the store lacks"));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn wrong_use_is_named_and_a_file_that_is_no_store_is_left_as_it_is() {
    for (args, named) in [
        (vec!["sweep", "--days=quake"], "only:KIND"),
        (vec!["sweep", "--seeds=9-1"], "FIRST-LAST"),
        (vec!["sweep", "--terms=baking=1"], "drain-grace"),
        (vec!["run", "--build=1:at=2s"], "from 2"),
        (vec!["run", "--who=oracle"], "full-sight"),
        (
            vec!["report", "--store=/nowhere/at-all.redb"],
            "there is none",
        ),
    ] {
        let done = run(&args);
        let said = String::from_utf8_lossy(&done.stderr).to_string();
        assert!(
            done.status.code() == Some(2) && said.contains(named),
            "{args:?}: {said}"
        );
    }
    let folder = folder("damage");
    let file = folder.join("letter.txt");
    std::fs::write(&file, "not a store").unwrap();
    let store = format!("--store={}", file.display());
    let done = run(&["sweep", "--seconds=5", "--seeds=1", &store]);
    assert!(
        done.status.code() == Some(2)
            && String::from_utf8_lossy(&done.stderr).contains("letter.txt")
    );
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "not a store");
    std::fs::remove_dir_all(folder).unwrap();
}

#[derive(Parser)]
struct Router {
    #[command(flatten)]
    terms: RouterFlags,
}

/// What a router process is told by flags and what an engine is told in simulated time are the same promises.
#[test]
fn terms_of_a_day_are_the_same_on_sockets_and_in_simulated_time() {
    for seed in 0..20 {
        let day = Scenario::drawn(seed, 30 * SECOND);
        for index in 0..day.routers {
            let anywhere = ([127, 0, 0, 1], 1).into();
            let words = [
                vec!["router".to_string()],
                flags(&day, index, anywhere, anywhere),
            ]
            .concat();
            let on_sockets = Router::parse_from(words).terms.engine_config();
            assert_eq!(
                format!("{on_sockets:?}"),
                format!("{:?}", engine_config(&day, index))
            );
        }
    }
}

/// The bound is wide, since sockets share a small machine with other tests; `spokeflow-experiments agree` measures.
#[test]
fn days_on_sockets_and_in_simulated_time_agree() {
    use spokeflow_scenario::scenario::FaultKind;
    use spokeflow_testbed::routers::Starting;
    let program = env!("CARGO_BIN_EXE_spokeflow-experiments").into();
    let starting = Starting {
        program,
        first: vec!["router".into()],
        logs: None,
        log: "info".into(),
    };
    let days = [FaultKind::None, FaultKind::Cut, FaultKind::Kill].map(|kind| {
        let mut day = Scenario::only(kind, 11, 12 * SECOND);
        day.set_rate(30.0);
        day
    });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let played = runtime.block_on(async {
        let all = days
            .clone()
            .map(|day| tokio::spawn(spokeflow_testbed::day::play(day, starting.clone(), |_| {})));
        let mut played = Vec::new();
        for day in all {
            played.push(day.await.unwrap().unwrap().report);
        }
        played
    });
    for (day, sockets) in days.iter().zip(played) {
        let simulated =
            spokeflow_simulator::play(day, spokeflow_simulator::StrategyKind::Engine, false).report;
        assert!(
            sockets.passed() && simulated.passed(),
            "{}{}",
            sockets.text(),
            simulated.text()
        );
        let acked = |r: &spokeflow_scenario::report::Report| r.acked as f64 / r.commands as f64;
        let apart = (sockets.service - simulated.service)
            .abs()
            .max((acked(&sockets) - acked(&simulated)).abs());
        let same_load = sockets.commands.abs_diff(simulated.commands) * 50 <= simulated.commands;
        assert!(
            apart <= 0.08 && same_load,
            "{}{}",
            sockets.text(),
            simulated.text()
        );
    }
}

#[test]
fn former_names_of_a_subcommand_and_a_flag_are_still_read() {
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
