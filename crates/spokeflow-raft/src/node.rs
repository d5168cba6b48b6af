//! One member: a follower, one that stands for election, or the leader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use spokeflow_core::{Micros, Rng};

use crate::{
    Entry, LogIndex, Message, NodeId, Output, Payload, PersistRequest, PersistentState, RaftConfig,
    Snapshot, Term,
};

/// Entries in one message at most.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;
/// Writes that wait for their sync at most. Beyond, the disk is taken to hang: nothing that writes is taken in.
const MAX_UNSYNCED_WRITES: usize = 1024;

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Asks whether it would be voted for, then for votes.
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<NodeId>,
    },
    Leader(LeaderState),
}

/// By other member: the next place to send, the place up to which its log is known to agree, and when the latest
/// round that it has answered was sent.
#[derive(Clone, Debug, Default)]
struct LeaderState {
    next: BTreeMap<NodeId, LogIndex>,
    agrees: BTreeMap<NodeId, LogIndex>,
    answered: BTreeMap<NodeId, Micros>,
    /// Rounds that are out: number and when sent, the oldest first.
    rounds: VecDeque<(u64, Micros)>,
}

#[derive(Clone, Debug)]
pub struct RaftNode {
    own: NodeId,
    config: RaftConfig,
    chance: Rng,
    now: Micros,
    wake: Micros,
    term: Term,
    voted_for: Option<NodeId>,
    /// Who votes by the newest entry that says so, committed or not.
    members: Vec<NodeId>,
    snapshot: Snapshot,
    /// What comes after the snapshot.
    log: Vec<Entry>,
    committed: LogIndex,
    handed_out: LogIndex,
    role: Role,
    leader: Option<NodeId>,
    /// Since when no leader has spoken; no vote is given until that is long enough.
    silent_since: Micros,
    written: u64,
    /// Writes that are not synced: number, how much of the log they keep, and its length with them.
    unsynced: VecDeque<(u64, LogIndex, LogIndex)>,
    durable: LogIndex,
    /// Messages that promise what is not synced yet, with the write they wait for.
    promised: VecDeque<(u64, NodeId, Message)>,
    round: u64,
}

impl RaftNode {
    /// A member that has just started: it may have heard a leader a moment before and not remember it, so it keeps
    /// still for the least silence.
    pub fn new(
        own: NodeId,
        config: RaftConfig,
        seed: u64,
        saved: PersistentState,
        now: Micros,
    ) -> Self {
        let base = saved.snapshot.last_included_index;
        let mut member = RaftNode {
            own,
            members: Vec::new(),
            config,
            chance: Rng::new(seed),
            now,
            wake: now,
            term: saved.term,
            voted_for: saved.voted_for,
            durable: LogIndex(base.0 + saved.log.len() as u64),
            snapshot: saved.snapshot,
            log: saved.log,
            committed: base,
            handed_out: base,
            role: Role::Follower,
            leader: None,
            silent_since: now,
            written: 0,
            unsynced: VecDeque::new(),
            promised: VecDeque::new(),
            round: 0,
        };
        member.refresh_members();
        member.wait_for_leader();
        member
    }

    /// Who votes: as the newest entry says, else the snapshot, else the terms.
    fn refresh_members(&mut self) {
        let newest = self.log.iter().rev().find_map(|e| match &e.body {
            Payload::Membership(members) => Some(members),
            _ => None,
        });
        let kept = Some(&self.snapshot.members).filter(|m| !m.is_empty());
        self.members = newest.or(kept).unwrap_or(&self.config.voters).clone();
    }

    pub fn own(&self) -> NodeId {
        self.own
    }

