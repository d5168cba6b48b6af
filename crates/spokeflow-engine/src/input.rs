//! Inputs of the engine: messages and failures of peers, the passing of time, and the shutdown of the router.

use serde::{Deserialize, Serialize};
use spokeflow_coordination::EffectiveConfig;
use spokeflow_core::{AttemptOutcome, Micros};
use spokeflow_proto::{Command, EndpointRecord, FromController, FromHost, FromList};

/// An event that the engine handles. Recordings hold it in postcard form, which depends on the order of variants and
/// fields: new ones must go at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A client sent a command.
    Command {
        /// The client's connection.
        conn: u64,
        /// The command as received.
        command: Command,
    },
    /// A client no longer waits for a command.
    Abandon {
        /// The client's connection.
        conn: u64,
        /// The command's id on that connection.
        id: u64,
    },
    /// A client reports that an answer was wrong.
    WrongAnswer {
        /// The client's connection.
        conn: u64,
        /// The receipt that came with the answer.
        receipt: u64,
    },
    /// The connection of a client ended.
    ClientDisconnected {
        /// The client's connection.
        conn: u64,
    },
    /// A host sent a message.
    FromHost {
        /// The host.
        host: u32,
        /// The message as received.
        message: FromHost,
    },
    /// A delivery ended without a message from the host.
    DeliveryFailed {
        /// The host.
        host: u32,
        /// The engine's id of the delivery.
        delivery: u64,
        /// How it ended.
        failure: TransportFailure,
    },
    /// The endpoint list sent a message.
    FromList(FromList),
    /// The endpoint list that an earlier process of this router has cached.
    CachedList(Vec<EndpointRecord>),
    /// The endpoint list cannot be reached at present, or the connection that watches it broke.
    ListUnavailable,
    /// The release controller sent a message.
    FromController(FromController),
    /// The release controller cannot be reached at present.
    ControllerUnavailable,
    /// Another router of the fleet sent a message.
    Gossip {
        /// The index of that router in the fleet.
        router: u32,
        /// The message as received.
        text: Vec<u8>,
    },
    /// The router is shutting down: new commands are nacked from now on.
    Close,
    /// Time has passed without another input: timers may be due.
    Timer,
    /// Someone other than the client reports that an answer from this host was wrong.
    WrongAnswerReport {
        /// The host.
        host: u32,
        /// How many microseconds ago the delivery was sent.
        sent_ago_us: u64,
    },
    /// The control plane granted a lease on a configuration. A router that follows a control plane gets one that has
    /// already expired as its first input.
    Lease {
        /// When the lease ends, by the engine's clock.
        until: Micros,
        /// The configuration that is in force under the lease.
        config: Box<EffectiveConfig>,
    },
    /// The control plane sent its endpoint list or changes to it. A router that takes its list from the control plane
    /// gets changes without any endpoint first; from then on its own list only removes endpoints.
    ReplicatedList {
        /// Whether `hosts` is the whole list rather than the changes.
        complete: bool,
        /// The endpoints that are listed or have changed.
        hosts: Vec<EndpointRecord>,
    },
    /// This process is about to exit: every pending command is answered now.
    AbortAll,
}

/// How a delivery ended for which no message came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransportFailure {
    /// The frame was not written completely: the delivery never ran.
    NotSent,
    /// No connection could be made, or the host refused it: the delivery never ran.
    NotConnected,
    /// The connection broke after the frame was written: the delivery may have run.
    Reset,
    /// The router closed the connection, because nothing arrived over it for too long or what arrived could not be
    /// decoded: the delivery may have run. This does not show that the host's process failed, because a network
    /// partition looks the same.
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
