//! Regression tests of scenarios that once broke a rule, as flags of `spokeflow-experiments run`, mostly shrunk by
//! its search, each with the fault behind it.

use clap::Parser;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_simulator::{play, StrategyKind};

#[derive(Parser)]
struct Command {
    #[command(flatten)]
    scenario: ScenarioFlags,
}

/// Runs a scenario and checks that it keeps all rules.
fn assert_rules_hold(flags: &str) {
    let arguments = std::iter::once("day").chain(flags.split_whitespace());
    let scenario = Command::parse_from(arguments)
        .scenario
        .to_scenario()
        .unwrap();
    let report = play(&scenario, StrategyKind::Engine, true).report;
    assert!(report.passed() && report.acked > 200, "{}", report.text());
}

/// Rule 2: a cut link held back a delivery and its cancel. The delivery ran when the cut ended, after the hosts had
/// forgotten its idempotency key: the router did not check a connection for silence while only cancelled
/// deliveries were open on it.
#[test]
fn a_delivery_cancelled_during_a_cut_does_not_run_after_its_idempotency_key_is_forgotten() {
    for seed in 1..9 {
        let script =
            "--script give-up:at=4s:lasts=12s:size=0.25 --script cut:at=5s:lasts=9s:part=0:size=0";
        assert_rules_hold(&format!(
            "--scenario plain --bare --seed {seed} --seconds 24 --size middle --rate 120 --cancel ignored {script}"
        ));
    }
}

/// Rule 5, a fault of the checker: acks of a build that was already rolled back made their keys sticky to it.
#[test]
fn a_build_that_was_rolled_back_makes_no_key_sticky() {
    assert_rules_hold(
        "--scenario plain --bare --seed 153 --seconds 42 --build 2:at=5.855871s:flaw=shared:size=2.192528735112668:\
         speed=1.0013605034474453 --build 3:at=32.446658s:flaw=none:size=0:speed=0.9768104968406618 --cache-keys \
         160 --miss-cost 2.345324028986015 --key-skew 0.8771023303906689",
    );
}

/// Rule 5, a fault of the checker: it did not allow for a router that has just started and assumes stage 0 until it
/// receives the first rollout state.
#[test]
fn a_router_that_starts_during_a_rollback_has_the_grace_time() {
    assert_rules_hold(
        "--scenario plain --bare --seed 458 --seconds 49 --build 2:at=14.454832s:flaw=none:size=0:\
         speed=1.1505523165833431 --build 3:at=39.183234s:flaw=none:size=0:speed=0.9981371761213105 --script \
         lone-host:at=30.133243s:lasts=1.979752s:part=0.7465791684725858:size=0.30486209595328767 --script \
         router-roll:at=32.709262s:lasts=6.50259s:part=0.9097464647513571:size=0.6362775991869158 --key-skew \
         1.0549213174437144 --cancel waiting",
    );
}

/// A sweep rolled a good build back in 13 of 60 scenarios: connections that a cut had silenced were reported to the
/// engine as resets by the host process, and many at once were taken for crashes of the canary, which was voted
/// back.
#[test]
fn a_cut_between_sites_rolls_no_good_build_back() {
    for seed in 1..25 {
        let flags = format!("day --only cut --seed {seed} --seconds 60");
        let command = Command::parse_from(flags.split_whitespace());
        let scenario = command.scenario.to_scenario().unwrap();
        let report = play(&scenario, StrategyKind::Engine, false).report;
        assert_eq!(report.false_backs, 0, "{}", report.text());
    }
}

/// Rule 4 (drawn scenarios 58 and 904 with 150 routers and 300 hosts, shrunk by hand): routers that restarted while
/// all hosts but one were dead took the demand on them for the capacity of a host, and together overloaded the
/// first hosts that returned cold.
#[test]
fn routers_that_restart_while_hosts_return_one_by_one_overload_none() {
    for seed in 1..4 {
        assert_rules_hold(&format!(
            "--scenario plain --bare --seed {seed} --seconds 14 --routers 40 --hosts 60 --rate 300 --script \
             lone-host:at=3.8s:lasts=7.8s:part=1:size=0.45 --script router-kill:at=1.9s:lasts=2s:part=0.6"
        ));
    }
}

/// Rule 5 (drawn scenario 702, shrunk by hand): one of several deliveries of a hot key to the canary got no
/// connection, which released the key while the other deliveries were still in flight.
#[test]
fn a_hot_key_stays_sticky_while_connects_are_slow() {
    for seed in 1..5 {
        assert_rules_hold(&format!(
            "--scenario plain --bare --seed {seed} --seconds 16 --routers 30 --hosts 60 --rate 300 --build \
             2:at=1.4s:flaw=none --script hot-key:at=3s:lasts=12s:part=0:size=0.8 --script \
             slow-connects:at=4s:lasts=12s:part=1:size=0.2475"
        ));
    }
}