    pub fn members(&self) -> &[NodeId] {
        &self.members
    }

    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// Entries that are kept beside the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    fn votes(&self) -> bool {
        self.members.contains(&self.own)
    }

    pub fn next_wake(&self) -> Micros {
        self.wake
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether it was elected, be its lease over or not.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether it may act as leader at this moment of its own clock: nobody else can have been elected, since most
    /// members have answered a round sent less than the least silence ago, less what clocks may differ by. To be
    /// asked at each act.
    pub fn has_recent_quorum(&self, now: Micros) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let lease = self.config.election_timeout as f64 * (1.0 - self.config.max_clock_drift)
            / (1.0 + self.config.max_clock_drift);
        self.last_quorum(lead, now)
            .is_some_and(|at| now < at + lease as Micros)
    }

    /// Whether it leads and holds all that was ever committed, so that what it was handed is the present state.
    pub fn has_leader_lease(&self, now: Micros) -> bool {
        self.has_recent_quorum(now) && self.term_at(self.committed) == Some(self.term)
    }

    /// When the latest round was sent that most members have answered.
    fn last_quorum(&self, lead: &LeaderState, now: Micros) -> Option<Micros> {
        let mut at: Vec<Micros> = self
            .members
            .iter()
            .filter_map(|m| lead.answered.get(m).copied())
            .collect();
        at.extend(self.votes().then_some(now));
        at.sort_unstable_by(|a, b| b.cmp(a));
        at.get(self.most() - 1).copied()
    }

    fn most(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn others(&self) -> Vec<NodeId> {
        self.members
            .iter()
            .copied()
            .filter(|m| *m != self.own)
            .collect()
    }

    fn last(&self) -> LogIndex {
        LogIndex(self.snapshot.last_included_index.0 + self.log.len() as u64)
    }

    fn term_at(&self, place: LogIndex) -> Option<Term> {
        match place.0.checked_sub(self.snapshot.last_included_index.0)? {
            0 => Some(self.snapshot.term),
            n => self.log.get(n as usize - 1).map(|e| e.term),
        }
    }

    /// Puts an entry into the log. `Err` names the leader, if one is known.
    pub fn propose(
        &mut self,
        now: Micros,
        body: Vec<u8>,
        out: &mut Output,
    ) -> Result<LogIndex, Option<NodeId>> {
        self.now = now;
        if !self.has_recent_quorum(now) || self.unsynced.len() >= MAX_UNSYNCED_WRITES {
            return Err(self.leader.filter(|l| *l != self.own));
        }
        Ok(self.append_to_log(Payload::Command(body), out))
    }

    /// Takes one member in or out. One change at a time: any two majorities of the members before and after share
    /// one, so that no two leaders can be elected side by side. `None`: not now, or not one member's difference.
    pub fn propose_membership(
        &mut self,
        now: Micros,
        mut members: Vec<NodeId>,
        out: &mut Output,
    ) -> Option<LogIndex> {
        self.now = now;
        members.sort_unstable();
        members.dedup();
        let moved = members.iter().filter(|m| !self.members.contains(m)).count()
            + self.members.iter().filter(|m| !members.contains(m)).count();
        // A change by an earlier leader that is not committed could still fall or stand: first an own entry must.
        let committed = (self.committed.0 - self.snapshot.last_included_index.0) as usize;
        let open = self.log[committed..]
            .iter()
            .any(|e| matches!(e.body, Payload::Membership(_)));
        if !self.has_leader_lease(now) || open || moved != 1 || members.is_empty() {
            return None;
        }
        Some(self.append_to_log(Payload::Membership(members), out))
    }

    /// The caller's state holds all that it was handed up to `upto`: the log before is kept as that state.
    pub fn compact(&mut self, upto: LogIndex, state: Vec<u8>, out: &mut Output) {
        if upto <= self.snapshot.last_included_index || upto > self.handed_out {
            return;
        }
        let cut = (upto.0 - self.snapshot.last_included_index.0) as usize;
        let term = self.log[cut - 1].term;
        let newest = self.log[..cut].iter().rev().find_map(|e| match &e.body {
            Payload::Membership(members) => Some(members.clone()),
            _ => None,
        });
        let kept = || Some(self.snapshot.members.clone()).filter(|m| !m.is_empty());
        let members = newest
            .or_else(kept)
            .unwrap_or_else(|| self.config.voters.clone());
        self.put(
            Some(Snapshot {
                last_included_index: upto,
                term,
                members,
                state,
            }),
            self.last(),
            Vec::new(),
            out,
        );
    }

    fn append_to_log(&mut self, body: Payload, out: &mut Output) -> LogIndex {
        let (keep, entry) = (
            self.last(),
            Entry {
                term: self.term,
                body,
            },
        );
        self.write(keep, vec![entry], out);
        self.broadcast_append(out);
        self.last()
    }

    /// Writes term and vote, and the log behind `keep`.
    fn write(&mut self, keep: LogIndex, entries: Vec<Entry>, out: &mut Output) {
        self.put(None, keep, entries, out);
    }

    fn put(
        &mut self,
        snapshot: Option<Snapshot>,
        keep: LogIndex,
        entries: Vec<Entry>,
        out: &mut Output,
    ) {
        if let Some(snapshot) = &snapshot {
            let over =
                (snapshot.last_included_index.0 - self.snapshot.last_included_index.0) as usize;
            self.log.drain(..over.min(self.log.len()));
            self.snapshot = snapshot.clone();
        }
        self.log
            .truncate((keep.0 - self.snapshot.last_included_index.0) as usize);
        self.log.extend_from_slice(&entries);
        self.refresh_members();
        self.durable = self.durable.min(keep);
        self.written += 1;
        self.unsynced.push_back((self.written, keep, self.last()));
        let number = self.written;
        let term = self.term;
        let voted_for = self.voted_for;
        out.persist_requests.push(PersistRequest {
            sequence: number,
            term,
            voted_for,
            snapshot,
            truncate_after: keep,
            entries,
        });
    }

    /// Sends what promises that all written so far is synced.
    fn promise(&mut self, to: NodeId, message: Message, out: &mut Output) {
        if self.unsynced.is_empty() {
            out.messages.push((to, message));
        } else {
            self.promised.push_back((self.written, to, message));
        }
    }

    /// All writes up to this number are on disk and stay there.
    pub fn on_persisted(&mut self, now: Micros, number: u64, out: &mut Output) {
        self.now = now;
        while let Some((_, _, upto)) = self.unsynced.pop_front_if(|w| w.0 <= number) {
            self.durable = upto;
        }
        // A later write may have cut what this one had put there.
        self.durable = self
            .unsynced
            .iter()
            .fold(self.durable, |durable, w| durable.min(w.1));
        while let Some((_, to, message)) = self.promised.pop_front_if(|p| p.0 <= number) {
            out.messages.push((to, message));
        }
        if matches!(&self.role, Role::Candidate { pre_vote: false, votes } if votes.len() >= self.most())
        {
            self.become_leader(out);
        }
        self.commit(out);
    }

    pub fn on_timer(&mut self, now: Micros, out: &mut Output) {
        self.now = now;
        if now < self.wake {
            return;
        }
        match &self.role {
            Role::Leader(lead) => {
                // A leader that most have left cannot commit, and must not keep others from asking.
                if self
                    .last_quorum(lead, now)
                    .is_none_or(|at| now - at > 2 * self.config.election_timeout)
                {
                    self.follow(self.term, None, out);
                } else {
                    self.broadcast_append(out);
                }
            }
            // One that is not, or no longer, among those who vote waits to be told.
            _ if !self.votes() => self.wait_for_leader(),
            _ => {
                self.leader = None;
                let term = Term(self.term.0 + 1);
                self.start_election(true, term, out);
            }
        }
    }

    fn wait_for_leader(&mut self) {
        let spread = self.chance.below(self.config.election_timeout as usize) as Micros;
        self.wake = self.now + self.config.election_timeout + spread;
    }

    fn start_election(&mut self, pre_vote: bool, term: Term, out: &mut Output) {
        self.role = Role::Candidate {
            pre_vote,
            votes: BTreeSet::from([self.own]),
        };
        if !pre_vote {
            (self.term, self.voted_for) = (term, Some(self.own));
            self.write(self.last(), Vec::new(), out);
        }
        self.wait_for_leader();
        let (last_log_index, last_log_term) =
            (self.last(), self.term_at(self.last()).unwrap_or_default());
        for to in self.others() {
            if pre_vote {
                out.messages.push((
                    to,
                    Message::PreVote {
                        term,
                        last_log_index,
                        last_log_term,
                    },
                ));
            } else {
                // The own vote is among those that elect: it must not be forgotten.
                self.promise(
                    to,
                    Message::RequestVote {
                        term,
                        last_log_index,
                        last_log_term,
                    },
                    out,
                );
            }
        }
        if pre_vote && self.most() == 1 {
            self.start_election(false, term, out);
        }
    }

    /// Goes by this term, which is the own or a later one.
    fn follow(&mut self, term: Term, leader: Option<NodeId>, out: &mut Output) {
        if term > self.term {
            (self.term, self.voted_for) = (term, None);
            self.write(self.last(), Vec::new(), out);
        }
        if self.is_leader() || leader.is_some() {
            self.wait_for_leader();
        }
        (self.role, self.leader) = (Role::Follower, leader);
    }

    fn become_leader(&mut self, out: &mut Output) {
        let others = self.others();
        let next = LogIndex(self.last().0 + 1);
        self.role = Role::Leader(LeaderState {
            next: others.iter().map(|m| (*m, next)).collect(),
            agrees: others.iter().map(|m| (*m, LogIndex(0))).collect(),
            ..LeaderState::default()
        });
        self.leader = Some(self.own);
        // Entries of earlier terms are committed by one of the own.
        self.append_to_log(Payload::Noop, out);
    }

    /// One round: to each what it lacks.
    fn broadcast_append(&mut self, out: &mut Output) {
        self.round += 1;
        self.wake = self.now + self.config.heartbeat_interval;
        let (round, now) = (self.round, self.now);
        if let Role::Leader(lead) = &mut self.role {
            lead.rounds.push_back((round, now));
            if lead.rounds.len() > 256 {
                lead.rounds.pop_front();
            }
        }
        for to in self.others() {
            self.append(to, round, out);
        }
        self.commit(out);
    }

    fn append(&self, to: NodeId, round: u64, out: &mut Output) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let next = lead
            .next
            .get(&to)
            .copied()
            .unwrap_or(LogIndex(self.last().0 + 1));
        let prev_log_index = LogIndex(next.0 - 1);
        let Some(prev_log_term) = self.term_at(prev_log_index) else {
            let (term, snapshot) = (self.term, self.snapshot.clone());
            return out.messages.push((
                to,
                Message::InstallSnapshot {
                    term,
                    snapshot,
                    round,
                },
            ));
        };
        let skip = (prev_log_index.0 - self.snapshot.last_included_index.0) as usize;
        let entries = self
            .log
            .iter()
            .skip(skip)
            .take(MAX_ENTRIES_PER_MESSAGE)
            .cloned()
            .collect();
        let (term, leader_commit) = (self.term, self.committed);
        out.messages.push((
            to,
            Message::AppendEntries {
                term,
                prev_log_index,
                prev_log_term,
                entries,
                leader_commit,
                round,
            },
        ));
    }

    /// Only an entry of the own term is counted; with it all before it are committed.
    fn commit(&mut self, out: &mut Output) {
        if let Role::Leader(lead) = &self.role {
            let mut agree: Vec<LogIndex> = self
                .members
                .iter()
                .filter_map(|m| lead.agrees.get(m).copied())
                .collect();
            agree.extend(self.votes().then_some(self.durable));
            agree.sort_unstable_by(|a, b| b.cmp(a));
            let upto = agree.get(self.most() - 1).copied().unwrap_or_default();
            if upto > self.committed && self.term_at(upto) == Some(self.term) {
                self.committed = upto;
            }
        }
        while self.handed_out < self.committed {
            self.handed_out.0 += 1;
            let at = (self.handed_out.0 - self.snapshot.last_included_index.0) as usize - 1;
            out.committed.push((self.handed_out, self.log[at].clone()));
        }
        // One that has committed its own leaving has no more to say.
        if self.is_leader() && !self.votes() && self.committed == self.last() {
            self.follow(self.term, None, out);
        }
    }

    pub fn on_message(&mut self, now: Micros, from: NodeId, message: Message, out: &mut Output) {
        self.now = now;
        // As if the message were lost: a disk that hangs must not fill the memory with what waits for it.
        if self.unsynced.len() >= MAX_UNSYNCED_WRITES {
            return;
        }
        match message {
            Message::PreVote {
                term,
                last_log_index,
                last_log_term,
            } => {
                let granted = term > self.term
                    && self.may_vote()
                    && self.is_behind(last_log_index, last_log_term);
                let term = if granted { term } else { self.term };
                out.messages.push((
                    from,
                    Message::VoteResponse {
                        term,
                        pre_vote: true,
                        granted,
                    },
                ));
            }
            Message::RequestVote {
                term,
                last_log_index,
                last_log_term,
            } => {
                // While a leader may hold its lease no later term is even looked at: the message may be old.
                if term < self.term || !self.may_vote() {
                    let vote = Message::VoteResponse {
                        term: self.term,
                        pre_vote: false,
                        granted: false,
                    };
                    return out.messages.push((from, vote));
                }
                if term > self.term {
                    self.follow(term, None, out);
                }
                let granted = self.voted_for.is_none_or(|v| v == from)
                    && self.is_behind(last_log_index, last_log_term);
                if granted && self.voted_for.is_none() {
                    self.voted_for = Some(from);
                    self.write(self.last(), Vec::new(), out);
                    self.wait_for_leader();
                }
                self.promise(
                    from,
                    Message::VoteResponse {
                        term: self.term,
                        pre_vote: false,
                        granted,
                    },
                    out,
                );
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
                if term < self.term {
                    let upto = Err(LogIndex(0));
                    return out.messages.push((
                        from,
                        Message::AppendEntriesResponse {
                            term: self.term,
                            round,
                            match_index: upto,
                        },
                    ));
                }
                self.follow(term, Some(from), out);
                self.silent_since = now;
                let upto = self.take_in(prev_log_index, prev_log_term, entries, out);
                if let Ok(upto) = upto {
                    self.committed = self.committed.max(leader_commit.min(upto));
                    self.commit(out);
                }
                self.promise(
                    from,
                    Message::AppendEntriesResponse {
                        term: self.term,
                        round,
                        match_index: upto,
                    },
                    out,
                );
            }
            Message::AppendEntriesResponse {
                term,
                round,
                match_index: upto,
            } => self.appended(from, term, round, upto, out),
            Message::InstallSnapshot {
                term,
                snapshot,
                round,
            } => {
                if term < self.term {
                    let upto = Err(LogIndex(0));
                    return out.messages.push((
                        from,
                        Message::AppendEntriesResponse {
                            term: self.term,
                            round,
                            match_index: upto,
                        },
                    ));
                }
                self.follow(term, Some(from), out);
                self.silent_since = now;
                let upto = snapshot.last_included_index;
                if upto > self.committed {
                    // What follows the place in the own log stays where it agrees there.
                    let agrees = self.term_at(upto) == Some(snapshot.term);
                    let keep = if agrees { self.last() } else { upto };
                    (self.committed, self.handed_out) = (upto, upto);
                    out.committed.clear();
                    out.restored = Some(snapshot.clone());
                    self.put(Some(snapshot), keep, Vec::new(), out);
                }
                self.promise(
                    from,
                    Message::AppendEntriesResponse {
                        term: self.term,
                        round,
                        match_index: Ok(upto),
                    },
                    out,
                );
            }
        }
    }

    /// No vote while a leader may hold its lease on this member's silence, a leader's own among them.
    fn may_vote(&self) -> bool {
        !self.is_leader() && self.now - self.silent_since >= self.config.election_timeout
    }

    /// Whether the own log holds nothing that one with this end may lack.
    fn is_behind(&self, last: LogIndex, last_log_term: Term) -> bool {
        (last_log_term, last) >= (self.term_at(self.last()).unwrap_or_default(), self.last())
    }

    fn on_vote_response(
        &mut self,
        from: NodeId,
        term: Term,
        pre_vote: bool,
        granted: bool,
        out: &mut Output,
    ) {
        if !granted && term > self.term {
            return self.follow(term, None, out);
        }
        let most = self.most();
        let Role::Candidate {
            pre_vote: asks_pre_votes,
            votes,
        } = &mut self.role
        else {
            return;
        };
        let asked = Term(self.term.0 + u64::from(*asks_pre_votes));
        if !granted || *asks_pre_votes != pre_vote || term != asked {
            return;
        }
        votes.insert(from);
        if votes.len() < most {
            return;
        }
        match pre_vote {
            true => self.start_election(false, asked, out),
            false => self.become_leader(out),
        }
    }

    fn take_in(
        &mut self,
        mut prev_log_index: LogIndex,
        mut prev_log_term: Term,
        mut entries: Vec<Entry>,
        out: &mut Output,
    ) -> Result<LogIndex, LogIndex> {
        // What the snapshot holds was committed, and agrees.
        let held = self
            .snapshot
            .last_included_index
            .0
            .saturating_sub(prev_log_index.0);
        if held > 0 {
            entries.drain(..entries.len().min(held as usize));
            (prev_log_index, prev_log_term) =
                (self.snapshot.last_included_index, self.snapshot.term);
        }
        if self.term_at(prev_log_index) != Some(prev_log_term) {
            return Err(LogIndex(
                self.last().0.min(prev_log_index.0.saturating_sub(1)),
            ));
        }
        let upto = LogIndex(prev_log_index.0 + entries.len() as u64);
        // What agrees stays: an old message must not cut what a later one has brought.
        let same = entries
            .iter()
            .zip(prev_log_index.0 + 1..)
            .take_while(|(e, n)| self.term_at(LogIndex(*n)) == Some(e.term));
        let same = same.count();
        if same < entries.len() {
            self.write(
                LogIndex(prev_log_index.0 + same as u64),
                entries[same..].to_vec(),
                out,
            );
        }
        Ok(upto)
    }

    fn appended(
        &mut self,
        from: NodeId,
        term: Term,
        round: u64,
        upto: Result<LogIndex, LogIndex>,
        out: &mut Output,
    ) {
        if term > self.term {
            return self.follow(term, None, out);
        }
        let (own, last) = (self.term, self.last());
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if term != own {
            return;
        }
        if let Some(sent) = lead.rounds.iter().find(|r| r.0 == round).map(|r| r.1) {
            let at = lead.answered.entry(from).or_insert(sent);
            *at = sent.max(*at);
        }
        match upto {
            Ok(upto) => {
                let agrees = lead.agrees.entry(from).or_default();
                *agrees = upto.max(*agrees);
                let next = LogIndex(agrees.0 + 1);
                lead.next.insert(from, next);
                self.commit(out);
                if next <= last {
                    self.append(from, round, out);
                }
            }
            Err(hint) => {
                let known = lead.agrees.get(&from).copied().unwrap_or_default();
                lead.next.insert(from, LogIndex(hint.max(known).0 + 1));
                self.append(from, round, out);
            }
        }
    }
}
