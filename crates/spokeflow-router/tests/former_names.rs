//! The program still accepts the names that flags and variables had before they were renamed.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

const OPERATION: &str = "read:redeliverable:target=1s:timeout=4s";

/// A started router, killed when the test ends.
struct Router(Child);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeflow-router"));
    command.env_clear().stdout(Stdio::piped());
    command
}

/// Starts the program and returns the first line that it prints.
fn first_line(command: &mut Command) -> String {
    let mut router = Router(command.spawn().unwrap());
    let output = router.0.stdout.take().unwrap();
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).unwrap();
    line
}

#[test]
fn a_router_starts_with_former_flags() {
    let flags = [
        "--listen=127.0.0.1:0",
        "--list=127.0.0.1:1",
        "--desk=127.0.0.1:2",
        "--keeper=127.0.0.1:3",
        "--agreed-list",
        "--held-at-most=100",
        "--clients-at-most=10",
        "--way-timeout=900ms",
        "--vote-life=9s",
        "--desk-counts",
        "--op",
        OPERATION,
    ];
    let line = first_line(program().args(flags));
    assert!(line.starts_with("listening on 127.0.0.1:"), "{line}");
}

#[test]
fn a_router_starts_with_former_variables() {
    let variables = [
        ("SPOKEFLOW_LISTEN", "127.0.0.1:0"),
        ("SPOKEFLOW_LIST", "127.0.0.1:1"),
        ("SPOKEFLOW_DESK", "127.0.0.1:2"),
        ("SPOKEFLOW_KEEPER", "127.0.0.1:3"),
        ("SPOKEFLOW_AGREED_LIST", "true"),
        ("SPOKEFLOW_HELD_AT_MOST", "100"),
        ("SPOKEFLOW_CLIENTS_AT_MOST", "10"),
        ("SPOKEFLOW_WAY_TIMEOUT", "900ms"),
        ("SPOKEFLOW_VOTE_LIFE", "9s"),
        ("SPOKEFLOW_DESK_COUNTS", "true"),
        ("SPOKEFLOW_OP", OPERATION),
    ];
    let line = first_line(program().envs(variables));
    assert!(line.starts_with("listening on 127.0.0.1:"), "{line}");
}

/// A value under a former name is used, not only accepted: an invalid one is rejected with the current flag's name.
#[test]
fn values_under_former_variables_are_read() {
    let base = [
        ("SPOKEFLOW_LIST", "127.0.0.1:1"),
        ("SPOKEFLOW_DESK", "127.0.0.1:2"),
        ("SPOKEFLOW_OP", OPERATION),
    ];
    for (variable, value, flag) in [
        ("SPOKEFLOW_HELD_AT_MOST", "0", "--max-waiting"),
        ("SPOKEFLOW_CLIENTS_AT_MOST", "0", "--max-clients"),
        ("SPOKEFLOW_WAY_TIMEOUT", "0s", "--ping-timeout"),
        ("SPOKEFLOW_VOTE_LIFE", "1s", "--vote-lifetime"),
        ("SPOKEFLOW_AGREED_LIST", "true", "--control-plane"),
        ("SPOKEFLOW_KEEPER", "nowhere", "--control-plane"),
        ("SPOKEFLOW_DESK_COUNTS", "maybe", "--controller-stats"),
    ] {
        let output = program().envs(base).env(variable, value).output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{variable}: {text}");
        assert!(text.contains(flag), "{variable}: {text}");
    }
}

#[test]
fn the_current_name_takes_precedence_over_the_former_one() {
    let variables = [
        ("SPOKEFLOW_LIST", "127.0.0.1:1"),
        ("SPOKEFLOW_RELEASE_CONTROLLER", "127.0.0.1:2"),
        ("SPOKEFLOW_LISTEN", "127.0.0.1:0"),
        ("SPOKEFLOW_OP", OPERATION),
        ("SPOKEFLOW_MAX_WAITING", "5"),
        ("SPOKEFLOW_HELD_AT_MOST", "0"),
    ];
    let line = first_line(program().envs(variables));
    assert!(line.starts_with("listening on 127.0.0.1:"), "{line}");
}
