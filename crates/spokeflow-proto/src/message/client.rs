//! Messages between clients and routers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// A command to be delivered to one host of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Id assigned by the client, unique among the unanswered commands of the connection.
    pub id: u64,
    /// Index of the operation in the service's settings.
    pub op: u16,
    /// Index of the tenant (`customer` in the settings) in the service's settings.
    pub tenant: u32,
    /// Sticky key, which identifies what the command is about; 0 for none.
    pub key: u64,
    /// Key by which hosts recognize a repeated deduplicated command, the same for all its attempts; 0 for none.
    pub idempotency_key: u64,
    /// Microseconds that the client will still wait for the answer.
    pub left_us: u64,
    /// Body, passed to the host unchanged.
    pub body: Bytes,
}

/// A message from a client to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromClient {
    /// Opens the connection.
    Hello(Hello),
    /// Submits a command, which the router answers exactly once, with `Acked`, `Nacked` or `Failed`.
    Command(Command),
    /// The client no longer waits for the command; the router does not have to answer it.
    Abandon {
        /// Id of the command.
        id: u64,
    },
    /// The client found an answer to be wrong.
    WrongAnswer {
        /// Receipt of the answer, from `Acked` on this connection.
        receipt: u64,
    },
    /// Obsolete: formerly sent by other routers of the fleet, now refused. Keeps its place in the encoding.
    Gossip {
        /// Content of the former message.
        text: Bytes,
    },
}

/// A message from a router to a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToClient {
    /// Accepts the connection.
    Welcome,
    /// Refuses the connection or closes it with an error.
    Refused(Refused),
    /// The command was executed.
    Acked {
        /// Id of the command.
        id: u64,
        /// Build of the host that answered.
        build: u16,
        /// Id of the answer, for a later `WrongAnswer`.
        receipt: u64,
        /// The host's answer.
        body: Bytes,
    },
    /// The command was not acked; the client may retry it without additional effect.
    Nacked {
        /// Id of the command.
        id: u64,
        /// Microseconds after which the client should retry; `None` if the router suggests no time.
        retry_after_us: Option<u64>,
    },
    /// The command failed and may or may not have had its effect.
    Failed {
        /// Id of the command.
        id: u64,
    },
    /// The router accepts no more commands; those already accepted will be answered.
    Closing,
}
