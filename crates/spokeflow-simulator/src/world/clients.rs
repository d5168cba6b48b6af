//! Clients: their commands, the attempts at each, and how they end.

use bytes::Bytes;
use rand::RngExt;
use spokeflow_engine::Input;
use spokeflow_proto::Command;
use spokeflow_scenario::observation::{AnswerKind, Observation, Process};
use spokeflow_scenario::report::Outcome;
use spokeflow_scenario::scenario::Repeat;
use spokeflow_scenario::traffic::{AttemptEnd, Client, PlannedCommand};
use spokeflow_scenario::{Micros, SECOND};

use super::event::Event;
use super::{World, LOCAL_DELAY};

/// The low bits of an attempt's number are its index among the open attempts.
const INDEX_BITS: u32 = 24;

/// A command that has not ended for its client.
pub(super) struct OpenCommand {
    pub(super) client: Client,
    pub(super) number: u64,
}

/// An attempt at a command that the client waits for, or whose late answer is still to be observed.
pub(super) struct OpenAttempt {
    /// The number of the attempt.
    pub(super) attempt: u64,
    /// Index of the command among the open ones.
    pub(super) client: usize,
    pub(super) router: Process,
    /// Whether the attempt has ended for the client.
    pub(super) is_answered: bool,
}

/// Encodes the numbers of attempt and command as the body of a command.
fn encode_body(attempt: u64, command: u64) -> Bytes {
    let mut body = [0; 16];
    body[..8].copy_from_slice(&attempt.to_be_bytes());
    body[8..].copy_from_slice(&command.to_be_bytes());
    Bytes::copy_from_slice(&body)
}

/// Decodes the numbers of attempt and command from the body of a command.
pub(super) fn decode_body(body: &[u8]) -> (u64, u64) {
    let number_at = |from| {
        body.get(from..from + 8)
            .and_then(|b| b.try_into().ok())
            .map_or(0, u64::from_be_bytes)
    };
    (number_at(0), number_at(8))
}

impl World {
    pub(super) fn begin_command(&mut self, planned: PlannedCommand) {
        let next = self.traffic.next(&self.scenario, &self.faults);
        if next.due < self.start + self.scenario.length {
            self.schedule_at(next.due, Event::CommandDue(next));
        }
        let number = self.next_number();
        let client = self.clients.insert(OpenCommand {
            client: Client::new(planned),
            number,
        });
        self.begin_attempt(client);
    }

    pub(super) fn begin_attempt(&mut self, key: usize) {
        let Some(open) = self.clients.get_mut(key) else {
            return;
        };
        let planned = open.client.command;
        let Some((timeout, leaves_after)) =
            open.client
                .begin_attempt(&self.scenario, &self.faults, self.now)
        else {
            return self.finish_command(key, AttemptEnd::GivenUp);
        };
        let (number, retries) = (open.number, open.client.attempts - 1);
        let down_since = |router: usize| self.routers[router].down_since;
        let router = self.router_picker.router_for(
            planned.site,
            planned.seed,
            retries,
            self.now,
            down_since,
        );
        let process = self.routers[router].process;
        if self.routers[router].down_since.is_some() {
            return self.on_attempt_end(key, AttemptEnd::Unreachable);
        }
        let attempt_number = self.next_number();
        let entry = self.attempts.vacant_entry();
        let attempt = attempt_number << INDEX_BITS | entry.key() as u64;
        entry.insert(OpenAttempt {
            attempt,
            client: key,
            router: process,
            is_answered: false,
        });
        self.peak_counts[1] = self.peak_counts[1].max(self.attempts.len());
        let op = planned.op as u16;
        self.observe(Observation::Taken {
            by: process,
            attempt,
            command: number,
            op,
            key: planned.key,
            timeout,
        });
        self.schedule(
            LOCAL_DELAY,
            Event::CommandAtRouter {
                attempt,
                time_left: timeout,
            },
        );
        self.schedule(leaves_after, Event::ClientLeaves { attempt });
    }

