//! The scale run: real voters, a few real routers and many hollow ones over real sockets, measured from the system and
//! from a tap on every link to a voter while the fleet is quiet, changes, and loses parts. `docs/operate/scale.md` is the
//! operators' page.

mod bounds;
mod flags;
mod hollow;
mod list;
mod measure;
mod offers;
mod phases;
mod propagation;
mod report;
mod rig;
mod roster;
mod run;
mod sample;
mod settings;
mod tap;
mod traffic;
mod wire;

pub use bounds::{Demand, Machine};
pub use flags::{Phase, ScaleFlags, SizeOf};
pub use hollow::{hollow, HollowCommand, HollowFlags};
pub use propagation::{Propagation, Spread};
pub use report::{Finding, Outcome, Report};
pub use run::scale;
pub use sample::Role;
pub use settings::revision;
pub use traffic::{Lapses, Seen};
pub use wire::{from_keeper, to_keeper, FromKeeperHead, ToKeeperHead};
