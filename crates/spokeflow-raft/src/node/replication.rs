//! Replication of the log: proposals, rounds of a leader, what a follower stores, and what is committed.

use std::collections::{BTreeMap, VecDeque};

use spokeflow_core::Micros;

use super::{LogIndex, LogPosition, Message, NodeId, Output, Payload, RaftNode, Role, Term};
use crate::{AppendOutcome, CommittedEntry, Entry, ProposeError, Snapshot};

/// Entries in one message. A follower that lacks more gets them one message after the other.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;
/// Rounds whose time of sending a leader remembers. A response to an older one extends no lease.
const MAX_OPEN_ROUNDS: usize = 256;

/// What a leader knows of the other voters, and the rounds that they may still answer.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderState {
    /// By voter, the index of the next entry to send.
    next_index: BTreeMap<NodeId, LogIndex>,
    /// By voter, the index up to which its log is known to match.
    match_index: BTreeMap<NodeId, LogIndex>,
    /// By voter, when the latest round that it has answered was sent.
    pub(super) answered_round_sent_at: BTreeMap<NodeId, Micros>,
    /// The oldest first.
    open_rounds: VecDeque<OpenRound>,
}

impl LeaderState {
    /// The state at the election: nothing is known of what the others have.
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

    /// The peer's log matches up to `index`. Returns the index of the next entry that it is to get.
    fn on_matched(&mut self, peer: NodeId, index: LogIndex) -> LogIndex {
        let match_index = self.match_index.entry(peer).or_default();
        *match_index = index.max(*match_index);
        let next_index = match_index.next();
        self.next_index.insert(peer, next_index);
        next_index
    }

    /// The peer's log may match up to `hint`, not further.
    fn on_mismatched(&mut self, peer: NodeId, hint: LogIndex) {
        let match_index = self.match_index.get(&peer).copied().unwrap_or_default();
        self.next_index.insert(peer, hint.max(match_index).next());
    }
}

/// A round that may still be answered.
#[derive(Clone, Debug)]
struct OpenRound {
    number: u64,
    sent_at: Micros,
}

/// Who sent a leader's message, and in which term and round.
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
    /// Appends a command to the log and returns its index. It is committed once it is handed out as such.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] where the node may not act as leader, [`ProposeError::WriteQueueFull`] where its
    /// disk hangs.
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

    /// Sends one round: to each of the others the entries that it lacks.
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

    /// Sends one voter the entries that it lacks, or the snapshot where they are no longer there.
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

    /// Follows the sender of a leader's message; refuses one of an earlier term and returns `false`.
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

    /// Answers a leader's message, once all that the answer promises is synced.
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

    /// Replaces the caller's state and the log up to there by the snapshot.
    fn install_snapshot(&mut self, snapshot: Snapshot, out: &mut Output) {
        let last_included = snapshot.last_included();
        // Entries after the snapshot stay where the node's own log matches it.
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

    /// Stores entries that follow `previous` in the leader's log, where the node's own log matches there.
    fn store_entries(
        &mut self,
        mut previous: LogPosition,
        mut entries: Vec<Entry>,
        out: &mut Output,
    ) -> AppendOutcome {
        // What the snapshot includes was committed, so it matches.
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
        // Matching entries stay: a late message must not cut off what a newer one has brought.
        let matching = self.count_matching(previous.index, &entries);
        if matching < entries.len() {
            let truncate_after = LogIndex(previous.index.0 + matching as u64);
            self.persist(None, truncate_after, entries.split_off(matching), out);
        }
        AppendOutcome::Matched(match_index)
    }

    /// How many of the entries, which follow `previous_index`, are in the log already.
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

    /// Commits what a majority has synced, and hands out what is committed.
    ///
    /// Only entries of the leader's own term are counted; all before them are committed with them.
    pub(super) fn advance_commit_index(&mut self, out: &mut Output) {
        if let Role::Leader(leader) = &self.role {
            let synced = self.majority_value(&leader.match_index, self.durable_index);
            let synced = synced.unwrap_or_default();
            if synced > self.commit_index && self.state.term_at(synced) == Some(self.term()) {
                self.commit_index = synced;
            }
        }
        self.hand_out_committed(out);
        // A leader that has committed its own removal has nothing more to send.
        if self.is_leader() && !self.is_voter() && self.commit_index == self.state.last_index() {
            self.become_follower(self.term(), None, out);
        }
    }

    fn hand_out_committed(&mut self, out: &mut Output) {
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
