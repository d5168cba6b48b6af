//! The configuration that all routers of a service share: its flags and environment variables ([`ServiceFlags`]), the
//! flags that a replicated revision may change ([`REVISABLE`]), and one check for both. The only I/O is on the
//! environment of the process.
//!
//! The router reads the flags at start and applies revisions to them; the control plane checks a proposed revision with
//! [`check_overrides`] before it is replicated. Variables that were renamed are still read ([`adopt_former_variables`]).

mod check;
mod customer;
mod duration;
mod error;
mod former_names;
mod operation;
mod revision;
mod service;

pub use customer::{CustomerFlag, CustomerFlagError};
pub use duration::{parse_duration, DurationError};
pub use error::ConfigErrors;
pub use former_names::{
    adopt_former_variables, current_variable_name, RenamedVariable, RENAMED_VARIABLES,
};
pub use operation::{OperationFlag, OperationFlagError};
pub use revision::{check_overrides, REVISABLE};
pub use service::{GateFlag, ServiceFlags};
