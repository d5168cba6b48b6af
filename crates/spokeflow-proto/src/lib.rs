//! What crosses the sockets: messages, their frames, limits and errors. No I/O.
//!
//! There is one type for each direction of each link. Each message is one frame ([`FrameCodec`]); the first on a
//! connection is a [`Hello`]. `docs/protocol.md` describes the bytes. The order of variants and fields is the form of a
//! message: new ones go at the end, none is taken out or moved without a new [`VERSION`].

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
