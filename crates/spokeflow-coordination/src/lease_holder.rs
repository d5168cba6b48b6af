//! A router's side of leases: the revisions that it holds a lease on, and until when by its own clock.

use std::collections::VecDeque;

use spokeflow_core::Micros;

use crate::{
    EndpointListUpdate, KnownRevisions, LeaseConfig, LeaseGrant, LeaseRequest, ListVersion,
    Revision, RevisionNumber, RevisionRef, VoterAddresses,
};

/// Requests whose time of sending is remembered; an answer to an older one gives nothing.
const MAX_OPEN_REQUESTS: usize = 32;
/// Renewals in the time of one lease: two in a row may fail before it expires.
const RENEWALS_PER_LEASE: Micros = 3;

/// The lease of a router.
///
/// Times are microseconds of the router's clock, which never goes back from one call to the next.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    config: LeaseConfig,
    process: u64,
    router: u32,
    /// The oldest first.
    open_requests: VecDeque<OpenRequest>,
    last_request: u64,
    expires_at: Option<Micros>,
    in_force: Revision,
    pending: Option<Revision>,
    applied_revision: RevisionNumber,
    voters: VoterAddresses,
    /// The version of the endpoint list that the router has, where it wants the list.
    list_version: Option<ListVersion>,
    list_update: Option<EndpointListUpdate>,
}

/// A request that is not answered yet.
#[derive(Clone, Debug)]
struct OpenRequest {
    number: u64,
    sent_at: Micros,
}

impl LeaseHolder {
    /// A router that has no lease yet. `process` is a random number of its process, `router` its index in the fleet.
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

    /// Asks for the endpoint list as well, from now on.
    pub fn with_list(mut self) -> Self {
        self.list_version = Some(ListVersion(0));
        self
    }

    /// How often to ask for a renewal.
    pub fn renewal_interval(&self) -> Micros {
        self.config.holder_duration() / RENEWALS_PER_LEASE
    }

    /// When the lease expires; `None` where there never was one.
    pub fn expires_at(&self) -> Option<Micros> {
        self.expires_at
    }

    /// What the last accepted grant said of the endpoint list, once.
    pub fn take_list_update(&mut self) -> Option<EndpointListUpdate> {
        self.list_update.take()
    }

    /// The revision in force.
    pub fn in_force(&self) -> &Revision {
        &self.in_force
    }

    /// The pending revision, which has to be respected beside the one in force.
    pub fn pending(&self) -> Option<&Revision> {
        self.pending.as_ref()
    }

    /// Addresses of the voters, as the leader named them last.
    pub fn voter_addresses(&self) -> &[String] {
        &self.voters.addresses
    }

    /// The number of the newest revision, in force or pending.
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

    /// Notes that all acts from now on respect this revision.
    pub fn set_applied_revision(&mut self, revision: RevisionNumber) {
        self.applied_revision = self.applied_revision.max(revision);
    }

    /// Number and content of a request that is sent now.
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

    /// Accepts the answer to a request. Returns whether lease or revisions have changed: the caller then acts on them
    /// in one step or, where it cannot act on a revision, not on the lease either.
    pub fn on_grant(&mut self, number: u64, grant: LeaseGrant) -> bool {
        let Some(sent_at) = self.close_request(number) else {
            return false;
        };
        // The lease counts from the sending: how long the answer took is not known to the granter.
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

    /// When the open request with this number was sent; it is open no longer.
    fn close_request(&mut self, number: u64) -> Option<Micros> {
        let position = self
            .open_requests
            .iter()
            .position(|request| request.number == number)?;
        let request = self.open_requests.remove(position)?;
        Some(request.sent_at)
    }

    /// Whether a grant gives later revisions, or the same for longer. An answer that was overtaken takes nothing back.
    fn is_newer(&self, grant: &LeaseGrant, expires_at: Micros) -> bool {
        let granted = grant.revisions();
        let known = self.known_revisions();
        let expires_at = Some(expires_at);
        if granted < known || expires_at < self.expires_at {
            return false;
        }
        granted != known || expires_at != self.expires_at
    }

    /// The whole revision, from the grant or from those that the router has.
    fn resolve(&self, reference: &RevisionRef) -> Option<Revision> {
        let known = [Some(&self.in_force), self.pending.as_ref()];
        let known = known
            .into_iter()
            .flatten()
            .find(|revision| revision.number == reference.number);
        reference.revision.as_ref().or(known).cloned()
    }

    /// Keeps what a grant says of the list, where that is newer: versions only grow, so what an overtaken answer says
    /// is known already.
    fn accept_list(&mut self, update: Option<EndpointListUpdate>) {
        let has_older = |update: &EndpointListUpdate| {
            self.list_version
                .is_some_and(|version| update.version > version)
        };
        self.list_update = update.filter(has_older);
        if let Some(update) = &self.list_update {
            self.list_version = Some(update.version);
        }
    }
}
