//! Fake hosts on loopback sockets: each serves the host model of the scenario.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::{FrameCodec, FromHost, Hello, Role, ToHost, WORK_LIMIT};
use spokeflow_scenario::active_faults::LinkKind;
use spokeflow_scenario::host::{Host, Job, JobOutcome};
use spokeflow_scenario::observation::{Observation, Process, ReplyKind};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until};
use tokio_util::codec::Framed;

use crate::context::{Path, RunContext};
use crate::{locked, Micros};

/// Body of a correct answer.
const RIGHT_ANSWER: &[u8] = b"right";
/// Body of a wrong answer, which clients may report.
pub(crate) const WRONG_ANSWER: &[u8] = b"wrong";
/// Upper bound on the remaining time of a delivery, so that adding it to the current time does not overflow.
const MAX_TIME_LEFT_US: u64 = 1 << 40;

type HostLink = Framed<TcpStream, FrameCodec<ToHost, FromHost>>;

/// The content of a command's body, by which hosts identify the command to the tap.
#[derive(Clone, Copy)]
pub(crate) struct CommandBody {
    /// Number of the attempt.
    pub(crate) attempt: u64,
    /// Number of the command, the same in each attempt.
    pub(crate) command: u64,
}

impl From<CommandBody> for Bytes {
    fn from(body: CommandBody) -> Bytes {
        let mut bytes = body.attempt.to_be_bytes().to_vec();
        bytes.extend(body.command.to_be_bytes());
        bytes.into()
    }
}

impl CommandBody {
    /// Decodes a body; a number that is missing is 0.
    fn decode(body: &[u8]) -> CommandBody {
        let number = |from: usize| {
            body.get(from..from + size_of::<u64>())
                .and_then(|bytes| bytes.try_into().ok())
                .map_or(0, u64::from_be_bytes)
        };
        CommandBody {
            attempt: number(0),
            command: number(size_of::<u64>()),
        }
    }
}

/// A running process of a host, which is killed when this is dropped.
pub(crate) struct HostProcess {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) model: Arc<Mutex<Host>>,
    /// Must be notified after each change of the model from outside the process.
    pub(crate) changed: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for HostProcess {
    /// Ends the process as SIGKILL would: its sockets close, and work in progress is lost.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The host that a process belongs to, its site and its build.
pub(crate) struct HostIdentity {
    pub(crate) host: u32,
    pub(crate) site: u16,
    pub(crate) build: u16,
}

/// Starts a process of a host at `address`, or at a free port without one.
///
/// # Errors
///
/// The port cannot be bound.
pub(crate) async fn start(
    context: &Arc<RunContext>,
    identity: HostIdentity,
    model: Host,
    address: Option<SocketAddr>,
) -> std::io::Result<HostProcess> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(address.unwrap_or(any_port)).await?;
    let address = listener.local_addr()?;
    let incarnation = context.unique_id();
    let model = Arc::new(Mutex::new(model));
    let changed = Arc::new(Notify::new());
    let server = HostServer {
        context: context.clone(),
        identity,
        incarnation,
        started_at: context.tap.now(),
        model: model.clone(),
        changed: changed.clone(),
        replies: Mutex::default(),
    };
    let task = tokio::spawn(Arc::new(server).serve(listener));
    Ok(HostProcess {
        address,
        incarnation,
        model,
        changed,
        task,
    })
}

/// A message to a router, with the attempt that it answers.
struct Reply {
    message: FromHost,
    /// Number of the attempt, or 0 where the message answers none.
    attempt: u64,
}

struct HostServer {
    context: Arc<RunContext>,
    identity: HostIdentity,
    incarnation: u64,
    started_at: Micros,
    model: Arc<Mutex<Host>>,
    changed: Arc<Notify>,
    /// Senders of the replies on each connection, by number of the connection.
    replies: Mutex<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
}

