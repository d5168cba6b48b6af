//! Messages from hosts, and the ends of deliveries.

use bytes::Bytes;
use spokeflow_core::{AttemptOutcome, BuildId, HostId, ListKind};
use spokeflow_proto::{FromHost, ToClient};

use super::Engine;
use crate::egress::EgressAdapter;
use crate::receipt::Receipt;
use crate::time::bounded_micros;
use crate::Transport;

impl Engine {
    pub(super) fn on_host_message(
        &mut self,
        host: HostId,
        message: FromHost,
        transport: &mut dyn Transport,
    ) {
        match message {
            FromHost::Welcome {
                build,
                incarnation,
                up_us,
                ..
            } => self.on_host_welcome(host, BuildId(build), incarnation, up_us, transport),
            FromHost::Acked { delivery, body } => self.on_acked(host, delivery, body, transport),
            FromHost::Error { delivery } => {
                self.on_answer_without_result(host, delivery, AttemptOutcome::Error, transport);
            }
            FromHost::Full { delivery } => {
                self.on_answer_without_result(host, delivery, AttemptOutcome::Rejected, transport);
            }
            FromHost::ResponseStarted { delivery } => self.on_response_started(host, delivery),
            // `busy` is in thousandths of the host's CPU capacity.
            FromHost::LoadReport { busy } => {
                self.router.on_load_report(host, f64::from(busy) / 1000.0)
            }
            FromHost::Refused(_) | FromHost::Probed { .. } | FromHost::Pong => {}
        }
    }

    /// Takes over the host's own description of its process, which is newer than the list's: a host that has restarted
    /// has to warm up, and the list reports the restart only seconds later.
    fn on_host_welcome(
        &mut self,
        host: HostId,
        build: BuildId,
        incarnation: u64,
        up_us: u64,
        transport: &mut dyn Transport,
    ) {
        let entry = self.in_flight.endpoints.get_mut(&host);
        let Some(entry) = entry.filter(|entry| entry.incarnation < incarnation) else {
            return;
        };
        entry.incarnation = incarnation;
        entry.endpoint.build = Some(build);
        entry.endpoint.started_at = Some(self.in_flight.now - bounded_micros(up_us));
        let endpoint = entry.endpoint;
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router
            .on_endpoints(ListKind::Changes, &[endpoint], egress);
    }

    fn on_acked(
        &mut self,
        host: HostId,
        delivery: u64,
        body: Bytes,
        transport: &mut dyn Transport,
    ) {
        let Some(open) = self.in_flight.delivery_to(host, delivery) else {
            self.in_flight.counts.late += 1;
            return;
        };
        let cmd = open.cmd;
        let receipt = Receipt {
            host,
            sent_after: open.sent_at - self.in_flight.started_at,
        };
        let build = self.in_flight.build_of(host).0;
        self.in_flight.answer(cmd, transport, |id| ToClient::Acked {
            id,
            build,
            receipt: receipt.into(),
            body,
        });
        self.finish_delivery(delivery, AttemptOutcome::Acked, transport);
    }

    /// Ends a delivery that was answered without a result. An answer that comes after the end is only counted.
    fn on_answer_without_result(
        &mut self,
        host: HostId,
        delivery: u64,
        outcome: AttemptOutcome,
        transport: &mut dyn Transport,
    ) {
        if self.in_flight.delivery_to(host, delivery).is_none() {
            self.in_flight.counts.late += 1;
            return;
        }
        self.finish_delivery(delivery, outcome, transport);
    }

    fn on_response_started(&mut self, host: HostId, delivery: u64) {
        if let Some(open) = self.in_flight.delivery_to(host, delivery) {
            self.router.on_response_started(open.cmd, open.attempt);
        }
    }

    /// Ends a delivery that has failed without an answer from the host.
    pub(super) fn on_delivery_failed(
        &mut self,
        host: HostId,
        delivery: u64,
        outcome: AttemptOutcome,
        transport: &mut dyn Transport,
    ) {
        if self.in_flight.delivery_to(host, delivery).is_some() {
            self.finish_delivery(delivery, outcome, transport);
        }
    }

    /// Passes an outcome on to the decision module, unless the delivery has already ended.
    pub(super) fn finish_delivery(
        &mut self,
        delivery: u64,
        outcome: AttemptOutcome,
        transport: &mut dyn Transport,
    ) {
        let Some(closed) = self.in_flight.close_delivery(delivery) else {
            return;
        };
        let cmd = closed.cmd;
        let command = self.in_flight.commands.get_mut(&cmd);
        let is_answered = command.as_ref().is_none_or(|command| command.is_answered);
        if let Some(command) = command.filter(|_| !outcome.may_have_run()) {
            command.may_have_run_since[usize::from(closed.attempt)] = None;
        }
        let latency = self.in_flight.now - closed.sent_at;
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router
            .on_attempt_outcome(cmd, closed.attempt, outcome, latency, is_answered, egress);
        self.in_flight.drop_if_finished(cmd);
    }
}
