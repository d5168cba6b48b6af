//! One keeper as a state machine, without I/O: its member of the log, the ledger that the log makes, the leases that it
//! gives while it leads, and the requests that wait for an answer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use spokeflow_core::Micros;
use spokeflow_raft::{
    CommittedEntry, LogIndex, Message, NodeId, Output, Payload, PersistRequest, PersistentState,
    RaftConfig, RaftNode, Term,
};

use crate::wire::{ClusterStatus, Request, Response, ToNode};
use crate::{
    ConfigState, EndpointListUpdate, HostState, LeaseConfig, LeaseGranter, LogCommand, Overrides,
    Proposal, Rejection, RevisionNumber, SourceUpdate, VoterAddresses,
};

/// Entries beside the snapshot from which a new one is made.
const KEPT: usize = 500;
/// Requests that wait at most: beyond, one more is told that nobody leads.
const WAITING: usize = 4096;
/// Addresses that are kept of what callers told.
const LEARNED: usize = 32;
/// News of the list that waits for news before it at most.
const LIST_WAITS: usize = 64;
/// An offer that is not committed within this time is told to be unclear, and a request to another keeper given up.
const PATIENCE: Micros = 2_000_000;

#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    pub id: NodeId,
    pub raft: RaftConfig,
    pub lease: LeaseConfig,
    /// Where keepers are to be found by the flags; the ledger has the others.
    pub addresses: BTreeMap<NodeId, String>,
    /// Whether routers could take these values. Errors: every fault.
    pub check: fn(&Overrides) -> Result<(), String>,
}

/// Whom an answer is for: a connection, and the caller's number of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    pub connection: u64,
    pub number: u64,
    /// Whether another keeper passes it on: it is then not passed on again.
    pub forwarded: bool,
}

/// What one call asks for. Writes are to be synced in their order, and told by [`Coordinator::synced`].
#[derive(Debug, Default)]
pub struct Effects {
    pub messages: Vec<(NodeId, ToNode)>,
    pub responses: Vec<(u64, u64, Response)>,
    pub persist_requests: Vec<PersistRequest>,
    /// Whether the ledger has changed.
    pub config_changed: bool,
    /// Its ledger is not what the log says: it must end before anything of this step leaves.
    pub fatal: Option<String>,
    /// Why news of the list's source was rejected, for the log; it is to be read once more.
    pub rejection: Option<Rejection>,
}

#[derive(Clone, Debug)]
struct Waiting {
    from: RequestOrigin,
    until: Micros,
}

#[derive(Clone, Debug)]
pub struct Coordinator {
    terms: CoordinatorConfig,
    raft: RaftNode,
    config: ConfigState,
    applied: LogIndex,
    /// While it leads: for which term, and who holds leases.
    granter: Option<(Term, LeaseGranter)>,
    seats: VoterAddresses,
    /// Addresses that callers told, for want of better knowledge.
    learned: BTreeMap<NodeId, String>,
    /// The revision that it has asked the log to put in force, and when.
    forcing: Option<(Term, RevisionNumber)>,
    /// By token, offers that are in the log and not committed.
    offers: BTreeMap<u64, Vec<Waiting>>,
    /// By own number, requests passed on to the leader.
    passed: BTreeMap<u64, Waiting>,
    next_pass: u64,
    /// By host, the incarnation that this keeper has applied, and when: what has passed since is added to the time that
    /// it is up. Of a keeper that has just started that is less than true, and such a host is taken to be colder.
    applied_at: BTreeMap<u32, (u64, Micros)>,
    /// A whole list that lacked too much, to be accepted where it is read again.
    rejected: Option<SourceUpdate>,
    rejection: Option<Rejection>,
    /// Whether a part of the list is in the log and not committed: the next is weighed against it.
    list_out: bool,
    /// News that came meanwhile; what finds no room is read again.
    list_waits: VecDeque<SourceUpdate>,
    /// Seconds since 1970, for people.
    pub wall_clock_s: u64,
}

