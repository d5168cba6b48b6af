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

pub use agreement::{play_agreement, AgreementDay, AgreementPlayed};
pub use brain::{Brain, Look, Who, Wiring};
pub use play::{play, play_with, Played, Watch};
pub use terms::engine_terms;
