//! Elections: timeouts, pre-votes, votes, and the transitions between follower, candidate and leader.

use std::collections::BTreeSet;

use spokeflow_core::Micros;

use super::replication::LeaderState;
use super::{LogPosition, Message, NodeId, Output, Payload, RaftNode, Role, Term};

impl RaftNode {
    /// Schedules the next election after one election timeout plus a random part of another, so that nodes rarely
    /// become candidates at the same time.
    pub(super) fn reset_election_timer(&mut self) {
        let spread = self.rng.below(self.config.election_timeout as usize) as Micros;
        self.next_wake = self.now + self.config.election_timeout + spread;
    }

    /// Whether this node may grant a vote. It must not while any leader, this node included, may hold a lease that is
    /// based on this node's last response.
    fn may_vote(&self) -> bool {
        !self.is_leader() && self.now - self.last_leader_contact >= self.config.election_timeout
    }

    /// Asks the other voters whether they would vote for this node in the next term.
    pub(super) fn start_pre_vote(&mut self, out: &mut Output) {
        self.become_candidate(true);
        self.reset_election_timer();
        let term = Term(self.term().0 + 1);
        let last = self.state.last_position();
        for to in self.peers() {
            out.send(
                to,
                Message::PreVote {
                    term,
                    last_log_index: last.index,
                    last_log_term: last.term,
                },
            );
        }
        if self.majority() == 1 {
            self.start_election(term, out);
        }
    }

    /// Votes for itself in `term` and asks the other voters for their votes.
    fn start_election(&mut self, term: Term, out: &mut Output) {
        self.become_candidate(false);
        self.state.term = term;
        self.state.voted_for = Some(self.id);
        self.persist_vote(out);
        self.reset_election_timer();
        let last = self.state.last_position();
        for to in self.peers() {
            let request = Message::RequestVote {
                term,
                last_log_index: last.index,
                last_log_term: last.term,
            };
            // The node's own vote counts towards the majority: it must survive a restart.
            self.send_when_synced(to, request, out);
        }
    }

    fn become_candidate(&mut self, pre_vote: bool) {
        self.role = Role::Candidate {
            pre_vote,
            votes: BTreeSet::from([self.id]),
        };
    }

    /// Becomes a follower in `term`, which is the node's own or a later one.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<NodeId>, out: &mut Output) {
        if term > self.term() {
            self.state.term = term;
            self.state.voted_for = None;
            self.persist_vote(out);
        }
        if self.is_leader() || leader.is_some() {
            self.reset_election_timer();
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    /// Becomes the leader of the current term.
    pub(super) fn become_leader(&mut self, out: &mut Output) {
        let next_index = self.state.last_index().next();
        self.role = Role::Leader(LeaderState::new(&self.peers(), next_index));
        self.leader = Some(self.id);
        // Entries of earlier terms are committed only together with an entry of the leader's own term.
        self.append_to_log(Payload::Noop, out);
    }

    /// Whether the node is a candidate that has the votes of a majority.
    pub(super) fn has_won_election(&self) -> bool {
        let Role::Candidate { pre_vote, votes } = &self.role else {
            return false;
        };
        !pre_vote && votes.len() >= self.majority()
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        candidate_log: LogPosition,
        out: &mut Output,
    ) {
        let granted =
            term > self.term() && self.may_vote() && candidate_log >= self.state.last_position();
        let response = Message::VoteResponse {
            term: if granted { term } else { self.term() },
            pre_vote: true,
            granted,
        };
        out.send(from, response);
    }

    pub(super) fn on_request_vote(
        &mut self,
        from: NodeId,
        term: Term,
        candidate_log: LogPosition,
        out: &mut Output,
    ) {
        // While a leader may hold its lease, not even a later term is adopted: the request may be a delayed one.
        if term < self.term() || !self.may_vote() {
            let refusal = Message::VoteResponse {
                term: self.term(),
                pre_vote: false,
                granted: false,
            };
            return out.send(from, refusal);
        }
        if term > self.term() {
            self.become_follower(term, None, out);
        }
        let granted = self
            .state
            .voted_for
            .is_none_or(|candidate| candidate == from)
            && candidate_log >= self.state.last_position();
        if granted && self.state.voted_for.is_none() {
            self.state.voted_for = Some(from);
            self.persist_vote(out);
            self.reset_election_timer();
        }
        let response = Message::VoteResponse {
            term: self.term(),
            pre_vote: false,
            granted,
        };
        self.send_when_synced(from, response, out);
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: NodeId,
        term: Term,
        pre_vote: bool,
        granted: bool,
        out: &mut Output,
    ) {
        if !granted && term > self.term() {
            return self.become_follower(term, None, out);
        }
        let own_term = self.term();
        let majority = self.majority();
        let Role::Candidate {
            pre_vote: in_pre_vote,
            votes,
        } = &mut self.role
        else {
            return;
        };
        let election_term = Term(own_term.0 + u64::from(*in_pre_vote));
        if !granted || *in_pre_vote != pre_vote || term != election_term {
            return;
        }
        votes.insert(from);
        if votes.len() < majority {
            return;
        }
        if pre_vote {
            self.start_election(election_term, out);
        } else {
            self.become_leader(out);
        }
    }
}
