//! `spokeflowctl` still accepts the former names of renamed subcommands, flags and variables.

use std::process::{Command, Output};

/// An address on which no node listens: a command whose arguments are accepted ends with exit code 2 and names it.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

fn run(args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeflowctl"));
    command.env_clear().envs(variables.iter().copied());
    command.args(args).output().unwrap()
}

fn assert_node_is_called(output: &Output) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(UNUSED_ADDRESS), "{text}");
}

#[test]
fn former_names_of_subcommands_and_flags_are_accepted() {
    let node = format!("--keeper={UNUSED_ADDRESS}");
    for subcommand in [
        &["offer", "fleet-size=2", "--who=a", "--why=b"][..],
        &["take-in", "4"],
        &["take-out", "4"],
        &["seat", "4", "127.0.0.1:2"],
        &["status"],
    ] {
        let mut args = vec![node.as_str(), "--within=200ms"];
        args.extend(subcommand);
        assert_node_is_called(&run(&args, &[]));
    }
}

#[test]
fn nodes_are_read_from_the_former_variable() {
    let output = run(
        &["--within=200ms", "status"],
        &[("SPOKEFLOW_KEEPER", UNUSED_ADDRESS)],
    );
    assert_node_is_called(&output);
}
