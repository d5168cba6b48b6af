//! Clients: each command with its tries, and what becomes of it.

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

/// Low bits of a try's number are its place among those that are open.
const PLACE: u32 = 24;

pub(super) struct OpenCommand {
    pub(super) client: Client,
    pub(super) number: u64,
}

pub(super) struct OpenAttempt {
    pub(super) attempt: u64,
    pub(super) client: usize,
    pub(super) router: Process,
    pub(super) answered: bool,
}

fn body(tried: u64, command: u64) -> Bytes {
    let mut body = [0; 16];
    body[..8].copy_from_slice(&tried.to_be_bytes());
    body[8..].copy_from_slice(&command.to_be_bytes());
    Bytes::copy_from_slice(&body)
}

pub(super) fn read_body(body: &[u8]) -> (u64, u64) {
    let part = |from| {
        body.get(from..from + 8)
            .and_then(|b| b.try_into().ok())
            .map_or(0, u64::from_be_bytes)
    };
    (part(0), part(8))
}

impl World {
    pub(super) fn ask(&mut self, wanted: PlannedCommand) {
        let next = self.traffic.next(&self.day, &self.faults);
        if next.due < self.start + self.day.length {
            self.plan_at(next.due, Event::CommandDue(next));
        }
        let number = self.number();
        let client = self.clients.insert(OpenCommand {
            client: Client::new(wanted),
            number,
        });
        self.try_again(client);
    }

    pub(super) fn try_again(&mut self, key: usize) {
        let Some(asking) = self.clients.get_mut(key) else {
            return;
        };
        let wanted = asking.client.command;
        let Some((patience, waits)) =
            asking
                .client
                .begin_attempt(&self.day, &self.faults, self.now)
        else {
            return self.command_ended(key, AttemptEnd::GivenUp);
        };
        let (number, nth) = (asking.number, asking.client.attempts - 1);
        let down = |r: usize| self.routers[r].down_since;
        let router = self
            .router_picker
            .router_for(wanted.site, wanted.seed, nth, self.now, down);
        let by = self.routers[router].process;
        if self.routers[router].down_since.is_some() {
            return self.ended(key, AttemptEnd::Unreachable);
        }
        let counted = self.number();
        let entry = self.attempts.vacant_entry();
        let tried = counted << PLACE | entry.key() as u64;
        entry.insert(OpenAttempt {
            attempt: tried,
            client: key,
            router: by,
            answered: false,
        });
        self.most[1] = self.most[1].max(self.attempts.len());
        let op = wanted.op as u16;
        self.note(Observation::Taken {
            by,
            attempt: tried,
            command: number,
            op,
            key: wanted.key,
            timeout: patience,
        });
        self.plan(
            LOCAL_DELAY,
            Event::CommandAtRouter {
                tried,
                left: patience,
            },
        );
        self.plan(waits, Event::ClientLeaves { tried });
    }

    fn trying(&mut self, tried: u64) -> Option<&mut OpenAttempt> {
        self.attempts
            .get_mut((tried & ((1 << PLACE) - 1)) as usize)
            .filter(|t| t.attempt == tried)
    }

    pub(super) fn at_router(&mut self, tried: u64, left: Micros) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client) = (t.router, t.client);
        let Some(asking) = self.clients.get(client) else {
            return;
        };
        let (wanted, number) = (asking.client.command, asking.number);
        let dropped = matches!(self.day.ops[wanted.op].repeat, Repeat::Deduplicated(_));
        let command = Command {
            id: tried,
            op: wanted.op as u16,
            tenant: wanted.tenant as u32,
            key: wanted.key,
            idempotency_key: if dropped { number } else { 0 },
            left_us: left as u64,
            body: body(tried, number),
        };
        let conn = u64::from(by.router);
        self.give(by, Input::Command { conn, command });
    }

    pub(super) fn at_client(&mut self, tried: u64, end: AttemptEnd, receipt: u64) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client) = (t.router, t.client);
        let kind = match end {
            AttemptEnd::Acked { .. } => Some(AnswerKind::Acked),
            AttemptEnd::Nacked(_) => Some(AnswerKind::Nacked),
            AttemptEnd::Failed => Some(AnswerKind::Failed),
            _ => None,
        };
        let again = std::mem::replace(&mut t.answered, true);
        if let Some(kind) = kind {
            let build = if let AttemptEnd::Acked { build, .. } = end {
                build
            } else {
                0
            };
            self.note(Observation::Answered {
                by,
                attempt: tried,
                kind,
                build,
            });
        }
        if again {
            return;
        }
        if matches!(end, AttemptEnd::Acked { wrong: true, .. })
            && self.rng.random_bool(self.day.reported)
        {
            self.plan(LOCAL_DELAY, Event::WrongAnswerAtRouter { by, receipt });
        }
        self.ended(client, end);
    }

    /// The client's patience is over, or it goes before.
    pub(super) fn leaves(&mut self, tried: u64) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client, answered) = (t.router, t.client, t.answered);
        if answered {
            // Kept until now, so that a second answer would have been seen.
            self.attempts.remove((tried & ((1 << PLACE) - 1)) as usize);
            return;
        }
        t.answered = true;
        self.note(Observation::Left { attempt: tried });
        self.plan(LOCAL_DELAY, Event::AbandonAtRouter { tried, by });
        self.plan(SECOND, Event::ClientLeaves { tried });
        self.ended(client, AttemptEnd::GivenUp);
    }

    pub(super) fn ended(&mut self, key: usize, end: AttemptEnd) {
        let Some(asking) = self.clients.get_mut(key) else {
            return;
        };
        match asking
            .client
            .retry_delay(&self.day, &self.faults, self.now, end)
        {
            Some(pause) => self.plan(pause, Event::RetryDue(key)),
            None => self.command_ended(key, end),
        }
    }

    fn command_ended(&mut self, key: usize, end: AttemptEnd) {
        let asking = self.clients.remove(key);
        let PlannedCommand {
            op,
            tenant,
            site,
            due,
            ..
        } = asking.client.command;
        let (end, build) = end.command_end();
        let (took, attempts) = (self.now - due, asking.client.attempts);
        let outcome = Outcome {
            command: asking.number,
            op,
            tenant,
            site,
            due,
            attempts,
            end,
            took,
            build,
        };
        if let Some(record) = &mut self.record {
            record.record_outcome(&outcome);
        }
    }
}
