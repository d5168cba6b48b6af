//! Former names of subcommands and flags must still be accepted.

use std::process::{Command, Output};

fn testbed(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_spokeflow-testbed"))
        .args(arguments)
        .output()
        .unwrap()
}

fn exit_code_and_error(arguments: &[&str]) -> (Option<i32>, String) {
    let output = testbed(arguments);
    let error = String::from_utf8(output.stderr).unwrap();
    (output.status.code(), error)
}

#[test]
fn kinds_of_fault_are_listed_under_both_names() {
    let faults = testbed(&["faults"]);
    assert!(faults.status.success());
    assert!(!faults.stdout.is_empty());
    assert_eq!(testbed(&["troubles"]).stdout, faults.stdout);
}

/// The node count is checked after all flags are parsed: its error shows that the flags were accepted.
#[test]
fn fleet_accepts_its_former_flags() {
    let former = [
        "fleet",
        "--keepers=4",
        "--lasts=1s",
        "--peace",
        "--pace=20ms",
    ];
    let expected = "spokeflow-testbed: --nodes: expected 3, 5 or 7, got 4\n".to_string();
    assert_eq!(exit_code_and_error(&former), (Some(2), expected));
}

/// The counts are checked after all flags are parsed: their error shows that the flags were accepted.
#[test]
fn load_accepts_its_former_flags() {
    let former = ["load", "--hosts=0", "--trial", "--bad", "--keepers"];
    let expected =
        "spokeflow-testbed: --hosts, --rate, --connections, --seconds: at least 1\n".to_string();
    assert_eq!(exit_code_and_error(&former), (Some(2), expected));
}

#[test]
fn node_starts_under_both_names() {
    for name in ["node", "keeper"] {
        assert!(testbed(&[name, "--help"]).status.success(), "{name}");
    }
}
