//! What routers agree on, without I/O. The [`ConfigState`] is the state that the keepers' log makes: the revision in force
//! and the one that is announced. The [`LeaseGranter`] is the leading keeper's: it gives routers leases and finds when an
//! announced revision may come into force. A [`Coordinator`] puts both beside its member of the log. The [`LeaseHolder`] is a
//! router's: what it may act on, and until when.
//!
//! `docs/agreement.md` has the argument for why no two routers act on revisions that contradict each other for longer
//! than one lease.

mod config;
mod config_state;
mod coordinator;
mod endpoint_list;
mod lease_granter;
mod lease_holder;
mod lease_table;
pub mod wire;

pub use config::{EffectiveConfig, LeaseConfig};
pub use config_state::{
    ConfigState, LogCommand, Overrides, Proposal, ProposalOutcome, Revision, RevisionNumber,
    RevisionRecord,
};
pub use coordinator::{Coordinator, CoordinatorConfig, Effects, RequestOrigin};
pub use endpoint_list::{
    EndpointList, EndpointListUpdate, HostState, ListVersion, ListedHost, Rejection, SourceUpdate,
};
pub use lease_granter::{LeaseGrant, LeaseGranter, RevisionRef, VoterAddresses};
pub use lease_holder::{LeaseHolder, LeaseRequest};
