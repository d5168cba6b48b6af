//! Scenario flags: sizes, overrides and refused values.

use clap::Parser;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_scenario::scenario::Scenario;

#[derive(Parser)]
struct Program {
    #[command(flatten)]
    scenario: ScenarioFlags,
}

fn scenario(flags: &[&str]) -> Result<Scenario, String> {
    let program = Program::parse_from([&["x"], flags].concat());
    program
        .scenario
        .to_scenario()
        .map_err(|error| error.to_string())
}

#[test]
fn sizes_keep_the_load_per_host_and_flags_override_them() {
    let (small, grown) = (
        scenario(&[]).unwrap(),
        scenario(&["--size", "grown"]).unwrap(),
    );
    assert_eq!((grown.routers, grown.hosts, grown.rate), (150, 300, 1000.0));
    let quota_share = |scenario: &Scenario| {
        let quotas = scenario.tenants.iter().map(|tenant| tenant.allowed);
        quotas.sum::<f64>() / scenario.rate
    };
    assert!((quota_share(&small) - quota_share(&grown)).abs() < 1e-9);
    let overridden = scenario(&["--hosts", "30", "--routers", "7"]).unwrap();
    assert_eq!(
        (overridden.routers, overridden.hosts, overridden.rate),
        (7, 30, 92.0)
    );
    assert_eq!(
        scenario(&["--hosts", "30", "--rate", "10"]).unwrap().rate,
        10.0
    );
}

#[test]
fn errors_name_the_flag() {
    for (flags, flag) in [
        (["--hosts", "0"], "--hosts"),
        (["--rate", "0"], "--rate"),
        (["--steal", "2"], "--steal"),
        (["--seconds", "2"], "--seconds"),
    ] {
        assert!(scenario(&flags).unwrap_err().starts_with(flag));
    }
}
