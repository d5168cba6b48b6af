//! The decision module of spokeflow: [`Router`] makes all decisions and [`Egress`] receives the
//! resulting actions; the remaining items are plain data types.
//!
//! All decisions are made in `router.rs` and the modules under `router/`; the other files hold
//! types and state without decision logic. Nothing here reads a clock, does I/O or uses an outside
//! source of randomness: equal sequences of calls with equal seeds give equal outputs.

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
