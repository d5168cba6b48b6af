//! The link between clients and routers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// A command to be delivered to one host of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The client's own number, not in use on this connection.
    pub id: u64,
    /// Index of the operation among the service's.
    pub op: u16,
    /// Index of the tenant (customer) among the service's.
    pub tenant: u32,
    /// What the command is about; 0 for none.
    pub key: u64,
    /// By which hosts recognize a retry of a deduplicated command, the same for each attempt; 0 for none.
    pub idempotency_key: u64,
    /// Microseconds that the client still waits.
    pub left_us: u64,
    /// Passed on to the host as it is.
    pub body: Bytes,
}

/// From a client to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromClient {
    /// Opens the connection.
    Hello(Hello),
    /// To be answered once, by `Acked`, `Nacked` or `Failed`.
    Command(Command),
    /// The client no longer waits for this command; no answer is owed.
    Abandon {
        /// The client's number of the command.
        id: u64,
    },
    /// An answer turned out wrong.
    WrongAnswer {
        /// As it came with the answer, on this connection.
        receipt: u64,
    },
    /// Was sent by another router of the fleet; refused now.
    Gossip {
        /// What it sent.
        text: Bytes,
    },
}

/// From a router to a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToClient {
    /// The connection is open.
    Welcome,
    /// The connection is closed.
    Refused(Refused),
    /// The command was carried out.
    Acked {
        /// The client's number of the command.
        id: u64,
        /// The build of the host that answered.
        build: u16,
        /// Names the answer, should it turn out wrong.
        receipt: u64,
        /// The host's answer.
        body: Bytes,
    },
    /// Trying again is harmless.
    Nacked {
        /// The client's number of the command.
        id: u64,
        /// Microseconds after which a retry is best, where the router says so.
        retry_after_us: Option<u64>,
    },
    /// Promises nothing on whether the command had its effect.
    Failed {
        /// The client's number of the command.
        id: u64,
    },
    /// This router takes no more commands; those it has will be answered.
    Closing,
}
