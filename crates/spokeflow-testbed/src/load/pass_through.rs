//! The baseline of a load: a proxy with the same codec and number of hops as a router, which makes no routing decisions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use futures_util::{Sink, SinkExt, StreamExt};
use spokeflow_proto::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use super::LoadError;
use crate::locked;

/// Capacity of the message queue of a connection: holds a burst of the load.
const QUEUE_CAPACITY: usize = 1024;
/// Small, since many client connections are open and idle.
const READ_BUFFER_BYTES: usize = 512;

/// The client that the answer to a delivery goes to, and the id of its command.
struct AnswerRoute {
    client: mpsc::Sender<ToClient>,
    id: u64,
}

/// State that all connections of the proxy share.
struct Proxy {
    /// Routes of the open deliveries, by number of the delivery.
    routes: Mutex<HashMap<u64, AnswerRoute>>,
    next_delivery: AtomicU64,
    /// The message queues of the connections to the hosts.
    hosts: Vec<mpsc::Sender<ToHost>>,
}

/// Forwards every command to the next host in turn and its answer back to the client, until the listener fails.
///
/// # Errors
///
/// A host cannot be reached, or the listener fails.
pub async fn pass_through(hosts: &[SocketAddr]) -> Result<(), LoadError> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(LoadError::Listen)?;
    let address = listener.local_addr().map_err(LoadError::Listen)?;
    println!("listening on {address}");
    let mut host_queues = Vec::new();
    let mut host_connections = Vec::new();
    for address in hosts {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        host_queues.push(queue);
        host_connections.push((connect_host(*address).await?, messages));
    }
    let proxy = Arc::new(Proxy {
        routes: Mutex::default(),
        next_delivery: AtomicU64::new(0),
        hosts: host_queues,
    });
    for (link, messages) in host_connections {
        tokio::spawn(proxy.clone().serve_host(link, messages));
    }
    loop {
        let (stream, _) = listener.accept().await.map_err(LoadError::Listen)?;
        tokio::spawn(proxy.clone().serve_client(stream));
    }
}

type HostLink = Framed<TcpStream, FrameCodec<FromHost, ToHost>>;

async fn connect_host(address: SocketAddr) -> Result<HostLink, LoadError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| LoadError::Connect { address, source })?;
    let _ = stream.set_nodelay(true);
    let mut link = HostLink::new(stream, FrameCodec::new(WORK_LIMIT));
    link.send(ToHost::Hello(Hello::new(Role::Router, 0, 0)))
        .await?;
    Ok(link)
}

impl Proxy {
    async fn serve_host(self: Arc<Self>, mut link: HostLink, mut messages: mpsc::Receiver<ToHost>) {
        loop {
            tokio::select! {
                Some(message) = messages.recv() => {
                    if send_batch(&mut link, message, &mut messages).await.is_err() {
                        return;
                    }
                }
                read = link.next() => {
                    let Some(Ok(message)) = read else { return };
                    if let FromHost::Acked { delivery, body } = message {
                        self.answer(delivery, body).await;
                    }
                }
            }
        }
    }

    /// Sends the answer to a delivery to the client.
    async fn answer(&self, delivery: u64, body: bytes::Bytes) {
        let route = locked(&self.routes).remove(&delivery);
        if let Some(AnswerRoute { client, id }) = route {
            let answer = ToClient::Acked {
                id,
                build: 1,
                receipt: 0,
                body,
            };
            // The client may have disconnected.
            let _ = client.send(answer).await;
        }
    }

    async fn serve_client(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut link: Framed<_, FrameCodec<FromClient, ToClient>> =
            Framed::with_capacity(stream, FrameCodec::new(WORK_LIMIT), READ_BUFFER_BYTES);
        let (answer, mut answers) = mpsc::channel(QUEUE_CAPACITY);
        loop {
            tokio::select! {
                read = link.next() => match read {
                    Some(Ok(FromClient::Hello(_))) => {
                        // The next read reports a connection that has ended.
                        let _ = link.send(ToClient::Welcome).await;
                    }
                    Some(Ok(FromClient::Command(command))) => {
                        if self.forward(command, answer.clone()).await.is_err() {
                            return;
                        }
                    }
                    Some(Ok(_)) => {}
                    _ => return,
                },
                Some(message) = answers.recv() => {
                    if send_batch(&mut link, message, &mut answers).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Forwards a command to the next host in turn; fails where the connection to that host has ended.
    async fn forward(
        &self,
        command: Command,
        client: mpsc::Sender<ToClient>,
    ) -> Result<(), mpsc::error::SendError<ToHost>> {
        let delivery = self.next_delivery.fetch_add(1, Ordering::Relaxed);
        let id = command.id;
        locked(&self.routes).insert(delivery, AnswerRoute { client, id });
        let message = ToHost::Deliver {
            delivery,
            op: command.op,
            tenant: command.tenant,
            key: command.key,
            idempotency_key: command.idempotency_key,
            left_us: command.left_us,
            body: command.body,
        };
        let host = delivery as usize % self.hosts.len();
        self.hosts[host].send(message).await
    }
}

/// Sends a message and those queued behind it, with one flush.
async fn send_batch<T, L: Sink<T> + Unpin>(
    link: &mut L,
    first: T,
    waiting: &mut mpsc::Receiver<T>,
) -> Result<(), L::Error> {
    link.feed(first).await?;
    while let Ok(message) = waiting.try_recv() {
        link.feed(message).await?;
    }
    link.flush().await
}
