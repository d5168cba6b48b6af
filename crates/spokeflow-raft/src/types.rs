//! What members say to each other, write down and start from.

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u32);

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A place in the log, from 1; 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub body: Payload,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// With this a leader begins.
    Noop,
    /// What was offered; its meaning is the caller's.
    Command(Vec<u8>),
    /// Who votes, from this entry on, committed or not.
    Membership(Vec<NodeId>),
}

/// All of the log up to a place, as the caller's state and who voted then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub last_included_index: LogIndex,
    pub term: Term,
    pub members: Vec<NodeId>,
    pub state: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// Who votes where the log does not say otherwise; empty for a member that is yet to be taken in.
    pub voters: Vec<NodeId>,
    /// The least silence of a leader, by a member's own clock, after which it may vote for another.
    pub election_timeout: Micros,
    /// How often a leader speaks.
    pub heartbeat_interval: Micros,
    /// How much faster or slower than true a clock may run, as a share.
    pub max_clock_drift: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Whether a vote would be given for this term; binds nobody.
    PreVote {
        term: Term,
        last_log_index: LogIndex,
        last_log_term: Term,
    },
    /// Asks for the vote.
    RequestVote {
        term: Term,
        last_log_index: LogIndex,
        last_log_term: Term,
    },
    /// To either: the term asked for where it is granted, else the voter's own.
    VoteResponse {
        term: Term,
        pre_vote: bool,
        granted: bool,
    },
    AppendEntries {
        term: Term,
        prev_log_index: LogIndex,
        prev_log_term: Term,
        entries: Vec<Entry>,
        leader_commit: LogIndex,
        round: u64,
    },
    /// `Ok`: the log agrees up to there and is synced; `Err`: it does not at `before`, try from after this place.
    AppendEntriesResponse {
        term: Term,
        round: u64,
        match_index: Result<LogIndex, LogIndex>,
    },
    /// In place of entries that the leader no longer has; answered with `Appended`.
    InstallSnapshot {
        term: Term,
        snapshot: Snapshot,
        round: u64,
    },
}

/// What must be synced, in the order of the numbers, each whole or not at all. A snapshot takes the place of all up to
/// its own; then the log is cut behind `keep` and `entries` are put there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PersistRequest {
    pub sequence: u64,
    pub term: Term,
    pub voted_for: Option<NodeId>,
    pub snapshot: Option<Snapshot>,
    pub truncate_after: LogIndex,
    pub entries: Vec<Entry>,
}

/// What a member starts from: all writes that were synced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    pub term: Term,
    pub voted_for: Option<NodeId>,
    pub snapshot: Snapshot,
    /// What comes after the snapshot.
    pub log: Vec<Entry>,
}

impl PersistentState {
    pub fn apply(&mut self, write: &PersistRequest) {
        self.term = write.term;
        self.voted_for = write.voted_for;
        if let Some(snapshot) = &write.snapshot {
            let over =
                (snapshot.last_included_index.0 - self.snapshot.last_included_index.0) as usize;
            self.log.drain(..over.min(self.log.len()));
            self.snapshot = snapshot.clone();
        }
        self.log
            .truncate((write.truncate_after.0 - self.snapshot.last_included_index.0) as usize);
        self.log.extend_from_slice(&write.entries);
    }
}

/// What one call asks for. Messages may leave at once: those that promise a write come out once it is synced.
#[derive(Clone, Debug, Default)]
pub struct Output {
    pub messages: Vec<(NodeId, Message)>,
    pub persist_requests: Vec<PersistRequest>,
    /// The caller's state is this one from now on; what is committed below comes after it.
    pub restored: Option<Snapshot>,
    pub committed: Vec<(LogIndex, Entry)>,
}
