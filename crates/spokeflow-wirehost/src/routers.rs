//! The routers that run in this process, and the dispatch of records to them.

use std::collections::BTreeMap;

use spokeflow_core::{Endpoint, Micros, Router};

use crate::batch::BatchHeader;
use crate::error::{Problem, WireError};
use crate::event::{code, read_endpoint, Event, Start, LIST_COUNT};
use crate::field_reader::{FieldReader, Record};
use crate::reply::Reply;

/// All running routers and what they share.
#[derive(Default)]
pub(crate) struct Routers {
    /// Running routers by their numbers on the wire.
    instances: BTreeMap<u32, Instance>,
    /// Endpoint lists by the numbers under which they were defined.
    lists: [Vec<Endpoint>; LIST_COUNT],
    reply: Reply,
}

/// A running router.
struct Instance {
    router: Router,
    /// Index of the value in a load report that says how busy a host is; `None` if reports have no such value.
    busy_column: Option<usize>,
}

impl Routers {
    /// Returns the reply to the batches since it was last cleared.
    pub(crate) fn reply_mut(&mut self) -> &mut Reply {
        &mut self.reply
    }

    /// Handles the records of a batch.
    pub(crate) fn on_batch(
        &mut self,
        header: &BatchHeader,
        records: &[u8],
    ) -> Result<(), WireError> {
        let mut reader = FieldReader::new(records);
        let mut selected_router = None;
        for index in 0..header.count {
            let Record { code, mut fields } = reader.record(index)?;
            match code {
                code::FOR => selected_router = Some(fields.u32()?),
                code::DEFINE_LIST => self.define_list(&mut fields)?,
                _ => {
                    let number = selected_router.ok_or_else(|| fields.error(Problem::NoRouter))?;
                    self.on_record(code, number, header.now, &mut fields)?;
                }
            }
        }
        reader.finish(header.count)
    }

    fn define_list(&mut self, fields: &mut FieldReader) -> Result<(), WireError> {
        let number = fields.u8()?;
        let count = fields.u32()?;
        let endpoints: Result<Vec<Endpoint>, WireError> =
            (0..count).map(|_| read_endpoint(fields)).collect();
        let endpoints = endpoints?;
        let Some(list) = self.lists.get_mut(usize::from(number)) else {
            return Err(fields.error(Problem::ListNumber(number)));
        };
        *list = endpoints;
        Ok(())
    }

    fn on_record(
        &mut self,
        code: u8,
        number: u32,
        now: Micros,
        fields: &mut FieldReader,
    ) -> Result<(), WireError> {
        self.reply.set_router(number);
        if code == code::START {
            let start = Start::read(fields)?;
            self.start(number, now, &start);
            return Ok(());
        }
        // Records for a router that is not running, such as one that was stopped, are dropped.
        let Some(instance) = self.instances.get_mut(&number) else {
            return Ok(());
        };
        instance.router.set_time(now);
        match Event::read(code, fields)? {
            Event::Stop => {
                self.instances.remove(&number);
            }
            event => instance.on_event(event, &self.lists, &mut self.reply),
        }
        Ok(())
    }

    fn start(&mut self, number: u32, now: Micros, start: &Start) {
        let config = &start.settings.config;
        let instance = Instance {
            router: Router::new(config, start.seed, now, &mut self.reply),
            busy_column: start.settings.busy_column,
        };
        self.instances.insert(number, instance);
    }
}

impl Instance {
    fn on_event(&mut self, event: Event, lists: &[Vec<Endpoint>; LIST_COUNT], reply: &mut Reply) {
        let router = &mut self.router;
        match event {
            Event::List { kind, number } => {
                router.on_endpoints(kind, &lists[usize::from(number)], reply);
            }
            Event::ListFailure => router.on_list_failure(),
            Event::Command {
                cmd,
                op,
                tenant,
                key,
                time_left,
            } => router.on_command(cmd, op, tenant, key, time_left, reply),
            Event::ResponseStarted { cmd, attempt } => router.on_response_started(cmd, attempt),
            Event::Outcome {
                cmd,
                attempt,
                host,
                outcome,
                latency,
                is_answered,
                load_report,
            } => {
                let busy = self.busy_column.and_then(|column| load_report.get(column));
                if let Some(busy) = busy {
                    router.on_load_report(host, *busy);
                }
                router.on_attempt_outcome(cmd, attempt, outcome, latency, is_answered, reply);
            }
            Event::Finish(cmd) => router.finish(cmd, reply),
            Event::Timer => router.on_timer(reply),
            Event::Rollout { vote, status } => {
                if let Some(outcome) = vote {
                    router.on_vote_outcome(outcome);
                }
                if let Some(status) = status {
                    router.on_rollout_status(status, reply);
                }
            }
            Event::WrongAnswer { host, age } => router.on_wrong_answer(host, age),
            Event::Stats(stats) => router.on_controller_stats(stats),
            Event::Stop | Event::Ignored => {}
        }
    }
}
