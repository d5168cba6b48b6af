//! A connection of clients to one router, opened again whenever it ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use spokeflow_proto::{Command, FrameCodec, FromClient, Hello, Role, ToClient, WORK_LIMIT};
use spokeflow_scenario::observation::{AnswerKind, Observation, Process};
use spokeflow_scenario::traffic::AttemptEnd;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::Framed;

use crate::context::RunContext;
use crate::hosts::WRONG_ANSWER;
use crate::{locked, Micros};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Between two attempts to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);

type ClientLink = Framed<TcpStream, FrameCodec<ToClient, FromClient>>;

/// Where a router is reached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterEndpoint {
    /// `None` while it is down.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) process: Process,
    pub(crate) down_since: Option<Micros>,
}

/// The endpoints of all routers, by their number.
pub(crate) type RouterEndpoints = Arc<Mutex<Vec<RouterEndpoint>>>;

/// One attempt of a command.
pub(crate) struct Attempt {
    pub(crate) command: Command,
    /// Number of the command, the same in each attempt.
    pub(crate) number: u64,
    pub(crate) patience: Micros,
    /// Receives how the attempt ended.
    pub(crate) end: oneshot::Sender<AttemptEnd>,
}

impl Attempt {
    /// Ends it with the result, for which its client may have stopped waiting.
    fn finish(self, end: AttemptEnd) {
        let _ = self.end.send(end);
    }
}

/// What a client wants of its connection.
pub(crate) enum ClientRequest {
    Send(Attempt),
    /// The client of an attempt has given up.
    Abandon(u64),
}

/// A connection of one site to one router.
pub(crate) struct ClientConnection {
    pub(crate) context: Arc<RunContext>,
    pub(crate) endpoints: RouterEndpoints,
    pub(crate) router: usize,
    pub(crate) site: u16,
    pub(crate) requests: mpsc::Receiver<ClientRequest>,
}

/// The attempts of one connection that were sent, by their number; the sender is taken by the first answer.
type OpenAttempts = HashMap<u64, Option<oneshot::Sender<AttemptEnd>>>;

/// Why a connection is no longer used.
enum Closed {
    /// The router or its connection ended.
    ByRouter,
    /// No client is left.
    ByClients,
}

impl ClientConnection {
    /// Connects and works until no client is left.
    pub(crate) async fn run(mut self) {
        loop {
            let endpoint = locked(&self.endpoints)[self.router];
            let link = match endpoint.address {
                Some(address) => timeout(CONNECT_TIMEOUT, self.connect(address))
                    .await
                    .ok()
                    .flatten(),
                None => None,
            };
            let closed = match link {
                Some(link) => self.work(link, endpoint.process).await,
                None => self.refuse_requests().await,
            };
            let no_client_left = self.requests.is_closed() && self.requests.is_empty();
            if matches!(closed, Closed::ByClients) || no_client_left {
                return;
            }
        }
    }

    /// Answers requests as unreachable until it is time to connect again.
    async fn refuse_requests(&mut self) -> Closed {
        let until = Instant::now() + RECONNECT_PAUSE;
        loop {
            tokio::select! {
                () = sleep_until(until) => return Closed::ByRouter,
                request = self.requests.recv() => match request {
                    Some(ClientRequest::Send(attempt)) => attempt.finish(AttemptEnd::Unreachable),
                    Some(ClientRequest::Abandon(_)) => {}
                    None => return Closed::ByClients,
                }
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<ClientLink> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut link = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        let hello = Hello::new(Role::Client, 0, self.site);
        link.send(FromClient::Hello(hello)).await.ok()?;
        matches!(link.next().await, Some(Ok(ToClient::Welcome))).then_some(link)
    }

    /// Works on a connection until it ends; what is open then is broken.
    async fn work(&mut self, mut link: ClientLink, router: Process) -> Closed {
        let mut open = OpenAttempts::new();
        let closed = self.exchange(&mut link, router, &mut open).await;
        if matches!(closed, Closed::ByRouter) {
            for end in open.into_values().flatten() {
                // Its client may have stopped waiting.
                let _ = end.send(AttemptEnd::Broken);
            }
        }
        closed
    }

    async fn exchange(
        &mut self,
        link: &mut ClientLink,
        router: Process,
        open: &mut OpenAttempts,
    ) -> Closed {
        let mut closing = false;
        loop {
            tokio::select! {
                read = link.next() => match read {
                    Some(Ok(ToClient::Closing)) => closing = true,
                    Some(Ok(ToClient::Welcome | ToClient::Refused(_))) => return Closed::ByRouter,
                    Some(Ok(answer)) => self.receive(link, router, open, answer).await,
                    _ => return Closed::ByRouter,
                },
                request = self.requests.recv() => match request {
                    Some(ClientRequest::Send(attempt)) if closing => {
                        attempt.finish(AttemptEnd::Unreachable);
                    }
                    Some(ClientRequest::Send(attempt)) => {
                        let command = self.begin(router, open, attempt);
                        if link.send(FromClient::Command(command)).await.is_err() {
                            return Closed::ByRouter;
                        }
                    }
                    Some(ClientRequest::Abandon(id)) => {
                        if open.contains_key(&id) {
                            self.context.tap.record(Observation::Left { attempt: id });
                            // A connection that has ended is read as such.
                            let _ = link.send(FromClient::Abandon { id }).await;
                        }
                    }
                    None => return Closed::ByClients,
                },
            }
        }
    }

    /// Records and opens an attempt; returns the command to be sent.
    fn begin(&self, router: Process, open: &mut OpenAttempts, attempt: Attempt) -> Command {
        let command = attempt.command;
        self.context.tap.record(Observation::Taken {
            by: router,
            attempt: command.id,
            command: attempt.number,
            op: command.op,
            key: command.key,
            timeout: attempt.patience,
        });
        open.insert(command.id, Some(attempt.end));
        command
    }

    /// Records an answer, also a second one to the same attempt: the checker must know of it.
    async fn receive(
        &self,
        link: &mut ClientLink,
        router: Process,
        open: &mut OpenAttempts,
        answer: ToClient,
    ) {
        let (id, kind, build, end) = match answer {
            ToClient::Acked {
                id,
                build,
                receipt,
                body,
            } => {
                let wrong = &body[..] == WRONG_ANSWER;
                if wrong && rand::rng().random_bool(self.context.scenario.reported) {
                    // A connection that has ended is read as such.
                    let _ = link.send(FromClient::WrongAnswer { receipt }).await;
                }
                (
                    id,
                    AnswerKind::Acked,
                    build,
                    AttemptEnd::Acked { build, wrong },
                )
            }
            ToClient::Nacked { id, retry_after_us } => {
                let retry_after = retry_after_us.map(|time| time as Micros);
                (id, AnswerKind::Nacked, 0, AttemptEnd::Nacked(retry_after))
            }
            ToClient::Failed { id } => (id, AnswerKind::Failed, 0, AttemptEnd::Failed),
            ToClient::Welcome | ToClient::Closing | ToClient::Refused(_) => return,
        };
        let Some(waiting) = open.get_mut(&id) else {
            return;
        };
        self.context.tap.record(Observation::Answered {
            by: router,
            attempt: id,
            kind,
            build,
        });
        if let Some(waiting) = waiting.take() {
            // Its client may have stopped waiting.
            let _ = waiting.send(end);
        }
    }
}
