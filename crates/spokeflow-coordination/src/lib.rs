//! Replicated configuration and the leases on it, without I/O.
//!
//! A [`Coordinator`] is a control-plane node. It has a [`RaftNode`](spokeflow_raft::RaftNode), the [`ConfigState`] that
//! results from the log, with the revision in force and the pending one, and a [`LeaseGranter`] while it is the leader.
//! The granter grants leases to routers and determines when a pending revision may be put in force. A [`LeaseHolder`]
//! is the router's side: the revisions that the router may act on, and until when.
//!
//! `docs/agreement.md` explains why no two routers act on contradicting revisions for longer than one lease.

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
