//! The link between routers and hosts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// From a router to a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToHost {
    /// Opens the connection.
    Hello(Hello),
    /// A command to be carried out, as [`crate::Command`] describes it.
    Deliver {
        /// The router's number of this delivery, never used twice on a connection.
        delivery: u64,
        /// Index of the operation.
        op: u16,
        /// Index of the tenant.
        tenant: u32,
        /// What the command is about; 0 for none.
        key: u64,
        /// By which the host recognizes a retry; 0 for none.
        idempotency_key: u64,
        /// After so many microseconds nobody waits for the answer.
        left_us: u64,
        /// The client's, as it is.
        body: Bytes,
    },
    /// Nobody waits any longer. The host may stop the work or not; it need not answer.
    Cancel {
        /// The router's number of the delivery.
        delivery: u64,
    },
    /// Asks for `Probed`.
    Probe {
        /// To be returned.
        probe: u64,
    },
    /// Asks whether the connection still works: answered with `Pong` at once, however busy the host is.
    Ping,
}

/// From a host to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromHost {
    /// The connection is open.
    Welcome {
        /// The host's number on the endpoint list.
        host: u32,
        /// The build that it runs.
        build: u16,
        /// Grows with each start of the host's process.
        incarnation: u64,
        /// Microseconds since that start.
        up_us: u64,
    },
    /// The connection is closed.
    Refused(Refused),
    /// The command was carried out.
    Acked {
        /// The router's number of the delivery.
        delivery: u64,
        /// The answer.
        body: Bytes,
    },
    /// It ran, or may have run, and failed.
    Error {
        /// The router's number of the delivery.
        delivery: u64,
    },
    /// The host has no capacity: it was not looked at and will never run.
    Full {
        /// The router's number of the delivery.
        delivery: u64,
    },
    /// The answer has begun.
    ResponseStarted {
        /// The router's number of the delivery.
        delivery: u64,
    },
    /// Answers a `Probe`.
    Probed {
        /// As it came.
        probe: u64,
    },
    /// Answers a `Ping`.
    Pong,
    /// How busy the host is; only to a caller of version 2.
    LoadReport {
        /// Thousandths of its cores.
        busy: u16,
    },
}
