//! The messages that connection tasks send to the task that owns the engine.

use bytes::Bytes;
use spokeflow_core::HostId;
use spokeflow_engine::Input;
use spokeflow_proto::{Command, RolloutUpdate, ToClient, VoteResult};
use tokio::sync::oneshot;

use crate::endpoint_table::Listing;
use crate::idle_connections::Connection;
use crate::idle_lifetime::ConnectionUse;

/// An event for the task that owns the engine.
pub(crate) enum EngineEvent {
    /// A command of a client, received whole and checked. Exactly one message is sent on `answer`, or none if the
    /// client disconnects first.
    Command {
        connection: u64,
        /// The `Request-Id` as the client sent it, for the log and to detect that it is used twice.
        id: Bytes,
        command: Command,
        answer: oneshot::Sender<ToClient>,
    },
    /// The connection of this number, which a client had opened, is closed.
    ClientDisconnected(u64),
    /// A delivery to a host has ended; `input` is the result for the engine.
    DeliveryEnded {
        host: HostId,
        delivery: u64,
        input: Input,
        /// The connection, if it may carry another delivery.
        connection: Option<Connection>,
        /// Whether the connection broke, if that is evidence of how long connections may stay idle.
        connection_use: Option<ConnectionUse>,
    },
    /// Discovery has sent the host list or changes of it.
    EndpointsListed {
        listing: Listing,
        /// Notified once the listing has been applied.
        applied: oneshot::Sender<()>,
    },
    /// The release controller has sent the state of a rollout.
    RolloutUpdated(RolloutUpdate),
    /// The release controller has reported a wrong answer of this host to a delivery sent `sent_ago_us` ago.
    WrongAnswerReport { host_name: String, sent_ago_us: u64 },
    /// A vote has been answered; `result` is `None` if it is unknown whether the vote counts.
    VoteAnswered {
        ballot: u64,
        result: Option<VoteResult>,
        update: Option<RolloutUpdate>,
    },
}
