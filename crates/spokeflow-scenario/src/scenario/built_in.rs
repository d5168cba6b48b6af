//! The built-in scenarios. All random draws come from the seed. The order of the draws must not change, since it
//! determines the scenario that a seed stands for.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{
    Build, BuildDefect, CancelPolicy, Fault, FaultKind, Gate, Op, Repeat, Scenario, Tenant,
};
use crate::{Micros, MS, SECOND};

/// Combined with the seed in [`Scenario::drawn`], so that its draws differ from those of the other scenarios.
const DRAWN_SEED: u64 = 0xd4a3;
/// Number of kinds at the end of [`FaultKind::ALL`] that stand for a whole scenario and are not drawn as faults.
const SCENARIO_KINDS: usize = 3;
const CANCEL_POLICIES: [CancelPolicy; 3] = [
    CancelPolicy::Stops,
    CancelPolicy::Waiting,
    CancelPolicy::Ignored,
];
/// Families of fault kinds; [`Scenario::bad_day`] draws one kind from each.
const FAULT_FAMILIES: [&[FaultKind]; 5] = [
    &[
        FaultKind::Kill,
        FaultKind::LoneHost,
        FaultKind::Hang,
        FaultKind::Slow,
        FaultKind::FastErrors,
    ],
    &[
        FaultKind::Cut,
        FaultKind::CutList,
        FaultKind::CutHosts,
        FaultKind::SlowLink,
        FaultKind::LossyLinks,
        FaultKind::SlowConnects,
    ],
    &[
        FaultKind::StalledController,
        FaultKind::LateController,
        FaultKind::RefusingController,
        FaultKind::LateList,
        FaultKind::ListBreaks,
    ],
    &[
        FaultKind::Shift,
        FaultKind::TenantOverload,
        FaultKind::GiveUp,
        FaultKind::RetryStorm,
        FaultKind::SlowOp,
        FaultKind::HotKey,
    ],
    &[FaultKind::RouterKill, FaultKind::RouterRoll],
];

impl Scenario {
    /// Returns a scenario without faults: one good build, at the smallest fleet size. Its operations, tenants and rates
    /// are modelled on the services of the first operators.
    pub fn plain(seed: u64, length: Micros) -> Scenario {
        Scenario {
            name: "plain".into(),
            seed,
            length,
            sites: 3,
            hosts: 15,
            routers: 3,
            cores: 1,
            rate: 46.0,
            ops: operations(),
            tenants: tenants(),
            keys: 600,
            builds: vec![good_build(1, 0)],
            stage_fractions: vec![0.04, 0.1, 0.25, 0.55, 1.0],
            slack: 1.4,
            gate: Gate::Single,
            bake: 2 * SECOND,
            exposure_free: 1.0,
            exposure_span: 4 * SECOND,
            forward_only: true,
            drain_grace: SECOND,
            drain: 2 * SECOND,
            boot: [SECOND, 2200 * MS],
            cold_from: 0.31,
            warm_within: 3700 * MS,
            overload_multiple: 3.0,
            overload_window: 3 * SECOND,
            retries: 2,
            try_part: [0.4, 1.0],
            list_late: [400 * MS, 1400 * MS],
            rollout_delay: [260 * MS, 880 * MS],
            rollout_interval: 4 * SECOND,
            reported: 0.15,
            may_gossip: false,
            key_skew: 0.7,
            wave: 0.15,
            wave_span: 15 * SECOND,
            burst: 0.0,
            cache_keys: 0,
            miss_cost: 2.0,
            thrash: 0.0,
            cancel: CancelPolicy::Stops,
            neighbours: 0,
            steal: 0.0,
            faults: Vec::new(),
        }
    }

