//! The events that connection tasks send to the task that owns the engine.

use spokeflow_coordination::{EffectiveConfig, RevisionNumber};
use spokeflow_core::Micros;
use spokeflow_engine::Input;
use spokeflow_proto::ToClient;
use tokio::sync::mpsc;

/// What reaches the task that owns the engine.
pub enum EngineEvent {
    /// For the engine as it is.
    Input(Input),
    /// A client was admitted; its messages go to the sender.
    ClientConnected {
        /// Number of the connection.
        connection: u64,
        /// Bounded; a client that does not read is closed.
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
        /// What may be acted on until then.
        config: Box<EffectiveConfig>,
        /// The newest revision that `config` respects.
        revision: RevisionNumber,
    },
    /// The router shuts down: it takes nothing new.
    Close,
}
