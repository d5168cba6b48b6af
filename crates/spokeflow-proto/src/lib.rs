//! What crosses the sockets: messages, their frames, limits and faults. No I/O. The form is written down in
//! `docs/protocol.md`.

mod codec;
mod message;

pub use codec::{FrameCodec, FrameError, HELLO_LIMIT, LIST_LIMIT, WORK_LIMIT};
pub use message::*;
