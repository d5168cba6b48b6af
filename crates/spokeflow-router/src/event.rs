//! The events that connection tasks send to the task that owns the engine.

use spokeflow_coordination::{EffectiveConfig, RevisionNumber};
use spokeflow_core::Micros;
use spokeflow_engine::Input;
use spokeflow_proto::ToClient;
use tokio::sync::mpsc;

/// An event for the task that owns the engine.
pub enum EngineEvent {
    /// An input that is passed to the engine unchanged.
    Input(Input),
    /// A client was connected and welcomed.
    ClientConnected {
        /// Number of the connection.
        connection: u64,
        /// Queue of the messages to the client. It is bounded; a client that does not read is closed once it is full.
        messages: mpsc::Sender<ToClient>,
    },
    /// The connection of a client was closed.
    ClientDisconnected {
        /// Number of the connection.
        connection: u64,
    },
    /// The control plane has granted or renewed a lease.
    LeaseGranted {
        /// When the lease ends, in microseconds of the router's clock.
        until: Micros,
        /// The configuration that the router may act on until then.
        config: Box<EffectiveConfig>,
        /// The newest revision that `config` respects.
        revision: RevisionNumber,
    },
    /// The router shuts down and accepts no more commands.
    Close,
}
