//! A keeper: one of the few processes that hold what routers agree on. `docs/agreement.md` is the design note,
//! `docs/operate/fleet.md` the operators' page.

mod calls;
pub mod client;
mod crash_point;
mod event;
mod list;
mod peers;
mod program;
mod serve;
mod store;

pub use crash_point::{CrashPoint, CRASH_POINTS};
pub use program::{main_with, ControlPlaneFlags, ControlPlaneProgram};
pub use serve::serve;
pub use store::{Store, StoreError};
