//! Three hundred routers with one or two commands a second each, in simulated time: faults that affect the whole
//! fleet must break no rule and must not roll a good build back.

use clap::Parser;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_scenario::report::Report;
use spokeflow_simulator::{play, StrategyKind};

#[derive(Parser)]
struct Command {
    #[command(flatten)]
    scenario: ScenarioFlags,
}

/// Runs a scenario with the faults of `script` during the rollout of a good build, and checks the rules.
fn run_fleet(seed: u64, seconds: u32, script: &str) -> Report {
    let flags = format!(
        "day --scenario plain --bare --seed {seed} --seconds {seconds} --routers 300 --hosts 150 --rate 420 \
         --build 2:at=1s:flaw=none {script}"
    );
    let command = Command::parse_from(flags.split_whitespace());
    let scenario = command.scenario.to_scenario().unwrap();
    let report = play(&scenario, StrategyKind::Engine, false).report;
    assert!(report.passed(), "{}", report.text());
    assert_eq!(report.false_backs, 0, "{}", report.text());
    report
}

fn acked_fraction(report: &Report) -> f64 {
    report.acked as f64 / report.commands as f64
}

/// Seven in ten routers restart at once with the list that they last received, and cannot reach the host list for
/// seconds after.
#[test]
fn most_routers_restart_with_an_old_list_while_the_host_list_is_unavailable() {
    for seed in 1..3 {
        let script =
            "--script list-breaks:at=3s:lasts=6s --script router-kill:at=4s:lasts=1s:part=0.7";
        let report = run_fleet(seed, 12, script);
        assert!(
            report.unreachable > 20 && acked_fraction(&report) > 0.75,
            "{}",
            report.text()
        );
    }
}

#[test]
fn a_third_of_the_hosts_hang_and_recover() {
    let report = run_fleet(3, 12, "--script hang:at=4s:lasts=5s:part=0.34");
    assert!(
        report.failed > 20 && acked_fraction(&report) > 0.9,
        "{}",
        report.text()
    );
}

/// A third of the hosts are killed and return cold: all routers together must not send them more than they can take.
#[test]
fn a_third_of_the_hosts_return_cold() {
    for seed in 4..6 {
        let report = run_fleet(seed, 14, "--script kill:at=4s:lasts=2s:part=0.34");
        assert!(acked_fraction(&report) > 0.97, "{}", report.text());
    }
}

#[test]
fn a_site_is_cut_off_and_reconnected() {
    let report = run_fleet(6, 12, "--script cut:at=4s:lasts=5s");
    assert!(
        report.failed > 20 && acked_fraction(&report) > 0.9,
        "{}",
        report.text()
    );
}

/// Both faults at once: routers that have just restarted cannot reach the host list while a third of the hosts are
/// killed and return cold.
#[test]
fn routers_restart_without_the_host_list_while_hosts_return_cold() {
    let script =
        "--script cut-list:at=4s:lasts=6s --script kill:at=4s:lasts=2s:part=0.34 --script \
                  router-kill:at=5s:lasts=1s:part=0.7";
    let report = run_fleet(7, 14, script);
    assert!(
        report.unreachable > 20 && acked_fraction(&report) > 0.85,
        "{}",
        report.text()
    );
}
