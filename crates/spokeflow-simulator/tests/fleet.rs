//! Three hundred routers that see one or two commands a second each, in simulated time: what befalls the whole fleet
//! breaks no rule and sends no good build back.

use clap::Parser;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_scenario::report::Report;
use spokeflow_simulator::{play, StrategyKind};

#[derive(Parser)]
struct Day {
    #[command(flatten)]
    day: ScenarioFlags,
}

/// A good build rolls through the fleet meanwhile.
fn fleet(seed: u64, seconds: u32, script: &str) -> Report {
    let flags = format!(
        "day --scenario plain --bare --seed {seed} --seconds {seconds} --routers 300 --hosts 150 --rate 420 \
         --build 2:at=1s:flaw=none {script}"
    );
    let day = Day::parse_from(flags.split_whitespace())
        .day
        .to_scenario()
        .unwrap();
    let report = play(&day, StrategyKind::Engine, false).report;
    assert!(report.passed(), "{}", report.text());
    assert_eq!(report.false_backs, 0, "{}", report.text());
    report
}

fn served(report: &Report) -> f64 {
    report.acked as f64 / report.commands as f64
}

/// Seven in ten routers start anew at once with what they last knew, and the list says nothing for seconds after.
#[test]
fn most_routers_start_from_an_old_list_while_the_list_is_silent() {
    for seed in 1..3 {
        let script =
            "--script list-breaks:at=3s:lasts=6s --script router-kill:at=4s:lasts=1s:part=0.7";
        let report = fleet(seed, 12, script);
        assert!(
            report.unreachable > 20 && served(&report) > 0.75,
            "{}",
            report.text()
        );
    }
}

#[test]
fn a_third_of_the_hosts_pause_and_go_on() {
    let report = fleet(3, 12, "--script hang:at=4s:lasts=5s:part=0.34");
    assert!(
        report.failed > 20 && served(&report) > 0.9,
        "{}",
        report.text()
    );
}

/// A third of the hosts die and come back cold: what all routers send them together stays within what they bear.
#[test]
fn a_third_of_the_hosts_return_cold() {
    for seed in 4..6 {
        let report = fleet(seed, 14, "--script kill:at=4s:lasts=2s:part=0.34");
        assert!(served(&report) > 0.97, "{}", report.text());
    }
}

#[test]
fn a_site_is_cut_off_and_heard_again() {
    let report = fleet(6, 12, "--script cut:at=4s:lasts=5s");
    assert!(
        report.failed > 20 && served(&report) > 0.9,
        "{}",
        report.text()
    );
}

/// Together: routers that have just started hear no list while a third of the hosts go and return cold.
#[test]
fn routers_start_behind_a_cut_list_while_hosts_return_cold() {
    let script =
        "--script cut-list:at=4s:lasts=6s --script kill:at=4s:lasts=2s:part=0.34 --script \
                  router-kill:at=5s:lasts=1s:part=0.7";
    let report = fleet(7, 14, script);
    assert!(
        report.unreachable > 20 && served(&report) > 0.85,
        "{}",
        report.text()
    );
}
