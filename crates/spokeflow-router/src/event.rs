use spokeflow_coordination::{EffectiveConfig, RevisionNumber};
use spokeflow_core::Micros;
use spokeflow_engine::Input;
use spokeflow_proto::ToClient;
use tokio::sync::mpsc;

/// What reaches the task that owns the engine.
pub enum EngineEvent {
    Input(Input),
    ClientOpened(u64, mpsc::Sender<ToClient>),
    ClientGone(u64),
    /// From the keepers: what may be acted on until then, and the newest revision that it respects.
    Agreed {
        until: Micros,
        terms: Box<EffectiveConfig>,
        revision: RevisionNumber,
    },
    Close,
}
