//! The state that the keepers' log makes. Every keeper that applies the same entries holds the same ledger.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use spokeflow_raft::NodeId;

use crate::{AgreedList, SourceNews};

/// Records and verdicts that are kept.
const KEPT: usize = 500;

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RevisionNo(pub u64);

/// Names of flags without their dashes, and their values as one would write them. What is not named is as each
/// router's own flags say.
pub type Values = BTreeMap<String, String>;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    pub number: RevisionNo,
    pub values: Values,
}

/// A change that somebody wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Offer {
    /// Drawn by whoever offers: the same offer sent again has the same one, and is one offer.
    pub token: u64,
    /// The newest revision that the author knew of, whether in force or announced.
    pub against: RevisionNo,
    pub who: String,
    pub why: String,
    /// Seconds since 1970 by the clock of the keeper that took it: for people, nothing is decided by it.
    pub at_s: u64,
    pub values: Values,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Act {
    Offer(Offer),
    /// By the leading keeper, once no router can act on an earlier revision in a way that contradicts this one.
    InForce {
        revision: RevisionNo,
        at_s: u64,
    },
    /// What the list's source said, as far as it differs.
    List(SourceNews),
    /// The list's source may begin anew.
    TrustList,
    /// Where a keeper is to be found, before it is taken in.
    SetAddress {
        keeper: NodeId,
        address: String,
    },
}

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    Announced(RevisionNo),
    /// It was made against another revision than the newest.
    Stale {
        newest: RevisionNo,
    },
    /// Another one is announced and not in force yet.
    Busy {
        announced: RevisionNo,
    },
}

/// For people: who, when, why.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub revision: Revision,
    pub who: String,
    pub why: String,
    pub offered_s: u64,
    pub in_force_s: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    pub in_force: Revision,
    pub announced: Option<Revision>,
    /// The newest last.
    pub history: VecDeque<Record>,
    /// Where keepers are to be found, also those that do not vote yet.
    pub addresses: BTreeMap<NodeId, String>,
    pub list: AgreedList,
    verdicts: VecDeque<(u64, Verdict)>,
}

impl Ledger {
    /// The newest number, in force or announced.
    pub fn newest(&self) -> RevisionNo {
        self.announced
            .as_ref()
            .map_or(self.in_force.number, |a| a.number)
    }

    /// What became of the offer with this token; `None` where none is known.
    pub fn verdict(&self, token: u64) -> Option<Verdict> {
        self.verdicts
            .iter()
            .rev()
            .find(|v| v.0 == token)
            .map(|v| v.1)
    }

    /// Applies one committed entry.
    pub fn apply(&mut self, act: Act) {
        match act {
            Act::Offer(offer) => self.offered(offer),
            Act::InForce { revision, at_s } => {
                // A second one, from a leader that had not seen the first committed, changes nothing.
                let Some(announced) = self.announced.take_if(|a| a.number == revision) else {
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
            Act::List(news) => self.list.apply(news),
            Act::TrustList => self.list.trust(),
            Act::SetAddress { keeper, address } => {
                self.addresses.insert(keeper, address);
            }
        }
    }

    fn offered(&mut self, offer: Offer) {
        if self.verdict(offer.token).is_some() {
            return;
        }
        let newest = self.newest();
        let verdict = match &self.announced {
            _ if offer.against != newest => Verdict::Stale { newest },
            Some(announced) => Verdict::Busy {
                announced: announced.number,
            },
            None => {
                let revision = Revision {
                    number: RevisionNo(newest.0 + 1),
                    values: offer.values,
                };
                self.announced = Some(revision.clone());
                let (who, why, offered_s) = (offer.who, offer.why, offer.at_s);
                self.history.push_back(Record {
                    revision,
                    who,
                    why,
                    offered_s,
                    in_force_s: None,
                });
                Verdict::Announced(RevisionNo(newest.0 + 1))
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
    pub fn state(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Errors: not a state of this version.
    pub fn restore(state: &[u8]) -> Result<Ledger, String> {
        postcard::from_bytes(state).map_err(|e| format!("the snapshot cannot be read: {e}"))
    }
}

impl Act {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None`: not an act of this version; it changes nothing.
    pub fn read(bytes: &[u8]) -> Option<Act> {
        postcard::from_bytes(bytes).ok()
    }
}
