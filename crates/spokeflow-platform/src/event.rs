//! The messages that connection tasks send to the task that owns the engine.

use bytes::Bytes;
use spokeflow_core::HostId;
use spokeflow_engine::Input;
use spokeflow_proto::{Command, RolloutUpdate, ToClient, VoteResult};
use tokio::sync::oneshot;

use crate::endpoint_table::Listing;
use crate::idle_connections::Connection;
use crate::idle_lifetime::ConnectionUse;

/// What reaches the task that owns the engine.
pub(crate) enum EngineEvent {
    /// A client's request, checked and whole. It gets one message on `answer`, none if the client goes first.
    Command {
        connection: u64,
        /// The id as the client wrote it, for the log and to find a second use of it.
        id: Bytes,
        command: Command,
        answer: oneshot::Sender<ToClient>,
    },
    /// The connection of a client is closed.
    ClientDisconnected(u64),
    /// A delivery to a host has ended, as `input` tells the engine.
    DeliveryEnded {
        host: HostId,
        delivery: u64,
        input: Input,
        /// The connection, where it may carry another delivery.
        connection: Option<Connection>,
        /// What became of the connection, where that says something of how long one may rest.
        connection_use: Option<ConnectionUse>,
    },
    /// Discovery has listed the hosts.
    EndpointsListed(Listing),
    /// The release controller sends the state of a rollout.
    RolloutStatus(RolloutUpdate),
    /// The release controller says that an answer of this host was wrong, to a delivery sent so many microseconds ago.
    WrongAnswerReport { host_name: String, ago_us: u64 },
    /// What became of a vote; no result where it may count or not.
    VoteAnswered {
        ballot: u64,
        result: Option<VoteResult>,
        status: Option<RolloutUpdate>,
    },
}
