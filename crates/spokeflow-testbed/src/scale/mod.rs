//! The scale run: starts real voters, a few real routers and many hollow routers on loopback sockets, and measures
//! their processes (from `/proc`) and their traffic (by a tap on every link to a voter) while the fleet is quiet, while
//! revisions are proposed, and while routers, hosts or voters fail. `docs/operate/scale.md` is the operators' page.

mod bounds;
mod error;
mod flags;
mod hollow;
mod list;
mod measure;
mod phases;
mod processes;
mod propagation;
mod proposer;
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
pub use propagation::{Propagation, PropagationDelays};
pub use report::{Finding, Outcome, Report};
pub use run::scale;
pub use sample::Role;
pub use settings::revision_values;
pub use traffic::{Lapses, TapRecord};
pub use wire::{from_node_head, to_node_head, FromNodeHead, ToNodeHead};
