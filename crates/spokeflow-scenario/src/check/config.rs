//! Configuration of the checker.

use crate::scenario::{Repeat, Scenario};
use crate::{Micros, MS, SECOND};

/// Connect timeout of the routers of a run. A delivery that waits longer for its connection is not sent.
const CONNECT_TIMEOUT: Micros = 250 * MS;
/// Maximum difference between the observation of a message at a test peer and its handling by the router.
const SLACK: Micros = 150 * MS;
/// Time after an attempt's deadline beyond which no message of it is in flight any more.
const LINGER: Micros = 30 * SECOND;

/// The settings of a run that the rules refer to, and the tolerances of the checker.
#[derive(Clone, Debug)]
pub struct RuleConfig {
    /// By operation, whether a command may be repeated.
    pub repeats: Vec<Repeat>,
    /// Time after a router has learned of a drain during which it may still send to the host.
    pub drain_grace: Micros,
    /// Deliveries in each window that are allowed beyond the exposure cap.
    pub exposure_free: f64,
    /// Window over which exposure is counted.
    pub exposure_span: Micros,
    /// Whether a key must not go to a build earlier than the newest one that has answered it.
    pub forward_only: bool,
    /// Exposure cap of stage 0, 0 to 1.
    pub first_cap: f64,
    /// Maximum difference between the observation of a message and its handling by the router.
    pub slack: Micros,
    /// Time by which a delivery may be observed late, beyond `slack`, because its connection had to be established
    /// first.
    pub connecting: Micros,
    /// Time after an attempt's deadline during which messages of it may still be observed.
    pub linger: Micros,
}

impl RuleConfig {
    /// Returns the configuration for a run of this scenario.
    pub fn of(scenario: &Scenario) -> RuleConfig {
        let slow_connects = scenario
            .faults
            .iter()
            .any(|fault| fault.kind.slows_connects());
        RuleConfig {
            repeats: scenario.ops.iter().map(|op| op.repeat).collect(),
            drain_grace: scenario.drain_grace,
            exposure_free: scenario.exposure_free,
            exposure_span: scenario.exposure_span,
            forward_only: scenario.forward_only,
            first_cap: scenario.cap(0),
            slack: SLACK,
            connecting: if slow_connects { CONNECT_TIMEOUT } else { 0 },
            linger: LINGER,
        }
    }
}
