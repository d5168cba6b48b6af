//! The core of spokeflow: [`Router`] decides, [`Egress`] carries out, the rest are plain types.
//!
//! Everything that decides stands in `router.rs`; the other files hold types without judgement.

mod chance;
mod egress;
mod ids;
mod router;
#[doc(hidden)]
pub mod state;
mod terms;

pub use chance::{unit, Rng};
pub use egress::{Egress, RolloutVote};
pub use ids::{BuildId, CommandId, HostId, Key, Micros, OpType, TenantId, ZoneId};
pub use router::{Router, ROUTERS_PER_HOST};
pub use terms::{
    AttemptOutcome, ControllerStats, DeduplicationScope, Endpoint, EndpointState, Gate, ListKind,
    OperationConfig, Repeat, RolloutState, RolloutStatus, ServiceConfig, VoteOutcome,
};
