//! The leases that a leader has granted, in each order in which they are looked at: by the router's process, by
//! expiry, and counted by revision. Every call but [`LeaseTable::live`] takes O(log n) for n leases, amortised: a
//! lease that expires is taken out once.

use std::collections::{BTreeMap, BTreeSet};

use spokeflow_core::Micros;

use crate::RevisionNumber;

/// A router's permission to act.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) expires_at: Micros,
    /// The newest revision that the router has applied.
    pub(crate) applied_revision: RevisionNumber,
}

/// How many leases are live.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// All of them.
    pub live: usize,
    /// Those of routers that have applied the newest revision.
    pub up_to_date: usize,
}

/// The leases that a leader has granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    /// By router's process.
    leases: BTreeMap<u64, Lease>,
    /// Expiry and router's process of each lease.
    by_expiry: BTreeSet<(Micros, u64)>,
    /// By revision, how many leases are of routers that have applied it; a revision without any is not kept.
    by_revision: BTreeMap<RevisionNumber, usize>,
}

impl LeaseTable {
    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    /// The newest revision that the router of this process has applied; `None` where it holds no lease.
    pub(crate) fn applied_revision(&self, process: u64) -> Option<RevisionNumber> {
        self.leases
            .get(&process)
            .map(|lease| lease.applied_revision)
    }

    /// Gives the process this lease in place of the one it holds, if any.
    pub(crate) fn insert(&mut self, process: u64, lease: Lease) {
        if let Some(earlier) = self.leases.insert(process, lease) {
            self.by_expiry.remove(&(earlier.expires_at, process));
            self.uncount(earlier.applied_revision);
        }
        self.by_expiry.insert((lease.expires_at, process));
        *self.by_revision.entry(lease.applied_revision).or_default() += 1;
    }

    /// Removes every lease that has expired by `now`.
    pub(crate) fn remove_expired(&mut self, now: Micros) {
        while let Some((expires_at, process)) = self.by_expiry.first().copied() {
            if expires_at > now {
                return;
            }
            self.by_expiry.pop_first();
            if let Some(expired) = self.leases.remove(&process) {
                self.uncount(expired.applied_revision);
            }
        }
    }

    /// Whether every router that holds a lease has applied `revision` or a later one.
    pub(crate) fn all_applied(&self, revision: RevisionNumber) -> bool {
        self.by_revision
            .first_key_value()
            .is_none_or(|(oldest, _)| *oldest >= revision)
    }

    /// How many leases are live at `now`, and how many of these are of routers that have applied `revision` or a later
    /// one. Walks the leases that have expired and are not removed yet.
    pub(crate) fn live(&self, now: Micros, revision: RevisionNumber) -> LeaseCounts {
        let mut counts = LeaseCounts {
            live: self.leases.len(),
            up_to_date: self
                .by_revision
                .range(revision..)
                .map(|(_, leases)| leases)
                .sum(),
        };
        let expired = self.by_expiry.iter();
        let expired = expired.take_while(|(expires_at, _)| *expires_at <= now);
        for (_, process) in expired {
            counts.live -= 1;
            let is_up_to_date = self.applied_revision(*process) >= Some(revision);
            counts.up_to_date -= usize::from(is_up_to_date);
        }
        counts
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
