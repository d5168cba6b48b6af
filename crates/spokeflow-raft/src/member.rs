//! One member: a follower, one that stands for election, or the leader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use spokeflow_core::{Chance, Micros};

use crate::{
    Body, Entry, KeeperId, Message, Out, Place, QuorumTerms, Saved, Snapshot, Term, Write,
};

/// Entries in one message at most.
const AT_ONCE: usize = 64;
/// Writes that wait for their sync at most. Beyond, the disk is taken to hang: nothing that writes is taken in.
const UNSYNCED: usize = 1024;

#[derive(Clone, Debug)]
enum Role {
    Follows,
    /// Asks whether it would be voted for, then for votes.
    Stands {
        sounds: bool,
        votes: BTreeSet<KeeperId>,
    },
    Leads(Lead),
}

/// By other member: the next place to send, the place up to which its log is known to agree, and when the latest
/// round that it has answered was sent.
#[derive(Clone, Debug, Default)]
struct Lead {
    next: BTreeMap<KeeperId, Place>,
    agrees: BTreeMap<KeeperId, Place>,
    answered: BTreeMap<KeeperId, Micros>,
    /// Rounds that are out: number and when sent, the oldest first.
    rounds: VecDeque<(u64, Micros)>,
}

#[derive(Clone, Debug)]
pub struct Member {
    own: KeeperId,
    terms: QuorumTerms,
    chance: Chance,
    now: Micros,
    wake: Micros,
    term: Term,
    voted: Option<KeeperId>,
    /// Who votes by the newest entry that says so, committed or not.
    members: Vec<KeeperId>,
    snapshot: Snapshot,
    /// What comes after the snapshot.
    log: Vec<Entry>,
    committed: Place,
    handed_out: Place,
    role: Role,
    leader: Option<KeeperId>,
    /// Since when no leader has spoken; no vote is given until that is long enough.
    silent_since: Micros,
    written: u64,
    /// Writes that are not synced: number, how much of the log they keep, and its length with them.
    unsynced: VecDeque<(u64, Place, Place)>,
    durable: Place,
    /// Messages that promise what is not synced yet, with the write they wait for.
    promised: VecDeque<(u64, KeeperId, Message)>,
    round: u64,
}

