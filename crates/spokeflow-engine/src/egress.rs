//! Carries out the decision module's calls as messages on the transport.

use spokeflow_core::{AttemptOutcome, BuildId, CommandId, Egress, HostId, Micros, RolloutVote};
use spokeflow_proto::{ToClient, ToController, ToHost, ToList, VoteChoice};

use crate::in_flight::{Deadline, InFlight, OpenDelivery, OpenVote, PendingOutcome};
use crate::Transport;

/// The decision module's [`Egress`], for the time of one call.
pub(crate) struct EgressAdapter<'a> {
    in_flight: &'a mut InFlight,
    transport: &'a mut dyn Transport,
}

impl<'a> EgressAdapter<'a> {
    pub(crate) fn new(in_flight: &'a mut InFlight, transport: &'a mut dyn Transport) -> Self {
        EgressAdapter {
            in_flight,
            transport,
        }
    }

    /// When a delivery must have left at the latest. One that waits while this process is stopped must not leave
    /// under a lease that has run out meanwhile, and a retry that is held up on its way must not arrive after hosts
    /// have forgotten the first delivery.
    fn leave_by(&self, host: HostId, until: Micros, retry_by: Option<Micros>) -> Micros {
        let lease_end = self
            .in_flight
            .canary_lease
            .filter(|lease| self.in_flight.build_of(host) >= lease.first_build)
            .map(|lease| lease.until);
        [Some(until), lease_end, retry_by]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(until)
    }

    fn end_later(&mut self, delivery: u64, outcome: AttemptOutcome) {
        self.in_flight
            .pending_outcomes
            .push_back(PendingOutcome { delivery, outcome });
    }

    /// Opens a delivery that ends at `until` at the latest, and returns its number.
    fn open_delivery(&mut self, cmd: CommandId, host: HostId, attempt: u8, until: Micros) -> u64 {
        let in_flight = &mut *self.in_flight;
        let delivery = in_flight.next_delivery;
        in_flight.next_delivery += 1;
        let open = OpenDelivery {
            cmd,
            attempt,
            host,
            sent: in_flight.now,
            until,
        };
        let deadline = Deadline {
            at: until,
            id: delivery,
        };
        in_flight.deliveries.insert(delivery, open);
        in_flight.delivery_deadlines.insert(deadline);
        in_flight.counts.deliveries += 1;
        delivery
    }
}

impl Egress for EgressAdapter<'_> {
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>) {
        let Some(command) = self.in_flight.commands.get(&cmd) else {
            return;
        };
        let until = until.unwrap_or(command.until).min(command.until);
        let attempt = command.deliveries.len() as u8;
        // Before this delivery is noted: it is the earlier ones that hosts must still remember.
        let retry_by = command.retry_by();
        let delivery = self.open_delivery(cmd, host, attempt, until);
        let now = self.in_flight.now;
        let Some(command) = self.in_flight.commands.get_mut(&cmd) else {
            return;
        };
        command.deliveries.push(delivery);
        command.may_have_run.push(Some(now));
        command.open += 1;
        if command.answered || now >= until {
            return self.end_later(delivery, AttemptOutcome::NotSent);
        }
        let message = ToHost::Deliver {
            delivery,
            op: command.op,
            tenant: command.tenant,
            key: command.key,
            idempotency_key: command.idempotency_key,
            left_us: (until - now) as u64,
            body: command.body.clone(),
        };
        let leave_by = self.leave_by(host, until, retry_by);
        if !self.transport.to_host(host, message, leave_by) {
            // A send queue that is full here is one that the host does not read: the same as its own being full.
            self.end_later(delivery, AttemptOutcome::Rejected);
        }
    }

    fn nack(&mut self, cmd: CommandId, retry_after: Option<Micros>) {
        let retry_after_us = retry_after.map(|after| after.max(0) as u64);
        self.in_flight
            .answer(cmd, self.transport, |id| ToClient::Nacked {
                id,
                retry_after_us,
            });
    }

    fn fail(&mut self, cmd: CommandId) {
        self.in_flight
            .answer(cmd, self.transport, |id| ToClient::Failed { id });
    }

    fn cancel(&mut self, cmd: CommandId, attempt: u8) {
        let Some(command) = self.in_flight.commands.get(&cmd) else {
            return;
        };
        let Some(&delivery) = command.deliveries.get(usize::from(attempt)) else {
            return;
        };
        let Some(open) = self.in_flight.deliveries.get(&delivery) else {
            return;
        };
        let message = ToHost::Cancel { delivery };
        self.transport.to_host(open.host, message, Micros::MAX);
        self.end_later(delivery, AttemptOutcome::Cancelled);
    }

    fn wake(&mut self, at: Micros) {
        self.in_flight.timers.insert(at);
    }

    fn vote(&mut self, build: BuildId, stage: u8, vote: RolloutVote) {
        let choice = match vote {
            RolloutVote::Abstain => VoteChoice::Abstain,
            RolloutVote::Promote => VoteChoice::Promote,
            RolloutVote::Hold => VoteChoice::Hold,
            RolloutVote::RollBack => VoteChoice::RollBack,
        };
        let in_flight = &mut *self.in_flight;
        let ballot = in_flight.next_ballot;
        in_flight.next_ballot += 1;
        in_flight.counts.votes += 1;
        let message = ToController::Vote {
            ballot,
            build: build.0,
            stage,
            choice,
        };
        if self.transport.to_controller(message) {
            let until = in_flight.now + in_flight.vote_timeout;
            in_flight.open_vote = Some(OpenVote { ballot, until });
        } else {
            in_flight.vote_failed = true;
        }
    }

    fn probe(&mut self, host: HostId) {
        let probe = self.in_flight.now as u64;
        self.transport
            .to_host(host, ToHost::Probe { probe }, Micros::MAX);
    }

    fn watch_list(&mut self) {
        let have = self.in_flight.list_version;
        self.in_flight.list_failed |= !self.transport.to_list(ToList::Watch { have });
    }

    fn fetch_list(&mut self) {
        self.in_flight.list_failed |= !self.transport.to_list(ToList::Fetch);
    }

    fn gossip(&mut self, router: Option<u32>, text: &[u8]) {
        self.transport.to_routers(router, text);
    }
}
