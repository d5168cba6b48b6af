//! One router as a state machine around the decision module. Time and decoded messages go in, messages go out
//! through [`Transport`]; nothing here reads a clock, a socket or a file, so equal inputs give equal outputs.
//!
//! Call [`Engine::take`] with each [`Input`] in order of time, and [`Engine::woken`] when [`Engine::next_wake`]
//! is reached.

mod engine;
mod in_flight;
mod input;
mod outgoing;
mod transport;

pub use engine::{Counts, Engine, EngineConfig};
pub use input::{Input, Recording, RecordingError, TransportFailure};
pub use outgoing::{Outgoing, Undelivered};
pub use transport::Transport;
