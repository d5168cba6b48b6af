//! State in flight: pending commands, open deliveries, their deadlines, and the mapping between the ids that clients
//! give to commands and those of the decision module.

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
    /// The command's id on that connection, given by the client.
    pub(crate) id: u64,
    pub(crate) op: u16,
    pub(crate) tenant: u32,
    pub(crate) key: u64,
    pub(crate) idempotency_key: u64,
    /// By when it must be answered.
    pub(crate) deadline: Micros,
    /// Whether the client gets no further answer, because it has had one or no longer waits.
    pub(crate) is_answered: bool,
    pub(crate) body: Bytes,
    /// Ids of the deliveries, indexed by the decision module's attempt number.
    pub(crate) deliveries: Vec<u64>,
    /// When each delivery was started, indexed by attempt; `None` for those that are proven not to have run.
    pub(crate) may_have_run_since: Vec<Option<Micros>>,
    /// How long after the first delivery that may have run a retry may be sent; `None` for no limit.
    pub(crate) deduplication_window: Option<Micros>,
    /// Number of deliveries that have not ended.
    pub(crate) open_deliveries: u32,
}

impl PendingCommand {
    /// Returns the send deadline of a retry, from which hosts may forget the first delivery; `None` for no limit.
    pub(crate) fn retry_by(&self) -> Option<Micros> {
        let window = self.deduplication_window?;
        let first = self.may_have_run_since.iter().flatten().min()?;
        Some(first + window)
    }
}

/// A delivery that has not ended.
pub(crate) struct OpenDelivery {
    pub(crate) cmd: CommandId,
    /// Index of the delivery among those of its command.
    pub(crate) attempt: u8,
    pub(crate) host: HostId,
    pub(crate) sent_at: Micros,
    /// When it counts as timed out.
    pub(crate) deadline: Micros,
}

/// The deadline of a command or delivery; ordered by time, then by id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deadline<Id> {
    pub(crate) at: Micros,
    pub(crate) id: Id,
}

/// An outcome that is passed to the decision module once the call that caused it has returned.
pub(crate) struct PendingOutcome {
    pub(crate) delivery: u64,
    pub(crate) outcome: AttemptOutcome,
}

/// The vote whose result is awaited.
#[derive(Clone, Copy)]
pub(crate) struct OpenVote {
    pub(crate) ballot: u64,
    /// When it counts as unanswered.
    pub(crate) deadline: Micros,
}

/// The limit that the lease sets on deliveries to builds that are not released.
#[derive(Clone, Copy)]
pub(crate) struct CanaryLease {
    /// The lowest build that is not released.
    pub(crate) first_build: BuildId,
    /// Send deadline of deliveries to these builds.
    pub(crate) ends_at: Micros,
}

/// The engine's state outside the decision module.
#[derive(Default)]
pub(crate) struct InFlight {
    pub(crate) now: Micros,
    pub(crate) started_at: Micros,
    pub(crate) commands: HashMap<CommandId, PendingCommand>,
    /// Unanswered commands, by connection and the client's id.
    pub(crate) by_client: HashMap<u64, BTreeMap<u64, CommandId>>,
    pub(crate) deliveries: HashMap<u64, OpenDelivery>,
    /// Deadlines of the open deliveries.
    pub(crate) delivery_deadlines: BTreeSet<Deadline<u64>>,
    /// Deadlines of the unanswered commands.
    pub(crate) answer_deadlines: BTreeSet<Deadline<CommandId>>,
    pub(crate) endpoints: BTreeMap<HostId, EndpointEntry>,
    /// Times at which the decision module has asked for its timer.
    pub(crate) timers: BTreeSet<Micros>,
    pub(crate) pending_outcomes: VecDeque<PendingOutcome>,
    pub(crate) next_command: u32,
    pub(crate) next_delivery: u64,
    pub(crate) next_ballot: u64,
    pub(crate) open_vote: Option<OpenVote>,
    /// How long the engine waits for the result of a vote.
    pub(crate) vote_timeout: Micros,
    /// A vote could not be sent; the decision module has not been notified yet.
    pub(crate) vote_send_failed: bool,
    pub(crate) list_version: Option<u64>,
    /// A request for the list could not be sent; the decision module has not been notified yet.
    pub(crate) list_send_failed: bool,
    pub(crate) counts: Counts,
    /// `None` until the router has a lease and the release controller has sent a rollout update.
    pub(crate) canary_lease: Option<CanaryLease>,
    /// `None` if the endpoint list does not come from the control plane.
    pub(crate) replicated: Option<ReplicatedEndpoints>,
}

