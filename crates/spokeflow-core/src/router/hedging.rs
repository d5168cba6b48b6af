//! Hedging: a second delivery beside, or in place of, a first one at a host that looks unhealthy.

use super::timers::TICK;
use super::{Out, Router};
use crate::state::Command;
use crate::{CommandId, Micros};

/// Part of the latency objective after which a second delivery may be sent, so that enough time is
/// left for its answer.
const HEDGE_OBJECTIVE_FRACTION: f64 = 0.35;
/// Slowdown of a host, as a logarithm, above which it looks unhealthy: about twice the baseline
/// latency.
const HEDGE_SLOWDOWN: f64 = 0.7;
/// Time before the deadline from which no second delivery is sent.
const HEDGE_MARGIN: Micros = 4 * TICK;

impl Router {
    /// Hedges commands whose last delivery is late at a host that looks unhealthy, where the
    /// operation allows a repeat: sends another delivery where two may be open at once, otherwise
    /// cancels the last one so that its retry replaces it.
    pub(super) fn hedge(&mut self, out: Out) {
        let due: Vec<CommandId> = self
            .commands
            .iter()
            .filter(|(_, command)| self.needs_hedge(command))
            .map(|(id, _)| *id)
            .collect();
        for id in due.into_iter().take(self.retry_budget.allowed()) {
            if self.config.may_hedge {
                if self.route(id, out) {
                    self.retry_budget.spend();
                }
            } else if self.config.may_cancel {
                let last = self.commands[&id].deliveries.len() - 1;
                out.cancel(id, last as u8);
            }
        }
    }

    fn needs_hedge(&self, command: &Command) -> bool {
        let Some(last) = command.deliveries.last() else {
            return false;
        };
        if command.answered || !last.open || last.response_started {
            return false;
        }
        let objective = self.operations[command.operation].latency_objective;
        let looks_unhealthy =
            self.is_unresponsive(last.host) || self.hosts.slowdown(last.host) > HEDGE_SLOWDOWN;
        let late = (self.now - last.sent_at) as f64 > objective * HEDGE_OBJECTIVE_FRACTION;
        looks_unhealthy
            && late
            && self.may_redeliver(command)
            && command.deadline - self.now > HEDGE_MARGIN
    }

    /// Handles the start of a response: its delivery is no longer cancelled or hedged.
    pub fn on_response_started(&mut self, id: CommandId, delivery: u8) {
        let delivery = self
            .commands
            .get_mut(&id)
            .and_then(|command| command.deliveries.get_mut(usize::from(delivery)));
        if let Some(delivery) = delivery {
            delivery.response_started = true;
        }
    }
}
