//! Clients: each command with its tries, and what becomes of it.

use bytes::Bytes;
use rand::RngExt;
use spokeflow_engine::Input;
use spokeflow_proto::Command;
use spokeflow_scenario::observation::{AnswerKind, Observation, Process};
use spokeflow_scenario::report::Outcome;
use spokeflow_scenario::scenario::Repeat;
use spokeflow_scenario::traffic::{Client, PlannedCommand, TryEnd};
use spokeflow_scenario::{Micros, SECOND};

use super::event::What;
use super::{World, LOCAL_WAY};

/// Low bits of a try's number are its place among those that are open.
const PLACE: u32 = 24;

pub(super) struct Asking {
    pub(super) client: Client,
    pub(super) number: u64,
}

pub(super) struct Trying {
    pub(super) tried: u64,
    pub(super) client: usize,
    pub(super) by: Process,
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
            self.plan_at(next.due, What::Ask(next));
        }
        let number = self.number();
        let client = self.clients.insert(Asking {
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
        let Some((patience, waits)) = asking.client.try_again(&self.day, &self.faults, self.now)
        else {
            return self.command_ended(key, TryEnd::GivenUp);
        };
        let (number, nth) = (asking.number, asking.client.tries - 1);
        let down = |r: usize| self.routers[r].down_since;
        let router = self
            .front
            .router_for(wanted.site, wanted.seed, nth, self.now, down);
        let by = self.routers[router].process;
        if self.routers[router].down_since.is_some() {
            return self.ended(key, TryEnd::Unreachable);
        }
        let counted = self.number();
        let entry = self.tries.vacant_entry();
        let tried = counted << PLACE | entry.key() as u64;
        entry.insert(Trying {
            tried,
            client: key,
            by,
            answered: false,
        });
        self.most[1] = self.most[1].max(self.tries.len());
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
            LOCAL_WAY,
            What::AtRouter {
                tried,
                left: patience,
            },
        );
        self.plan(waits, What::Leaves { tried });
    }

    fn trying(&mut self, tried: u64) -> Option<&mut Trying> {
        self.tries
            .get_mut((tried & ((1 << PLACE) - 1)) as usize)
            .filter(|t| t.tried == tried)
    }

    pub(super) fn at_router(&mut self, tried: u64, left: Micros) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client) = (t.by, t.client);
        let Some(asking) = self.clients.get(client) else {
            return;
        };
        let (wanted, number) = (asking.client.command, asking.number);
        let dropped = matches!(self.day.ops[wanted.op].repeat, Repeat::Deduplicated(_));
        let command = Command {
            id: tried,
            op: wanted.op as u16,
            tenant: wanted.customer as u32,
            key: wanted.key,
            idempotency_key: if dropped { number } else { 0 },
            left_us: left as u64,
            body: body(tried, number),
        };
        let conn = u64::from(by.router);
        self.give(by, Input::Command { conn, command });
    }

    pub(super) fn at_client(&mut self, tried: u64, end: TryEnd, receipt: u64) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client) = (t.by, t.client);
        let kind = match end {
            TryEnd::Acked { .. } => Some(AnswerKind::Acked),
            TryEnd::Nacked(_) => Some(AnswerKind::Nacked),
            TryEnd::Failed => Some(AnswerKind::Failed),
            _ => None,
        };
        let again = std::mem::replace(&mut t.answered, true);
        if let Some(kind) = kind {
            let build = if let TryEnd::Acked { build, .. } = end {
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
        if matches!(end, TryEnd::Acked { wrong: true, .. })
            && self.rng.random_bool(self.day.reported)
        {
            self.plan(LOCAL_WAY, What::DisputedAt { by, receipt });
        }
        self.ended(client, end);
    }

    /// The client's patience is over, or it goes before.
    pub(super) fn leaves(&mut self, tried: u64) {
        let Some(t) = self.trying(tried) else { return };
        let (by, client, answered) = (t.by, t.client, t.answered);
        if answered {
            // Kept until now, so that a second answer would have been seen.
            self.tries.remove((tried & ((1 << PLACE) - 1)) as usize);
            return;
        }
        t.answered = true;
        self.note(Observation::Left { attempt: tried });
        self.plan(LOCAL_WAY, What::LeaveAt { tried, by });
        self.plan(SECOND, What::Leaves { tried });
        self.ended(client, TryEnd::GivenUp);
    }

    pub(super) fn ended(&mut self, key: usize, end: TryEnd) {
        let Some(asking) = self.clients.get_mut(key) else {
            return;
        };
        match asking.client.after(&self.day, &self.faults, self.now, end) {
            Some(pause) => self.plan(pause, What::Try(key)),
            None => self.command_ended(key, end),
        }
    }

    fn command_ended(&mut self, key: usize, end: TryEnd) {
        let asking = self.clients.remove(key);
        let PlannedCommand {
            op,
            customer,
            site,
            due,
            ..
        } = asking.client.command;
        let (end, build) = end.last();
        let (took, tries) = (self.now - due, asking.client.tries);
        let outcome = Outcome {
            command: asking.number,
            op,
            customer,
            site,
            due,
            tries,
            end,
            took,
            build,
        };
        if let Some(record) = &mut self.record {
            record.ended(&outcome);
        }
    }
}
