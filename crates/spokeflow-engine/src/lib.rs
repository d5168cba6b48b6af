//! One router as a state machine around the decision module ([`spokeflow_core::Router`]). Time and decoded messages
//! go in, messages go out through [`Transport`]; this crate reads no clock, socket or file, so equal inputs give equal
//! outputs.
//!
//! Call [`Engine::on_input`] with each [`Input`] in order of time, and [`Engine::on_timer`] when
//! [`Engine::next_wake`] is reached. All times are microseconds of one monotonic clock.

mod config;
mod counts;
mod egress;
mod endpoint_entry;
mod engine;
mod in_flight;
mod input;
mod outgoing;
mod receipt;
mod recording;
mod time;
mod transport;

pub use config::EngineConfig;
pub use counts::Counts;
pub use engine::Engine;
pub use input::{Input, TransportFailure};
pub use outgoing::{Outgoing, Undelivered};
pub use recording::{NotARecordingError, RecordedInput, Recording, TornEntryError};
pub use transport::Transport;
