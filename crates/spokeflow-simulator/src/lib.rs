//! A whole deployment in simulated time: many engines of `spokeflow-engine` unchanged, with the hosts, host list,
//! release controller, clients and faults of `spokeflow-scenario` around them. No I/O, no clock; discrete events in whole
//! microseconds, those of one microsecond in the order in which they were planned. Equal scenarios give equal bytes.

mod baseline;
mod control_plane;
mod engine_config;
mod host_link;
mod play;
mod strategy;
mod world;

pub use control_plane::{play_control_plane, ControlPlaneRun, ControlPlaneScenario};
pub use engine_config::engine_config;
pub use play::{play, play_with, ScenarioRun, Watch};
pub use strategy::{HostView, RoutingStrategy, StrategyKind, Wiring};
