//! Messages between nodes. The order of variants and fields is their encoding.

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, Snapshot, Term};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in this term; changes nothing at the receiver.
    PreVote {
        /// The term in which the sender would stand for election.
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
        /// The requested term where a pre-vote is granted, else the voter's own.
        term: Term,
        /// Whether it answers a [`Message::PreVote`].
        pre_vote: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// A leader's round: entries that the receiver may lack, none for a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// Index of the entry before the first of `entries`.
        prev_log_index: LogIndex,
        /// Term of that entry.
        prev_log_term: Term,
        /// Entries to store behind it.
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
        /// Number of the round that it answers.
        round: u64,
        /// Whether the follower's log now matches the leader's.
        outcome: AppendOutcome,
    },
    /// Replaces entries that the leader no longer has.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The leader's newest snapshot.
        snapshot: Snapshot,
        /// Number of the round, repeated in the response.
        round: u64,
    },
}

/// What a follower's log holds after a leader's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log is synced and matches the leader's up to this index.
    Matched(LogIndex),
    /// The log differs at the preceding entry: the leader continues from the entry after this index.
    Mismatched(LogIndex),
}