impl Member {
    /// A member that has just started: it may have heard a leader a moment before and not remember it, so it keeps
    /// still for the least silence.
    pub fn new(own: KeeperId, terms: QuorumTerms, seed: u64, saved: Saved, now: Micros) -> Self {
        let base = saved.snapshot.upto;
        let mut member = Member {
            own,
            members: Vec::new(),
            terms,
            chance: Chance::new(seed),
            now,
            wake: now,
            term: saved.term,
            voted: saved.voted,
            durable: Place(base.0 + saved.log.len() as u64),
            snapshot: saved.snapshot,
            log: saved.log,
            committed: base,
            handed_out: base,
            role: Role::Follows,
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
            Body::Members(members) => Some(members),
            _ => None,
        });
        let kept = Some(&self.snapshot.members).filter(|m| !m.is_empty());
        self.members = newest.or(kept).unwrap_or(&self.terms.members).clone();
    }

    pub fn own(&self) -> KeeperId {
        self.own
    }

    pub fn members(&self) -> &[KeeperId] {
        &self.members
    }

    pub fn committed(&self) -> Place {
        self.committed
    }

    /// Entries that are kept beside the snapshot.
    pub fn kept(&self) -> usize {
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
    pub fn is_elected(&self) -> bool {
        matches!(self.role, Role::Leads(_))
    }

    pub fn leader(&self) -> Option<KeeperId> {
        self.leader
    }

    /// Whether it may act as leader at this moment of its own clock: nobody else can have been elected, since most
    /// members have answered a round sent less than the least silence ago, less what clocks may differ by. To be
    /// asked at each act.
    pub fn leads(&self, now: Micros) -> bool {
        let Role::Leads(lead) = &self.role else {
            return false;
        };
        let lease = self.terms.silence as f64 * (1.0 - self.terms.drift) / (1.0 + self.terms.drift);
        self.last_quorum(lead, now)
            .is_some_and(|at| now < at + lease as Micros)
    }

    /// Whether it leads and holds all that was ever committed, so that what it was handed is the present state.
    pub fn speaks(&self, now: Micros) -> bool {
        self.leads(now) && self.term_at(self.committed) == Some(self.term)
    }

    /// When the latest round was sent that most members have answered.
    fn last_quorum(&self, lead: &Lead, now: Micros) -> Option<Micros> {
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

    fn others(&self) -> Vec<KeeperId> {
        self.members
            .iter()
            .copied()
            .filter(|m| *m != self.own)
            .collect()
    }

    fn last(&self) -> Place {
        Place(self.snapshot.upto.0 + self.log.len() as u64)
    }

    fn term_at(&self, place: Place) -> Option<Term> {
        match place.0.checked_sub(self.snapshot.upto.0)? {
            0 => Some(self.snapshot.term),
            n => self.log.get(n as usize - 1).map(|e| e.term),
        }
    }

    /// Puts an entry into the log. `Err` names the leader, if one is known.
    pub fn offer(
        &mut self,
        now: Micros,
        body: Vec<u8>,
        out: &mut Out,
    ) -> Result<Place, Option<KeeperId>> {
        self.now = now;
        if !self.leads(now) || self.unsynced.len() >= UNSYNCED {
            return Err(self.leader.filter(|l| *l != self.own));
        }
        Ok(self.lay_down(Body::Act(body), out))
    }

    /// Takes one member in or out. One change at a time: any two majorities of the members before and after share
    /// one, so that no two leaders can be elected side by side. `None`: not now, or not one member's difference.
    pub fn change(
        &mut self,
        now: Micros,
        mut members: Vec<KeeperId>,
        out: &mut Out,
    ) -> Option<Place> {
        self.now = now;
        members.sort_unstable();
        members.dedup();
        let moved = members.iter().filter(|m| !self.members.contains(m)).count()
            + self.members.iter().filter(|m| !members.contains(m)).count();
        // A change by an earlier leader that is not committed could still fall or stand: first an own entry must.
        let committed = (self.committed.0 - self.snapshot.upto.0) as usize;
        let open = self.log[committed..]
            .iter()
            .any(|e| matches!(e.body, Body::Members(_)));
        if !self.speaks(now) || open || moved != 1 || members.is_empty() {
            return None;
        }
        Some(self.lay_down(Body::Members(members), out))
    }

    /// The caller's state holds all that it was handed up to `upto`: the log before is kept as that state.
    pub fn compact(&mut self, upto: Place, state: Vec<u8>, out: &mut Out) {
        if upto <= self.snapshot.upto || upto > self.handed_out {
            return;
        }
        let cut = (upto.0 - self.snapshot.upto.0) as usize;
        let term = self.log[cut - 1].term;
        let newest = self.log[..cut].iter().rev().find_map(|e| match &e.body {
            Body::Members(members) => Some(members.clone()),
            _ => None,
        });
        let kept = || Some(self.snapshot.members.clone()).filter(|m| !m.is_empty());
        let members = newest
            .or_else(kept)
            .unwrap_or_else(|| self.terms.members.clone());
        self.put(
            Some(Snapshot {
                upto,
                term,
                members,
                state,
            }),
            self.last(),
            Vec::new(),
            out,
        );
    }

    fn lay_down(&mut self, body: Body, out: &mut Out) -> Place {
        let (keep, entry) = (
            self.last(),
            Entry {
                term: self.term,
                body,
            },
        );
        self.write(keep, vec![entry], out);
        self.speak(out);
        self.last()
    }

    /// Writes term and vote, and the log behind `keep`.
    fn write(&mut self, keep: Place, entries: Vec<Entry>, out: &mut Out) {
        self.put(None, keep, entries, out);
    }

    fn put(&mut self, snapshot: Option<Snapshot>, keep: Place, entries: Vec<Entry>, out: &mut Out) {
        if let Some(snapshot) = &snapshot {
            let over = (snapshot.upto.0 - self.snapshot.upto.0) as usize;
            self.log.drain(..over.min(self.log.len()));
            self.snapshot = snapshot.clone();
        }
        self.log.truncate((keep.0 - self.snapshot.upto.0) as usize);
        self.log.extend_from_slice(&entries);
        self.refresh_members();
        self.durable = self.durable.min(keep);
        self.written += 1;
        self.unsynced.push_back((self.written, keep, self.last()));
        let (number, term, voted) = (self.written, self.term, self.voted);
        out.writes.push(Write {
            number,
            term,
            voted,
            snapshot,
            keep,
            entries,
        });
    }

    /// Sends what promises that all written so far is synced.
    fn promise(&mut self, to: KeeperId, message: Message, out: &mut Out) {
        if self.unsynced.is_empty() {
            out.messages.push((to, message));
        } else {
            self.promised.push_back((self.written, to, message));
        }
    }

    /// All writes up to this number are on disk and stay there.
    pub fn synced(&mut self, now: Micros, number: u64, out: &mut Out) {
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
        if matches!(&self.role, Role::Stands { sounds: false, votes } if votes.len() >= self.most())
        {
            self.lead(out);
        }
        self.commit(out);
    }

    pub fn woken(&mut self, now: Micros, out: &mut Out) {
        self.now = now;
        if now < self.wake {
            return;
        }
        match &self.role {
            Role::Leads(lead) => {
                // A leader that most have left cannot commit, and must not keep others from asking.
                if self
                    .last_quorum(lead, now)
                    .is_none_or(|at| now - at > 2 * self.terms.silence)
                {
                    self.follow(self.term, None, out);
                } else {
                    self.speak(out);
                }
            }
            // One that is not, or no longer, among those who vote waits to be told.
            _ if !self.votes() => self.wait_for_leader(),
            _ => {
                self.leader = None;
                let term = Term(self.term.0 + 1);
                self.stand(true, term, out);
            }
        }
    }

    fn wait_for_leader(&mut self) {
        let spread = self.chance.below(self.terms.silence as usize) as Micros;
        self.wake = self.now + self.terms.silence + spread;
    }

    fn stand(&mut self, sounds: bool, term: Term, out: &mut Out) {
        self.role = Role::Stands {
            sounds,
            votes: BTreeSet::from([self.own]),
        };
        if !sounds {
            (self.term, self.voted) = (term, Some(self.own));
            self.write(self.last(), Vec::new(), out);
        }
        self.wait_for_leader();
        let (last, last_term) = (self.last(), self.term_at(self.last()).unwrap_or_default());
        for to in self.others() {
            if sounds {
                out.messages.push((
                    to,
                    Message::Sound {
                        term,
                        last,
                        last_term,
                    },
                ));
            } else {
                // The own vote is among those that elect: it must not be forgotten.
                self.promise(
                    to,
                    Message::Stand {
                        term,
                        last,
                        last_term,
                    },
                    out,
                );
            }
        }
        if sounds && self.most() == 1 {
            self.stand(false, term, out);
        }
    }

    /// Goes by this term, which is the own or a later one.
    fn follow(&mut self, term: Term, leader: Option<KeeperId>, out: &mut Out) {
        if term > self.term {
            (self.term, self.voted) = (term, None);
            self.write(self.last(), Vec::new(), out);
        }
        if self.is_elected() || leader.is_some() {
            self.wait_for_leader();
        }
        (self.role, self.leader) = (Role::Follows, leader);
    }

    fn lead(&mut self, out: &mut Out) {
        let others = self.others();
        let next = Place(self.last().0 + 1);
        self.role = Role::Leads(Lead {
            next: others.iter().map(|m| (*m, next)).collect(),
            agrees: others.iter().map(|m| (*m, Place(0))).collect(),
            ..Lead::default()
        });
        self.leader = Some(self.own);
        // Entries of earlier terms are committed by one of the own.
        self.lay_down(Body::Begin, out);
    }

    /// One round: to each what it lacks.
    fn speak(&mut self, out: &mut Out) {
        self.round += 1;
        self.wake = self.now + self.terms.beat;
        let (round, now) = (self.round, self.now);
        if let Role::Leads(lead) = &mut self.role {
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

    fn append(&self, to: KeeperId, round: u64, out: &mut Out) {
        let Role::Leads(lead) = &self.role else {
            return;
        };
        let next = lead
            .next
            .get(&to)
            .copied()
            .unwrap_or(Place(self.last().0 + 1));
        let before = Place(next.0 - 1);
        let Some(before_term) = self.term_at(before) else {
            let (term, snapshot) = (self.term, self.snapshot.clone());
            return out.messages.push((
                to,
                Message::Install {
                    term,
                    snapshot,
                    round,
                },
            ));
        };
        let skip = (before.0 - self.snapshot.upto.0) as usize;
        let entries = self.log.iter().skip(skip).take(AT_ONCE).cloned().collect();
        let (term, committed) = (self.term, self.committed);
        out.messages.push((
            to,
            Message::Append {
                term,
                before,
                before_term,
                entries,
                committed,
                round,
            },
        ));
    }

    /// Only an entry of the own term is counted; with it all before it are committed.
    fn commit(&mut self, out: &mut Out) {
        if let Role::Leads(lead) = &self.role {
            let mut agree: Vec<Place> = self
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
            let at = (self.handed_out.0 - self.snapshot.upto.0) as usize - 1;
            out.committed.push((self.handed_out, self.log[at].clone()));
        }
        // One that has committed its own leaving has no more to say.
        if self.is_elected() && !self.votes() && self.committed == self.last() {
            self.follow(self.term, None, out);
        }
    }

    pub fn heard(&mut self, now: Micros, from: KeeperId, message: Message, out: &mut Out) {
        self.now = now;
        // As if the message were lost: a disk that hangs must not fill the memory with what waits for it.
        if self.unsynced.len() >= UNSYNCED {
            return;
        }
        match message {
            Message::Sound {
                term,
                last,
                last_term,
            } => {
                let granted =
                    term > self.term && self.may_vote() && self.is_behind(last, last_term);
                let term = if granted { term } else { self.term };
                out.messages.push((
                    from,
                    Message::Vote {
                        term,
                        sounded: true,
                        granted,
                    },
                ));
            }
            Message::Stand {
                term,
                last,
                last_term,
            } => {
                // While a leader may hold its lease no later term is even looked at: the message may be old.
                if term < self.term || !self.may_vote() {
                    let vote = Message::Vote {
                        term: self.term,
                        sounded: false,
                        granted: false,
                    };
                    return out.messages.push((from, vote));
                }
                if term > self.term {
                    self.follow(term, None, out);
                }
                let granted =
                    self.voted.is_none_or(|v| v == from) && self.is_behind(last, last_term);
                if granted && self.voted.is_none() {
                    self.voted = Some(from);
                    self.write(self.last(), Vec::new(), out);
                    self.wait_for_leader();
                }
                self.promise(
                    from,
                    Message::Vote {
                        term: self.term,
                        sounded: false,
                        granted,
                    },
                    out,
                );
            }
            Message::Vote {
                term,
                sounded,
                granted,
            } => self.voted_for(from, term, sounded, granted, out),
            Message::Append {
                term,
                before,
                before_term,
                entries,
                committed,
                round,
            } => {
                if term < self.term {
                    let upto = Err(Place(0));
                    return out.messages.push((
                        from,
                        Message::Appended {
                            term: self.term,
                            round,
                            upto,
                        },
                    ));
                }
                self.follow(term, Some(from), out);
                self.silent_since = now;
                let upto = self.take_in(before, before_term, entries, out);
                if let Ok(upto) = upto {
                    self.committed = self.committed.max(committed.min(upto));
                    self.commit(out);
                }
                self.promise(
                    from,
                    Message::Appended {
                        term: self.term,
                        round,
                        upto,
                    },
                    out,
                );
            }
            Message::Appended { term, round, upto } => self.appended(from, term, round, upto, out),
            Message::Install {
                term,
                snapshot,
                round,
            } => {
                if term < self.term {
                    let upto = Err(Place(0));
                    return out.messages.push((
                        from,
                        Message::Appended {
                            term: self.term,
                            round,
                            upto,
                        },
                    ));
                }
                self.follow(term, Some(from), out);
                self.silent_since = now;
                let upto = snapshot.upto;
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
                    Message::Appended {
                        term: self.term,
                        round,
                        upto: Ok(upto),
                    },
                    out,
                );
            }
        }
    }

    /// No vote while a leader may hold its lease on this member's silence, a leader's own among them.
    fn may_vote(&self) -> bool {
        !self.is_elected() && self.now - self.silent_since >= self.terms.silence
    }

    /// Whether the own log holds nothing that one with this end may lack.
    fn is_behind(&self, last: Place, last_term: Term) -> bool {
        (last_term, last) >= (self.term_at(self.last()).unwrap_or_default(), self.last())
    }

    fn voted_for(
        &mut self,
        from: KeeperId,
        term: Term,
        sounded: bool,
        granted: bool,
        out: &mut Out,
    ) {
        if !granted && term > self.term {
            return self.follow(term, None, out);
        }
        let most = self.most();
        let Role::Stands { sounds, votes } = &mut self.role else {
            return;
        };
        let asked = Term(self.term.0 + u64::from(*sounds));
        if !granted || *sounds != sounded || term != asked {
            return;
        }
        votes.insert(from);
        if votes.len() < most {
            return;
        }
        match *sounds {
            true => self.stand(false, asked, out),
            false => self.lead(out),
        }
    }

    fn take_in(
        &mut self,
        mut before: Place,
        mut before_term: Term,
        mut entries: Vec<Entry>,
        out: &mut Out,
    ) -> Result<Place, Place> {
        // What the snapshot holds was committed, and agrees.
        let held = self.snapshot.upto.0.saturating_sub(before.0);
        if held > 0 {
            entries.drain(..entries.len().min(held as usize));
            (before, before_term) = (self.snapshot.upto, self.snapshot.term);
        }
        if self.term_at(before) != Some(before_term) {
            return Err(Place(self.last().0.min(before.0.saturating_sub(1))));
        }
        let upto = Place(before.0 + entries.len() as u64);
        // What agrees stays: an old message must not cut what a later one has brought.
        let same = entries
            .iter()
            .zip(before.0 + 1..)
            .take_while(|(e, n)| self.term_at(Place(*n)) == Some(e.term));
        let same = same.count();
        if same < entries.len() {
            self.write(Place(before.0 + same as u64), entries[same..].to_vec(), out);
        }
        Ok(upto)
    }

    fn appended(
        &mut self,
        from: KeeperId,
        term: Term,
        round: u64,
        upto: Result<Place, Place>,
        out: &mut Out,
    ) {
        if term > self.term {
            return self.follow(term, None, out);
        }
        let (own, last) = (self.term, self.last());
        let Role::Leads(lead) = &mut self.role else {
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
                let next = Place(agrees.0 + 1);
                lead.next.insert(from, next);
                self.commit(out);
                if next <= last {
                    self.append(from, round, out);
                }
            }
            Err(hint) => {
                let known = lead.agrees.get(&from).copied().unwrap_or_default();
                lead.next.insert(from, Place(hint.max(known).0 + 1));
                self.append(from, round, out);
            }
        }
    }
}
