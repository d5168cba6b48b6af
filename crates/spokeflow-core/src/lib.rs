//! The core of spokeflow: [`Router`] decides, [`Egress`] carries out, the rest are plain types.
//!
//! Everything that decides is in `router.rs` and the modules under `router/`; the other files hold
//! types and state without decisions. Nothing here reads a clock, does I/O or draws chance from
//! outside: equal calls give equal outputs.

mod config;
mod egress;
mod events;
mod ids;
mod rng;
mod router;
#[doc(hidden)]
pub mod state;

pub use config::{DeduplicationScope, Gate, OperationConfig, Repeat, ServiceConfig};
pub use egress::{Egress, RolloutVote};
pub use events::{
    AttemptOutcome, ControllerStats, Endpoint, EndpointState, ListKind, RolloutState,
    RolloutStatus, VoteOutcome,
};
pub use ids::{BuildId, CommandId, HostId, Key, Micros, OpType, TenantId, ZoneId};
pub use rng::{hash_to_unit_interval, Rng};
pub use router::{Router, ROUTERS_PER_HOST};
