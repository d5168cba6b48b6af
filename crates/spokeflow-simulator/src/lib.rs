//! Discrete-event simulation of a whole deployment: unmodified engines of `spokeflow-engine`, with the hosts, host
//! list, release controller, clients and faults of `spokeflow-scenario` around them. There is no I/O and no wall
//! clock. Times are whole microseconds; events of the same microsecond are handled in the order in which they were
//! scheduled. Equal scenarios give byte-identical reports.

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
pub use strategy::{HostView, OracleTransport, RoutingStrategy, StrategyKind};
