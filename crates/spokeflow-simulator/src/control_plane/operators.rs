//! The operator: proposes revisions, and adds and removes voters.

use rand::RngExt;
use spokeflow_coordination::wire::Request;
use spokeflow_coordination::{Overrides, Proposal, RequestOrigin, RevisionNumber};
use spokeflow_raft::NodeId;

use super::event::{Event, OPERATOR};
use super::{World, MS, SECOND};

impl World {
    /// Proposes a revision to a random node, at times on a base that is out of date.
    pub(super) fn propose(&mut self) {
        let after = self.rng.random_range(300 * MS..2 * SECOND);
        self.schedule(after, Event::ProposalDue);
        let newest = self
            .first_known
            .last_key_value()
            .map_or(0, |(revision, _)| *revision);
        // A proposal without a final response is repeated unchanged.
        let proposal = self.pending_proposal.take().unwrap_or_else(|| {
            let is_stale = self.rng.random_bool(0.1);
            let base = RevisionNumber(if is_stale {
                newest.saturating_sub(1)
            } else {
                newest
            });
            let token = self.rng.random();
            let (who, why) = ("p".to_string(), String::new());
            Proposal {
                token,
                base,
                who,
                why,
                at_s: 0,
                values: Overrides::new(),
            }
        });
        self.pending_proposal = Some(proposal.clone());
        let to = self.rng.random_range(0..self.nodes.len());
        let origin = RequestOrigin {
            connection: OPERATOR,
            number: 0,
            forwarded: false,
        };
        if !self.nodes[to].is_paused {
            self.call(to, |core, now, effects| {
                core.on_request(now, origin, Request::Propose(proposal), effects)
            });
        }
    }

    /// Draws a node, and asks the leader to add it if it is spare, or to remove it if there are more voters than at
    /// first.
    pub(super) fn change_voters(&mut self) {
        let after = self.rng.random_range(SECOND..4 * SECOND);
        self.schedule(after, Event::MembershipChange);
        let candidate = NodeId(self.rng.random_range(0..self.nodes.len() as u32));
        for n in 0..self.nodes.len() {
            let Some(core) = self.nodes[n]
                .core
                .as_ref()
                .filter(|_| !self.nodes[n].is_paused)
            else {
                continue;
            };
            let mut voters = core.raft().voters().to_vec();
            if !voters.contains(&candidate) && voters.len() < self.scenario.voters as usize + 1 {
                voters.push(candidate);
            } else if voters.len() > self.scenario.voters as usize {
                voters.retain(|voter| *voter != candidate);
            }
            let is_leader = core
                .raft()
                .has_leader_lease(self.clock(self.nodes[n].clock_rate));
            if is_leader {
                let origin = RequestOrigin {
                    connection: OPERATOR,
                    number: 0,
                    forwarded: false,
                };
                self.call(n, |core, now, effects| {
                    core.on_request(now, origin, Request::ChangeVoters(voters), effects)
                });
            }
        }
    }
}
