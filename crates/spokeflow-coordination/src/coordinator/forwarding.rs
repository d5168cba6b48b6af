//! Requests that this node forwards to the leader.

use spokeflow_core::Micros;

use super::requests::{WaitingRequest, MAX_WAITING_REQUESTS};
use super::{Coordinator, Effects, NodeMessage, RequestOrigin};
use crate::wire::{Request, Response, ToNode};

impl Coordinator {
    /// Forwards a request to the leader. Returns the response if it cannot be forwarded, else `None`.
    pub(super) fn forward(
        &mut self,
        now: Micros,
        origin: RequestOrigin,
        request: Request,
        effects: &mut Effects,
    ) -> Option<Response> {
        let leader = self.raft.leader().filter(|id| *id != self.settings.id);
        let may_forward = !origin.forwarded && self.forwarded.len() < MAX_WAITING_REQUESTS;
        let Some(leader) = leader.filter(|_| may_forward) else {
            return Some(Response::NoLeader);
        };
        self.last_forward += 1;
        let number = self.last_forward;
        self.forwarded
            .insert(number, WaitingRequest::new(origin, now));
        effects.messages.push(NodeMessage {
            to: leader,
            message: ToNode::Request { number, request },
        });
        None
    }

    /// Passes the leader's response to a forwarded request on to the caller.
    pub fn on_forward_response(&mut self, number: u64, response: Response, effects: &mut Effects) {
        if let Some(waiting) = self.forwarded.remove(&number) {
            effects.respond(waiting.origin, response);
        }
    }

    pub(super) fn time_out_forwarded(&mut self, now: Micros, effects: &mut Effects) {
        let timed_out: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, waiting)| waiting.times_out_at <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            self.on_forward_response(number, Response::Indeterminate, effects);
        }
    }
}
