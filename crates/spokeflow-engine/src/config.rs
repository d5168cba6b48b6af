//! Configuration of one engine.

use spokeflow_core::{Micros, ServiceConfig};

/// What the engine must know: the decision module's configuration and the engine's own limits.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Configuration of the decision module. Leases replace its revisable part.
    pub service: ServiceConfig,
    /// Microseconds taken off each client's timeout, so that the answer still arrives in time.
    pub answer_margin: Micros,
    /// Pending commands at most; one more is nacked at once.
    pub max_waiting: usize,
}
