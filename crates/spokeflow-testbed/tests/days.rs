//! Short days on loopback sockets with real router processes: the rules hold whatever happens.

use std::sync::Arc;

use spokeflow_scenario::observation::Observation;
use spokeflow_scenario::scenario::{BuildDefect, FaultKind, Scenario};
use spokeflow_testbed::day::{play, Played};
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

/// Plays days beside one another, since most of a day is waiting.
fn play_all(days: Vec<Scenario>) -> Vec<Played> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let all = days
            .into_iter()
            .map(|day| tokio::spawn(play(day, starting(), |_| {})));
        let mut played = Vec::new();
        for day in all.collect::<Vec<_>>() {
            played.push(day.await.unwrap().unwrap());
        }
        played
    })
}

fn sound(played: &Played) {
    let report = &played.report;
    assert!(report.passed(), "{}", report.text());
    // A day on which nothing crossed the sockets would keep every rule.
    assert!(
        report.commands > 200 && report.acked * 2 > report.commands,
        "{}",
        report.text()
    );
}

const SHORT: Micros = 9 * SECOND;

/// Lighter than the day of the command line: tests share a small machine and run unoptimized.
fn short(mut day: Scenario) -> Scenario {
    day.rate = 30.0;
    day
}

#[test]
fn rules_hold_under_each_kind_of_trouble_of_hosts_and_ways() {
    let kinds = [
        FaultKind::Kill,
        FaultKind::Hang,
        FaultKind::Cut,
        FaultKind::SlowLink,
    ];
    let days = kinds
        .map(|kind| short(Scenario::only(kind, 11, SHORT)))
        .to_vec();
    play_all(days).iter().for_each(sound);
}

#[test]
fn rules_hold_under_each_kind_of_trouble_of_list_and_desk() {
    let kinds = [
        FaultKind::StalledController,
        FaultKind::LateController,
        FaultKind::ListBreaks,
        FaultKind::CutList,
    ];
    let days = kinds
        .map(|kind| short(Scenario::only(kind, 12, SHORT)))
        .to_vec();
    play_all(days).iter().for_each(sound);
}

#[test]
fn rules_hold_when_routers_are_killed_and_restarted_and_clients_storm() {
    let kinds = [
        FaultKind::RouterKill,
        FaultKind::RouterRoll,
        FaultKind::RetryStorm,
        FaultKind::GiveUp,
    ];
    let days = kinds
        .map(|kind| short(Scenario::only(kind, 13, SHORT)))
        .to_vec();
    let played = play_all(days);
    played.iter().for_each(sound);
    let killed = |p: &Played| {
        p.seen
            .iter()
            .filter(|s| matches!(s.1, Observation::RouterKilled(_)))
            .count()
    };
    let ended = |p: &Played| {
        p.seen
            .iter()
            .filter(|s| matches!(s.1, Observation::RouterEnded(_)))
            .count()
    };
    assert!(killed(&played[0]) >= 1 && ended(&played[1]) >= 2);
}

#[test]
fn a_bad_build_is_sent_back_and_a_bad_day_keeps_the_rules() {
    let mut bad = Scenario::only(FaultKind::BadBuild, 14, 20 * SECOND);
    bad.builds[1].defect = BuildDefect::Errors(0.9);
    let days = vec![
        bad,
        short(Scenario::bad_day(15, 12 * SECOND)),
        short(Scenario::bad_day(16, 12 * SECOND)),
    ];
    let played = play_all(days);
    played.iter().for_each(sound);
    let report = &played[0].report;
    assert!(
        report.builds[0].end.starts_with("sent back"),
        "{}",
        report.text()
    );
}

/// Days of the command line, shorter: 13 and 31337 once broke rule 5, by a fault of the checker.
#[test]
fn bad_days_of_several_seeds_keep_the_rules() {
    let days = [2, 7, 13, 31_337]
        .map(|seed| short(Scenario::bad_day(seed, SHORT)))
        .to_vec();
    play_all(days).iter().for_each(sound);
}

#[test]
fn a_terminal_sees_what_was_asked_and_wrong_use_is_named() {
    let run = |flags: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_spokeflow-testbed"));
        command.arg("day").args(flags).output().unwrap()
    };
    let wrong = run(&["--only", "earthquake"]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("router-roll"));
    let file =
        Arc::new(std::env::temp_dir().join(format!("spokeflow-trace-{}", std::process::id())));
    let trace = format!("--trace={}", file.display());
    let good = run(&["--seconds=5", "--only=none", "--json", &trace]);
    assert_eq!(
        good.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&good.stderr)
    );
    let report: serde_json::Value = serde_json::from_slice(&good.stdout).unwrap();
    assert!(
        report["acked"].as_u64().unwrap() > 50 && report["broken"].as_array().unwrap().is_empty()
    );
    let lines = std::fs::read_to_string(&*file).unwrap();
    std::fs::remove_file(&*file).unwrap();
    assert!(lines.lines().count() > 500);
}
