//! The fake clients: send an open loop of commands with timeouts, retries, sticky keys and tenants, and report wrong
//! answers. Each site has connections to all routers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use spokeflow_proto::Command;
use spokeflow_scenario::report::{End, Outcome};
use spokeflow_scenario::router_picker::RouterPicker;
use spokeflow_scenario::scenario::Repeat;
use spokeflow_scenario::traffic::{AttemptEnd, Client, PlannedCommand, Traffic};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, timeout};

use crate::client_connection::{Attempt, ClientConnection, ClientRequest, RouterEndpoints};
use crate::context::RunContext;
use crate::hosts::CommandBody;
use crate::{locked, Micros};

/// Connections from a site to a router: more than one, so that the end of one does not fail all commands.
const CONNECTIONS_PER_ROUTER: usize = 3;
/// Capacity of the request queue of a connection: more requests than clients send within the timeout of connecting.
const REQUEST_QUEUE: usize = 1024;

/// The request queues of all connections from one site to one router.
type RouterConnections = Vec<mpsc::Sender<ClientRequest>>;

/// All clients of a run.
pub(crate) struct ClientPool {
    context: Arc<RunContext>,
    endpoints: RouterEndpoints,
    /// By site, then by router.
    connections: Vec<Vec<RouterConnections>>,
    outcomes: Mutex<Vec<Outcome>>,
    picker: RouterPicker,
}

impl ClientPool {
    /// Opens the connections of all sites to all routers.
    pub(crate) fn new(context: Arc<RunContext>, endpoints: RouterEndpoints) -> Arc<ClientPool> {
        let scenario = &context.scenario;
        let routers = 0..scenario.routers as usize;
        let connections = (0..scenario.sites)
            .map(|site| {
                let routers = routers.clone();
                routers
                    .map(|router| open_connections(&context, &endpoints, router, site))
                    .collect()
            })
            .collect();
        let picker = RouterPicker::new(scenario);
        Arc::new(ClientPool {
            context,
            endpoints,
            connections,
            outcomes: Mutex::default(),
            picker,
        })
    }

    /// Removes and returns the outcomes of all commands that have ended.
    pub(crate) fn take_outcomes(&self) -> Vec<Outcome> {
        std::mem::take(&mut *locked(&self.outcomes))
    }

    /// Sends commands until a time as an open loop: a command does not wait for the answers to earlier ones.
    pub(crate) async fn send_until(self: Arc<Self>, until: Micros) {
        let context = &self.context;
        let mut traffic = Traffic::new(&context.scenario, context.tap.now());
        loop {
            let planned = traffic.next(&context.scenario, &context.faults());
            if planned.due >= until {
                return;
            }
            sleep_until(context.tap.instant(planned.due)).await;
            tokio::spawn(self.clone().run_command(planned));
        }
    }

    /// Runs a command to its end, over all its attempts, and records its outcome.
    async fn run_command(self: Arc<Self>, planned: PlannedCommand) {
        let number = self.context.unique_id();
        let mut client = Client::new(planned);
        let (end, build) = self.attempt_until_end(&mut client, planned, number).await;
        let outcome = Outcome {
            command: number,
            op: planned.op,
            tenant: planned.tenant,
            site: planned.site,
            due: planned.due,
            attempts: client.attempts,
            end,
            took: self.context.tap.now() - planned.due,
            build,
        };
        locked(&self.outcomes).push(outcome);
    }

    /// Sends attempts until the command ends. Returns how it ended, and the build that answered it or 0 for none.
    async fn attempt_until_end(
        &self,
        client: &mut Client,
        planned: PlannedCommand,
        number: u64,
    ) -> (End, u16) {
        let context = &self.context;
        let scenario = &context.scenario;
        loop {
            let times = client.begin_attempt(scenario, &context.faults(), context.tap.now());
            let Some((stated_timeout, answer_timeout)) = times else {
                return (End::GivenUp, 0);
            };
            let router = self.pick_router(&planned, client.attempts - 1);
            let connections = &self.connections[usize::from(planned.site)][router];
            let connection = &connections[client.rng.random_range(0..connections.len())];
            let command = self.command(&planned, number, stated_timeout);
            let id = command.id;
            let (end, ended) = oneshot::channel();
            let attempt = Attempt {
                command,
                number,
                stated_timeout,
                end,
            };
            if connection.send(ClientRequest::Send(attempt)).await.is_err() {
                return (End::Unreachable, 0);
            }
            let answer_timeout = Duration::from_micros(answer_timeout as u64);
            let end = match timeout(answer_timeout, ended).await {
                Ok(ended) => ended.unwrap_or(AttemptEnd::Failed),
                Err(_) => {
                    // A connection that has ended has already dropped the attempt.
                    let _ = connection.send(ClientRequest::Abandon(id)).await;
                    AttemptEnd::GivenUp
                }
            };
            match client.retry_delay(scenario, &context.faults(), context.tap.now(), end) {
                Some(delay) => sleep(Duration::from_micros(delay as u64)).await,
                None => return end.command_end(),
            }
        }
    }

    /// Returns the index of the router for an attempt.
    fn pick_router(&self, planned: &PlannedCommand, attempt: u32) -> usize {
        let endpoints = locked(&self.endpoints);
        let now = self.context.tap.now();
        let down_since = |router: usize| endpoints[router].down_since;
        self.picker
            .router_for(planned.site, planned.seed, attempt, now, down_since)
    }

    /// Builds the command message of a new attempt, whose id is unique to the attempt.
    fn command(&self, planned: &PlannedCommand, number: u64, stated_timeout: Micros) -> Command {
        let attempt = self.context.unique_id();
        let repeat = self.context.scenario.ops[planned.op].repeat;
        let idempotency_key = match repeat {
            Repeat::Deduplicated(_) => number,
            Repeat::Redeliverable | Repeat::AtMostOnce => 0,
        };
        let body = CommandBody {
            attempt,
            command: number,
        };
        Command {
            id: attempt,
            op: planned.op as u16,
            tenant: planned.tenant as u32,
            key: planned.key,
            idempotency_key,
            left_us: stated_timeout as u64,
            body: body.into(),
        }
    }
}

fn open_connections(
    context: &Arc<RunContext>,
    endpoints: &RouterEndpoints,
    router: usize,
    site: u16,
) -> RouterConnections {
    (0..CONNECTIONS_PER_ROUTER)
        .map(|_| {
            let (sender, requests) = mpsc::channel(REQUEST_QUEUE);
            let connection = ClientConnection {
                context: context.clone(),
                endpoints: endpoints.clone(),
                router,
                site,
                requests,
            };
            tokio::spawn(connection.run());
            sender
        })
        .collect()
}
