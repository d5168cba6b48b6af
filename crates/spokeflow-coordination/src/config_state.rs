//! The replicated state machine: all control-plane nodes that apply the same commands have the same state.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use spokeflow_raft::NodeId;

use crate::{
    EndpointList, LogCommand, Proposal, ProposalOutcome, Revision, RevisionNumber, RevisionRecord,
    SnapshotError,
};

/// Maximum number of revision records, and of proposal outcomes, that are kept. Bounded because each snapshot holds the
/// whole state.
const MAX_RETAINED_RECORDS: usize = 500;

/// The replicated configuration. The binary encoding in snapshots depends on the order of fields, which must not
/// change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigState {
    /// The revision in force, which all routers respect.
    pub in_force: Revision,
    /// The revision that will be put in force next; `None` if none is pending.
    pub pending: Option<Revision>,
    /// Records of revisions, the newest last.
    pub history: VecDeque<RevisionRecord>,
    /// Registered addresses of control-plane nodes, including nodes that are not voters yet.
    pub addresses: BTreeMap<NodeId, String>,
    /// The endpoint list.
    pub list: EndpointList,
    /// Outcomes of proposals, the newest last.
    outcomes: VecDeque<DecidedProposal>,
}

/// Token and outcome of a decided proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct DecidedProposal {
    token: u64,
    outcome: ProposalOutcome,
}

impl ConfigState {
    /// Returns the number of the newest revision, in force or pending.
    pub fn newest(&self) -> RevisionNumber {
        self.pending
            .as_ref()
            .map_or(self.in_force.number, |pending| pending.number)
    }

    /// Returns the outcome of the proposal with this token; `None` if none is known.
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
            LogCommand::TrustList => self.list.reset_source_version(),
            LogCommand::SetAddress { node, address } => {
                self.addresses.insert(node, address);
            }
        }
    }

    fn put_in_force(&mut self, revision: RevisionNumber, at_s: u64) {
        // A second command for the same revision, from a leader that had not seen the first one committed, has no
        // effect.
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

    /// Makes the proposal the pending revision, if it is based on the newest revision and none is pending.
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

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the state of a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes do not hold a state that this version can decode.
    pub fn decode(state: &[u8]) -> Result<ConfigState, SnapshotError> {
        Ok(postcard::from_bytes(state)?)
    }
}
