//! Translates a scenario to the flags of a router.

use std::net::SocketAddr;
use std::time::Duration;

use spokeflow_config::OperationFlag;
use spokeflow_core::DeduplicationScope;
use spokeflow_scenario::scenario::{Gate, Op, Repeat, Scenario};

use crate::Micros;

/// Returns the flags with which the router of an index runs a scenario.
pub fn flags(
    scenario: &Scenario,
    index: u32,
    list: SocketAddr,
    release_controller: SocketAddr,
) -> Vec<String> {
    let seed = scenario.seed.wrapping_mul(31).wrapping_add(index.into());
    let mut flags = vec![
        "--listen=127.0.0.1:0".to_string(),
        format!("--list={list}"),
        format!("--release-controller={release_controller}"),
        format!("--index={index}"),
        format!("--site={}", index % u32::from(scenario.sites)),
        format!("--fleet-size={}", scenario.routers),
        "--delivery-cap=6".into(),
        "--side-by-side".into(),
        format!("--drain-grace={}us", scenario.drain_grace),
        format!("--cold-from={}", scenario.cold_from),
        format!("--warm-within={}us", scenario.warm_within),
        format!("--fall-multiple={}", scenario.overload_multiple),
        format!("--fall-span={}us", scenario.overload_window),
    ];
    flags.extend(rollout_flags(scenario));
    flags.push(format!("--seed={seed}"));
    if scenario.forward_only {
        flags.push("--forward-only".into());
    }
    flags.extend(
        scenario
            .ops
            .iter()
            .map(|op| format!("--op={}", operation_flag(op))),
    );
    let tenants = scenario.tenants.iter();
    flags.extend(tenants.map(|tenant| format!("--customer={}={}", tenant.name, tenant.allowed)));
    flags
}

fn rollout_flags(scenario: &Scenario) -> Vec<String> {
    let gate = match scenario.gate {
        Gate::Single => "single",
        _ => "majority",
    };
    let stages = 0..scenario.stage_fractions.len();
    let caps: Vec<f64> = stages.map(|stage| scenario.cap(stage)).collect();
    vec![
        format!("--gate={gate}"),
        format!(
            "--stage-share={}",
            comma_separated(&scenario.stage_fractions)
        ),
        format!("--stage-cap={}", comma_separated(&caps)),
        format!("--exposure-free={}", scenario.exposure_free),
        format!("--exposure-span={}us", scenario.exposure_span),
        format!("--stage-bake={}us", scenario.bake),
        format!("--complaint-share={}", scenario.reported),
    ]
}

fn operation_flag(op: &Op) -> OperationFlag {
    let (repeat, memory) = match op.repeat {
        Repeat::Redeliverable => (spokeflow_core::Repeat::Idempotent, 0),
        Repeat::Deduplicated(memory) => (spokeflow_core::Repeat::Deduplicated, memory),
        Repeat::AtMostOnce => (spokeflow_core::Repeat::AtMostOnce, 0),
    };
    OperationFlag {
        name: op.name.to_string(),
        repeat,
        scope: DeduplicationScope::All,
        memory: duration(memory),
        target: duration(op.target),
        timeout: duration(op.timeout),
        importance: op.importance,
        streamed: false,
    }
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros as u64)
}

fn comma_separated(numbers: &[f64]) -> String {
    let numbers: Vec<String> = numbers.iter().map(f64::to_string).collect();
    numbers.join(",")
}
