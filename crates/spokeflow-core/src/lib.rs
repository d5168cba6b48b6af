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

pub use chance::{unit, Chance};
pub use egress::{Egress, Verdict};
pub use ids::{BuildId, CommandId, HostId, Key, Micros, OpType, ShareId, ZoneId};
pub use router::{Router, MET_BY};
pub use terms::{
    DeliveryEnd, DeskCount, Gate, HostLine, HostPhase, ListKind, OpTerms, Repeat, RepeatScope,
    ServiceTerms, StageNews, Standing, VoteAnswer,
};