impl HostServer {
    /// Serves connections until the model crashes.
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        // Dropped with this task, which closes all connections.
        let mut connections = JoinSet::new();
        loop {
            let next = locked(&self.model).next_completion();
            let due = self.context.tap.instant(next.unwrap_or(0));
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    connections.spawn(self.clone().serve_connection(stream));
                },
                () = sleep_until(due), if next.is_some() => self.advance(),
                () = self.changed.notified() => self.advance(),
            }
            while connections.try_join_next().is_some() {}
            if locked(&self.model).crashed {
                let host = self.identity.host;
                self.context.tap.record(Observation::Fell { host });
                return;
            }
        }
    }

    /// Answers the completed jobs and starts the queued jobs that can run.
    fn advance(&self) {
        let now = self.context.tap.now();
        let mut model = locked(&self.model);
        for (job, outcome) in model.take_completed(now) {
            let delivery = job.delivery;
            let message = match outcome {
                JobOutcome::Acked { wrong } => FromHost::Acked {
                    delivery,
                    body: Bytes::from_static(match wrong {
                        true => WRONG_ANSWER,
                        false => RIGHT_ANSWER,
                    }),
                },
                JobOutcome::Error => FromHost::Error { delivery },
                JobOutcome::Silent => continue,
            };
            self.reply(job.from, message, job.attempt);
        }
        let mut deduplication = locked(&self.context.deduplication);
        for job in model.start_jobs(now, &mut deduplication) {
            if job.effect {
                self.context.tap.record(Observation::Ran {
                    host: self.identity.host,
                    build: self.identity.build,
                    attempt: job.attempt,
                    command: job.command,
                    op: job.op as u16,
                });
            }
        }
    }

    fn reply(&self, connection: u64, message: FromHost, attempt: u64) {
        if let Some(replies) = locked(&self.replies).get(&connection) {
            // The connection may have ended meanwhile.
            let _ = replies.send(Reply { message, attempt });
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link = HostLink::new(stream, FrameCodec::new(WORK_LIMIT));
        let Some(Ok(ToHost::Hello(hello))) = link.next().await else {
            return;
        };
        if let Err(error) = hello.check(&[Role::Router]) {
            let _ = link.send(FromHost::Refused(error.refused())).await;
            return;
        }
        // Read before the wait for the path, during which the router may be restarted.
        let router = self.context.router_process(hello.index);
        let connection = self.context.unique_id();
        if self.welcome(&mut link, &hello).await.is_ok() {
            let path = self.inbound_path(&hello);
            self.exchange(&mut link, router, path, connection).await;
        }
        locked(&self.replies).remove(&connection);
    }

    fn inbound_path(&self, hello: &Hello) -> Path {
        Path {
            from: hello.zone,
            to: self.identity.site,
            links: LinkKind::Hosts,
        }
    }

    async fn welcome(
        &self,
        link: &mut HostLink,
        hello: &Hello,
    ) -> Result<(), spokeflow_proto::FrameError> {
        let connect_delay = self.context.faults().slow_connects;
        sleep(Duration::from_micros(connect_delay as u64)).await;
        self.context
            .wait_until_connected(self.inbound_path(hello))
            .await;
        link.send(FromHost::Welcome {
            host: self.identity.host,
            build: self.identity.build,
            incarnation: self.incarnation,
            up_us: (self.context.tap.now() - self.started_at) as u64,
        })
        .await
    }

    async fn exchange(
        &self,
        link: &mut HostLink,
        router: Process,
        inbound_path: Path,
        connection: u64,
    ) {
        let (replies, mut delayed_replies) = self.context.delayed_channel(inbound_path.reversed());
        let (inbound, mut delayed_inbound) = self.context.delayed_channel::<ToHost>(inbound_path);
        locked(&self.replies).insert(connection, replies);
        loop {
            tokio::select! {
                read = link.next() => {
                    let Some(Ok(message)) = read else { return };
                    self.record_delivery(router, &message);
                    // Cannot fail: the receiver is in this function.
                    let _ = inbound.send(message);
                }
                Some(message) = delayed_inbound.recv() => self.receive(connection, message),
                Some(reply) = delayed_replies.recv() => {
                    self.record_reply(&reply);
                    if link.send(reply.message).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Records a delivery when it arrives from the router, before the delay of the path to the host.
    fn record_delivery(&self, router: Process, message: &ToHost) {
        if let ToHost::Deliver { delivery, body, .. } = message {
            self.context.tap.record(Observation::Delivered {
                host: self.identity.host,
                build: self.identity.build,
                from: router,
                attempt: CommandBody::decode(body).attempt,
                delivery: *delivery,
            });
        }
    }

    fn record_reply(&self, reply: &Reply) {
        let (kind, delivery) = match &reply.message {
            FromHost::Acked { delivery, .. } => (ReplyKind::Acked, *delivery),
            FromHost::Error { delivery } => (ReplyKind::Error, *delivery),
            FromHost::Full { delivery } => (ReplyKind::Full, *delivery),
            _ => return,
        };
        self.context.tap.record(Observation::Replied {
            host: self.identity.host,
            attempt: reply.attempt,
            delivery,
            kind,
        });
    }

    fn receive(&self, connection: u64, message: ToHost) {
        let now = self.context.tap.now();
        match message {
            ToHost::Deliver {
                delivery,
                op,
                key,
                idempotency_key,
                left_us,
                body,
                ..
            } => {
                let body = CommandBody::decode(&body);
                let last_op = self.context.scenario.ops.len() - 1;
                let job = Job {
                    from: connection,
                    delivery,
                    attempt: body.attempt,
                    command: body.command,
                    op: usize::from(op).min(last_op),
                    key,
                    idempotency_key,
                    expires: now + left_us.min(MAX_TIME_LEFT_US) as Micros,
                };
                let accepted = locked(&self.model).arrive(now, job);
                if !accepted {
                    self.reply(connection, FromHost::Full { delivery }, body.attempt);
                }
            }
            ToHost::Cancel { delivery } => locked(&self.model).cancel(connection, delivery),
            ToHost::Probe { probe } => self.reply(connection, FromHost::Probed { probe }, 0),
            ToHost::Ping => self.reply(connection, FromHost::Pong, 0),
            ToHost::Hello(_) => {}
        }
        self.advance();
        self.changed.notify_one();
    }
}
