//! Messages between nodes. The binary encoding depends on the order of variants and fields, which must not change.

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, Snapshot, Term};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in this term; does not change the receiver's state.
    PreVote {
        /// The term in which the sender would become a candidate.
        term: Term,
        /// Index of the last entry of the sender's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
    },
    /// Asks for the receiver's vote.
    RequestVote {
        /// The candidate's term.
        term: Term,
        /// Index of the last entry of the candidate's log.
        last_log_index: LogIndex,
        /// Term of that entry.
        last_log_term: Term,
    },
    /// Answers [`Message::PreVote`] and [`Message::RequestVote`].
    VoteResponse {
        /// The requested term if a pre-vote is granted, else the voter's own term.
        term: Term,
        /// Whether the response answers a [`Message::PreVote`].
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Part of a leader's round: entries that the receiver may lack; none in a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// Index of the entry before the first of `entries`.
        prev_log_index: LogIndex,
        /// Term of that entry.
        prev_log_term: Term,
        /// Entries to store after the entry at `prev_log_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        leader_commit: LogIndex,
        /// Number of the round, repeated in the response.
        round: u64,
    },
    /// Answers [`Message::AppendEntries`] and [`Message::InstallSnapshot`].
    AppendEntriesResponse {
        /// The follower's term.
        term: Term,
        /// Number of the round that the response answers.
        round: u64,
        /// How far the follower's log now matches the leader's.
        outcome: AppendOutcome,
    },
    /// Sends a snapshot in place of entries that the leader's log no longer has.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The leader's newest snapshot.
        snapshot: Snapshot,
        /// Number of the round, repeated in the response.
        round: u64,
    },
}

/// How far a follower's log matches the leader's after a message from the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log is synced and matches the leader's up to this index.
    Matched(LogIndex),
    /// The log differs at the entry before the sent ones: the leader must continue with the entry after this index.
    Mismatched(LogIndex),
}
