//! Everything that is in flight: pending commands, open deliveries, their deadlines, and the mapping between numbers
//! on connections and ids of the decision module.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use spokeflow_core::{AttemptOutcome, BuildId, CommandId, HostId, Micros};
use spokeflow_proto::ToClient;

use crate::endpoint_entry::{EndpointEntry, ReplicatedEndpoints};
use crate::{Counts, Transport};

/// A command that has not been answered, or that still has open deliveries.
pub(crate) struct PendingCommand {
    /// The client's connection.
    pub(crate) conn: u64,
    /// The client's own number.
    pub(crate) id: u64,
    pub(crate) op: u16,
    pub(crate) tenant: u32,
    pub(crate) key: u64,
    pub(crate) idempotency_key: u64,
    /// When it must have been answered.
    pub(crate) until: Micros,
    pub(crate) answered: bool,
    pub(crate) body: Bytes,
    /// In the order of the decision module's numbers.
    pub(crate) deliveries: Vec<u64>,
    /// When each delivery was started, but for those that are proven not to have run.
    pub(crate) may_have_run: Vec<Option<Micros>>,
    /// For so long after the first delivery that may have run a retry may leave; `None` where that is not bounded.
    pub(crate) deduplication_window: Option<Micros>,
    /// Deliveries that have not ended.
    pub(crate) open: u32,
}

impl PendingCommand {
    /// When hosts may have forgotten the first delivery: a retry has to leave before.
    pub(crate) fn retry_by(&self) -> Option<Micros> {
        let window = self.deduplication_window?;
        let first = self.may_have_run.iter().flatten().min()?;
        Some(first + window)
    }
}

/// A delivery that has not ended.
pub(crate) struct OpenDelivery {
    pub(crate) cmd: CommandId,
    /// Index among the deliveries of its command.
    pub(crate) attempt: u8,
    pub(crate) host: HostId,
    pub(crate) sent: Micros,
    /// When it counts as timed out.
    pub(crate) until: Micros,
}

/// When something runs out; ordered by time, then by id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deadline<Id> {
    pub(crate) at: Micros,
    pub(crate) id: Id,
}

/// An outcome that the decision module learns after the call that caused it has returned.
pub(crate) struct PendingOutcome {
    pub(crate) delivery: u64,
    pub(crate) outcome: AttemptOutcome,
}

/// The vote whose result is awaited.
#[derive(Clone, Copy)]
pub(crate) struct OpenVote {
    pub(crate) ballot: u64,
    /// When it counts as unanswered.
    pub(crate) until: Micros,
}

/// Until when anything may leave for builds that are not released.
#[derive(Clone, Copy)]
pub(crate) struct CanaryLease {
    /// The earliest build that is not free for all traffic.
    pub(crate) first_build: BuildId,
    pub(crate) until: Micros,
}

/// The engine's state beside the decision module.
#[derive(Default)]
pub(crate) struct InFlight {
    pub(crate) now: Micros,
    pub(crate) started_at: Micros,
    pub(crate) commands: HashMap<CommandId, PendingCommand>,
    /// Unanswered commands by connection and the client's own number.
    pub(crate) by_client: HashMap<u64, BTreeMap<u64, CommandId>>,
    pub(crate) deliveries: HashMap<u64, OpenDelivery>,
    /// When deliveries time out.
    pub(crate) delivery_deadlines: BTreeSet<Deadline<u64>>,
    /// When unanswered commands must have had their answer.
    pub(crate) answer_deadlines: BTreeSet<Deadline<CommandId>>,
    pub(crate) endpoints: BTreeMap<HostId, EndpointEntry>,
    /// When the decision module wants its timer.
    pub(crate) timers: BTreeSet<Micros>,
    pub(crate) pending_outcomes: VecDeque<PendingOutcome>,
    pub(crate) next_command: u32,
    pub(crate) next_delivery: u64,
    pub(crate) next_ballot: u64,
    pub(crate) open_vote: Option<OpenVote>,
    /// How long the result of a vote is awaited.
    pub(crate) vote_timeout: Micros,
    /// A vote could not be sent; the decision module has not been notified yet.
    pub(crate) vote_failed: bool,
    pub(crate) list_version: Option<u64>,
    /// A request for the list could not be sent; the decision module has not been notified yet.
    pub(crate) list_failed: bool,
    pub(crate) counts: Counts,
    /// Where a control plane is followed and the release controller has sent a status.
    pub(crate) canary_lease: Option<CanaryLease>,
    /// Where the list comes from the control plane.
    pub(crate) replicated: Option<ReplicatedEndpoints>,
}

