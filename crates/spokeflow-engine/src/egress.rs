//! Turns the decision module's calls into messages on the transport.

use spokeflow_core::{AttemptOutcome, BuildId, CommandId, Egress, HostId, Micros, RolloutVote};
use spokeflow_proto::{ToClient, ToController, ToHost, ToList, VoteChoice};

use crate::in_flight::{Deadline, InFlight, OpenDelivery, OpenVote, PendingOutcome};
use crate::Transport;

/// The [`Egress`] implementation that is passed to a single call of the decision module.
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

    /// Returns the send deadline of a delivery: one that is queued while this process is stopped must not be sent
    /// under a lease that has expired in the meantime, and a delayed retry must not arrive after hosts have forgotten
    /// the first delivery.
    fn send_deadline(&self, host: HostId, deadline: Micros, retry_by: Option<Micros>) -> Micros {
        let lease_end = self
            .in_flight
            .canary_lease
            .filter(|lease| self.in_flight.build_of(host) >= lease.first_build)
            .map(|lease| lease.ends_at);
        [Some(deadline), lease_end, retry_by]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(deadline)
    }

    /// Queues an outcome for the decision module, which must not be called again during its own call.
    fn defer_outcome(&mut self, delivery: u64, outcome: AttemptOutcome) {
        self.in_flight
            .pending_outcomes
            .push_back(PendingOutcome { delivery, outcome });
    }

    /// Opens a delivery that times out at `deadline`, and returns its id.
    fn open_delivery(
        &mut self,
        cmd: CommandId,
        host: HostId,
        attempt: u8,
        deadline: Micros,
    ) -> u64 {
        let in_flight = &mut *self.in_flight;
        let delivery = in_flight.next_delivery;
        in_flight.next_delivery += 1;
        let open = OpenDelivery {
            cmd,
            attempt,
            host,
            sent_at: in_flight.now,
            deadline,
        };
        let timeout = Deadline {
            at: deadline,
            id: delivery,
        };
        in_flight.deliveries.insert(delivery, open);
        in_flight.delivery_deadlines.insert(timeout);
        in_flight.counts.deliveries += 1;
        delivery
    }
}

impl Egress for EgressAdapter<'_> {
    fn deliver(&mut self, cmd: CommandId, host: HostId, until: Option<Micros>) {
        let Some(command) = self.in_flight.commands.get(&cmd) else {
            return;
        };
        let deadline = until.unwrap_or(command.deadline).min(command.deadline);
        let attempt = command.deliveries.len() as u8;
        // Read before this delivery is recorded: it depends on the earlier deliveries, which hosts must still remember.
        let retry_by = command.retry_by();
        let delivery = self.open_delivery(cmd, host, attempt, deadline);
        let now = self.in_flight.now;
        let Some(command) = self.in_flight.commands.get_mut(&cmd) else {
            return;
        };
        command.deliveries.push(delivery);
        command.may_have_run_since.push(Some(now));
        command.open_deliveries += 1;
        if command.is_answered || now >= deadline {
            return self.defer_outcome(delivery, AttemptOutcome::NotSent);
        }
        let message = ToHost::Deliver {
            delivery,
            op: command.op,
            tenant: command.tenant,
            key: command.key,
            idempotency_key: command.idempotency_key,
            left_us: (deadline - now) as u64,
            body: command.body.clone(),
        };
        let send_deadline = self.send_deadline(host, deadline, retry_by);
        if !self.transport.to_host(host, message, send_deadline) {
            // The send queue is full because the host does not read from it: treated as if the host itself were full.
            self.defer_outcome(delivery, AttemptOutcome::Rejected);
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
        self.defer_outcome(delivery, AttemptOutcome::Cancelled);
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
            let deadline = in_flight.now + in_flight.vote_timeout;
            in_flight.open_vote = Some(OpenVote { ballot, deadline });
        } else {
            in_flight.vote_send_failed = true;
        }
    }

    fn probe(&mut self, host: HostId) {
        let probe = self.in_flight.now as u64;
        self.transport
            .to_host(host, ToHost::Probe { probe }, Micros::MAX);
    }

    fn watch_list(&mut self) {
        let have = self.in_flight.list_version;
        self.in_flight.list_send_failed |= !self.transport.to_list(ToList::Watch { have });
    }

    fn fetch_list(&mut self) {
        self.in_flight.list_send_failed |= !self.transport.to_list(ToList::Fetch);
    }

    fn gossip(&mut self, router: Option<u32>, text: &[u8]) {
        self.transport.to_routers(router, text);
    }
}
