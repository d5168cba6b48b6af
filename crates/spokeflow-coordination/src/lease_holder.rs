//! A router's side: the revisions that it holds a lease on, and until when by its own clock.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

use crate::{Grant, Known, LeaseTerms, ListNo, ListPart, Revision, RevisionNo, Seats};

/// Requests that are out at most; an answer to one that is forgotten gives nothing.
const OUT: usize = 32;

/// What a router asks with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// Drawn at the start of the router's process.
    pub process: u64,
    /// Index of the router in its fleet.
    pub router: u32,
    /// Revisions that it has whole: in force, announced.
    pub knows: [RevisionNo; 2],
    /// The newest revision that every one of its acts now respects.
    pub acts_on: RevisionNo,
    /// Mark of the keepers' addresses that it has.
    pub seats: u64,
    /// The list that it has, where it wants it from the keepers.
    pub list: Option<ListNo>,
}

#[derive(Clone, Debug)]
pub struct LeaseHolder {
    terms: LeaseTerms,
    process: u64,
    router: u32,
    asked: VecDeque<(u64, Micros)>,
    next: u64,
    until: Option<Micros>,
    in_force: Revision,
    announced: Option<Revision>,
    acts_on: RevisionNo,
    seats: Seats,
    list: Option<ListNo>,
    news: Option<ListPart>,
}

impl LeaseHolder {
    pub fn new(terms: LeaseTerms, process: u64, router: u32) -> Self {
        let (asked, in_force) = (VecDeque::new(), Revision::default());
        let (next, until, announced, acts_on) = (0, None, None, RevisionNo(0));
        let seats = Seats::default();
        let (list, news) = (None, None);
        LeaseHolder {
            terms,
            process,
            router,
            asked,
            next,
            until,
            in_force,
            announced,
            acts_on,
            seats,
            list,
            news,
        }
    }

    /// Wants the list as well, from now on.
    pub fn wants_list(mut self) -> Self {
        self.list = Some(ListNo(0));
        self
    }

    /// How often to ask: twice more may fail before the lease is over.
    pub fn every(&self) -> Micros {
        self.terms.held() / 3
    }

    /// Until when the lease holds; `None` where it never had one.
    pub fn until(&self) -> Option<Micros> {
        self.until
    }

    /// What the last grant that was taken in said of the list, once.
    pub fn list_news(&mut self) -> Option<ListPart> {
        self.news.take()
    }

    pub fn in_force(&self) -> &Revision {
        &self.in_force
    }

    /// Beside the one in force, where both have to be respected.
    pub fn announced(&self) -> Option<&Revision> {
        self.announced.as_ref()
    }

    /// Where keepers are to be found, as the leader said last.
    pub fn seats(&self) -> &[String] {
        &self.seats.addresses
    }

    pub fn newest(&self) -> RevisionNo {
        self.announced
            .as_ref()
            .map_or(self.in_force.number, |a| a.number)
    }

    /// All acts from now on respect this revision.
    pub fn acts_on(&mut self, revision: RevisionNo) {
        self.acts_on = self.acts_on.max(revision);
    }

    /// Number and content of a request that leaves now.
    pub fn ask(&mut self, now: Micros) -> (u64, Asked) {
        self.next += 1;
        self.asked.push_back((self.next, now));
        if self.asked.len() > OUT {
            self.asked.pop_front();
        }
        let knows = [self.in_force.number, self.newest()];
        let (process, router, acts_on) = (self.process, self.router, self.acts_on);
        (
            self.next,
            Asked {
                process,
                router,
                knows,
                acts_on,
                seats: self.seats.mark,
                list: self.list,
            },
        )
    }

    /// Takes in the answer to a request. Whether lease or revisions are other than before; the caller acts on them
    /// in one step, or, where it cannot act on a revision, not on the lease either.
    pub fn granted(&mut self, number: u64, grant: Grant) -> bool {
        let Some(at) = self.asked.iter().find(|a| a.0 == number).map(|a| a.1) else {
            return false;
        };
        self.asked.retain(|a| a.0 != number);
        // The lease counts from the sending: how long the answer took is not known to whoever gave it.
        let until = at + self.terms.held();
        let newest = grant
            .announced
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
        let whole = |known: &Known| match &known.revision {
            Some(revision) => Some(revision.clone()),
            None if known.number == self.in_force.number => Some(self.in_force.clone()),
            None => self.announced.clone().filter(|a| a.number == known.number),
        };
        let Some(in_force) = whole(&grant.in_force) else {
            return false;
        };
        let announced = match &grant.announced {
            None => None,
            Some(known) => match whole(known) {
                Some(revision) => Some(revision),
                None => return false,
            },
        };
        (self.in_force, self.announced, self.until) = (in_force, announced, Some(until));
        self.seats = grant.seats.unwrap_or(std::mem::take(&mut self.seats));
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
