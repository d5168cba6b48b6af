//! One router as a state machine around the decision module. Time and decoded messages go in, messages go out
//! through [`Links`]; nothing here reads a clock, a socket or a file, so equal inputs give equal outputs.
//!
//! Call [`Engine::take`] with each [`Input`] in order of time, and [`Engine::woken`] when [`Engine::next_wake`]
//! is reached.

mod book;
mod engine;
mod input;
mod links;
mod outgoing;

pub use engine::{Counts, Engine, EngineTerms};
pub use input::{Input, NoAnswer, Recording, RecordingFault};
pub use links::Links;
pub use outgoing::{Left, Outgoing};
