//! What the checker judges a run by.

use crate::scenario::{Repeat, Scenario};
use crate::{Micros, MS, SECOND};

/// The connect timeout of the routers of a run: what takes longer to connect was never sent.
const CONNECT_TIMEOUT: Micros = 250 * MS;
/// How far a fake peer's note of a message may be from when the router handled it.
const SLACK: Micros = 150 * MS;
/// Longer than anything is under way in a run after its deadline.
const LINGER: Micros = 30 * SECOND;

/// The settings of a run that the rules speak of, and the allowances the checker makes.
#[derive(Clone, Debug)]
pub struct RuleConfig {
    /// By operation, how it may be repeated.
    pub repeats: Vec<Repeat>,
    /// How long after it learned of a drain a router may still send to the host.
    pub drain_grace: Micros,
    /// Deliveries in each window that the exposure cap does not count.
    pub exposure_free: f64,
    /// The window over which exposure is counted.
    pub exposure_span: Micros,
    /// Whether a key stays with the newest build that has answered it.
    pub forward_only: bool,
    /// The exposure cap of stage 0, 0 to 1.
    pub first_cap: f64,
    /// How far an observation may be from when the router handled the message.
    pub slack: Micros,
    /// How much later than the router sent it a delivery may be seen, beyond `slack`, since a connection had to be
    /// made for it first.
    pub connecting: Micros,
    /// How long after an attempt's deadline something may still be seen of it.
    pub linger: Micros,
}

impl RuleConfig {
    /// The rules of this scenario.
    pub fn of(day: &Scenario) -> RuleConfig {
        let slow_connects = day.faults.iter().any(|fault| fault.kind.slows_connects());
        RuleConfig {
            repeats: day.ops.iter().map(|op| op.repeat).collect(),
            drain_grace: day.drain_grace,
            exposure_free: day.exposure_free,
            exposure_span: day.exposure_span,
            forward_only: day.forward_only,
            first_cap: day.cap(0),
            slack: SLACK,
            connecting: if slow_connects { CONNECT_TIMEOUT } else { 0 },
            linger: LINGER,
        }
    }
}
