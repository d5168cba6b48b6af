//! The leading keeper's side: who holds a lease, and when the announced revision may come into force.

use serde::{Deserialize, Serialize};
use spokeflow_core::Micros;

use crate::lease_table::{Lease, LeaseTable};
use crate::{ConfigState, EndpointListUpdate, LeaseConfig, LeaseRequest, Revision, RevisionNumber};

/// Routers whose leases are kept in mind; beyond, an announced revision waits for time alone.
const LEASES_AT_MOST: usize = 8192;

/// A revision, whole where the router does not have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRef {
    pub number: RevisionNumber,
    pub revision: Option<Revision>,
}

/// A lease, from the moment at which it was asked for: on the revision in force, and, where another is announced,
/// on the stricter of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    pub in_force: RevisionRef,
    pub pending: Option<RevisionRef>,
    /// Where the keepers that vote are to be found, where the router has it otherwise.
    pub voters: Option<VoterAddresses>,
    /// What the router lacks of the list, where it wants it.
    pub list: Option<EndpointListUpdate>,
}

/// Addresses of keepers, and a number by which two such lists are told apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterAddresses {
    pub fingerprint: u64,
    pub addresses: Vec<String>,
}

/// All figures are of the present leadership: a keeper that is elected anew begins with none. Times are of the keeper's
/// clock, which never goes back from one call to the next.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    terms: LeaseConfig,
    /// From when on nobody else can have given leases.
    led_since: Micros,
    announced: Option<(RevisionNumber, Micros)>,
    leases: LeaseTable,
    over: bool,
}

impl LeaseGranter {
    pub fn new(terms: LeaseConfig, now: Micros) -> Self {
        LeaseGranter {
            terms,
            led_since: now,
            announced: None,
            leases: LeaseTable::default(),
            over: false,
        }
    }

    /// To be called by a leader that speaks at this moment, only.
    pub fn grant(
        &mut self,
        now: Micros,
        asked: &LeaseRequest,
        ledger: &ConfigState,
        seats: &VoterAddresses,
    ) -> LeaseGrant {
        self.leases.remove_expired(now);
        let until = now + self.terms.granter_duration();
        let known = self
            .leases
            .applied_revision(asked.process)
            .unwrap_or(RevisionNumber(0));
        if known == RevisionNumber(0) && self.leases.len() >= LEASES_AT_MOST {
            self.over = true;
        } else {
            // Messages overtake each other: what a router has once said it acts on stays said.
            let lease = Lease {
                until,
                applied_revision: asked.applied_revision.max(known),
            };
            self.leases.insert(asked.process, lease);
        }
        let tell = |revision: &Revision| RevisionRef {
            number: revision.number,
            revision: (!asked.known_revisions.contains(&revision.number)).then(|| revision.clone()),
        };
        let (in_force, announced) = (tell(&ledger.in_force), ledger.pending.as_ref().map(tell));
        let list = asked.list.and_then(|have| ledger.list.update_since(have));
        LeaseGrant {
            in_force,
            pending: announced,
            voters: (asked.voters_fingerprint != seats.fingerprint).then(|| seats.clone()),
            list,
        }
    }

    /// The announced revision, where every lease that was given without it is over, or its router has since said
    /// that it acts on it.
    pub fn ready_revision(&mut self, now: Micros, ledger: &ConfigState) -> Option<RevisionNumber> {
        let number = ledger.pending.as_ref()?.number;
        let since = match self.announced {
            Some((n, since)) if n == number => since,
            _ => {
                self.announced = Some((number, now));
                now
            }
        };
        let waits = self.terms.granter_duration();
        // Leases of an earlier leader are not known here: they have to run out.
        let all_known = now - self.led_since >= waits && !self.over;
        self.leases.remove_expired(now);
        let all_act = self.leases.all_applied(number);
        (now - since >= waits || all_known && all_act).then_some(number)
    }

    /// When [`LeaseGranter::ready_revision`] may change next by time alone; `None`: not any more, or nothing is announced.
    pub fn next_check(&self, now: Micros) -> Option<Micros> {
        let since = self.announced?.1;
        let waits = self.terms.granter_duration();
        [since + waits, self.led_since + waits]
            .into_iter()
            .filter(|t| *t > now)
            .min()
    }

    /// Live leases, and how many of them are of routers that act on the newest revision.
    pub fn lease_counts(&self, now: Micros, ledger: &ConfigState) -> (usize, usize) {
        self.leases.live(now, ledger.newest())
    }
}
