//! The leader's side of leases: which routers hold one, and when the pending revision may be put in force.

use spokeflow_core::Micros;

use crate::lease_table::{Lease, LeaseTable};
use crate::{
    ConfigState, LeaseConfig, LeaseCounts, LeaseGrant, LeaseRequest, Revision, RevisionNumber,
    RevisionRef, VoterAddresses,
};

/// Maximum number of leases that are tracked, to bound the memory. Once there were more, a pending revision is ready
/// only after a whole lease duration.
const MAX_TRACKED_LEASES: usize = 8192;

/// Grants leases in one term of a leader. A node that is elected again needs a new granter.
///
/// Times are microseconds of the leader's clock, which must never go back from one call to the next.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    config: LeaseConfig,
    /// Time from which on no other node can have granted leases.
    leader_since: Micros,
    pending: Option<PendingSince>,
    leases: LeaseTable,
    /// Whether there are leases that are not tracked.
    has_untracked: bool,
}

/// The pending revision, and when this granter first saw it.
#[derive(Clone, Copy, Debug)]
struct PendingSince {
    number: RevisionNumber,
    since: Micros,
}

impl LeaseGranter {
    /// Creates the granter of a node that is the leader from `now` on.
    pub fn new(config: LeaseConfig, now: Micros) -> Self {
        LeaseGranter {
            config,
            leader_since: now,
            pending: None,
            leases: LeaseTable::default(),
            has_untracked: false,
        }
    }

    /// Grants a lease. The caller must be the leader and must hold its leader lease at `now`.
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

    /// Records the lease that is about to be granted.
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
            // Requests may arrive out of order: a router never goes back behind a revision that it has applied.
            applied_revision: request.applied_revision.max(known),
        };
        self.leases.insert(request.process, lease);
    }

    /// Returns the pending revision if it may be put in force: every lease that was granted without it has expired, or
    /// its router has applied the revision since.
    pub fn ready_revision(&mut self, now: Micros, state: &ConfigState) -> Option<RevisionNumber> {
        let number = state.pending.as_ref()?.number;
        let since = self.pending_since(number, now);
        let lease = self.config.granter_duration();
        // Leases that an earlier leader granted are not known to this granter, so they have to expire first.
        let all_known = now - self.leader_since >= lease && !self.has_untracked;
        self.leases.remove_expired(now);
        let all_applied = self.leases.all_applied(number);
        let is_ready = now - since >= lease || all_known && all_applied;
        is_ready.then_some(number)
    }

    /// Returns when this pending revision was first seen, which is `now` if it is a new one.
    fn pending_since(&mut self, number: RevisionNumber, now: Micros) -> Micros {
        let known = self.pending.filter(|pending| pending.number == number);
        let pending = known.unwrap_or(PendingSince { number, since: now });
        self.pending = Some(pending);
        pending.since
    }

    /// Returns when the result of [`LeaseGranter::ready_revision`] may next change by the passing of time; `None` if it
    /// cannot, or if no revision is pending.
    pub fn next_check(&self, now: Micros) -> Option<Micros> {
        let lease = self.config.granter_duration();
        let pending_lease_end = self.pending?.since + lease;
        let first_lease_end = self.leader_since + lease;
        [pending_lease_end, first_lease_end]
            .into_iter()
            .filter(|end| *end > now)
            .min()
    }

    /// Counts the leases that are live at `now`, and those of routers that have applied the newest revision.
    pub fn lease_counts(&self, now: Micros, state: &ConfigState) -> LeaseCounts {
        self.leases.counts(now, state.newest())
    }
}
