//! The leader's side of leases: who holds one, and when the pending revision may come into force.

use spokeflow_core::Micros;

use crate::lease_table::{Lease, LeaseTable};
use crate::{
    ConfigState, LeaseConfig, LeaseCounts, LeaseGrant, LeaseRequest, Revision, RevisionNumber,
    RevisionRef, VoterAddresses,
};

/// Routers whose leases are tracked, to bound the memory; with more, a pending revision waits for time alone.
const MAX_TRACKED_LEASES: usize = 8192;

/// Grants leases for one leadership: a node that is elected again begins with a new one.
///
/// Times are microseconds of the leader's clock, which never goes back from one call to the next.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    config: LeaseConfig,
    /// From when on nobody else can have granted leases.
    leader_since: Micros,
    pending: Option<PendingSince>,
    leases: LeaseTable,
    /// Whether there are leases that are not tracked.
    has_untracked: bool,
}

/// The pending revision, and when it was first seen.
#[derive(Clone, Copy, Debug)]
struct PendingSince {
    number: RevisionNumber,
    since: Micros,
}

impl LeaseGranter {
    /// A granter of a node that leads from `now` on.
    pub fn new(config: LeaseConfig, now: Micros) -> Self {
        LeaseGranter {
            config,
            leader_since: now,
            pending: None,
            leases: LeaseTable::default(),
            has_untracked: false,
        }
    }

    /// Grants a lease. Only to be called by a leader that has its own lease at this moment.
    pub fn grant(
        &mut self,
        now: Micros,
        request: &LeaseRequest,
        state: &ConfigState,
        voters: &VoterAddresses,
    ) -> LeaseGrant {
        self.track(now, request);
        let reference = |revision: &Revision| {
            let is_known = request.known_revisions.contains(revision.number);
            RevisionRef {
                number: revision.number,
                revision: (!is_known).then(|| revision.clone()),
            }
        };
        let knows_voters = request.voters_fingerprint == voters.fingerprint;
        LeaseGrant {
            in_force: reference(&state.in_force),
            pending: state.pending.as_ref().map(reference),
            voters: (!knows_voters).then(|| voters.clone()),
            list: request
                .list
                .and_then(|version| state.list.update_since(version)),
        }
    }

    /// Notes the lease that is about to be granted.
    fn track(&mut self, now: Micros, request: &LeaseRequest) {
        self.leases.remove_expired(now);
        let known = self.leases.applied_revision(request.process);
        let known = known.unwrap_or_default();
        if known == RevisionNumber(0) && self.leases.len() >= MAX_TRACKED_LEASES {
            self.has_untracked = true;
            return;
        }
        let lease = Lease {
            expires_at: now + self.config.granter_duration(),
            // Requests overtake each other: a revision that a router has applied once stays applied.
            applied_revision: request.applied_revision.max(known),
        };
        self.leases.insert(request.process, lease);
    }

    /// The pending revision, where every lease that was granted without it has expired or its router has applied it
    /// since.
    pub fn ready_revision(&mut self, now: Micros, state: &ConfigState) -> Option<RevisionNumber> {
        let number = state.pending.as_ref()?.number;
        let since = self.pending_since(number, now);
        let lease = self.config.granter_duration();
        // Leases of an earlier leader are not known here: they have to expire.
        let all_known = now - self.leader_since >= lease && !self.has_untracked;
        self.leases.remove_expired(now);
        let all_applied = self.leases.all_applied(number);
        let is_ready = now - since >= lease || all_known && all_applied;
        is_ready.then_some(number)
    }

    /// When this pending revision was first seen, which is now where it is a new one.
    fn pending_since(&mut self, number: RevisionNumber, now: Micros) -> Micros {
        let known = self.pending.filter(|pending| pending.number == number);
        let pending = known.unwrap_or(PendingSince { number, since: now });
        self.pending = Some(pending);
        pending.since
    }

    /// When [`LeaseGranter::ready_revision`] may change next by time alone; `None` where it will not any more, or
    /// nothing is pending.
    pub fn next_check(&self, now: Micros) -> Option<Micros> {
        let lease = self.config.granter_duration();
        let pending_lease_end = self.pending?.since + lease;
        let first_lease_end = self.leader_since + lease;
        [pending_lease_end, first_lease_end]
            .into_iter()
            .filter(|end| *end > now)
            .min()
    }

    /// Leases that are live at `now`.
    pub fn lease_counts(&self, now: Micros, state: &ConfigState) -> LeaseCounts {
        self.leases.live(now, state.newest())
    }
}