impl InFlight {
    /// Returns an id that no pending command has: ids wrap around after 2^32 commands.
    pub(crate) fn fresh_id(&mut self) -> CommandId {
        loop {
            let id = CommandId(self.next_command);
            self.next_command = self.next_command.wrapping_add(1);
            if !self.commands.contains_key(&id) {
                return id;
            }
        }
    }

    /// Whether an unanswered command on this connection has this id.
    pub(crate) fn is_id_in_use(&self, conn: u64, id: u64) -> bool {
        self.by_client
            .get(&conn)
            .is_some_and(|ids| ids.contains_key(&id))
    }

    /// Adds a command that has no delivery yet.
    pub(crate) fn insert_command(&mut self, cmd: CommandId, command: PendingCommand) {
        let deadline = Deadline {
            at: command.deadline,
            id: cmd,
        };
        self.answer_deadlines.insert(deadline);
        self.by_client
            .entry(command.conn)
            .or_default()
            .insert(command.id, cmd);
        self.commands.insert(cmd, command);
    }

    /// Returns the open delivery with this id if it went to `host`.
    pub(crate) fn delivery_to(&self, host: HostId, delivery: u64) -> Option<&OpenDelivery> {
        self.deliveries
            .get(&delivery)
            .filter(|open| open.host == host)
    }

    /// Returns the build that a host runs, or the lowest build if it is not known.
    pub(crate) fn build_of(&self, host: HostId) -> BuildId {
        self.endpoints
            .get(&host)
            .map_or(BuildId::default(), EndpointEntry::build)
    }

    /// Sends the final answer, unless the command has already been answered.
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
        let open_deliveries = command.open_deliveries;
        if let Some(ids) = self.by_client.get_mut(&conn) {
            ids.remove(&id);
            let message = message(id);
            self.count_answer(&message);
            transport.to_client(conn, message);
        }
        if open_deliveries == 0 {
            self.commands.remove(&cmd);
        }
        self.recall(cmd, transport);
    }

    /// Marks a command as answered, so that the client gets no further answer; `None` if it was already.
    pub(crate) fn mark_answered(&mut self, cmd: CommandId) -> Option<&mut PendingCommand> {
        let command = self.commands.get_mut(&cmd)?;
        if command.is_answered {
            return None;
        }
        command.is_answered = true;
        let deadline = Deadline {
            at: command.deadline,
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

    /// Recalls the deliveries of a command that is answered: those still queued must not be sent over a connection that
    /// is made later.
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

    /// Removes a delivery that has ended; `None` if it had already ended.
    pub(crate) fn close_delivery(&mut self, delivery: u64) -> Option<OpenDelivery> {
        let closed = self.deliveries.remove(&delivery)?;
        let deadline = Deadline {
            at: closed.deadline,
            id: delivery,
        };
        self.delivery_deadlines.remove(&deadline);
        if let Some(command) = self.commands.get_mut(&closed.cmd) {
            command.open_deliveries -= 1;
        }
        Some(closed)
    }

    /// Removes a command if it is answered and has no open delivery.
    pub(crate) fn drop_if_finished(&mut self, cmd: CommandId) {
        let is_finished =
            |command: &PendingCommand| command.is_answered && command.open_deliveries == 0;
        if self.commands.get(&cmd).is_some_and(is_finished) {
            self.commands.remove(&cmd);
        }
    }
}