impl Coordinator {
    /// Errors: the snapshot cannot be read.
    pub fn new(
        terms: CoordinatorConfig,
        seed: u64,
        saved: PersistentState,
        now: Micros,
    ) -> Result<Self, String> {
        let applied = saved.snapshot.last_included_index;
        let ledger = match applied.0 {
            0 => ConfigState::default(),
            _ => ConfigState::decode(&saved.snapshot.state)?,
        };
        let member = RaftNode::new(terms.id, terms.raft.clone(), seed, saved, now);
        Ok(Coordinator {
            terms,
            raft: member,
            config: ledger,
            applied,
            granter: None,
            seats: VoterAddresses::default(),
            learned: BTreeMap::new(),
            forcing: None,
            offers: BTreeMap::new(),
            passed: BTreeMap::new(),
            next_pass: 0,
            applied_at: BTreeMap::new(),
            rejected: None,
            rejection: None,
            list_out: false,
            list_waits: VecDeque::new(),
            wall_clock_s: 0,
        })
    }

    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Where a keeper is to be found: as the flags say, else as the ledger does.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        let known = self
            .terms
            .addresses
            .get(&id)
            .or_else(|| self.config.addresses.get(&id));
        known.or_else(|| self.learned.get(&id)).map(String::as_str)
    }

    /// All that it knows of where keepers are to be found.
    pub fn addresses(&self) -> Vec<(NodeId, String)> {
        let ids = self
            .terms
            .addresses
            .keys()
            .chain(self.config.addresses.keys())
            .chain(self.learned.keys());
        let ids: BTreeSet<NodeId> = ids.copied().collect();
        ids.into_iter()
            .filter_map(|id| Some((id, self.address(id)?.to_string())))
            .collect()
    }

    /// Another keeper said where some are to be found.
    pub fn learn_addresses(&mut self, addresses: &[(NodeId, String)]) {
        self.learned.extend(addresses.iter().take(LEARNED).cloned());
        while self.learned.len() > LEARNED {
            self.learned.pop_first();
        }
    }

    /// Told to routers: those whose first keepers have all been replaced would else find none.
    fn seat(&mut self) {
        let members = self.raft.voters().iter();
        let addresses: Vec<String> = members
            .filter_map(|m| self.address(*m))
            .map(str::to_string)
            .collect();
        if addresses != self.seats.addresses {
            let mark = u64::from(crc32fast::hash(addresses.join(" ").as_bytes())) + 1;
            self.seats = VoterAddresses {
                fingerprint: mark,
                addresses,
            };
        }
    }

    pub fn last_applied(&self) -> LogIndex {
        self.applied
    }

    pub fn next_wake(&self, now: Micros) -> Micros {
        let look = self
            .granter
            .as_ref()
            .and_then(|(_, g)| g.next_check(now))
            .unwrap_or(Micros::MAX);
        let waits = self
            .offers
            .values()
            .flatten()
            .chain(self.passed.values())
            .map(|w| w.until)
            .min();
        self.raft
            .next_wake()
            .min(look)
            .min(waits.unwrap_or(Micros::MAX))
    }

    pub fn on_timer(&mut self, now: Micros, step: &mut Effects) {
        let mut out = Output::default();
        self.raft.on_timer(now, &mut out);
        let late: Vec<u64> = self
            .passed
            .iter()
            .filter(|p| p.1.until <= now)
            .map(|p| *p.0)
            .collect();
        for number in late {
            self.on_forward_response(number, Response::Indeterminate, step);
        }
        self.offers.retain(|_, waiting| {
            for w in waiting.extract_if(.., |w| w.until <= now) {
                step.responses
                    .push((w.from.connection, w.from.number, Response::Indeterminate));
            }
            !waiting.is_empty()
        });
        self.settle(now, out, step);
    }

    pub fn on_message(&mut self, now: Micros, from: NodeId, message: Message, step: &mut Effects) {
        let mut out = Output::default();
        self.raft.on_message(now, from, message, &mut out);
        self.settle(now, out, step);
    }

    pub fn on_persisted(&mut self, now: Micros, number: u64, step: &mut Effects) {
        let mut out = Output::default();
        self.raft.on_persisted(now, number, &mut out);
        self.settle(now, out, step);
    }

    /// Takes in a request. It is answered in this step, or in a later one within [`PATIENCE`].
    pub fn on_request(
        &mut self,
        now: Micros,
        from: RequestOrigin,
        ask: Request,
        step: &mut Effects,
    ) {
        let mut out = Output::default();
        // LeaseRequest at each act: this process may have been stopped since the last.
        let answer = match self.raft.has_leader_lease(now) {
            true => self.lead(now, from, ask, &mut out),
            false => self.forward(now, from, ask, step),
        };
        step.responses
            .extend(answer.map(|answer| (from.connection, from.number, answer)));
        self.settle(now, out, step);
    }

    /// The answer of the keeper to which a request was passed on.
    pub fn on_forward_response(&mut self, number: u64, answer: Response, step: &mut Effects) {
        if let Some(w) = self.passed.remove(&number) {
            step.responses
                .push((w.from.connection, w.from.number, answer));
        }
    }

    fn forward(
        &mut self,
        now: Micros,
        from: RequestOrigin,
        ask: Request,
        step: &mut Effects,
    ) -> Option<Response> {
        let leader = self.raft.leader().filter(|l| *l != self.terms.id);
        let Some(leader) = leader.filter(|_| !from.forwarded && self.passed.len() < WAITING) else {
            return Some(Response::NoLeader);
        };
        self.next_pass += 1;
        self.passed.insert(
            self.next_pass,
            Waiting {
                from,
                until: now + PATIENCE,
            },
        );
        step.messages.push((
            leader,
            ToNode::Request {
                number: self.next_pass,
                request: ask,
            },
        ));
        None
    }

    fn lead(
        &mut self,
        now: Micros,
        from: RequestOrigin,
        ask: Request,
        out: &mut Output,
    ) -> Option<Response> {
        match ask {
            Request::Lease(asked) => {
                let term = self.raft.term();
                let lease = self.terms.lease;
                // Told to one that has just begun to lead before it has looked at its ledger: it looks now.
                let (of, granter) = self
                    .granter
                    .get_or_insert_with(|| (term, LeaseGranter::new(lease, now)));
                if *of != term {
                    (*of, *granter) = (term, LeaseGranter::new(lease, now));
                }
                let mut grant = granter.grant(now, &asked, &self.config, &self.seats);
                if let Some(part) = &mut grant.list {
                    age(part, &self.applied_at, now);
                }
                Some(Response::Granted(Box::new(grant)))
            }
            Request::Propose(offer) => {
                if let Some(verdict) = self.config.outcome(offer.token) {
                    return Some(Response::Proposed(verdict));
                }
                if let Err(what) = (self.terms.check)(&offer.values) {
                    return Some(Response::Invalid(what));
                }
                let token = offer.token;
                let at_s = self.wall_clock_s;
                let waiting = self.offers.entry(token).or_default();
                if waiting.is_empty() {
                    let act = LogCommand::Propose(Proposal { at_s, ..offer });
                    if self.raft.propose(now, act.encode(), out).is_err() {
                        self.offers.remove(&token);
                        return Some(Response::NoLeader);
                    }
                }
                if let Some(waiting) = self.offers.get_mut(&token).filter(|w| w.len() < WAITING) {
                    waiting.push(Waiting {
                        from,
                        until: now + PATIENCE,
                    });
                }
                None
            }
            Request::Status => Some(Response::Status(Box::new(self.view(now)))),
            Request::TrustList => {
                let act = LogCommand::TrustList;
                Some(
                    self.raft
                        .propose(now, act.encode(), out)
                        .map_or(Response::NoLeader, |_| Response::Accepted),
                )
            }
            Request::SetAddress {
                node: keeper,
                address,
            } => {
                if address.parse::<std::net::SocketAddr>().is_err() {
                    return Some(Response::Invalid(format!(
                        "'{address}' is not an address with a port"
                    )));
                }
                let act = LogCommand::SetAddress {
                    node: keeper,
                    address,
                };
                Some(
                    self.raft
                        .propose(now, act.encode(), out)
                        .map_or(Response::NoLeader, |_| Response::Accepted),
                )
            }
            Request::ChangeVoters(members) => {
                let unknown = members.iter().find(|m| self.address(**m).is_none());
                if let Some(unknown) = unknown {
                    return Some(Response::Invalid(format!(
                        "no address of keeper {} is known yet: register it first",
                        unknown.0
                    )));
                }
                let begun = self.raft.propose_membership(now, members, out);
                let not = || {
                    Response::Invalid(
                        "another change is under way, or it is not one keeper's difference".into(),
                    )
                };
                Some(begun.map_or_else(not, |_| Response::Accepted))
            }
        }
    }

    /// What the list's source said, to a keeper that reads it. Only the leader does anything with it.
    pub fn on_source_update(&mut self, now: Micros, news: SourceUpdate, step: &mut Effects) {
        if !self.raft.has_leader_lease(now) {
            return;
        }
        if self.list_out {
            self.list_waits.push_back(news);
            self.list_waits.truncate(LIST_WAITS);
            return;
        }
        let twice = self
            .rejected
            .as_ref()
            .is_some_and(|r| r.complete && news.complete && alike(r, &news));
        let weighed = self.config.list.evaluate(&news, twice);
        let rejection = weighed.as_ref().err().copied();
        if rejection.is_some() && self.rejection != rejection {
            step.rejection = rejection;
        }
        self.rejection = rejection;
        self.rejected = matches!(rejection, Some(Rejection::Halved { .. })).then_some(news);
        if let Ok(Some(news)) = weighed {
            let mut out = Output::default();
            self.list_out = self
                .raft
                .propose(now, LogCommand::UpdateList(news).encode(), &mut out)
                .is_ok();
            self.settle(now, out, step);
        }
    }

    fn note_hosts(&mut self, now: Micros) {
        let mut noted = BTreeMap::new();
        for host in self.config.list.hosts() {
            let known = self
                .applied_at
                .get(&host.host)
                .filter(|a| a.0 == host.incarnation);
            noted.insert(host.host, known.copied().unwrap_or((host.incarnation, now)));
        }
        self.applied_at = noted;
    }

    fn view(&self, now: Micros) -> ClusterStatus {
        let counts = self
            .granter
            .as_ref()
            .map(|(_, g)| g.lease_counts(now, &self.config));
        let (leases, acting) = counts.unwrap_or_default();
        ClusterStatus {
            leader: self.terms.id,
            term: self.raft.term(),
            committed: self.raft.commit_index(),
            in_force: self.config.in_force.clone(),
            pending: self.config.pending.clone(),
            history: self.config.history.iter().cloned().collect(),
            voters: self.raft.voters().to_vec(),
            addresses: self
                .config
                .addresses
                .iter()
                .map(|(k, a)| (*k, a.clone()))
                .collect(),
            leases: leases as u64,
            list: self.config.list.version.0,
            list_source: self.config.list.source_version,
            hosts: self
                .config
                .list
                .hosts()
                .filter(|h| h.state != HostState::Gone)
                .count() as u64,
            list_rejection: self.rejection,
            up_to_date_leases: acting as u64,
        }
    }

    /// Applies what is committed, and does what a leader has to.
    fn settle(&mut self, now: Micros, mut out: Output, step: &mut Effects) {
        loop {
            if let Some(snapshot) = out.restored.take() {
                // Written by a keeper that read its own: if this one cannot, it must not go on as if it could.
                match ConfigState::decode(&snapshot.state) {
                    Ok(ledger) => self.config = ledger,
                    Err(what) => step.fatal = Some(what),
                }
                (self.applied, step.config_changed) = (snapshot.last_included_index, true);
                self.note_hosts(now);
            }
            for CommittedEntry { index, entry } in std::mem::take(&mut out.committed) {
                self.applied = index;
                step.config_changed = true;
                if let Payload::Command(bytes) = entry.payload {
                    if let Some(act) = LogCommand::decode(&bytes) {
                        let listed =
                            matches!(act, LogCommand::UpdateList(_) | LogCommand::TrustList);
                        self.config.apply(act);
                        if listed {
                            self.list_out = false;
                            self.note_hosts(now);
                        }
                    }
                }
            }
            step.persist_requests.append(&mut out.persist_requests);
            let messages = out.messages.drain(..);
            step.messages
                .extend(messages.map(|sent| (sent.to, ToNode::Raft(sent.message))));
            if !self.rule(now, &mut out) {
                break;
            }
        }
        if let Some(news) = self.list_waits.pop_front_if(|_| !self.list_out) {
            self.on_source_update(now, news, step);
        }
        self.seat();
        let ledger = &self.config;
        self.offers.retain(|token, waiting| {
            let Some(verdict) = ledger.outcome(*token) else {
                return true;
            };
            let answer = |w: Waiting| {
                (
                    w.from.connection,
                    w.from.number,
                    Response::Proposed(verdict),
                )
            };
            step.responses.extend(waiting.drain(..).map(answer));
            false
        });
    }

    /// Whether something has been added to `out`.
    fn rule(&mut self, now: Micros, out: &mut Output) -> bool {
        if self.raft.log_len() > KEPT && self.applied.0 > 0 {
            self.raft.compact(self.applied, self.config.encode(), out);
            if !out.persist_requests.is_empty() {
                return true;
            }
        }
        if !self.raft.has_leader_lease(now) {
            // Leases may have been given by others since: what is known of them is worth nothing.
            if !self.raft.is_leader() {
                (self.granter, self.list_out, self.rejected) = (None, false, None);
                self.list_waits.clear();
            }
            return false;
        }
        let (term, lease) = (self.raft.term(), self.terms.lease);
        if self.granter.as_ref().is_none_or(|g| g.0 != term) {
            self.granter = Some((term, LeaseGranter::new(lease, now)));
        }
        let Some((_, granter)) = &mut self.granter else {
            return false;
        };
        let Some(revision) = granter.ready_revision(now, &self.config) else {
            return false;
        };
        if self.forcing == Some((term, revision)) {
            return false;
        }
        let act = LogCommand::PutInForce {
            revision,
            at_s: self.wall_clock_s,
        };
        if self.raft.propose(now, act.encode(), out).is_ok() {
            self.forcing = Some((term, revision));
            return true;
        }
        false
    }
}

/// Adds what has passed since the hosts were listed.
fn age(part: &mut EndpointListUpdate, applied_at: &BTreeMap<u32, (u64, Micros)>, now: Micros) {
    for host in &mut part.hosts {
        let since = applied_at
            .get(&host.host)
            .map_or(0, |a| (now - a.1).max(0) as u64);
        host.up_us = host.up_us.map(|up| up.saturating_add(since));
    }
}

fn alike(a: &SourceUpdate, b: &SourceUpdate) -> bool {
    let named = |news: &SourceUpdate| {
        news.hosts
            .iter()
            .map(|h| (h.host, h.state))
            .collect::<Vec<_>>()
    };
    a.version == b.version && named(a) == named(b)
}
