//! Lease requests of routers, and the grants that answer them. The binary encoding depends on the order of fields,
//! which must not change.

use serde::{Deserialize, Serialize};

use crate::{EndpointListUpdate, ListVersion, Revision, RevisionNumber};

/// A router's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Random number that identifies the router's process.
    pub process: u64,
    /// Index of the router in its fleet.
    pub router: u32,
    /// The revisions whose full content the router has.
    pub known_revisions: KnownRevisions,
    /// The newest revision that all actions of the router now respect.
    pub applied_revision: RevisionNumber,
    /// Fingerprint of the voters' addresses that the router has.
    pub voters_fingerprint: u64,
    /// The version of the endpoint list that the router has; `None` if it does not get the list from the control plane.
    pub list: Option<ListVersion>,
}

/// The revisions whose full content a router has, or that a grant names. Ordered by age: by the revision in force, then
/// by the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownRevisions {
    /// The revision in force.
    pub in_force: RevisionNumber,
    /// The pending revision, or the one in force if none is pending.
    pub newest: RevisionNumber,
}

impl KnownRevisions {
    pub(crate) fn contains(&self, revision: RevisionNumber) -> bool {
        self.in_force == revision || self.newest == revision
    }
}

/// A lease that starts when its request was sent. The router may act on the revision in force or, if another revision
/// is pending, on the stricter of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The revision in force.
    pub in_force: RevisionRef,
    /// The pending revision; `None` if there is none.
    pub pending: Option<RevisionRef>,
    /// Addresses of the voters; `None` if the router has the same.
    pub voters: Option<VoterAddresses>,
    /// The part of the endpoint list that the router lacks; `None` if it lacks nothing or did not ask for the list.
    pub list: Option<EndpointListUpdate>,
}

impl LeaseGrant {
    /// Returns the revisions that the grant names.
    pub(crate) fn revisions(&self) -> KnownRevisions {
        let in_force = self.in_force.number;
        KnownRevisions {
            in_force,
            newest: self
                .pending
                .as_ref()
                .map_or(in_force, |pending| pending.number),
        }
    }
}

/// A reference to a revision, with its content if the router does not have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRef {
    /// Number of the revision.
    pub number: RevisionNumber,
    /// The whole revision; `None` if the router has it.
    pub revision: Option<Revision>,
}

/// Addresses of the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterAddresses {
    /// CRC-32 of the addresses plus 1; 0 if there is no list yet.
    pub fingerprint: u64,
    /// The addresses, each with a port.
    pub addresses: Vec<String>,
}

impl From<Vec<String>> for VoterAddresses {
    fn from(addresses: Vec<String>) -> Self {
        let checksum = crc32fast::hash(addresses.join(" ").as_bytes());
        VoterAddresses {
            fingerprint: u64::from(checksum) + 1,
            addresses,
        }
    }
}
