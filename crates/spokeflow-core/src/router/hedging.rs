//! A second delivery beside or in place of a slow first one.

use super::timers::BEAT;
use super::{Out, Router};
use crate::state::Command;
use crate::CommandId;

const DOUBT_PART: f64 = 0.35;

impl Router {
    /// A second delivery for a command whose first is at a host that looks sick, where the op type allows a
    /// repeat: beside the first where copies may run together, else in its place.
    pub(super) fn hurry(&mut self, out: Out) {
        let due = |c: &Command| {
            let last = c
                .deliveries
                .last()
                .filter(|d| d.open && !d.response_started && !c.answered);
            let Some(d) = last else { return false };
            let doubt = self.mute(d.host) || self.hosts.slowdown(d.host) > 0.7;
            let slow = (self.now - d.sent_at) as f64
                > self.ops[c.operation].latency_objective * DOUBT_PART;
            doubt && slow && self.may_redeliver(c) && c.deadline - self.now > 4 * BEAT
        };
        let due: Vec<CommandId> = self
            .cmds
            .iter()
            .filter(|(_, c)| due(c))
            .map(|(id, _)| *id)
            .collect();
        for cmd in due.into_iter().take(self.spare as usize) {
            if self.fig.side_by_side {
                self.spare -= f64::from(u8::from(self.route(cmd, out)));
            } else if self.fig.may_cancel {
                out.cancel(cmd, self.cmds[&cmd].deliveries.len() as u8 - 1);
            }
        }
    }

    pub fn on_response_started(&mut self, cmd: CommandId, nth: u8) {
        let delivery = |c: &mut Command| {
            c.deliveries
                .get_mut(usize::from(nth))
                .map(|d| d.response_started = true)
        };
        self.cmds.get_mut(&cmd).and_then(delivery);
    }
}
