//! The scale run: real voters, a few real routers and many hollow ones over real sockets, measured from the system and
//! from a tap on every link to a voter while the fleet is quiet, changes, and loses parts. `docs/operate/scale.md` is the
//! operators' page.

mod bounds;
mod error;
mod flags;
mod hollow;
mod list;
mod measure;
mod offers;
mod phases;
mod processes;
mod propagation;
mod report;
mod rig;
mod run;
mod sample;
mod settings;
mod tap;
mod traffic;
mod wire;

pub use bounds::ExceededBounds;
pub use bounds::{Demand, Machine};
pub use error::ScaleError;
pub use flags::{FlagsError, Phase, ScaleFlags, SizeOf};
pub use hollow::{hollow, HollowCommand, HollowFlags};
pub use propagation::{Propagation, Spread};
pub use report::{Finding, Outcome, Report};
pub use run::scale;
pub use sample::Role;
pub use settings::revision;
pub use traffic::{Lapses, TapRecord};
pub use wire::{from_node_head, to_node_head, FromNodeHead, ToNodeHead};
