//! Subcommands under their current and former names.

use std::process::Command;

fn help(subcommand: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_spokeflowctl"))
        .args([subcommand, "--help"])
        .output()
        .unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

#[test]
fn register_is_accepted_under_its_former_name() {
    let (code, text) = help("register");
    assert!(
        code == Some(0) && text.contains("Usage: spokeflowctl register"),
        "{code:?} {text}"
    );
    assert_eq!(help("seat"), (code, text));
    assert_eq!(
        help("stool").0,
        Some(2),
        "a name that was never used must be rejected"
    );
}