    fn open_attempt(&mut self, attempt: u64) -> Option<&mut OpenAttempt> {
        self.attempts
            .get_mut((attempt & ((1 << INDEX_BITS) - 1)) as usize)
            .filter(|open| open.attempt == attempt)
    }

    pub(super) fn on_command_at_router(&mut self, attempt: u64, time_left: Micros) {
        let Some(open) = self.open_attempt(attempt) else {
            return;
        };
        let (process, client) = (open.router, open.client);
        let Some(open) = self.clients.get(client) else {
            return;
        };
        let (planned, number) = (open.client.command, open.number);
        let is_deduplicated = matches!(
            self.scenario.ops[planned.op].repeat,
            Repeat::Deduplicated(_)
        );
        let command = Command {
            id: attempt,
            op: planned.op as u16,
            tenant: planned.tenant as u32,
            key: planned.key,
            idempotency_key: if is_deduplicated { number } else { 0 },
            left_us: time_left as u64,
            body: encode_body(attempt, number),
        };
        let conn = u64::from(process.router);
        self.dispatch_input(process, Input::Command { conn, command });
    }

    pub(super) fn on_answer_at_client(&mut self, attempt: u64, end: AttemptEnd, receipt: u64) {
        let Some(open) = self.open_attempt(attempt) else {
            return;
        };
        let (process, client) = (open.router, open.client);
        let kind = match end {
            AttemptEnd::Acked { .. } => Some(AnswerKind::Acked),
            AttemptEnd::Nacked(_) => Some(AnswerKind::Nacked),
            AttemptEnd::Failed => Some(AnswerKind::Failed),
            _ => None,
        };
        let was_answered = std::mem::replace(&mut open.is_answered, true);
        if let Some(kind) = kind {
            let build = if let AttemptEnd::Acked { build, .. } = end {
                build
            } else {
                0
            };
            self.observe(Observation::Answered {
                by: process,
                attempt,
                kind,
                build,
            });
        }
        if was_answered {
            return;
        }
        if matches!(end, AttemptEnd::Acked { wrong: true, .. })
            && self.rng.random_bool(self.scenario.reported)
        {
            self.schedule(LOCAL_DELAY, Event::WrongAnswerAtRouter { process, receipt });
        }
        self.on_attempt_end(client, end);
    }

    /// Handles the end of the client's wait, at its timeout or before.
    pub(super) fn on_client_leaves(&mut self, attempt: u64) {
        let Some(open) = self.open_attempt(attempt) else {
            return;
        };
        let (process, client, answered) = (open.router, open.client, open.is_answered);
        if answered {
            // The attempt was kept until now so that a second answer would be observed.
            self.attempts
                .remove((attempt & ((1 << INDEX_BITS) - 1)) as usize);
            return;
        }
        open.is_answered = true;
        self.observe(Observation::Left { attempt });
        self.schedule(LOCAL_DELAY, Event::AbandonAtRouter { attempt, process });
        self.schedule(SECOND, Event::ClientLeaves { attempt });
        self.on_attempt_end(client, AttemptEnd::GivenUp);
    }

    pub(super) fn on_attempt_end(&mut self, key: usize, end: AttemptEnd) {
        let Some(open) = self.clients.get_mut(key) else {
            return;
        };
        match open
            .client
            .retry_delay(&self.scenario, &self.faults, self.now, end)
        {
            Some(backoff) => self.schedule(backoff, Event::RetryDue(key)),
            None => self.finish_command(key, end),
        }
    }

    fn finish_command(&mut self, key: usize, end: AttemptEnd) {
        let open = self.clients.remove(key);
        let PlannedCommand {
            op,
            tenant,
            site,
            due,
            ..
        } = open.client.command;
        let (end, build) = end.command_end();
        let (took, attempts) = (self.now - due, open.client.attempts);
        let outcome = Outcome {
            command: open.number,
            op,
            tenant,
            site,
            due,
            attempts,
            end,
            took,
            build,
        };
        if let Some(recorder) = &mut self.recorder {
            recorder.record_outcome(&outcome);
        }
    }
}
