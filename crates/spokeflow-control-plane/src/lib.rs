//! A keeper: one of the few processes that hold what routers agree on. `docs/agreement.md` is the design note,
//! `docs/operate/fleet.md` the operators' page.

mod arrival;
pub mod ask;
mod calls;
mod list;
mod peers;
mod program;
mod serve;
mod steps;
mod store;

pub use program::{main_with, KeeperFlags, KeeperProgram};
pub use serve::serve;
pub use steps::{Where, WHERES};
pub use store::{Store, StoreFault};
