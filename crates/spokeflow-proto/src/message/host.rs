//! Messages between routers and hosts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// A message from a router to a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToHost {
    /// Opens the connection.
    Hello(Hello),
    /// Delivers a command to be executed. See [`crate::Command`] for the fields of the command.
    Deliver {
        /// Id of the delivery, assigned by the router and never reused on a connection.
        delivery: u64,
        /// Index of the operation.
        op: u16,
        /// Index of the tenant.
        tenant: u32,
        /// Sticky key of the command; 0 for none.
        key: u64,
        /// Key by which the host recognizes a repeated command; 0 for none.
        idempotency_key: u64,
        /// Microseconds after which nobody waits for the answer any longer.
        left_us: u64,
        /// Body of the command, unchanged from the client.
        body: Bytes,
    },
    /// Nobody waits for the delivery any longer. The host may drop it or carry on, and does not have to answer.
    Cancel {
        /// Id of the delivery.
        delivery: u64,
    },
    /// Requests a `Probed` with the same id.
    Probe {
        /// Id of the probe, returned in `Probed`.
        probe: u64,
    },
    /// Checks that the connection works. The host answers with `Pong` at once, however busy it is.
    Ping,
}

/// A message from a host to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromHost {
    /// Accepts the connection.
    Welcome {
        /// Number of the host on the endpoint list.
        host: u32,
        /// Build that the host runs.
        build: u16,
        /// Number that increases with each start of the host's process.
        incarnation: u64,
        /// Microseconds since the process started.
        up_us: u64,
    },
    /// Refuses the connection or closes it with an error.
    Refused(Refused),
    /// The command was executed.
    Acked {
        /// Id of the delivery.
        delivery: u64,
        /// The answer to the client.
        body: Bytes,
    },
    /// The command failed after it ran or may have run.
    Error {
        /// Id of the delivery.
        delivery: u64,
    },
    /// The host has no capacity. The command has not run and will not run.
    Full {
        /// Id of the delivery.
        delivery: u64,
    },
    /// The host has begun to send the answer.
    ResponseStarted {
        /// Id of the delivery.
        delivery: u64,
    },
    /// Answers a `Probe`.
    Probed {
        /// Id of the probe, unchanged.
        probe: u64,
    },
    /// Answers a `Ping`.
    Pong,
    /// Reports how busy the host is; sent only to a caller of version 2.
    LoadReport {
        /// Busy share of the host's cores, in thousandths.
        busy: u16,
    },
}
