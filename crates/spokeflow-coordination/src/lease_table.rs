//! The leases that a leader has granted, indexed by the router's process and by expiry, and counted by revision. Every
//! call except [`LeaseTable::counts`] takes amortised O(log n) for n leases, as each expired lease is removed once.

use std::collections::{BTreeMap, BTreeSet};

use spokeflow_core::Micros;

use crate::RevisionNumber;

/// A lease of a router, as the leader tracks it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) expires_at: Micros,
    /// The newest revision that the router has applied.
    pub(crate) applied_revision: RevisionNumber,
}

/// Number of live leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// All live leases.
    pub live: usize,
    /// Live leases of routers that have applied the newest revision.
    pub up_to_date: usize,
}

/// The leases that a leader has granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    /// By the router's process, its lease.
    leases: BTreeMap<u64, Lease>,
    /// Expiry and process of each lease.
    by_expiry: BTreeSet<(Micros, u64)>,
    /// By the revision that its router has applied last, the number of leases. Revisions with no lease are removed.
    by_revision: BTreeMap<RevisionNumber, usize>,
}

impl LeaseTable {
    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns the newest revision that the router of this process has applied; `None` if it holds no lease.
    pub(crate) fn applied_revision(&self, process: u64) -> Option<RevisionNumber> {
        self.leases
            .get(&process)
            .map(|lease| lease.applied_revision)
    }

    /// Inserts the lease of a process, in place of its earlier lease, if any.
    pub(crate) fn insert(&mut self, process: u64, lease: Lease) {
        if let Some(earlier) = self.leases.insert(process, lease) {
            self.by_expiry.remove(&(earlier.expires_at, process));
            self.decrement_revision_count(earlier.applied_revision);
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
                self.decrement_revision_count(expired.applied_revision);
            }
        }
    }

    /// Whether every router that holds a lease has applied `revision` or a later one.
    pub(crate) fn all_applied(&self, revision: RevisionNumber) -> bool {
        self.by_revision
            .first_key_value()
            .is_none_or(|(oldest, _)| *oldest >= revision)
    }

    /// Counts the leases that are live at `now`, and those of them whose routers have applied `revision` or a later
    /// one. Iterates over the leases that have expired and are not removed yet.
    pub(crate) fn counts(&self, now: Micros, revision: RevisionNumber) -> LeaseCounts {
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

    fn decrement_revision_count(&mut self, revision: RevisionNumber) {
        let Some(leases) = self.by_revision.get_mut(&revision) else {
            return;
        };
        *leases -= 1;
        if *leases == 0 {
            self.by_revision.remove(&revision);
        }
    }
}
