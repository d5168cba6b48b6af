//! Capacity model: measured costs of each role, the load that a target deployment causes, and the page that combines
//! both (`docs/CAPACITY.md`).

mod bounds;
mod collect;
mod commands;
mod encoded;
mod error;
mod estimate;
pub mod evidence;
mod fit;
mod lease;
pub mod limits;
mod page;
mod placement;
mod records;
mod remedy;
mod row;
mod rows;
mod served;
mod service_assignment;
mod situation;
mod slopes;
mod target;

pub use collect::collect;
pub use commands::{
    capacity, collect_slopes, measure_bytes, measure_load, CapacityFlags, CollectFlags,
    MeasureBytesFlags, MeasureLoadFlags,
};
pub use error::{CapacityError, MeasureLoadError, RunFailure};
pub use fit::{Fit, Form};
pub use records::{read_records, Record, Role};
pub use slopes::{Line, Point, Reading, Slopes};
pub use target::Target;
