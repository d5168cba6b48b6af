//! Timers: those of the decision module, and the deadlines of deliveries, commands and votes.

use spokeflow_core::{AttemptOutcome, CommandId, Micros};
use spokeflow_proto::{ToClient, ToHost};

use super::Engine;
use crate::egress::EgressAdapter;
use crate::Transport;

impl Engine {
    pub(super) fn run_timers(&mut self, transport: &mut dyn Transport) {
        self.run_router_timers(transport);
        self.expire_deliveries(transport);
        self.report_outcomes(transport);
        self.expire_commands(transport);
        let now = self.in_flight.now;
        if self
            .in_flight
            .open_vote
            .is_some_and(|vote| vote.deadline <= now)
        {
            self.end_unanswered_vote();
        }
    }

    fn run_router_timers(&mut self, transport: &mut dyn Transport) {
        while let Some(&at) = self.in_flight.timers.first() {
            if at > self.in_flight.now {
                break;
            }
            self.in_flight.timers.pop_first();
            let next = self.in_flight.timers.first();
            // Several timers that are overdue cause a single call.
            if next.is_none_or(|next| *next > self.in_flight.now) {
                let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
                self.router.on_timer(egress);
            }
        }
    }

    fn expire_deliveries(&mut self, transport: &mut dyn Transport) {
        while let Some(&deadline) = self.in_flight.delivery_deadlines.first() {
            if deadline.at > self.in_flight.now {
                break;
            }
            let delivery = deadline.id;
            self.in_flight.delivery_deadlines.remove(&deadline);
            let host = self.in_flight.deliveries[&delivery].host;
            transport.to_host(host, ToHost::Cancel { delivery }, Micros::MAX);
            self.finish_delivery(delivery, AttemptOutcome::TimedOut, transport);
        }
    }

    /// Fails the commands that the decision module has not answered in time.
    fn expire_commands(&mut self, transport: &mut dyn Transport) {
        while let Some(&deadline) = self.in_flight.answer_deadlines.first() {
            if deadline.at > self.in_flight.now {
                break;
            }
            self.fail_overdue(deadline.id, transport);
        }
    }

    fn fail_overdue(&mut self, cmd: CommandId, transport: &mut dyn Transport) {
        self.in_flight.counts.overdue += 1;
        self.in_flight
            .answer(cmd, transport, |id| ToClient::Failed { id });
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router.finish(cmd, egress);
        self.in_flight.drop_if_finished(cmd);
    }
}
