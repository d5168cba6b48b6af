//! Reads settings objects into the decision module's configuration.

use spokeflow_core::{DeduplicationScope, Gate, Repeat};
use spokeflow_settings::{Settings, SettingsError};

const OBJECT: &str = r#"{
    "categories": [
        {"name": "read", "aim_s": 0.25, "deadline_s": 1.5, "effect": "idempotent", "worth": 2.0, "stream": true},
        {"name": "pay", "aim_s": 0.5, "deadline_s": 4, "effect": "deduplicated", "dedup_scope": "zone", "dedup_window_s": 3},
        {"name": "send", "aim_s": 0.5, "deadline_s": 4, "effect": "unheard of"}
    ],
    "tenants": [{"name": "a", "allowance_per_s": 20}, {"name": "b"}],
    "dcs": ["east", "west"],
    "zone": 1, "me": 3, "fleet_size": 12, "resolution_s": 0.005, "membership_mode": "ask",
    "caps": {"send_cap": 4, "parallel_tries": true, "max_retry_after_s": 2, "connect_timeout_s": 0.25, "conn_idle_s": 30},
    "feedback": {"columns": ["queue", "cpu"]},
    "guarantees": {"ask_within_s": 10, "cold_from": 0.3, "drain_grace_s": 0.75, "fall_multiple": 3, "fall_s": 2, "warm_within_s": 6},
    "family_info": {"gate_mode": "majority", "stage_cap": [0.1, 1], "waves": [0.05, 1], "free": 2, "span_s": 8,
        "counts": "per_lane", "style": "rolling", "vote_ttl_s": 5, "answer_wait_s": 1, "back_votes": 2},
    "a key of a later version": true
}"#;

#[test]
fn an_object_becomes_the_configuration() {
    let settings = Settings::parse(OBJECT.as_bytes()).unwrap();
    assert_eq!(settings.ops, ["read", "pay", "send"]);
    assert_eq!(settings.customers, ["a", "b"]);
    assert_eq!(settings.zones, ["east", "west"]);
    assert_eq!(settings.busy_column, Some(1));
    assert_eq!(settings.connect_timeout, 250_000);
    assert_eq!(settings.connection_idle, 30_000_000);
    let config = settings.config;
    assert_eq!(config.tenant_quotas, [20.0, 1e-3]);
    assert_eq!((config.own_zone.0, config.own_index), (1, 3));
    assert_eq!((config.fleet_size, config.tick), (12, 5_000));
    assert!(config.list_requires_subscription && config.may_hedge && !config.may_cancel);
    assert_eq!((config.delivery_cap, config.drain_grace), (4, 750_000));
    assert!(matches!(config.gate, Gate::Majority));
    assert_eq!(config.stage_caps, [0.1, 1.0]);
    assert_eq!(config.stage_shares, [0.05, 1.0]);
    assert!(config.exposure_by_op && config.rolling);
    assert_eq!(
        (config.vote_lifetime, config.vote_timeout),
        (5_000_000, 1_000_000)
    );
    assert_eq!(config.votes_per_second, f64::INFINITY);
}

#[test]
fn operations_are_never_run_twice_unless_the_object_allows_it() {
    let config = Settings::parse(OBJECT.as_bytes()).unwrap().config;
    let [read, pay, send] = &config.ops[..] else {
        panic!("expected 3 operations, got {}", config.ops.len());
    };
    assert_eq!(read.repeat, Repeat::Idempotent);
    assert!(read.streaming && read.priority_weight == 2.0);
    assert_eq!(
        (read.latency_objective, read.command_timeout),
        (250_000, 1_500_000)
    );
    assert_eq!(pay.repeat, Repeat::Deduplicated);
    assert_eq!(pay.deduplication_scope, DeduplicationScope::Zone);
    assert_eq!(pay.deduplication_window, 3_000_000);
    assert_eq!(send.repeat, Repeat::AtMostOnce);
}

#[test]
fn errors_name_what_cannot_be_read() {
    let truncated = Settings::parse(&OBJECT.as_bytes()[..100]).err().unwrap();
    assert!(matches!(truncated, SettingsError::Parse(_)));
    assert!(truncated
        .to_string()
        .starts_with("settings do not parse: EOF"));
    let object = OBJECT.replace("majority", "dice");
    let unknown = Settings::parse(object.as_bytes()).err().unwrap();
    assert_eq!(
        unknown.to_string(),
        "settings: unknown gate_mode 'dice', expected 'single', 'majority' or 'clocked'"
    );
}
