//! The binary protocol between client, router, host, endpoint list and release controller: messages, frames, limits
//! and errors. No I/O.
//!
//! There is one message type per direction of each link. Each message is one frame ([`FrameCodec`]), and the first
//! message on a connection is a [`Hello`]. `docs/protocol.md` describes the bytes. The encoding depends on the order of
//! variants and fields: new ones must be added at the end, and none may be removed or moved without a new
//! [`VERSION`].

mod codec;
mod error;
mod message;

pub use codec::{FrameCodec, HELLO_LIMIT, LIST_LIMIT, WORK_LIMIT};
pub use error::FrameError;
pub use message::client::{Command, FromClient, ToClient};
pub use message::controller::{
    DeliveryStats, FromController, RolloutPhase, RolloutUpdate, ToController, VoteChoice,
    VoteResult,
};
pub use message::hello::{Hello, Refused, Role, MAGIC, OLDEST_VERSION, VERSION};
pub use message::host::{FromHost, ToHost};
pub use message::list::{EndpointPhase, EndpointRecord, FromList, HostSize, ToList};
