//! Log replication: proposals, the leader's rounds of append messages, how followers store entries, and the commit
//! index.

use std::collections::{BTreeMap, VecDeque};

use spokeflow_core::Micros;

use super::{LogIndex, LogPosition, Message, NodeId, Output, Payload, RaftNode, Role, Term};
use crate::{AppendOutcome, CommittedEntry, Entry, ProposeError, Snapshot};

/// Maximum number of entries in one message. A follower that lacks more gets them in several messages, each sent after
/// the response to the one before.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;
/// Maximum number of rounds whose sending time a leader remembers. A response to an older round does not extend the
/// leader's lease.
const MAX_OPEN_ROUNDS: usize = 256;

/// A leader's replication progress for each of the other voters, and the rounds that they may still answer.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderState {
    /// For each voter, the index of the next entry to send.
    next_index: BTreeMap<NodeId, LogIndex>,
    /// For each voter, the index up to which its log is known to match the leader's.
    match_index: BTreeMap<NodeId, LogIndex>,
    /// For each voter, when the leader sent the latest round that the voter has answered.
    pub(super) answered_round_sent_at: BTreeMap<NodeId, Micros>,
    /// Rounds that may still be answered, oldest first.
    open_rounds: VecDeque<OpenRound>,
}

impl LeaderState {
    /// Returns the state of a leader that was just elected, which does not know how far the other logs match.
    pub(super) fn new(peers: &[NodeId], next_index: LogIndex) -> Self {
        LeaderState {
            next_index: peers.iter().map(|peer| (*peer, next_index)).collect(),
            match_index: peers.iter().map(|peer| (*peer, LogIndex(0))).collect(),
            ..LeaderState::default()
        }
    }

    fn open_round(&mut self, number: u64, sent_at: Micros) {
        self.open_rounds.push_back(OpenRound { number, sent_at });
        if self.open_rounds.len() > MAX_OPEN_ROUNDS {
            self.open_rounds.pop_front();
        }
    }

    fn on_round_answered(&mut self, peer: NodeId, number: u64) {
        let round = self.open_rounds.iter().find(|round| round.number == number);
        if let Some(OpenRound { sent_at, .. }) = round {
            let latest = self.answered_round_sent_at.entry(peer).or_insert(*sent_at);
            *latest = (*latest).max(*sent_at);
        }
    }

    /// Records that the peer's log matches up to `index`. Returns the index of the next entry to send to the peer.
    fn on_matched(&mut self, peer: NodeId, index: LogIndex) -> LogIndex {
        let match_index = self.match_index.entry(peer).or_default();
        *match_index = index.max(*match_index);
        let next_index = match_index.next();
        self.next_index.insert(peer, next_index);
        next_index
    }

    /// Records that the peer's log does not match beyond `hint`, so that entries are sent from there on.
    fn on_mismatched(&mut self, peer: NodeId, hint: LogIndex) {
        let match_index = self.match_index.get(&peer).copied().unwrap_or_default();
        self.next_index.insert(peer, hint.max(match_index).next());
    }
}

/// A round that may still be answered, and when it was sent.
#[derive(Clone, Debug)]
struct OpenRound {
    number: u64,
    sent_at: Micros,
}

/// The sender, term and round of a message from a leader.
#[derive(Clone, Copy)]
pub(super) struct LeaderRound {
    leader: NodeId,
    term: Term,
    round: u64,
}

impl LeaderRound {
    pub(super) fn new(leader: NodeId, term: Term, round: u64) -> Self {
        LeaderRound {
            leader,
            term,
            round,
        }
    }
}

/// The contents of [`Message::AppendEntries`].
pub(super) struct AppendRequest {
    /// Position of the entry before the first of `entries`.
    pub(super) previous: LogPosition,
    pub(super) entries: Vec<Entry>,
    pub(super) leader_commit: LogIndex,
}

