//! Event people do: they offer revisions, and take keepers in and out.

use rand::RngExt;
use spokeflow_coordination::wire::Request;
use spokeflow_coordination::{Overrides, Proposal, RequestOrigin, RevisionNumber};
use spokeflow_raft::NodeId;

use super::event::{Event, OPERATOR};
use super::{World, MS, SECOND};

impl World {
    pub(super) fn offers(&mut self) {
        let after = self.rng.random_range(300 * MS..2 * SECOND);
        self.plan(after, Event::ProposalDue);
        let newest = self.first_known.last_key_value().map_or(0, |t| *t.0);
        // One that was not clear is offered again, as it was.
        let offer = self.pending_proposal.take().unwrap_or_else(|| {
            let stale = self.rng.random_bool(0.1);
            let against = RevisionNumber(if stale {
                newest.saturating_sub(1)
            } else {
                newest
            });
            let token = self.rng.random();
            let (who, why) = ("p".to_string(), String::new());
            Proposal {
                token,
                base: against,
                who,
                why,
                at_s: 0,
                values: Overrides::new(),
            }
        });
        self.pending_proposal = Some(offer.clone());
        let to = self.rng.random_range(0..self.nodes.len());
        let asker = RequestOrigin {
            connection: OPERATOR,
            number: 0,
            forwarded: false,
        };
        if !self.nodes[to].stopped {
            self.call(to, |k, now, step| {
                k.on_request(now, asker, Request::Propose(offer), step)
            });
        }
    }

    /// Adds a spare node, or removes one.
    pub(super) fn change(&mut self) {
        let after = self.rng.random_range(SECOND..4 * SECOND);
        self.plan(after, Event::MembershipChange);
        let drawn = NodeId(self.rng.random_range(0..self.nodes.len() as u32));
        for n in 0..self.nodes.len() {
            let Some(core) = self.nodes[n]
                .core
                .as_ref()
                .filter(|_| !self.nodes[n].stopped)
            else {
                continue;
            };
            let mut members = core.raft().voters().to_vec();
            if !members.contains(&drawn) && members.len() < self.scenario.voters as usize + 1 {
                members.push(drawn);
            } else if members.len() > self.scenario.voters as usize {
                members.retain(|m| *m != drawn);
            }
            let leads = core
                .raft()
                .has_leader_lease(self.clock(self.nodes[n].clock_rate));
            if leads {
                let asker = RequestOrigin {
                    connection: OPERATOR,
                    number: 0,
                    forwarded: false,
                };
                self.call(n, |k, now, step| {
                    k.on_request(now, asker, Request::ChangeVoters(members), step)
                });
            }
        }
    }
}
