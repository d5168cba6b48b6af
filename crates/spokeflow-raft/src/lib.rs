//! The Raft consensus algorithm as a state machine, without I/O.
//!
//! The caller passes messages, the time and write confirmations to a [`RaftNode`]. The node returns messages to send,
//! writes to sync, committed entries to apply and the time of its next wake-up. The algorithm is that of Ongaro and
//! Ousterhout, "In Search of an Understandable Consensus Algorithm"; pre-vote, the leader's check of its quorum, leader
//! leases and membership changes of one node at a time follow Ongaro's dissertation.
//!
//! `docs/agreement.md` lists what is implemented and what is not yet.

mod config;
mod error;
mod log;
mod message;
mod node;
mod output;
mod persistent_state;

pub use config::RaftConfig;
pub use error::{MembershipError, ProposeError};
pub use log::{Entry, LogIndex, NodeId, Payload, Snapshot, Term};
pub use message::{AppendOutcome, Message};
pub use node::RaftNode;
pub use output::{CommittedEntry, OutgoingMessage, Output};
pub use persistent_state::{PersistRequest, PersistentState};
