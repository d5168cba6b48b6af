//! A router's side: the revisions that it holds a lease on, and until when by its own clock.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

use crate::{
    EndpointListUpdate, LeaseConfig, LeaseGrant, ListVersion, Revision, RevisionNumber,
    RevisionRef, VoterAddresses,
};

/// Requests that are out at most; an answer to one that is forgotten gives nothing.
const OUT: usize = 32;

/// What a router asks with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Drawn at the start of the router's process.
    pub process: u64,
    /// Index of the router in its fleet.
    pub router: u32,
    /// Revisions that it has whole: in force, announced.
    pub known_revisions: [RevisionNumber; 2],
    /// The newest revision that every one of its acts now respects.
    pub applied_revision: RevisionNumber,
    /// Mark of the keepers' addresses that it has.
    pub voters_fingerprint: u64,
    /// The list that it has, where it wants it from the keepers.
    pub list: Option<ListVersion>,
}

#[derive(Clone, Debug)]
pub struct LeaseHolder {
    terms: LeaseConfig,
    process: u64,
    router: u32,
    asked: VecDeque<(u64, Micros)>,
    next: u64,
    until: Option<Micros>,
    in_force: Revision,
    pending: Option<Revision>,
    applied_revision: RevisionNumber,
    voters: VoterAddresses,
    list: Option<ListVersion>,
    news: Option<EndpointListUpdate>,
}

impl LeaseHolder {
    pub fn new(terms: LeaseConfig, process: u64, router: u32) -> Self {
        let (asked, in_force) = (VecDeque::new(), Revision::default());
        let (next, until, announced, acts_on) = (0, None, None, RevisionNumber(0));
        let seats = VoterAddresses::default();
        let (list, news) = (None, None);
        LeaseHolder {
            terms,
            process,
            router,
            asked,
            next,
            until,
            in_force,
            pending: announced,
            applied_revision: acts_on,
            voters: seats,
            list,
            news,
        }
    }

    /// Wants the list as well, from now on.
    pub fn with_list(mut self) -> Self {
        self.list = Some(ListVersion(0));
        self
    }

    /// How often to ask: twice more may fail before the lease is over.
    pub fn renewal_interval(&self) -> Micros {
        self.terms.holder_duration() / 3
    }

    /// Until when the lease holds; `None` where it never had one.
    pub fn expires_at(&self) -> Option<Micros> {
        self.until
    }

    /// What the last grant that was taken in said of the list, once.
    pub fn take_list_update(&mut self) -> Option<EndpointListUpdate> {
        self.news.take()
    }

    pub fn in_force(&self) -> &Revision {
        &self.in_force
    }

    /// Beside the one in force, where both have to be respected.
    pub fn pending(&self) -> Option<&Revision> {
        self.pending.as_ref()
    }

    /// Where keepers are to be found, as the leader said last.
    pub fn voter_addresses(&self) -> &[String] {
        &self.voters.addresses
    }

    pub fn newest(&self) -> RevisionNumber {
        self.pending
            .as_ref()
            .map_or(self.in_force.number, |a| a.number)
    }

    /// All acts from now on respect this revision.
    pub fn set_applied_revision(&mut self, revision: RevisionNumber) {
        self.applied_revision = self.applied_revision.max(revision);
    }

    /// Number and content of a request that leaves now.
    pub fn request(&mut self, now: Micros) -> (u64, LeaseRequest) {
        self.next += 1;
        self.asked.push_back((self.next, now));
        if self.asked.len() > OUT {
            self.asked.pop_front();
        }
        let knows = [self.in_force.number, self.newest()];
        let (process, router, acts_on) = (self.process, self.router, self.applied_revision);
        (
            self.next,
            LeaseRequest {
                process,
                router,
                known_revisions: knows,
                applied_revision: acts_on,
                voters_fingerprint: self.voters.fingerprint,
                list: self.list,
            },
        )
    }

    /// Takes in the answer to a request. Whether lease or revisions are other than before; the caller acts on them
    /// in one step, or, where it cannot act on a revision, not on the lease either.
    pub fn on_grant(&mut self, number: u64, grant: LeaseGrant) -> bool {
        let Some(at) = self.asked.iter().find(|a| a.0 == number).map(|a| a.1) else {
            return false;
        };
        self.asked.retain(|a| a.0 != number);
        // The lease counts from the sending: how long the answer took is not known to whoever gave it.
        let until = at + self.terms.holder_duration();
        let newest = grant
            .pending
            .as_ref()
            .map_or(grant.in_force.number, |a| a.number);
        // An answer that was overtaken gives nothing back.
        let (told, has) = (
            (grant.in_force.number, newest),
            (self.in_force.number, self.newest()),
        );
        if told < has || Some(until) < self.until || told == has && Some(until) == self.until {
            return false;
        }
        let whole = |known: &RevisionRef| match &known.revision {
            Some(revision) => Some(revision.clone()),
            None if known.number == self.in_force.number => Some(self.in_force.clone()),
            None => self.pending.clone().filter(|a| a.number == known.number),
        };
        let Some(in_force) = whole(&grant.in_force) else {
            return false;
        };
        let announced = match &grant.pending {
            None => None,
            Some(known) => match whole(known) {
                Some(revision) => Some(revision),
                None => return false,
            },
        };
        (self.in_force, self.pending, self.until) = (in_force, announced, Some(until));
        self.voters = grant.voters.unwrap_or(std::mem::take(&mut self.voters));
        // Versions only grow: what an overtaken answer says of the list is known already.
        self.news = grant
            .list
            .filter(|part| self.list.is_some_and(|have| part.version > have));
        self.list = self
            .list
            .map(|have| self.news.as_ref().map_or(have, |part| part.version));
        true
    }
}
