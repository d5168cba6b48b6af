//! What a router asks for a lease with, and what it is granted. The order of fields is their encoding.

use serde::{Deserialize, Serialize};

use crate::{EndpointListUpdate, ListVersion, Revision, RevisionNumber};

/// What a router asks for a lease with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Random number of the router's process.
    pub process: u64,
    /// Index of the router in its fleet.
    pub router: u32,
    /// The revisions that it has whole.
    pub known_revisions: KnownRevisions,
    /// The newest revision that every one of its acts now respects.
    pub applied_revision: RevisionNumber,
    /// Fingerprint of the voters' addresses that it has.
    pub voters_fingerprint: u64,
    /// The version of the endpoint list that it has, where it wants the list from the control plane.
    pub list: Option<ListVersion>,
}

/// The revisions that a router has whole, or that a grant names. Ordered by age: the one in force first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownRevisions {
    /// The revision in force.
    pub in_force: RevisionNumber,
    /// The pending revision, or the one in force where none is pending.
    pub newest: RevisionNumber,
}

impl KnownRevisions {
    pub(crate) fn contains(&self, revision: RevisionNumber) -> bool {
        self.in_force == revision || self.newest == revision
    }
}

/// A lease, from the moment at which it was asked for: on the revision in force and, where another is pending, on the
/// stricter of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The revision in force.
    pub in_force: RevisionRef,
    /// The pending revision.
    pub pending: Option<RevisionRef>,
    /// Addresses of the voters, where the router has others.
    pub voters: Option<VoterAddresses>,
    /// What the router lacks of the endpoint list, where it wants it.
    pub list: Option<EndpointListUpdate>,
}

impl LeaseGrant {
    /// The revisions that it names.
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

/// A revision, whole where the router does not have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRef {
    /// Its number.
    pub number: RevisionNumber,
    /// The whole of it, where the router lacks it.
    pub revision: Option<Revision>,
}

/// Addresses of the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterAddresses {
    /// Tells two such lists apart; 0 for none.
    pub fingerprint: u64,
    /// Each with a port.
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
