//! Upper bounds on the time for which two routers may act on contradicting settings, and on the time until a change is
//! in force. The formulas are those of `docs/agreement.md`, "The bound".

use spokeflow_coordination::LeaseConfig;

use super::target::Target;

const MICROS_PER_SECOND: f64 = 1e6;

/// Time bounds that follow from the lease settings, all in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LeaseBounds {
    /// Nominal lease duration.
    pub lease_duration: f64,
    /// Time for which a router holds a grant, by its own clock.
    pub holder_duration: f64,
    /// Time for which the leader waits for a grant to expire, by its own clock.
    pub granter_duration: f64,
    /// Longest time for which two routers may act on contradicting settings.
    pub longest_contradiction: f64,
    /// Time from one renewal to the next.
    pub renewal_interval: f64,
    /// Time from proposal to in force if nothing fails, without message delays.
    pub in_force_after: f64,
    /// Time from proposal to in force if the leader is lost meanwhile: one silence until the loss is noticed, an
    /// election that takes at most another one, and a second lease wait by the new leader.
    pub in_force_after_with_election: f64,
}

impl LeaseBounds {
    /// Returns the bounds for the lease settings of a target.
    pub(super) fn from_target(target: &Target) -> LeaseBounds {
        let terms = &target.terms;
        let lease = LeaseConfig {
            duration: (terms.lease_seconds * MICROS_PER_SECOND) as i64,
            max_clock_drift: terms.clock_drift,
        };
        let seconds = |micros: i64| micros as f64 / MICROS_PER_SECOND;
        let holder_duration = seconds(lease.holder_duration());
        let granter_duration = seconds(lease.granter_duration());
        LeaseBounds {
            lease_duration: terms.lease_seconds,
            holder_duration,
            granter_duration,
            longest_contradiction: seconds(lease.longest_contradiction()),
            renewal_interval: holder_duration / super::limits::RENEWALS_PER_LEASE,
            in_force_after: granter_duration,
            in_force_after_with_election: granter_duration
                + 2.0 * terms.silence_seconds
                + granter_duration,
        }
    }
}
