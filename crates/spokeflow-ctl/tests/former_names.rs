//! `spokeflowctl` still accepts the names that its verbs, flags and variables had before they were renamed.

use std::process::{Command, Output};

/// No node answers here, so that a call that is understood ends with exit code 2 and names this address.
const NOBODY: &str = "127.0.0.1:1";

fn run(args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeflowctl"));
    command.env_clear().envs(variables.iter().copied());
    command.args(args).output().unwrap()
}

fn assert_calls_the_node(output: &Output) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(NOBODY), "{text}");
}

#[test]
fn verbs_and_flags_are_accepted_by_their_former_names() {
    let node = format!("--keeper={NOBODY}");
    for verb in [
        &["offer", "fleet-size=2", "--who=a", "--why=b"][..],
        &["take-in", "4"],
        &["take-out", "4"],
        &["seat", "4", "127.0.0.1:2"],
        &["status"],
    ] {
        let mut args = vec![node.as_str(), "--within=200ms"];
        args.extend(verb);
        assert_calls_the_node(&run(&args, &[]));
    }
}

#[test]
fn the_former_variable_names_the_nodes() {
    let output = run(
        &["--within=200ms", "status"],
        &[("SPOKEFLOW_KEEPER", NOBODY)],
    );
    assert_calls_the_node(&output);
}
