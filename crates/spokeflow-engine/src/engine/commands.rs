//! Inputs from clients: commands, abandoned commands, disconnections and reports of wrong answers.

use spokeflow_core::{CommandId, Key, Micros, OpType, Repeat, TenantId};
use spokeflow_proto::{Command, FrameError, ToClient};

use super::Engine;
use crate::egress::EgressAdapter;
use crate::in_flight::PendingCommand;
use crate::receipt::Receipt;
use crate::time::bounded_micros;
use crate::Transport;

impl Engine {
    pub(super) fn on_command(
        &mut self,
        conn: u64,
        command: Command,
        transport: &mut dyn Transport,
    ) {
        if self.in_flight.is_id_in_use(conn, command.id) {
            // Two answers with the same id could not be distinguished. The transport closes the connection when it
            // sends the refusal, which also ends the first command.
            let refused = FrameError::IdInUse(command.id).refused();
            return transport.to_client(conn, ToClient::Refused(refused));
        }
        self.in_flight.counts.accepted += 1;
        let time_left = bounded_micros(command.left_us) - self.config.answer_margin;
        if !self.admits(command.op, time_left) {
            return self.refuse_command(conn, &command, transport);
        }
        let cmd = self.in_flight.fresh_id();
        let op = OpType(command.op);
        let tenant = TenantId(command.tenant);
        let key = Key(command.key);
        let pending = self.pending_command(conn, command, time_left);
        self.in_flight.insert_command(cmd, pending);
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router
            .on_command(cmd, op, tenant, key, time_left, egress);
    }

    fn admits(&self, op: u16, time_left: Micros) -> bool {
        !self.closing && !self.is_full() && time_left > 0 && self.is_known_op(op)
    }

    fn is_full(&self) -> bool {
        self.waiting_commands() >= self.config.max_waiting
    }

    fn is_known_op(&self, op: u16) -> bool {
        usize::from(op) < self.config.service.ops.len()
    }

    /// Nacks a command that has not been delivered anywhere: whatever its operation, a retry is safe.
    fn refuse_command(&mut self, conn: u64, command: &Command, transport: &mut dyn Transport) {
        self.in_flight.counts.over_capacity += u64::from(self.is_full());
        self.in_flight.counts.nacked += 1;
        let service = &self.config.service;
        let may_name_retry_after = service.may_name_retry_after && self.is_known_op(command.op);
        let message = ToClient::Nacked {
            id: command.id,
            retry_after_us: may_name_retry_after.then_some(service.longest_retry_after as u64),
        };
        transport.to_client(conn, message);
    }

    fn pending_command(&self, conn: u64, command: Command, time_left: Micros) -> PendingCommand {
        let op = &self.config.service.ops[usize::from(command.op)];
        let is_deduplicated = op.repeat == Repeat::Deduplicated;
        PendingCommand {
            conn,
            id: command.id,
            op: command.op,
            tenant: command.tenant,
            key: command.key,
            idempotency_key: command.idempotency_key,
            deadline: self.in_flight.now + time_left,
            is_answered: false,
            body: command.body,
            deliveries: Vec::new(),
            may_have_run_since: Vec::new(),
            deduplication_window: is_deduplicated.then_some(op.deduplication_window),
            open_deliveries: 0,
        }
    }

    pub(super) fn on_abandon(&mut self, conn: u64, id: u64, transport: &mut dyn Transport) {
        let ids = self.in_flight.by_client.get_mut(&conn);
        if let Some(cmd) = ids.and_then(|ids| ids.remove(&id)) {
            self.abandon(cmd, transport);
        }
    }

    pub(super) fn on_client_disconnected(&mut self, conn: u64, transport: &mut dyn Transport) {
        let ids = self.in_flight.by_client.remove(&conn).unwrap_or_default();
        for cmd in ids.into_values() {
            self.abandon(cmd, transport);
        }
    }

    /// Ends a command whose client no longer waits: it gets no answer, but its open deliveries still have to end.
    fn abandon(&mut self, cmd: CommandId, transport: &mut dyn Transport) {
        if self.in_flight.mark_answered(cmd).is_none() {
            return;
        }
        self.in_flight.counts.abandoned += 1;
        let egress = &mut EgressAdapter::new(&mut self.in_flight, transport);
        self.router.finish(cmd, egress);
        self.in_flight.recall(cmd, transport);
        self.in_flight.drop_if_finished(cmd);
    }

    pub(super) fn on_wrong_answer(&mut self, receipt: Receipt) {
        let uptime = self.in_flight.now - self.in_flight.started_at;
        // A receipt that this engine did not issue may name a time in the future.
        let age = (uptime - receipt.sent_after).max(0);
        self.router.on_wrong_answer(receipt.host, age);
    }
}
