//! The leases that a leader has given, kept in each order in which they are looked at: by the router's process, by
//! expiry, and counted by revision. Every call but [`LeaseTable::live`] takes O(log n) for n leases, amortised: a
//! lease that expires is taken out once.

use std::collections::{BTreeMap, BTreeSet};

use spokeflow_core::Micros;

use crate::RevisionNumber;

/// A router's permission to act, by the leader's clock.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    pub until: Micros,
    /// The newest revision that the router has said it acts on.
    pub applied_revision: RevisionNumber,
}

#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// By router's process.
    leases: BTreeMap<u64, Lease>,
    /// Expiry and process of each lease.
    by_expiry: BTreeSet<(Micros, u64)>,
    /// How many leases are of routers that act on a revision; a revision without one is not kept.
    by_revision: BTreeMap<RevisionNumber, usize>,
}

impl LeaseTable {
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// What the router of this process has said it acts on; `None` where it holds no lease.
    pub fn applied_revision(&self, process: u64) -> Option<RevisionNumber> {
        self.leases
            .get(&process)
            .map(|lease| lease.applied_revision)
    }

    /// Gives the process this lease in place of the one it holds, if any.
    pub fn insert(&mut self, process: u64, lease: Lease) {
        if let Some(earlier) = self.leases.insert(process, lease) {
            self.by_expiry.remove(&(earlier.until, process));
            self.uncount(earlier.applied_revision);
        }
        self.by_expiry.insert((lease.until, process));
        *self.by_revision.entry(lease.applied_revision).or_default() += 1;
    }

    /// Takes out every lease that is over by `now`.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some((until, process)) = self.by_expiry.first().copied() {
            if until > now {
                return;
            }
            self.by_expiry.pop_first();
            if let Some(expired) = self.leases.remove(&process) {
                self.uncount(expired.applied_revision);
            }
        }
    }

    /// Whether every router that holds a lease acts on `revision` or a later one.
    pub fn all_applied(&self, revision: RevisionNumber) -> bool {
        self.by_revision
            .first_key_value()
            .is_none_or(|(oldest, _)| *oldest >= revision)
    }

    /// How many leases hold at `now`, and how many of these are of routers that act on `revision` or a later one.
    /// Walks the leases that are over and not taken out yet.
    pub fn live(&self, now: Micros, revision: RevisionNumber) -> (usize, usize) {
        let mut live = self.leases.len();
        let mut acting: usize = self
            .by_revision
            .range(revision..)
            .map(|(_, leases)| leases)
            .sum();
        for (_, process) in self.by_expiry.iter().take_while(|(until, _)| *until <= now) {
            live -= 1;
            acting -= usize::from(self.applied_revision(*process) >= Some(revision));
        }
        (live, acting)
    }

    fn uncount(&mut self, revision: RevisionNumber) {
        let Some(leases) = self.by_revision.get_mut(&revision) else {
            return;
        };
        *leases -= 1;
        if *leases == 0 {
            self.by_revision.remove(&revision);
        }
    }
}
