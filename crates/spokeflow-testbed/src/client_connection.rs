//! A connection that the clients of one site share to one router. It reconnects whenever it ends.

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
/// Time between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(30);

type ClientLink = Framed<TcpStream, FrameCodec<ToClient, FromClient>>;

/// The current address and process of a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterEndpoint {
    /// The address on which the router listens, or `None` while the router is down.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) process: Process,
    /// Time of the run at which the router went down, or `None` while it runs.
    pub(crate) down_since: Option<Micros>,
}

/// The endpoints of all routers, by index of the router.
pub(crate) type RouterEndpoints = Arc<Mutex<Vec<RouterEndpoint>>>;

/// One attempt at a command.
pub(crate) struct Attempt {
    pub(crate) command: Command,
    /// Number of the command, the same in each attempt.
    pub(crate) number: u64,
    /// The timeout that the command states to the router.
    pub(crate) stated_timeout: Micros,
    /// Receives the result of the attempt.
    pub(crate) end: oneshot::Sender<AttemptEnd>,
}

impl Attempt {
    /// Sends the result to the client.
    fn finish(self, end: AttemptEnd) {
        // The client may have stopped waiting.
        let _ = self.end.send(end);
    }
}

/// A request of a client to its connection.
pub(crate) enum ClientRequest {
    /// Sends an attempt.
    Send(Attempt),
    /// Abandons the attempt with this number: its client has given up.
    Abandon(u64),
}

/// A connection from one site to one router.
pub(crate) struct ClientConnection {
    pub(crate) context: Arc<RunContext>,
    pub(crate) endpoints: RouterEndpoints,
    /// Index of the router.
    pub(crate) router: usize,
    pub(crate) site: u16,
    pub(crate) requests: mpsc::Receiver<ClientRequest>,
}

/// The attempts sent on one connection, by number of the attempt. The first answer takes the sender.
type OpenAttempts = HashMap<u64, Option<oneshot::Sender<AttemptEnd>>>;

/// Why a connection ended.
enum Closed {
    /// The router closed the connection, or could not be reached.
    ByRouter,
    /// All clients have ended.
    ByClients,
}

impl ClientConnection {
    /// Connects, serves requests and reconnects until all clients have ended.
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
                Some(link) => self.serve(link, endpoint.process).await,
                None => self.refuse_requests().await,
            };
            let no_client_left = self.requests.is_closed() && self.requests.is_empty();
            if matches!(closed, Closed::ByClients) || no_client_left {
                return;
            }
        }
    }

    /// Answers requests with [`AttemptEnd::Unreachable`] until the next attempt to connect.
    async fn refuse_requests(&mut self) -> Closed {
        let until = Instant::now() + RECONNECT_INTERVAL;
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

    /// Serves requests on a connection until it ends. Attempts that are open when the router ends it get
    /// [`AttemptEnd::Broken`].
    async fn serve(&mut self, mut link: ClientLink, router: Process) -> Closed {
        let mut open = OpenAttempts::new();
        let closed = self.exchange(&mut link, router, &mut open).await;
        if matches!(closed, Closed::ByRouter) {
            for end in open.into_values().flatten() {
                // The client may have stopped waiting.
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
                            // The next read reports a connection that has ended.
                            let _ = link.send(FromClient::Abandon { id }).await;
                        }
                    }
                    None => return Closed::ByClients,
                },
            }
        }
    }

    /// Records an attempt and adds it to the open attempts; returns the command to send.
    fn begin(&self, router: Process, open: &mut OpenAttempts, attempt: Attempt) -> Command {
        let command = attempt.command;
        self.context.tap.record(Observation::Taken {
            by: router,
            attempt: command.id,
            command: attempt.number,
            op: command.op,
            key: command.key,
            timeout: attempt.stated_timeout,
        });
        open.insert(command.id, Some(attempt.end));
        command
    }

    /// Records an answer and passes it to the client. A second answer to the same attempt is recorded too, since the
    /// checker reports it.
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
                    // The next read reports a connection that has ended.
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
                let retry_after = retry_after_us.map(|micros| micros as Micros);
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
            // The client may have stopped waiting.
            let _ = waiting.send(end);
        }
    }
}
