//! The keepers' replicated log, without I/O: messages, time and chance are handed in; messages, writes to be synced,
//! what is committed and the next wake-up come out. The algorithm is Raft's (Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", and Ongaro's dissertation for pre-votes, the check of quorum and leases).
//!
//! `docs/agreement.md` tells what is built and what is not yet.

mod node;
mod types;

pub use node::RaftNode;
pub use types::{
    Entry, LogIndex, Message, NodeId, Output, Payload, PersistRequest, PersistentState, RaftConfig,
    Snapshot, Term,
};