impl InFlight {
    /// An id that no pending command has: ids wrap around after 2^32 commands.
    pub(crate) fn fresh_id(&mut self) -> CommandId {
        loop {
            let id = CommandId(self.next_command);
            self.next_command = self.next_command.wrapping_add(1);
            if !self.commands.contains_key(&id) {
                return id;
            }
        }
    }

    /// Whether the client awaits an answer under this number on this connection.
    pub(crate) fn is_id_in_use(&self, conn: u64, id: u64) -> bool {
        self.by_client
            .get(&conn)
            .is_some_and(|ids| ids.contains_key(&id))
    }

    /// Adds a command that no delivery has been made for.
    pub(crate) fn insert_command(&mut self, cmd: CommandId, command: PendingCommand) {
        let deadline = Deadline {
            at: command.until,
            id: cmd,
        };
        self.answer_deadlines.insert(deadline);
        self.by_client
            .entry(command.conn)
            .or_default()
            .insert(command.id, cmd);
        self.commands.insert(cmd, command);
    }

    /// The open delivery of this number, where it went to this host.
    pub(crate) fn delivery_to(&self, host: HostId, delivery: u64) -> Option<&OpenDelivery> {
        self.deliveries
            .get(&delivery)
            .filter(|open| open.host == host)
    }

    /// The build that runs on a host; the lowest where that is not known.
    pub(crate) fn build_of(&self, host: HostId) -> BuildId {
        self.endpoints
            .get(&host)
            .map_or(BuildId::default(), EndpointEntry::build)
    }

    /// Sends the final answer, unless the command has had one.
    pub(crate) fn answer(
        &mut self,
        cmd: CommandId,
        transport: &mut dyn Transport,
        message: impl FnOnce(u64) -> ToClient,
    ) {
        let Some(command) = self.mark_answered(cmd) else {
            return;
        };
        command.body = Bytes::new();
        let conn = command.conn;
        let id = command.id;
        let open = command.open;
        if let Some(ids) = self.by_client.get_mut(&conn) {
            ids.remove(&id);
            let message = message(id);
            self.count_answer(&message);
            transport.to_client(conn, message);
        }
        if open == 0 {
            self.commands.remove(&cmd);
        }
        self.recall(cmd, transport);
    }

    /// From now on the client is owed nothing; `None` where that was so before.
    pub(crate) fn mark_answered(&mut self, cmd: CommandId) -> Option<&mut PendingCommand> {
        let command = self.commands.get_mut(&cmd)?;
        if command.answered {
            return None;
        }
        command.answered = true;
        let deadline = Deadline {
            at: command.until,
            id: cmd,
        };
        self.answer_deadlines.remove(&deadline);
        Some(command)
    }

    fn count_answer(&mut self, message: &ToClient) {
        let count = match message {
            ToClient::Acked { .. } => &mut self.counts.acked,
            ToClient::Nacked { .. } => &mut self.counts.nacked,
            _ => &mut self.counts.failed,
        };
        *count += 1;
    }

    /// Nothing may leave for a command that is answered: guards against connections that come up after that.
    pub(crate) fn recall(&self, cmd: CommandId, transport: &mut dyn Transport) {
        let Some(command) = self.commands.get(&cmd) else {
            return;
        };
        for delivery in &command.deliveries {
            if let Some(open) = self.deliveries.get(delivery) {
                transport.recall(open.host, Some(*delivery));
            }
        }
    }

    /// Takes out a delivery that has ended; `None` where it had ended before.
    pub(crate) fn close_delivery(&mut self, delivery: u64) -> Option<OpenDelivery> {
        let closed = self.deliveries.remove(&delivery)?;
        let deadline = Deadline {
            at: closed.until,
            id: delivery,
        };
        self.delivery_deadlines.remove(&deadline);
        if let Some(command) = self.commands.get_mut(&closed.cmd) {
            command.open -= 1;
        }
        Some(closed)
    }

    /// Drops a command that is answered and has no open delivery.
    pub(crate) fn drop_if_finished(&mut self, cmd: CommandId) {
        let finished = |command: &PendingCommand| command.answered && command.open == 0;
        if self.commands.get(&cmd).is_some_and(finished) {
            self.commands.remove(&cmd);
        }
    }
}
