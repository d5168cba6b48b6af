//! One node of the cluster: its state, and the dispatch of messages, timers and write confirmations.

mod election;
mod leader_lease;
mod membership;
mod persistence;
mod replication;

use std::collections::{BTreeSet, VecDeque};

use spokeflow_core::{Micros, Rng};

use crate::log::LogPosition;
use crate::{
    LogIndex, Message, NodeId, Output, Payload, PersistentState, RaftConfig, Snapshot, Term,
};
use persistence::{DeferredMessage, UnsyncedWrite};
use replication::{AppendRequest, LeaderRound, LeaderState};

/// The role of a node in its term.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Collects pre-votes, then votes.
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<NodeId>,
    },
    Leader(LeaderState),
}

/// One node of the cluster.
///
/// Times are microseconds of the node's own clock, which must never go back from one call to the next.
#[derive(Clone, Debug)]
pub struct RaftNode {
    id: NodeId,
    config: RaftConfig,
    rng: Rng,
    now: Micros,
    next_wake: Micros,
    /// The persistent state with all writes applied, synced or not.
    state: PersistentState,
    /// The voters that the newest membership entry names, committed or not.
    voters: Vec<NodeId>,
    commit_index: LogIndex,
    /// Index of the last committed entry that was returned to the caller.
    last_applied: LogIndex,
    role: Role,
    leader: Option<NodeId>,
    /// When the last message from a leader came. No vote is granted for one election timeout after it.
    last_leader_contact: Micros,
    /// Sequence number of the last write that was requested.
    last_write: u64,
    unsynced_writes: VecDeque<UnsyncedWrite>,
    /// Index up to which the log is synced.
    durable_index: LogIndex,
    deferred_messages: VecDeque<DeferredMessage>,
    /// Number of the last round that was sent as leader.
    last_round: u64,
}

impl RaftNode {
    /// Creates a node that has just started from `saved`. `seed` seeds its random election timeouts.
    ///
    /// The node may have answered a leader just before the restart, so it grants no vote for one election timeout.
    pub fn new(
        id: NodeId,
        config: RaftConfig,
        seed: u64,
        saved: PersistentState,
        now: Micros,
    ) -> Self {
        let snapshot_index = saved.snapshot.last_included_index;
        let mut node = RaftNode {
            id,
            voters: Vec::new(),
            config,
            rng: Rng::new(seed),
            now,
            next_wake: now,
            durable_index: saved.last_index(),
            state: saved,
            commit_index: snapshot_index,
            last_applied: snapshot_index,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            last_write: 0,
            unsynced_writes: VecDeque::new(),
            deferred_messages: VecDeque::new(),
            last_round: 0,
        };
        node.update_voters();
        node.reset_election_timer();
        node
    }

    /// Returns the node's own id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the voters that the newest membership entry names.
    pub fn voters(&self) -> &[NodeId] {
        &self.voters
    }

    /// Returns the index of the last entry that the node knows to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the number of entries in the log after the snapshot.
    pub fn log_len(&self) -> usize {
        self.state.log.len()
    }

    /// Returns when [`RaftNode::on_timer`] has to be called next.
    pub fn next_wake(&self) -> Micros {
        self.next_wake
    }

    /// Returns the node's current term.
    pub fn term(&self) -> Term {
        self.state.term
    }

    /// Whether the node was elected leader of its term, even if its lease has expired.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the node's term; `None` if it has not heard from one.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Handles a message from another node.
    pub fn on_message(&mut self, now: Micros, from: NodeId, message: Message, out: &mut Output) {
        self.now = now;
        // Dropped as if lost: while the disk hangs, the writes and messages that wait for it must not fill the memory.
        if self.write_queue_is_full() {
            return;
        }
        match message {
            Message::PreVote {
                term,
                last_log_index,
                last_log_term,
            } => {
                let candidate_log = LogPosition::new(last_log_term, last_log_index);
                self.on_pre_vote(from, term, candidate_log, out);
            }
            Message::RequestVote {
                term,
                last_log_index,
                last_log_term,
            } => {
                let candidate_log = LogPosition::new(last_log_term, last_log_index);
                self.on_request_vote(from, term, candidate_log, out);
            }
            Message::VoteResponse {
                term,
                pre_vote,
                granted,
            } => self.on_vote_response(from, term, pre_vote, granted, out),
            Message::AppendEntries {
                term,
                prev_log_index,
                prev_log_term,
                entries,
                leader_commit,
                round,
            } => {
                let request = AppendRequest {
                    previous: LogPosition::new(prev_log_term, prev_log_index),
                    entries,
                    leader_commit,
                };
                self.on_append_entries(LeaderRound::new(from, term, round), request, out);
            }
            Message::AppendEntriesResponse {
                term,
                round,
                outcome,
            } => self.on_append_entries_response(from, term, round, outcome, out),
            Message::InstallSnapshot {
                term,
                snapshot,
                round,
            } => self.on_install_snapshot(LeaderRound::new(from, term, round), snapshot, out),
        }
    }

    /// Handles the timer that is due by `now`: a leader sends its next round or steps down, any other voter starts an
    /// election with a pre-vote.
    pub fn on_timer(&mut self, now: Micros, out: &mut Output) {
        self.now = now;
        if now < self.next_wake {
            return;
        }
        match &self.role {
            Role::Leader(leader) if self.has_lost_quorum(leader) => {
                self.become_follower(self.term(), None, out);
            }
            Role::Leader(_) => self.broadcast_append(out),
            // A node that is not a voter, or no longer one, waits for a leader to contact it.
            _ if !self.is_voter() => self.reset_election_timer(),
            _ => {
                self.leader = None;
                self.start_pre_vote(out);
            }
        }
    }

    /// Handles the confirmation that all writes up to `sequence` are durable on disk.
    pub fn on_persisted(&mut self, now: Micros, sequence: u64, out: &mut Output) {
        self.now = now;
        self.confirm_writes(sequence, out);
        if self.has_won_election() {
            self.become_leader(out);
        }
        self.advance_commit_index(out);
    }
}
