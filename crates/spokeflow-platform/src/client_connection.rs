//! A client's connection. Requests are read whole and checked one at a time, and each command is handed to the task
//! that owns the engine. A request that is no valid command is refused here and never reaches the engine.

use std::sync::Arc;

use bytes::Bytes;
use spokeflow_http::{HttpError, Response};
use spokeflow_proto::{Command, ToClient};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tracing::{debug, info};

use crate::client_link::{ClientLink, ReadOutcome};
use crate::client_request::{ClientRequest, RequestKind};
use crate::connection_state::{Activity, ConnectionState};
use crate::event::EngineEvent;
use crate::listener_context::ListenerContext;
use crate::request_wait::{RequestWait, Wake};

/// The task that serves one client's connection.
pub(crate) struct ClientConnection {
    /// Number of the connection, never used twice by this process.
    pub(crate) connection: u64,
    pub(crate) context: Arc<ListenerContext>,
    pub(crate) state: Arc<ConnectionState>,
}

impl ClientConnection {
    /// Serves the connection until it is closed.
    pub(crate) async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link = ClientLink::new(stream, self.context.clone());
        let mut is_known = false;
        let served = self.serve(&mut link, &mut is_known).await;
        // Before a refusal, which takes time: nothing more may be sent for this client.
        if is_known {
            let event = EngineEvent::ClientDisconnected(self.connection);
            let _ = self.context.events.send(event).await;
        }
        if let Err(error) = served {
            self.refuse(&mut link, error).await;
        }
    }

    /// Logs the error and answers the client with its status, if the client may still read it.
    async fn refuse(&self, link: &mut ClientLink, error: HttpError) {
        if let Some(suppressed) = self.context.clock.allow_log_line() {
            let peer = link.peer();
            info!(connection = self.connection, ?peer, suppressed, %error, "client refused");
        }
        let Some(status) = error.status() else {
            return;
        };
        self.state.set(Activity::Closing, &self.context.clock);
        let refusal = Response {
            status,
            close: true,
            ..Response::default()
        };
        link.refuse(&refusal).await;
    }

    /// Waits for the next request; `None` if the connection is to be closed between two requests. It is closed only if
    /// no byte of the next request has arrived: otherwise a request would be accepted and never answered.
    async fn next_request(
        &self,
        link: &mut ClientLink,
        has_had_answer: bool,
    ) -> Result<Option<ClientRequest>, HttpError> {
        let mut wait = RequestWait::starting_now(has_had_answer);
        self.state.set(wait.activity(), &self.context.clock);
        loop {
            if !wait.has_begun && link.has_begun() {
                wait.begin();
                self.state.set(Activity::Receiving, &self.context.clock);
            }
            match self.wait(link, &mut wait).await? {
                Wake::Request(request) => return Ok(Some(request)),
                Wake::Continue => continue,
                Wake::Disconnected => return Ok(None),
                Wake::Close => {}
            }
            if !link.has_unread_input() {
                return Ok(None);
            }
            // A request arrived while the connection was about to be closed, and the runtime does not know of it yet.
            if wait.has_begun {
                return Err(HttpError::Unreadable("no request received in time"));
            }
            wait.begin_instead_of_closing();
            self.state.set(Activity::Receiving, &self.context.clock);
        }
    }

    /// Waits once for a part of a request, or for a reason to close the connection.
    async fn wait(&self, link: &mut ClientLink, wait: &mut RequestWait) -> Result<Wake, HttpError> {
        let mut closing = self.context.closing.clone();
        tokio::select! {
            biased;
            // First: the input of a client may never end.
            _ = self.state.close_requested.notified() => {
                if link.has_begun() {
                    return Err(HttpError::Overloaded);
                }
                Ok(Wake::Close)
            }
            read = link.read() => Ok(match read? {
                ReadOutcome::Request(request) => Wake::Request(request),
                ReadOutcome::Part if wait.is_over() => wait.close_or_refuse(link.has_begun())?,
                ReadOutcome::Part => Wake::Continue,
                ReadOutcome::End => Wake::Disconnected,
            }),
            _ = async { closing.wait_for(|closing| *closing).await.is_ok() },
                if !wait.has_begun && !wait.has_seen_closing => Ok(wait.on_closing()),
            _ = sleep_until(wait.until) => {
                wait.close_or_refuse(link.has_begun())
            }
        }
    }

    /// Serves requests until the connection is to be closed. Sets `is_known` once the engine gets a command of this
    /// connection and has to learn of its end.
    async fn serve(&self, link: &mut ClientLink, is_known: &mut bool) -> Result<(), HttpError> {
        let mut commands = 0;
        while let Some(request) = self.next_request(link, commands > 0).await? {
            let keep_alive = request.keep_alive;
            let mut answer = match request.kind {
                RequestKind::HealthCheck => self.health(),
                RequestKind::Invalid(status) => invalid(status),
                RequestKind::NoRoom => self.no_room(),
                RequestKind::Command { id, mut command } => {
                    *is_known = true;
                    self.state.set(Activity::Serving, &self.context.clock);
                    commands += 1;
                    command.id = commands;
                    match self.execute(link, id, command).await? {
                        Some(answer) => answer,
                        None => return Ok(()),
                    }
                }
            };
            // A client that has already sent its next request gets an answer to that request as well.
            let shutting_down = self.context.clock.is_shutting_down() && !link.has_more_input();
            answer.close |= !keep_alive || shutting_down;
            link.send(&answer).await?;
            if answer.close {
                link.finish().await;
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the answer to a health check.
    fn health(&self) -> Response {
        Response {
            status: if self.context.is_up() { 200 } else { 503 },
            ..Response::default()
        }
    }

    /// Returns the answer to a request for which there was no room. It has not been forwarded, so a retry is safe.
    fn no_room(&self) -> Response {
        if let Some(suppressed) = self.context.clock.allow_log_line() {
            let held = self.context.requests.pool.reserved();
            info!(
                connection = self.connection,
                held, suppressed, "no room for a request"
            );
        }
        Response {
            status: 503,
            retry_after: self.context.retry_after,
            ..Response::default()
        }
    }

    /// Hands a command to the engine's task and waits for the answer; `None` if the client has closed the connection or
    /// the engine's task has ended. A client that sends too much ahead of the answer is an error.
    async fn execute(
        &self,
        link: &mut ClientLink,
        id: Bytes,
        command: Command,
    ) -> Result<Option<Response>, HttpError> {
        if link.is_closed_by_client() {
            return Ok(None);
        }
        let (answer, mut answer_receiver) = oneshot::channel();
        let event = EngineEvent::Command {
            connection: self.connection,
            id,
            command,
            answer,
        };
        if self.context.events.send(event).await.is_err() {
            return Ok(None);
        }
        let message = tokio::select! {
            biased;
            message = &mut answer_receiver => message,
            // A client that closes the connection does not wait for the answer.
            closed = link.wait_for_close() => return closed.map(|()| None),
        };
        Ok(Some(match message {
            Ok(message) => to_answer(message),
            Err(_) => Response {
                status: 500,
                ..Response::default()
            },
        }))
    }
}

/// Returns the answer to a request that is not valid.
fn invalid(status: u16) -> Response {
    Response {
        status,
        close: true,
        ..Response::default()
    }
}

/// Returns the response that carries the engine's answer.
fn to_answer(message: ToClient) -> Response {
    match message {
        ToClient::Acked { body, .. } => Response {
            status: 200,
            body,
            ..Response::default()
        },
        ToClient::Nacked { retry_after_us, .. } => Response {
            status: 503,
            retry_after: retry_after_us.map(|us| us as f64 / 1e6),
            ..Response::default()
        },
        ToClient::Refused(refused) => {
            debug!(reason = refused.text, "command refused");
            Response {
                status: 409,
                close: true,
                ..Response::default()
            }
        }
        _ => Response {
            status: 502,
            ..Response::default()
        },
    }
}
