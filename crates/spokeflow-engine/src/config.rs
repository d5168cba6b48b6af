//! Configuration of one engine.

use spokeflow_core::{Micros, ServiceConfig};

/// The decision module's configuration and the engine's own limits.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Configuration of the decision module. Leases replace the part of it that a
    /// [`spokeflow_coordination::EffectiveConfig`] holds.
    pub service: ServiceConfig,
    /// Microseconds subtracted from each client's timeout, so that the answer still reaches the client in time.
    pub answer_margin: Micros,
    /// Largest number of pending commands; further ones are nacked at once.
    pub max_waiting: usize,
}
