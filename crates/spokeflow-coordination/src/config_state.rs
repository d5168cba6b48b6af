//! The state machine that the log drives: every control-plane node that applies the same commands has the same state.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use spokeflow_raft::NodeId;

use crate::{
    EndpointList, LogCommand, Proposal, ProposalOutcome, Revision, RevisionNumber, RevisionRecord,
    SnapshotError,
};

/// Records of revisions, and outcomes of proposals, that are kept: the state goes whole into each snapshot.
const MAX_RETAINED_RECORDS: usize = 500;

/// The replicated configuration. The order of fields is the encoding of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigState {
    /// The revision that all routers respect.
    pub in_force: Revision,
    /// The revision that is to come into force.
    pub pending: Option<Revision>,
    /// The newest last.
    pub history: VecDeque<RevisionRecord>,
    /// Addresses of control-plane nodes, also of those that do not vote yet.
    pub addresses: BTreeMap<NodeId, String>,
    /// The endpoint list.
    pub list: EndpointList,
    /// The newest last.
    outcomes: VecDeque<DecidedProposal>,
}

/// What became of the proposal with this token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct DecidedProposal {
    token: u64,
    outcome: ProposalOutcome,
}

impl ConfigState {
    /// The number of the newest revision, in force or pending.
    pub fn newest(&self) -> RevisionNumber {
        self.pending
            .as_ref()
            .map_or(self.in_force.number, |pending| pending.number)
    }

    /// What became of the proposal with this token; `None` where none is known.
    pub fn outcome(&self, token: u64) -> Option<ProposalOutcome> {
        self.outcomes
            .iter()
            .rev()
            .find(|decided| decided.token == token)
            .map(|decided| decided.outcome)
    }

    /// Applies one committed command.
    pub fn apply(&mut self, command: LogCommand) {
        match command {
            LogCommand::Propose(proposal) => self.decide(proposal),
            LogCommand::PutInForce { revision, at_s } => self.put_in_force(revision, at_s),
            LogCommand::UpdateList(update) => self.list.apply(update),
            LogCommand::TrustList => self.list.trust_source(),
            LogCommand::SetAddress { node, address } => {
                self.addresses.insert(node, address);
            }
        }
    }

    fn put_in_force(&mut self, revision: RevisionNumber, at_s: u64) {
        // A second command, from a leader that had not seen the first committed, changes nothing.
        let Some(pending) = self.pending.take_if(|pending| pending.number == revision) else {
            return;
        };
        self.in_force = pending;
        let record = self
            .history
            .iter_mut()
            .find(|record| record.revision.number == revision);
        if let Some(record) = record {
            record.in_force_s = Some(at_s);
        }
    }

    fn decide(&mut self, proposal: Proposal) {
        if self.outcome(proposal.token).is_some() {
            return;
        }
        let token = proposal.token;
        let outcome = self.accept_or_refuse(proposal);
        self.outcomes.push_back(DecidedProposal { token, outcome });
        while self.history.len() > MAX_RETAINED_RECORDS {
            self.history.pop_front();
        }
        while self.outcomes.len() > MAX_RETAINED_RECORDS {
            self.outcomes.pop_front();
        }
    }

    /// Makes the proposal the pending revision, where it is made against the newest and none is pending.
    fn accept_or_refuse(&mut self, proposal: Proposal) -> ProposalOutcome {
        let newest = self.newest();
        if proposal.base != newest {
            return ProposalOutcome::Stale { newest };
        }
        if let Some(pending) = &self.pending {
            let pending = pending.number;
            return ProposalOutcome::Busy { pending };
        }
        let number = RevisionNumber(newest.0 + 1);
        let revision = Revision {
            number,
            values: proposal.values,
        };
        self.pending = Some(revision.clone());
        self.history.push_back(RevisionRecord {
            revision,
            who: proposal.who,
            why: proposal.why,
            proposed_s: proposal.at_s,
            in_force_s: None,
        });
        ProposalOutcome::Pending(number)
    }

    /// The encoded state, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the state of a snapshot.
    ///
    /// # Errors
    ///
    /// It is not a state of this version.
    pub fn decode(state: &[u8]) -> Result<ConfigState, SnapshotError> {
        Ok(postcard::from_bytes(state)?)
    }
}
