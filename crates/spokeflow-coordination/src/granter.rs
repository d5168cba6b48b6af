//! The leading keeper's side: who holds a lease, and when the announced revision may come into force.

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

use crate::leases::{Lease, LeaseTable};
use crate::{Asked, LeaseTerms, Ledger, ListPart, Revision, RevisionNo};

/// Routers whose leases are kept in mind; beyond, an announced revision waits for time alone.
const LEASES_AT_MOST: usize = 8192;

/// A revision, whole where the router does not have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    pub number: RevisionNo,
    pub revision: Option<Revision>,
}

/// A lease, from the moment at which it was asked for: on the revision in force, and, where another is announced,
/// on the stricter of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub in_force: Known,
    pub announced: Option<Known>,
    /// Where the keepers that vote are to be found, where the router has it otherwise.
    pub seats: Option<Seats>,
    /// What the router lacks of the list, where it wants it.
    pub list: Option<ListPart>,
}

/// Addresses of keepers, and a number by which two such lists are told apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    pub mark: u64,
    pub addresses: Vec<String>,
}

/// All figures are of the present leadership: a keeper that is elected anew begins with none. Times are of the keeper's
/// clock, which never goes back from one call to the next.
#[derive(Clone, Debug)]
pub struct Granter {
    terms: LeaseTerms,
    /// From when on nobody else can have given leases.
    led_since: Micros,
    announced: Option<(RevisionNo, Micros)>,
    leases: LeaseTable,
    over: bool,
}

impl Granter {
    pub fn new(terms: LeaseTerms, now: Micros) -> Self {
        Granter {
            terms,
            led_since: now,
            announced: None,
            leases: LeaseTable::default(),
            over: false,
        }
    }

    /// To be called by a leader that speaks at this moment, only.
    pub fn ask(&mut self, now: Micros, asked: &Asked, ledger: &Ledger, seats: &Seats) -> Grant {
        self.leases.remove_expired(now);
        let until = now + self.terms.waits();
        let known = self.leases.acts_on(asked.process).unwrap_or(RevisionNo(0));
        if known == RevisionNo(0) && self.leases.len() >= LEASES_AT_MOST {
            self.over = true;
        } else {
            // Messages overtake each other: what a router has once said it acts on stays said.
            let lease = Lease {
                until,
                acts_on: asked.acts_on.max(known),
            };
            self.leases.insert(asked.process, lease);
        }
        let tell = |revision: &Revision| Known {
            number: revision.number,
            revision: (!asked.knows.contains(&revision.number)).then(|| revision.clone()),
        };
        let (in_force, announced) = (tell(&ledger.in_force), ledger.announced.as_ref().map(tell));
        let list = asked.list.and_then(|have| ledger.list.since(have));
        Grant {
            in_force,
            announced,
            seats: (asked.seats != seats.mark).then(|| seats.clone()),
            list,
        }
    }

    /// The announced revision, where every lease that was given without it is over, or its router has since said
    /// that it acts on it.
    pub fn ready(&mut self, now: Micros, ledger: &Ledger) -> Option<RevisionNo> {
        let number = ledger.announced.as_ref()?.number;
        let since = match self.announced {
            Some((n, since)) if n == number => since,
            _ => {
                self.announced = Some((number, now));
                now
            }
        };
        let waits = self.terms.waits();
        // Leases of an earlier leader are not known here: they have to run out.
        let all_known = now - self.led_since >= waits && !self.over;
        self.leases.remove_expired(now);
        let all_act = self.leases.all_act_on(number);
        (now - since >= waits || all_known && all_act).then_some(number)
    }

    /// When [`Granter::ready`] may change next by time alone; `None`: not any more, or nothing is announced.
    pub fn next_look(&self, now: Micros) -> Option<Micros> {
        let since = self.announced?.1;
        let waits = self.terms.waits();
        [since + waits, self.led_since + waits]
            .into_iter()
            .filter(|t| *t > now)
            .min()
    }

    /// Live leases, and how many of them are of routers that act on the newest revision.
    pub fn counts(&self, now: Micros, ledger: &Ledger) -> (usize, usize) {
        self.leases.live(now, ledger.newest())
    }
}
