//! The router's flags: the configuration that they result in, and how faults in them are reported.

use clap::Parser;
use spokeflow_core::Repeat;
use spokeflow_router::RouterFlags;

#[derive(Parser)]
struct CommandLine {
    #[command(flatten)]
    flags: RouterFlags,
}

fn parse(more: &[&str]) -> Result<RouterFlags, String> {
    let base = [
        "router",
        "--list=127.0.0.1:1",
        "--release-controller=127.0.0.1:2",
        "--op=set-threshold:redeliverable:target=1.2s:timeout=4s:importance=2",
        "--op=close-trip:at-most-once:target=2s:timeout=6s:importance=3",
    ];
    let command_line =
        CommandLine::try_parse_from(base.iter().chain(more)).map_err(|error| error.to_string())?;
    command_line
        .flags
        .check()
        .map(|()| command_line.flags)
        .map_err(|errors| errors.to_string())
}

#[test]
fn valid_flags_become_the_engine_configuration() {
    let config = parse(&[
        "--customer=a=25,b=3.5",
        "--forward-only",
        "--answer-margin=20ms",
    ])
    .unwrap()
    .engine_config();
    assert_eq!(config.service.ops[1].repeat, Repeat::AtMostOnce);
    assert_eq!(config.service.ops[0].latency_objective, 1_200_000);
    assert_eq!(config.service.tenant_quotas, [25.0, 3.5]);
    assert_eq!(config.answer_margin, 20_000);
    assert!(config.service.forward_only && config.service.rolling);
}

#[test]
fn each_fault_is_one_line_that_names_its_flag() {
    let faults = parse(&[
        "--stage-cap=0.5,0.2",
        "--cold-from=0",
        "--index=4",
        "--vote-wait=20s",
        "--shutdown-within=1s",
        "--op=odd:deduplicated/zone:target=1s:timeout=500ms",
        "--op=brief:deduplicated/all:target=1s:timeout=2s:memory=800ms",
    ])
    .unwrap_err();
    let lines: Vec<&str> = faults.lines().collect();
    let flags = [
        "op: operation 'odd'",
        "op: operation 'odd'",
        "cold-from",
        "stage-cap",
        "stage-cap",
        "vote-wait",
        "index",
    ];
    for (n, flag) in flags.iter().enumerate() {
        assert!(lines[n].starts_with(&format!("--{flag}")), "{n}: {faults}");
    }
    assert!(
        lines.last().unwrap().starts_with("--shutdown-within"),
        "{faults}"
    );
    assert!(
        faults.contains("--ping-timeout: must be shorter than memory="),
        "{faults}"
    );
    assert_eq!(lines.len(), 9, "{faults}");
}

#[test]
fn values_that_cannot_be_parsed_are_rejected() {
    assert!(parse(&["--drain-grace=soon"])
        .unwrap_err()
        .contains("--drain-grace"));
    assert!(parse(&["--op=x:sometimes"])
        .unwrap_err()
        .contains("'sometimes' is not"));
    assert!(parse(&["--customer=x"])
        .unwrap_err()
        .contains("NAME=COMMANDS_A_SECOND"));
}
