//! One node of the cluster: its state, and the dispatch of messages, timers and confirmed writes.

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

/// What a node is in its term.
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
/// Times are microseconds of the node's own clock, which never goes back from one call to the next.
#[derive(Clone, Debug)]
pub struct RaftNode {
    id: NodeId,
    config: RaftConfig,
    rng: Rng,
    now: Micros,
    next_wake: Micros,
    /// All writes applied, synced or not.
    state: PersistentState,
    /// By the newest entry that names them, committed or not.
    voters: Vec<NodeId>,
    commit_index: LogIndex,
    /// Index of the last committed entry that was handed to the caller.
    last_applied: LogIndex,
    role: Role,
    leader: Option<NodeId>,
    /// When a leader was last heard from. No vote is given within the election timeout after it.
    last_leader_contact: Micros,
    /// Sequence number of the last write.
    last_write: u64,
    unsynced_writes: VecDeque<UnsyncedWrite>,
    /// Index up to which the log is synced.
    durable_index: LogIndex,
    deferred_messages: VecDeque<DeferredMessage>,
    /// Number of the last round that was sent as leader.
    last_round: u64,
}

impl RaftNode {
    /// A node that has just started from `saved`.
    ///
    /// It may have heard from a leader a moment before the start, so it gives no vote for one election timeout.
    /// `seed` is that of its random election timeouts.
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

    /// The node's own id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Who votes, by the newest entry that names the voters.
    pub fn voters(&self) -> &[NodeId] {
        &self.voters
    }

    /// Index of the last entry that the node knows to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// How many entries the node keeps after its snapshot.
    pub fn log_len(&self) -> usize {
        self.state.log.len()
    }

    /// When [`RaftNode::on_timer`] is due.
    pub fn next_wake(&self) -> Micros {
        self.next_wake
    }

    /// The node's term.
    pub fn term(&self) -> Term {
        self.state.term
    }

    /// Whether the node was elected, also where its lease has expired.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the node's term, where it has heard from one.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Handles a message from another node.
    pub fn on_message(&mut self, now: Micros, from: NodeId, message: Message, out: &mut Output) {
        self.now = now;
        // Dropped as if lost: while the disk hangs, memory must not fill with what waits for it.
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

    /// Does what is due by `now`: a leader sends its next round or steps down, another voter stands for election.
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
            // A node that does not vote, or no longer, waits for a leader to contact it.
            _ if !self.is_voter() => self.reset_election_timer(),
            _ => {
                self.leader = None;
                self.start_pre_vote(out);
            }
        }
    }

    /// Notes that all writes up to `sequence` are on disk and stay there.
    pub fn on_persisted(&mut self, now: Micros, sequence: u64, out: &mut Output) {
        self.now = now;
        self.confirm_writes(sequence, out);
        if self.has_won_election() {
            self.become_leader(out);
        }
        self.advance_commit_index(out);
    }
}