impl RaftNode {
    /// Appends a command to the log and returns its index. The command is committed once it appears in
    /// [`Output::committed`].
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] if the node may not act as leader, [`ProposeError::WriteQueueFull`] if too many
    /// writes wait for its disk.
    pub fn propose(
        &mut self,
        now: Micros,
        command: Vec<u8>,
        out: &mut Output,
    ) -> Result<LogIndex, ProposeError> {
        self.now = now;
        if !self.has_recent_quorum(now) {
            let leader = self.leader.filter(|leader| *leader != self.id);
            return Err(ProposeError::NotLeader { leader });
        }
        if self.write_queue_is_full() {
            return Err(ProposeError::WriteQueueFull);
        }
        Ok(self.append_to_log(Payload::Command(command), out))
    }

    /// Sends one round: to each of the other voters, the entries that it lacks.
    pub(super) fn broadcast_append(&mut self, out: &mut Output) {
        self.last_round += 1;
        self.next_wake = self.now + self.config.heartbeat_interval;
        let round = self.last_round;
        if let Role::Leader(leader) = &mut self.role {
            leader.open_round(round, self.now);
        }
        for to in self.peers() {
            self.send_append(to, round, out);
        }
        self.advance_commit_index(out);
    }

    /// Sends one voter the entries that it lacks, or the snapshot if the log no longer has them.
    fn send_append(&self, to: NodeId, round: u64, out: &mut Output) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let next_index = leader.next_index.get(&to).copied();
        let next_index = next_index.unwrap_or(self.state.last_index().next());
        let prev_log_index = LogIndex(next_index.0 - 1);
        let Some(prev_log_term) = self.state.term_at(prev_log_index) else {
            let install = Message::InstallSnapshot {
                term: self.term(),
                snapshot: self.state.snapshot.clone(),
                round,
            };
            return out.send(to, install);
        };
        let lacking = self
            .state
            .log
            .iter()
            .skip(self.state.offset(prev_log_index));
        let append = Message::AppendEntries {
            term: self.term(),
            prev_log_index,
            prev_log_term,
            entries: lacking.take(MAX_ENTRIES_PER_MESSAGE).cloned().collect(),
            leader_commit: self.commit_index,
            round,
        };
        out.send(to, append);
    }

    pub(super) fn on_append_entries(
        &mut self,
        round: LeaderRound,
        request: AppendRequest,
        out: &mut Output,
    ) {
        if !self.accept_leader(round, out) {
            return;
        }
        let outcome = self.store_entries(request.previous, request.entries, out);
        if let AppendOutcome::Matched(match_index) = outcome {
            self.commit_index = self
                .commit_index
                .max(request.leader_commit.min(match_index));
            self.advance_commit_index(out);
        }
        self.answer_round(round, outcome, out);
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        round: LeaderRound,
        snapshot: Snapshot,
        out: &mut Output,
    ) {
        if !self.accept_leader(round, out) {
            return;
        }
        let last_included_index = snapshot.last_included_index;
        if last_included_index > self.commit_index {
            self.install_snapshot(snapshot, out);
        }
        self.answer_round(round, AppendOutcome::Matched(last_included_index), out);
    }

    /// Becomes a follower of the sender of a leader's message. If the message is of an earlier term, refuses it and
    /// returns `false`.
    fn accept_leader(&mut self, round: LeaderRound, out: &mut Output) -> bool {
        if round.term < self.term() {
            let refusal = self.round_response(round, AppendOutcome::Mismatched(LogIndex(0)));
            out.send(round.leader, refusal);
            return false;
        }
        self.become_follower(round.term, Some(round.leader), out);
        self.last_leader_contact = self.now;
        true
    }

    /// Answers a leader's message after all earlier writes are synced.
    fn answer_round(&mut self, round: LeaderRound, outcome: AppendOutcome, out: &mut Output) {
        let response = self.round_response(round, outcome);
        self.send_when_synced(round.leader, response, out);
    }

    fn round_response(&self, round: LeaderRound, outcome: AppendOutcome) -> Message {
        Message::AppendEntriesResponse {
            term: self.term(),
            round: round.round,
            outcome,
        }
    }

    /// Replaces the caller's state, and the log up to the last index that the snapshot includes, by the snapshot.
    fn install_snapshot(&mut self, snapshot: Snapshot, out: &mut Output) {
        let last_included = snapshot.last_included();
        // Entries after the snapshot are kept if the node's own log matches the snapshot at its last entry.
        let matches = self.state.term_at(last_included.index) == Some(last_included.term);
        let truncate_after = if matches {
            self.state.last_index()
        } else {
            last_included.index
        };
        self.commit_index = last_included.index;
        self.last_applied = last_included.index;
        out.committed.clear();
        out.restored = Some(snapshot.clone());
        self.persist(Some(snapshot), truncate_after, Vec::new(), out);
    }

    /// Stores the entries that follow `previous` in the leader's log, if the node's own log matches at `previous`.
    fn store_entries(
        &mut self,
        mut previous: LogPosition,
        mut entries: Vec<Entry>,
        out: &mut Output,
    ) -> AppendOutcome {
        // Entries that the snapshot includes are committed, so they match the leader's.
        let snapshot = self.state.snapshot.last_included();
        let included = snapshot.index.0.saturating_sub(previous.index.0);
        if included > 0 {
            entries.drain(..entries.len().min(included as usize));
            previous = snapshot;
        }
        if self.state.term_at(previous.index) != Some(previous.term) {
            let before_previous = previous.index.0.saturating_sub(1);
            let hint = self.state.last_index().0.min(before_previous);
            return AppendOutcome::Mismatched(LogIndex(hint));
        }
        let match_index = LogIndex(previous.index.0 + entries.len() as u64);
        // Matching entries stay: a delayed message must not truncate entries that a newer message has appended.
        let matching = self.count_matching(previous.index, &entries);
        if matching < entries.len() {
            let truncate_after = LogIndex(previous.index.0 + matching as u64);
            self.persist(None, truncate_after, entries.split_off(matching), out);
        }
        AppendOutcome::Matched(match_index)
    }

    /// Counts the leading entries of `entries`, which follow `previous_index`, that the log already has.
    fn count_matching(&self, previous_index: LogIndex, entries: &[Entry]) -> usize {
        entries
            .iter()
            .zip(previous_index.0 + 1..)
            .take_while(|(entry, index)| self.state.term_at(LogIndex(*index)) == Some(entry.term))
            .count()
    }

    pub(super) fn on_append_entries_response(
        &mut self,
        from: NodeId,
        term: Term,
        round: u64,
        outcome: AppendOutcome,
        out: &mut Output,
    ) {
        if term > self.term() {
            return self.become_follower(term, None, out);
        }
        let own_term = self.term();
        let last_index = self.state.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if term != own_term {
            return;
        }
        leader.on_round_answered(from, round);
        match outcome {
            AppendOutcome::Matched(match_index) => {
                let next_index = leader.on_matched(from, match_index);
                self.advance_commit_index(out);
                if next_index <= last_index {
                    self.send_append(from, round, out);
                }
            }
            AppendOutcome::Mismatched(hint) => {
                leader.on_mismatched(from, hint);
                self.send_append(from, round, out);
            }
        }
    }

    /// Advances the commit index to what a majority has synced, and returns newly committed entries in `out`.
    ///
    /// Only an entry of the leader's own term is committed by counting voters; all entries before it are committed
    /// with it.
    pub(super) fn advance_commit_index(&mut self, out: &mut Output) {
        if let Role::Leader(leader) = &self.role {
            let synced = self.majority_value(&leader.match_index, self.durable_index);
            let synced = synced.unwrap_or_default();
            if synced > self.commit_index && self.state.term_at(synced) == Some(self.term()) {
                self.commit_index = synced;
            }
        }
        self.output_committed(out);
        // A leader that has committed its own removal has nothing more to send.
        if self.is_leader() && !self.is_voter() && self.commit_index == self.state.last_index() {
            self.become_follower(self.term(), None, out);
        }
    }

    fn output_committed(&mut self, out: &mut Output) {
        while self.last_applied < self.commit_index {
            let offset = self.state.offset(self.last_applied);
            self.last_applied = self.last_applied.next();
            out.committed.push(CommittedEntry {
                index: self.last_applied,
                entry: self.state.log[offset].clone(),
            });
        }
    }
}
