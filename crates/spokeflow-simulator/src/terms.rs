//! A day's promises as terms of an engine: the same that the flags of a router process give, see the test
//! of the lab that compares both.

use spokeflow_core::{Gate, OpTerms, Repeat, RepeatScope, ServiceTerms, ZoneId};
use spokeflow_engine::EngineTerms;
use spokeflow_scenario::scenario::{self, Scenario};
use spokeflow_scenario::{MS, SECOND};

/// Terms of router `index`.
pub fn engine_terms(day: &Scenario, index: u32) -> EngineTerms {
    let op = |op: &scenario::Op| {
        let (repeat, repeat_scope, repeat_memory) = match op.repeat {
            scenario::Repeat::Redeliverable => (Repeat::Redeliverable, RepeatScope::Unknown, 0),
            scenario::Repeat::Deduplicated(memory) => {
                (Repeat::Deduplicated, RepeatScope::All, memory)
            }
            scenario::Repeat::AtMostOnce => (Repeat::AtMostOnce, RepeatScope::Unknown, 0),
        };
        OpTerms {
            repeat,
            repeat_scope,
            repeat_memory,
            service_target: op.target,
            command_timeout: op.timeout,
            importance: op.importance,
            streamed: false,
        }
    };
    let service = ServiceTerms {
        ops: day.ops.iter().map(op).collect(),
        shares: day.customers.iter().map(|c| c.allowed).collect(),
        own_zone: ZoneId((index % u32::from(day.sites)) as u16),
        own_index: index,
        fleet_size: day.routers,
        tick: MS,
        list_must_be_asked: false,
        list_ask_within: 5 * SECOND,
        delivery_cap: 6,
        side_by_side: true,
        may_cancel: true,
        may_probe: false,
        may_tell: day.tells,
        may_name_return: true,
        longest_return: 2 * SECOND,
        drain_grace: day.drain_grace,
        cold_from: day.cold_from,
        warm_within: day.warm_within,
        fall_multiple: day.fall_multiple,
        fall_span: day.fall_span,
        gate: match day.gate {
            scenario::Gate::Single => Gate::Single,
            scenario::Gate::Majority => Gate::Majority,
        },
        stage_caps: (0..day.stage_shares.len()).map(|s| day.cap(s)).collect(),
        stage_shares: day.stage_shares.clone(),
        exposure_free: day.exposure_free,
        exposure_span: day.exposure_span,
        exposure_by_op: false,
        guarded_stages: 0,
        forward_only: day.forward_only,
        rolling: true,
        stage_bake: day.bake,
        vote_life: 10 * SECOND,
        vote_wait: 2 * SECOND,
        complaint_share: day.reported,
        back_votes: 0,
        votes_a_second: f64::INFINITY,
    };
    EngineTerms {
        service,
        answer_margin: 30 * MS,
        held_at_most: 20_000,
    }
}
