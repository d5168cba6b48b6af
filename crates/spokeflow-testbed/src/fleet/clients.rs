//! Clients of the rig: one for each router, which sends commands at a fixed interval and records the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::*;
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use tokio_util::codec::Framed;

use super::peers::Peers;
use crate::locked;
use crate::Micros;

/// Time within which a command must be answered.
pub(super) const COMMAND_TIMEOUT: Micros = 2 * crate::SECOND;
/// Number of the idempotent operation, as the order of the routers' flags gives it.
const IDEMPOTENT_OPERATION: u16 = 0;
/// Number of the at-most-once operation, as the order of the routers' flags gives it.
pub(super) const AT_MOST_ONCE_OPERATION: u16 = 1;

/// Time between two checks whether a router runs.
const ROUTER_POLL: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The kind of an answer to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandOutcome {
    Acked,
    Nacked,
    Failed,
}

/// An answer to a command.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommandAnswer {
    pub(super) at: Micros,
    pub(super) outcome: CommandOutcome,
}

/// A command as its client saw it.
#[derive(Clone, Debug)]
pub(super) struct CommandRecord {
    pub(super) sent_at: Micros,
    pub(super) router: u32,
    pub(super) operation: u16,
    /// All answers, in the order of arrival.
    pub(super) answers: Vec<CommandAnswer>,
    /// Whether the connection ended before an answer arrived, such as when the router was killed.
    pub(super) disconnected: bool,
}

impl CommandRecord {
    pub(super) fn first_outcome(&self) -> Option<CommandOutcome> {
        self.answers.first().map(|answer| answer.outcome)
    }
}

impl Peers {
    /// Runs the client of a router: sends a command at each interval, and connects again when a connection ends. Never
    /// ends.
    pub(super) async fn run_client(self: Arc<Self>, router: u32, command_interval: Duration) {
        let mut last_number = u64::from(router) << 32;
        loop {
            let address = locked(&self.router_addresses).get(router as usize).copied();
            let Some(address) = address.flatten() else {
                sleep(ROUTER_POLL).await;
                continue;
            };
            let first = last_number + 1;
            // Whatever the reason for its end, commands without an answer are marked and a new connection is opened.
            let _ = self
                .send_commands(router, address, command_interval, &mut last_number)
                .await;
            let mut recorded = locked(&self.recorded);
            for id in first..=last_number {
                let command = recorded.commands.get_mut(&id);
                if let Some(command) = command.filter(|command| command.answers.is_empty()) {
                    command.disconnected = true;
                }
            }
        }
    }

    /// Sends commands over one connection until it ends. `last_number` is the number of the last command sent.
    async fn send_commands(
        &self,
        router: u32,
        address: SocketAddr,
        command_interval: Duration,
        last_number: &mut u64,
    ) -> Result<(), FrameError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| FrameError::TooSlow)??;
        let _ = stream.set_nodelay(true);
        let mut link: Framed<TcpStream, FrameCodec<ToClient, FromClient>> =
            Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        link.send(FromClient::Hello(Hello::new(Role::Client, 0, 0)))
            .await?;
        let mut ticks = interval(command_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                read = link.next() => {
                    let Some(message) = read else { return Ok(()) };
                    self.record_answer(message?);
                }
                _ = ticks.tick() => {
                    *last_number += 1;
                    let command = self.record_command(router, *last_number);
                    link.send(FromClient::Command(command)).await?;
                }
            }
        }
    }

    fn record_answer(&self, message: ToClient) {
        let (id, outcome) = match message {
            ToClient::Acked { id, .. } => (id, CommandOutcome::Acked),
            ToClient::Nacked { id, .. } => (id, CommandOutcome::Nacked),
            ToClient::Failed { id } => (id, CommandOutcome::Failed),
            _ => return,
        };
        let at = self.now();
        if let Some(command) = locked(&self.recorded).commands.get_mut(&id) {
            command.answers.push(CommandAnswer { at, outcome });
        }
    }

    /// Builds and records the command with a number. Every third command is of the at-most-once operation.
    fn record_command(&self, router: u32, id: u64) -> Command {
        let operation = match id.is_multiple_of(3) {
            true => AT_MOST_ONCE_OPERATION,
            false => IDEMPOTENT_OPERATION,
        };
        let record = CommandRecord {
            sent_at: self.now(),
            router,
            operation,
            answers: Vec::new(),
            disconnected: false,
        };
        locked(&self.recorded).commands.insert(id, record);
        Command {
            id,
            op: operation,
            tenant: 0,
            // No sticky key, so that each command may go to either build.
            key: 0,
            idempotency_key: id,
            left_us: COMMAND_TIMEOUT as u64,
            body: Bytes::copy_from_slice(&id.to_be_bytes()),
        }
    }
}

/// Returns the number that a client wrote into the body of its command; 0 if the body is shorter than a number.
pub(super) fn command_number(body: &[u8]) -> u64 {
    body.first_chunk::<8>()
        .map_or(0, |bytes| u64::from_be_bytes(*bytes))
}
