//! The control-plane program still accepts the former names of renamed flags and variables.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A started node and its store; dropping it ends the process and removes the store.
struct Node {
    child: Child,
    store: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.store);
    }
}

fn store_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("spokeflow-former-{name}-{}", std::process::id()))
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spokeflow-control-plane"));
    command.env_clear();
    command
}

/// Starts the program and returns the first line that it prints.
fn first_line(command: &mut Command, store: PathBuf) -> String {
    let child = command.stdout(Stdio::piped()).spawn().unwrap();
    let mut node = Node { child, store };
    let output = node.child.stdout.take().unwrap();
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).unwrap();
    line
}

#[test]
fn a_node_starts_with_former_flags() {
    let store = store_path("flags");
    let mut command = program();
    command.args([
        "--id=1",
        "--listen=127.0.0.1:0",
        "--member=1=127.0.0.1:1",
        "--silence=600ms",
        "--beat=120ms",
        "--drift=0.02",
        "--callers-at-most=100",
    ]);
    command.arg("--store").arg(&store);
    let line = first_line(&mut command, store);
    assert!(line.starts_with("listening on 127.0.0.1:"), "{line}");
}

#[test]
fn a_node_starts_with_former_variables() {
    let store = store_path("variables");
    let mut command = program();
    command.env("SPOKEFLOW_STORE", &store).envs([
        ("SPOKEFLOW_KEEPER_ID", "1"),
        ("SPOKEFLOW_LISTEN", "127.0.0.1:0"),
        ("SPOKEFLOW_MEMBER", "1=127.0.0.1:1"),
        ("SPOKEFLOW_SILENCE", "600ms"),
        ("SPOKEFLOW_BEAT", "120ms"),
        ("SPOKEFLOW_DRIFT", "0.02"),
        ("SPOKEFLOW_CALLERS_AT_MOST", "100"),
    ]);
    let line = first_line(&mut command, store);
    assert!(line.starts_with("listening on 127.0.0.1:"), "{line}");
}

/// A value under a former name is used, not only accepted: an invalid one is reported with the current flag.
#[test]
fn values_under_former_variables_are_read() {
    for (variable, value, flag) in [
        ("SPOKEFLOW_SILENCE", "10ms", "--election-timeout"),
        ("SPOKEFLOW_BEAT", "0s", "--heartbeat-interval"),
        ("SPOKEFLOW_DRIFT", "2", "--max-clock-drift"),
        ("SPOKEFLOW_CALLERS_AT_MOST", "0", "--max-connections"),
        ("SPOKEFLOW_KEEPER_ID", "7", "--member"),
    ] {
        let mut command = program();
        command.args(["--member=1=127.0.0.1:1", "--store=unused"]);
        command.env("SPOKEFLOW_KEEPER_ID", "1").env(variable, value);
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{variable}: {text}");
        assert!(text.contains(flag), "{variable}: {text}");
    }
}
