//! The router's side of leases: the revisions that it holds a lease on, and when the lease expires by its own clock.

use std::collections::VecDeque;

use spokeflow_core::Micros;

use crate::{
    EndpointListUpdate, KnownRevisions, LeaseConfig, LeaseGrant, LeaseRequest, ListVersion,
    Revision, RevisionNumber, RevisionRef, VoterAddresses,
};

/// Maximum number of requests whose sending time is remembered. A grant in answer to an older request is ignored.
const MAX_OPEN_REQUESTS: usize = 32;
/// Number of renewals within one lease duration, so that a lease survives two failed renewals in a row.
const RENEWALS_PER_LEASE: Micros = 3;

/// The lease of a router.
///
/// Times are microseconds of the router's clock, which must never go back from one call to the next.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    config: LeaseConfig,
    process: u64,
    router: u32,
    /// Requests that are not answered yet, oldest first.
    open_requests: VecDeque<OpenRequest>,
    last_request: u64,
    expires_at: Option<Micros>,
    in_force: Revision,
    pending: Option<Revision>,
    applied_revision: RevisionNumber,
    voters: VoterAddresses,
    /// The version of the endpoint list that the router has; `None` if it does not get the list from the control plane.
    list_version: Option<ListVersion>,
    /// The list update of the last accepted grant, until it is taken.
    list_update: Option<EndpointListUpdate>,
}

/// A request that is not answered yet, and when it was sent.
#[derive(Clone, Debug)]
struct OpenRequest {
    number: u64,
    sent_at: Micros,
}

impl LeaseHolder {
    /// Creates the holder of a router that has no lease yet. `process` is a random number that identifies the router's
    /// process, `router` is the router's index in the fleet.
    pub fn new(config: LeaseConfig, process: u64, router: u32) -> Self {
        LeaseHolder {
            config,
            process,
            router,
            open_requests: VecDeque::new(),
            last_request: 0,
            expires_at: None,
            in_force: Revision::default(),
            pending: None,
            applied_revision: RevisionNumber(0),
            voters: VoterAddresses::default(),
            list_version: None,
            list_update: None,
        }
    }

    /// Makes all requests ask for the endpoint list as well.
    pub fn with_list(mut self) -> Self {
        self.list_version = Some(ListVersion(0));
        self
    }

    /// Returns the time between two requests to renew the lease.
    pub fn renewal_interval(&self) -> Micros {
        self.config.holder_duration() / RENEWALS_PER_LEASE
    }

    /// Returns when the lease expires or has expired; `None` if there never was one.
    pub fn expires_at(&self) -> Option<Micros> {
        self.expires_at
    }

    /// Takes the endpoint list update of the last accepted grant; `None` if it had none or it was taken already.
    pub fn take_list_update(&mut self) -> Option<EndpointListUpdate> {
        self.list_update.take()
    }

    /// Returns the revision in force.
    pub fn in_force(&self) -> &Revision {
        &self.in_force
    }

    /// Returns the pending revision, which the router has to respect besides the one in force.
    pub fn pending(&self) -> Option<&Revision> {
        self.pending.as_ref()
    }

    /// Returns the addresses of the voters, as the leader sent them last.
    pub fn voter_addresses(&self) -> &[String] {
        &self.voters.addresses
    }

    /// Returns the number of the newest revision, in force or pending.
    pub fn newest(&self) -> RevisionNumber {
        self.pending
            .as_ref()
            .map_or(self.in_force.number, |pending| pending.number)
    }

    fn known_revisions(&self) -> KnownRevisions {
        KnownRevisions {
            in_force: self.in_force.number,
            newest: self.newest(),
        }
    }

    /// Records that all actions of the router from now on respect this revision.
    pub fn set_applied_revision(&mut self, revision: RevisionNumber) {
        self.applied_revision = self.applied_revision.max(revision);
    }

    /// Creates a request that is sent at `now`. Returns its number and content.
    pub fn request(&mut self, now: Micros) -> (u64, LeaseRequest) {
        self.last_request += 1;
        self.open_requests.push_back(OpenRequest {
            number: self.last_request,
            sent_at: now,
        });
        if self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
        let request = LeaseRequest {
            process: self.process,
            router: self.router,
            known_revisions: self.known_revisions(),
            applied_revision: self.applied_revision,
            voters_fingerprint: self.voters.fingerprint,
            list: self.list_version,
        };
        (self.last_request, request)
    }

    /// Handles the grant that answers a request. Returns whether the lease or the revisions have changed. The caller
    /// must then apply both in one step; if it cannot apply a revision, it must not act on the lease either.
    pub fn on_grant(&mut self, number: u64, grant: LeaseGrant) -> bool {
        let Some(sent_at) = self.close_request(number) else {
            return false;
        };
        // The lease counts from the sending of the request, as the granter does not know when its answer arrives.
        let expires_at = sent_at + self.config.holder_duration();
        if !self.is_newer(&grant, expires_at) {
            return false;
        }
        let Some(in_force) = self.resolve(&grant.in_force) else {
            return false;
        };
        let pending = match grant.pending.as_ref().map(|known| self.resolve(known)) {
            Some(None) => return false,
            Some(resolved) => resolved,
            None => None,
        };
        self.in_force = in_force;
        self.pending = pending;
        self.expires_at = Some(expires_at);
        if let Some(voters) = grant.voters {
            self.voters = voters;
        }
        self.accept_list(grant.list);
        true
    }

    /// Closes the open request with this number and returns when it was sent; `None` if there is no such request.
    fn close_request(&mut self, number: u64) -> Option<Micros> {
        let position = self
            .open_requests
            .iter()
            .position(|request| request.number == number)?;
        let request = self.open_requests.remove(position)?;
        Some(request.sent_at)
    }

    /// Whether a grant has later revisions, or the same ones with a later expiry. A grant that arrives out of order
    /// must not undo a newer one.
    fn is_newer(&self, grant: &LeaseGrant, expires_at: Micros) -> bool {
        let granted = grant.revisions();
        let known = self.known_revisions();
        let expires_at = Some(expires_at);
        if granted < known || expires_at < self.expires_at {
            return false;
        }
        granted != known || expires_at != self.expires_at
    }

    /// Returns the whole revision from the grant or, if it has only the number, from the revisions that the router has.
    fn resolve(&self, reference: &RevisionRef) -> Option<Revision> {
        let known = [Some(&self.in_force), self.pending.as_ref()];
        let known = known
            .into_iter()
            .flatten()
            .find(|revision| revision.number == reference.number);
        reference.revision.as_ref().or(known).cloned()
    }

    /// Keeps the list update of a grant if its version is newer. Versions only grow, so an update that arrives out of
    /// order is known already.
    fn accept_list(&mut self, update: Option<EndpointListUpdate>) {
        let is_newer = |update: &EndpointListUpdate| {
            self.list_version
                .is_some_and(|version| update.version > version)
        };
        self.list_update = update.filter(is_newer);
        if let Some(update) = &self.list_update {
            self.list_version = Some(update.version);
        }
    }
}
