//! The messages that connection tasks send to the task that owns the engine.

use bytes::Bytes;
use spokeflow_core::HostId;
use spokeflow_engine::Input;
use spokeflow_proto::{Command, RolloutUpdate, ToClient, VoteResult};
use tokio::sync::oneshot;

use crate::hosts::Connection;
use crate::roster::Listing;

/// What reaches the task that owns the engine.
pub enum Arrival {
    /// A client's request, checked and whole. It gets one message on `answer`, none if the client goes first.
    Command {
        conn: u64,
        /// The id as the client wrote it, for the log and to find a second use of it.
        id: Bytes,
        command: Command,
        answer: oneshot::Sender<ToClient>,
    },
    /// The connection of a client is closed.
    ClientGone(u64),
    /// A delivery to a host has ended, as `input` tells the engine.
    Delivered {
        host: HostId,
        delivery: u64,
        input: Input,
        /// The connection, where it may carry another delivery.
        connection: Option<Connection>,
        /// Of a connection that was used again: for how many microseconds it had rested, where that is known, and
        /// whether it broke.
        broke: Option<(Option<u64>, bool)>,
    },
    /// Discovery has listed the hosts.
    Listed(Listing),
    /// The deployer says how a release stands.
    RolloutUpdate(RolloutUpdate),
    /// The deployer says that an answer of this unit was wrong, to a delivery sent so many microseconds ago.
    Report { unit: String, ago_us: u64 },
    /// What became of a vote; no result where it may count or not.
    Voted {
        ballot: u64,
        result: Option<VoteResult>,
        news: Option<RolloutUpdate>,
    },
}
