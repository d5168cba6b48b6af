//! Digests of every output of the decision module, in order, in seeded random scenarios.
//!
//! A change of the module's data structures must not change any digest. A change of its choices
//! does: then record the new digests together with the reason. Sizes of hosts are dyadic, so that
//! sums of them are exact in any order; sums over cold hosts may differ in their last bits where
//! the order differs. Logarithms and exponentials are the system's: the digests were recorded on
//! x86-64 Linux.

mod scenario;

use scenario::*;
use spokeflow_core::Gate;

const LENGTH: i64 = 60 * SECOND;

/// Returns scenarios that vary the number of hosts and routers, the gate, forward-only rules and
/// the kind of rollout.
fn settings() -> Vec<Setting> {
    let mut settings = Vec::new();
    for (hosts, commands_per_second) in [(4, 40), (12, 120), (60, 300), (250, 300)] {
        for fleet_size in [1, 60, 300, 1_300] {
            let seed = settings.len() as u64 + 1;
            let gate = [Gate::Single, Gate::Majority, Gate::Clocked][seed as usize % 3];
            let (forward_only, rolling) = (seed % 4 < 2, !seed.is_multiple_of(5));
            let length = LENGTH;
            settings.push(Setting {
                seed,
                hosts,
                fleet_size,
                gate,
                forward_only,
                rolling,
                commands_per_second,
                length,
            });
        }
    }
    settings
}

const DIGESTS: [u64; 16] = [
    0x0c6e_b63e_4cbe_f114, // 4 hosts, fleet of 1
    0x3bdd_3d0d_1bc8_5191, // 4 hosts, fleet of 60
    0x5d27_297d_9b12_81e3, // 4 hosts, fleet of 300
    0x55e0_16ff_ffd0_026a, // 4 hosts, fleet of 1300
    0x5a58_0d73_5cfe_5498, // 12 hosts, fleet of 1
    0xe130_e9e9_4a45_8ba8, // 12 hosts, fleet of 60
    0x080c_9df0_29b1_12e4, // 12 hosts, fleet of 300
    0x8c7c_22b5_22a8_dad2, // 12 hosts, fleet of 1300
    0x91d2_c9d0_780f_fb42, // 60 hosts, fleet of 1
    0x6228_783e_cb53_c213, // 60 hosts, fleet of 60
    0x7f51_8e91_fc2d_3402, // 60 hosts, fleet of 300
    0xa445_04b1_3ee9_67f3, // 60 hosts, fleet of 1300
    0xc69f_62bf_2bac_e6d5, // 250 hosts, fleet of 1
    0x8dc2_c1d3_4480_391d, // 250 hosts, fleet of 60
    0xfa9c_c8b8_6776_5188, // 250 hosts, fleet of 300
    0xc343_0692_a7d0_68be, // 250 hosts, fleet of 1300
];

#[test]
fn choices_match_the_recorded_digests() {
    let results: Vec<(u64, Counts)> = settings()
        .into_iter()
        .map(|setting| Simulation::new(setting).run())
        .collect();
    for (setting, (digest, counts)) in settings().iter().zip(&results) {
        println!(
            "0x{digest:016x}, // {} hosts, fleet of {}: {counts:?}",
            setting.hosts, setting.fleet_size
        );
    }
    let total =
        |count: fn(&Counts) -> u64| results.iter().map(|(_, counts)| count(counts)).sum::<u64>();
    assert!(
        total(|c| c.deliveries) > 50_000,
        "most commands must be delivered"
    );
    assert!(
        total(|c| c.further_deliveries) > 1_000,
        "some commands must be delivered again"
    );
    assert!(total(|c| c.nacks) > 1_000, "some commands must be nacked");
    assert!(total(|c| c.fails) > 100, "some commands must fail");
    assert!(
        total(|c| c.cancels) > 100,
        "some deliveries must be cancelled"
    );
    assert!(total(|c| c.votes) > 50, "some votes must be cast");
    let digests: Vec<u64> = results.into_iter().map(|(digest, _)| digest).collect();
    assert_eq!(
        digests, DIGESTS,
        "a digest differs: the module's choices have changed"
    );
}
