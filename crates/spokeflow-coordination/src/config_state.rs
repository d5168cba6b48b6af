//! The state that the keepers' log makes. Every keeper that applies the same entries holds the same ledger.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use spokeflow_raft::NodeId;

use crate::{EndpointList, SourceUpdate};

/// Records and verdicts that are kept.
const KEPT: usize = 500;

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RevisionNumber(pub u64);

/// Names of flags without their dashes, and their values as one would write them. What is not named is as each
/// router's own flags say.
pub type Overrides = BTreeMap<String, String>;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    pub number: RevisionNumber,
    pub values: Overrides,
}

/// A change that somebody wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Drawn by whoever offers: the same offer sent again has the same one, and is one offer.
    pub token: u64,
    /// The newest revision that the author knew of, whether in force or announced.
    pub base: RevisionNumber,
    pub who: String,
    pub why: String,
    /// Seconds since 1970 by the clock of the keeper that took it: for people, nothing is decided by it.
    pub at_s: u64,
    pub values: Overrides,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogCommand {
    Propose(Proposal),
    /// By the leading keeper, once no router can act on an earlier revision in a way that contradicts this one.
    PutInForce {
        revision: RevisionNumber,
        at_s: u64,
    },
    /// What the list's source said, as far as it differs.
    UpdateList(SourceUpdate),
    /// The list's source may begin anew.
    TrustList,
    /// Where a keeper is to be found, before it is taken in.
    SetAddress {
        node: NodeId,
        address: String,
    },
}

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    Pending(RevisionNumber),
    /// It was made against another revision than the newest.
    Stale {
        newest: RevisionNumber,
    },
    /// Another one is announced and not in force yet.
    Busy {
        pending: RevisionNumber,
    },
}

/// For people: who, when, why.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RevisionRecord {
    pub revision: Revision,
    pub who: String,
    pub why: String,
    /// Under its earlier name in JSON, which scripts read.
    #[serde(rename = "offered_s")]
    pub proposed_s: u64,
    pub in_force_s: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigState {
    pub in_force: Revision,
    pub pending: Option<Revision>,
    /// The newest last.
    pub history: VecDeque<RevisionRecord>,
    /// Where keepers are to be found, also those that do not vote yet.
    pub addresses: BTreeMap<NodeId, String>,
    pub list: EndpointList,
    verdicts: VecDeque<(u64, ProposalOutcome)>,
}

impl ConfigState {
    /// The newest number, in force or announced.
    pub fn newest(&self) -> RevisionNumber {
        self.pending
            .as_ref()
            .map_or(self.in_force.number, |a| a.number)
    }

    /// What became of the offer with this token; `None` where none is known.
    pub fn outcome(&self, token: u64) -> Option<ProposalOutcome> {
        self.verdicts
            .iter()
            .rev()
            .find(|v| v.0 == token)
            .map(|v| v.1)
    }

    /// Applies one committed entry.
    pub fn apply(&mut self, act: LogCommand) {
        match act {
            LogCommand::Propose(offer) => self.offered(offer),
            LogCommand::PutInForce { revision, at_s } => {
                // A second one, from a leader that had not seen the first committed, changes nothing.
                let Some(announced) = self.pending.take_if(|a| a.number == revision) else {
                    return;
                };
                self.in_force = announced;
                if let Some(record) = self
                    .history
                    .iter_mut()
                    .find(|r| r.revision.number == revision)
                {
                    record.in_force_s = Some(at_s);
                }
            }
            LogCommand::UpdateList(news) => self.list.apply(news),
            LogCommand::TrustList => self.list.trust_source(),
            LogCommand::SetAddress {
                node: keeper,
                address,
            } => {
                self.addresses.insert(keeper, address);
            }
        }
    }

    fn offered(&mut self, offer: Proposal) {
        if self.outcome(offer.token).is_some() {
            return;
        }
        let newest = self.newest();
        let verdict = match &self.pending {
            _ if offer.base != newest => ProposalOutcome::Stale { newest },
            Some(announced) => ProposalOutcome::Busy {
                pending: announced.number,
            },
            None => {
                let revision = Revision {
                    number: RevisionNumber(newest.0 + 1),
                    values: offer.values,
                };
                self.pending = Some(revision.clone());
                let (who, why, offered_s) = (offer.who, offer.why, offer.at_s);
                self.history.push_back(RevisionRecord {
                    revision,
                    who,
                    why,
                    proposed_s: offered_s,
                    in_force_s: None,
                });
                ProposalOutcome::Pending(RevisionNumber(newest.0 + 1))
            }
        };
        self.verdicts.push_back((offer.token, verdict));
        while self.history.len() > KEPT {
            self.history.pop_front();
        }
        while self.verdicts.len() > KEPT {
            self.verdicts.pop_front();
        }
    }

    /// As bytes, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Errors: not a state of this version.
    pub fn decode(state: &[u8]) -> Result<ConfigState, String> {
        postcard::from_bytes(state).map_err(|e| format!("the snapshot cannot be read: {e}"))
    }
}

impl LogCommand {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None`: not an act of this version; it changes nothing.
    pub fn decode(bytes: &[u8]) -> Option<LogCommand> {
        postcard::from_bytes(bytes).ok()
    }
}
