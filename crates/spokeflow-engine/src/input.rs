//! What reaches a router.

use serde::{Deserialize, Serialize};
use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::{AttemptOutcome, Micros};
use spokeflow_proto::{Command, EndpointRecord, FromController, FromHost, FromList};

/// One thing that has happened. Recordings hold it as postcard, by the order of variants and fields: new ones go at
/// the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A client sent a command.
    Command {
        /// The client's connection.
        conn: u64,
        /// What it sent.
        command: Command,
    },
    /// A client no longer waits for a command.
    Abandon {
        /// The client's connection.
        conn: u64,
        /// The client's own number of the command.
        id: u64,
    },
    /// A client reports that an answer was wrong.
    WrongAnswer {
        /// The client's connection.
        conn: u64,
        /// As it came with the answer.
        receipt: u64,
    },
    /// The connection of a client ended.
    ClientDisconnected {
        /// The client's connection.
        conn: u64,
    },
    /// A message of a host.
    FromHost {
        /// The host.
        host: u32,
        /// What it sent.
        message: FromHost,
    },
    /// A delivery ended without a message from the host.
    DeliveryFailed {
        /// The host.
        host: u32,
        /// The engine's number of the delivery.
        delivery: u64,
        /// How it ended.
        failure: TransportFailure,
    },
    /// A message of the endpoint list.
    FromList(FromList),
    /// The endpoint list as an earlier process of this router knew it last.
    CachedList(Vec<EndpointRecord>),
    /// The endpoint list cannot be reached now, or its watch broke.
    ListUnavailable,
    /// A message of the release controller.
    FromController(FromController),
    /// The release controller cannot be reached now.
    ControllerUnavailable,
    /// A message of another router of the fleet.
    Gossip {
        /// Its index in the fleet.
        router: u32,
        /// What it sent.
        text: Vec<u8>,
    },
    /// No more commands are taken.
    Close,
    /// Time has passed and nothing else happened.
    Timer,
    /// Someone other than the client reports that an answer of this host was wrong.
    WrongAnswerReport {
        /// The host.
        host: u32,
        /// How many microseconds ago the delivery was sent.
        ago_us: u64,
    },
    /// From the control plane: this configuration may be used until then, by the engine's clock. For a router that
    /// follows a control plane it is the first input, with a time that is over.
    Lease {
        /// When the lease ends.
        until: Micros,
        /// What is in force under it.
        config: Box<EffectiveConfig>,
    },
    /// From the control plane: endpoints that have changed, or all that there are. For a router that takes its list
    /// from the control plane it comes first without any endpoint; its own list then only removes endpoints.
    ReplicatedList {
        /// Whether `hosts` are all that there are.
        complete: bool,
        /// The endpoints.
        hosts: Vec<EndpointRecord>,
    },
    /// This process is about to end: every pending command is answered now.
    AbortAll,
}

/// How a delivery ended that brought no message back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransportFailure {
    /// Its frame did not leave whole: it never ran.
    NotSent,
    /// No connection could be made, or the host refused it: it never ran.
    NotConnected,
    /// The connection broke after the frame had left: it may have run.
    Reset,
    /// The router closed the connection, since nothing came over it for too long or what came could not be read: it
    /// may have run. No sign that the host's process failed, since a network that is cut looks the same.
    Unresponsive,
}

impl From<TransportFailure> for AttemptOutcome {
    fn from(failure: TransportFailure) -> Self {
        match failure {
            TransportFailure::NotSent => AttemptOutcome::NotSent,
            TransportFailure::NotConnected => AttemptOutcome::NotConnected,
            TransportFailure::Reset => AttemptOutcome::Reset,
            TransportFailure::Unresponsive => AttemptOutcome::TimedOut,
        }
    }
}