    /// Returns a scenario with one fault of each family, which may overlap, and two builds of which one has a defect.
    pub fn bad_day(seed: u64, length: Micros) -> Scenario {
        let mut scenario = Scenario {
            name: "bad-day".into(),
            ..Scenario::plain(seed, length)
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let second_is_bad = rng.random_bool(0.5);
        let defect = draw_defect_if(second_is_bad, &mut rng);
        scenario.builds.push(Build {
            number: 2,
            offered: length / 12,
            defect,
            speed: rng.random_range(0.9..1.1),
        });
        scenario.builds.push(Build {
            number: 3,
            offered: length / 2,
            defect: draw_defect_if(!second_is_bad, &mut rng),
            speed: 1.0,
        });
        // The faults may come in any order and overlap.
        for family in FAULT_FAMILIES {
            let kind = family[rng.random_range(0..family.len())];
            let at = rng.random_range(length / 10..length * 3 / 4);
            let fault = Fault::typical(kind);
            scenario.faults.push(Fault { at, ..fault });
        }
        scenario.faults.sort_by_key(|fault| fault.at);
        scenario
    }

    /// Returns a scenario with a single fault during the canary of a good build; for `BadBuild`, with a build that has
    /// a defect and no fault.
    pub fn only(kind: FaultKind, seed: u64, length: Micros) -> Scenario {
        let mut scenario = Scenario {
            name: format!("only {}", kind.name()),
            ..Scenario::plain(seed, length)
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let offered = length / 10;
        scenario.builds.push(Build {
            defect: draw_defect_if(kind == FaultKind::BadBuild, &mut rng),
            ..good_build(2, offered)
        });
        let window = match kind {
            FaultKind::BadBuild | FaultKind::None => return scenario,
            FaultKind::TakeBack => {
                // A stage takes about 5 s, so that build 2 is in its last stage when build 3 is offered.
                let next = good_build(3, offered + 24 * SECOND);
                scenario.builds.push(next);
                return scenario;
            }
            FaultKind::HotKey => offered..length / 6,
            _ => length / 8..length / 2,
        };
        let at = rng.random_range(window);
        let fault = Fault::typical(kind);
        scenario.faults.push(Fault { at, ..fault });
        scenario
    }

    /// Returns a scenario with up to five faults of any kind, severity and time. Some seeds also draw hosts with
    /// caches, neighbours or a slowdown by long queues, and bursts of the clients.
    pub fn drawn(seed: u64, length: Micros) -> Scenario {
        let mut rng = StdRng::seed_from_u64(seed ^ DRAWN_SEED);
        let mut scenario = Scenario {
            name: "drawn".into(),
            ..Scenario::plain(seed, length)
        };
        if rng.random_bool(0.25) {
            scenario.burst = rng.random_range(0.3..1.5);
        }
        if rng.random_bool(0.25) {
            scenario.cache_keys = (scenario.keys / u64::from(scenario.hosts) * 4).max(8) as u32;
            scenario.miss_cost = rng.random_range(1.2..2.5);
        }
        if rng.random_bool(0.25) {
            scenario.thrash = rng.random_range(0.02..0.1);
        }
        if rng.random_bool(0.25) {
            scenario.neighbours = rng.random_range(2..5);
            scenario.steal = rng.random_range(0.1..0.6);
        }
        scenario.cancel = CANCEL_POLICIES[rng.random_range(0..CANCEL_POLICIES.len())];
        scenario.key_skew = rng.random_range(0.3..1.1);
        let mut offered = rng.random_range(length / 20..length / 4);
        for number in 2..2 + rng.random_range(0..3) {
            let defective = rng.random_bool(0.4);
            let defect = draw_defect_if(defective, &mut rng);
            scenario.builds.push(Build {
                number,
                offered,
                defect,
                speed: rng.random_range(0.85..1.2),
            });
            offered += rng.random_range(length / 8..length / 2);
        }
        for _ in 0..rng.random_range(0..6) {
            scenario.faults.push(draw_fault(&mut rng, length));
        }
        scenario.faults.sort_by_key(|fault| fault.at);
        scenario
    }
}

fn operations() -> Vec<Op> {
    vec![
        Op {
            name: "set-threshold",
            share: 0.45,
            work: 130 * MS,
            target: 1200 * MS,
            timeout: 4000 * MS,
            importance: 2.0,
            repeat: Repeat::Redeliverable,
        },
        Op {
            name: "note-arrival",
            share: 0.15,
            work: 130 * MS,
            target: 1200 * MS,
            timeout: 4000 * MS,
            importance: 2.0,
            repeat: Repeat::Deduplicated(5 * SECOND),
        },
        Op {
            name: "close-trip",
            share: 0.40,
            work: 190 * MS,
            target: 2000 * MS,
            timeout: 6000 * MS,
            importance: 3.0,
            repeat: Repeat::AtMostOnce,
        },
    ]
}

fn tenants() -> Vec<Tenant> {
    let tenant = |name, allowed, usage| Tenant {
        name,
        allowed,
        usage,
    };
    vec![
        tenant("doto-dairy", 25.0, 0.7),
        tenant("rumoi-fish", 17.0, 0.8),
        tenant("tokachi-veg", 14.0, 0.7),
        tenant("otaru-cold", 8.0, 0.6),
    ]
}

/// Returns a build without a defect, with the speed of the first build.
fn good_build(number: u16, offered: Micros) -> Build {
    Build {
        number,
        offered,
        defect: BuildDefect::None,
        speed: 1.0,
    }
}

fn draw_defect_if(defective: bool, rng: &mut StdRng) -> BuildDefect {
    if defective {
        draw_defect(rng)
    } else {
        BuildDefect::None
    }
}

/// Draws a fault of any kind at any time, with 0.3 to 1.7 times the typical values of its kind.
fn draw_fault(rng: &mut StdRng, length: Micros) -> Fault {
    let kind = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len() - SCENARIO_KINDS)];
    let typical = Fault::typical(kind);
    let factor = |rng: &mut StdRng| rng.random_range(0.3..1.7);
    Fault {
        kind,
        at: rng.random_range(0..length * 9 / 10),
        lasts: (typical.lasts as f64 * factor(rng)) as Micros,
        part: (typical.part * factor(rng)).min(1.0),
        size: typical.size * factor(rng),
    }
}

fn draw_defect(rng: &mut StdRng) -> BuildDefect {
    match rng.random_range(0..7) {
        0 => BuildDefect::Errors(rng.random_range(0.08..0.36)),
        1 => BuildDefect::OneOp(rng.random_range(0.25..0.9)),
        2 => BuildDefect::Slow(rng.random_range(1.9..3.7)),
        3 => BuildDefect::UnderLoad(rng.random_range(0.2..0.5)),
        4 => BuildDefect::Late(rng.random_range(0.3..0.7)),
        5 => BuildDefect::Shared(rng.random_range(2.0..3.5)),
        _ => BuildDefect::Wrong(rng.random_range(0.2..0.6)),
    }
}
