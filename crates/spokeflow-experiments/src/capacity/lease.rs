//! How long two routers may act on settings that contradict each other, and how long a change takes at the longest:
//! the formulas of `docs/agreement.md`, "The bound".

use spokeflow_coordination::LeaseConfig;

use super::target::Target;

const MICROS: f64 = 1e6;

/// All in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LeaseBounds {
    pub lease: f64,
    /// For which a router holds a grant, by its own clock.
    pub holds: f64,
    /// For which the leader waits, by its own clock.
    pub waits: f64,
    pub longest_contradiction: f64,
    /// From one renewal to the next.
    pub renewal: f64,
    /// From offer to in force where nothing fails, messages aside.
    pub in_force: f64,
    /// The same where the leader is lost meanwhile: silence, an election within another one, and one lease more.
    pub in_force_with_election: f64,
}

impl LeaseBounds {
    pub(super) fn of(target: &Target) -> LeaseBounds {
        let terms = &target.terms;
        let lease = LeaseConfig {
            duration: (terms.lease_seconds * MICROS) as i64,
            max_clock_drift: terms.clock_drift,
        };
        let seconds = |micros: i64| micros as f64 / MICROS;
        let holds = seconds(lease.holder_duration());
        let waits = seconds(lease.granter_duration());
        LeaseBounds {
            lease: terms.lease_seconds,
            holds,
            waits,
            longest_contradiction: seconds(lease.longest_contradiction()),
            renewal: holds / super::limits::RENEWALS_PER_LEASE,
            in_force: waits,
            in_force_with_election: waits + 2.0 * terms.silence_seconds + waits,
        }
    }
}
