//! A whole deployment in simulated time: many engines of `spokeflow-engine` unchanged, with the hosts, list, desk,
//! clients and troubles of `spokeflow-scenario` around them. No I/O, no clock; discrete events in whole
//! microseconds, those of one microsecond in the order in which they were planned. Equal days give equal bytes.

mod agreement;
mod brain;
mod pair;
mod plain;
mod play;
mod terms;
mod world;

pub use agreement::{play_agreement, ControlPlaneRun, ControlPlaneScenario};
pub use brain::{HostView, RoutingStrategy, StrategyKind, Wiring};
pub use play::{play, play_with, ScenarioRun, Watch};
pub use terms::engine_terms;
