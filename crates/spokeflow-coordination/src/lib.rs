//! Replicated configuration and the leases on it, without I/O.
//!
//! A [`Coordinator`] is a control-plane node: it has a [`RaftNode`](spokeflow_raft::RaftNode), the [`ConfigState`] that
//! the log makes, which is the revision in force and the pending one, and a [`LeaseGranter`] while it leads. The granter
//! gives routers leases and finds when a pending revision may come into force. A [`LeaseHolder`] is a router's: what it
//! may act on, and until when.
//!
//! `docs/agreement.md` has the argument for why no two routers act on revisions that contradict each other for longer
//! than one lease.

mod config_state;
mod coordinator;
mod effective_config;
mod endpoint_list;
mod error;
mod lease_config;
mod lease_granter;
mod lease_holder;
mod lease_messages;
mod lease_table;
mod listed_host;
mod log_command;
mod revision;
pub mod wire;

pub use config_state::ConfigState;
pub use coordinator::{
    ClientResponse, Coordinator, CoordinatorConfig, Effects, NodeMessage, RequestOrigin,
};
pub use effective_config::EffectiveConfig;
pub use endpoint_list::EndpointList;
pub use error::{OverridesError, SnapshotError};
pub use lease_config::LeaseConfig;
pub use lease_granter::LeaseGranter;
pub use lease_holder::LeaseHolder;
pub use lease_messages::{KnownRevisions, LeaseGrant, LeaseRequest, RevisionRef, VoterAddresses};
pub use lease_table::LeaseCounts;
pub use listed_host::{
    EndpointListUpdate, HostState, ListVersion, ListedHost, Rejection, SourceUpdate,
};
pub use log_command::LogCommand;
pub use revision::{
    Overrides, Proposal, ProposalOutcome, Revision, RevisionNumber, RevisionRecord,
};
