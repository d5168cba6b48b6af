//! A run's flags: sizes, overrides and refused values.

use clap::Parser;
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_scenario::scenario::Scenario;

#[derive(Parser)]
struct Program {
    #[command(flatten)]
    day: ScenarioFlags,
}

fn day(flags: &[&str]) -> Result<Scenario, String> {
    let program = Program::parse_from([&["x"], flags].concat());
    program.day.to_scenario().map_err(|error| error.to_string())
}

#[test]
fn sizes_keep_the_load_for_each_host_and_flags_outrank_them() {
    let (small, grown) = (day(&[]).unwrap(), day(&["--size", "grown"]).unwrap());
    assert_eq!((grown.routers, grown.hosts, grown.rate), (150, 300, 1000.0));
    let share = |d: &Scenario| d.tenants.iter().map(|c| c.allowed).sum::<f64>() / d.rate;
    assert!((share(&small) - share(&grown)).abs() < 1e-9);
    let more = day(&["--hosts", "30", "--routers", "7"]).unwrap();
    assert_eq!((more.routers, more.hosts, more.rate), (7, 30, 92.0));
    assert_eq!(day(&["--hosts", "30", "--rate", "10"]).unwrap().rate, 10.0);
}

#[test]
fn faults_name_their_flag() {
    for (flags, named) in [
        (["--hosts", "0"], "--hosts"),
        (["--rate", "0"], "--rate"),
        (["--steal", "2"], "--steal"),
        (["--seconds", "2"], "--seconds"),
    ] {
        assert!(day(&flags).unwrap_err().starts_with(named));
    }
}
