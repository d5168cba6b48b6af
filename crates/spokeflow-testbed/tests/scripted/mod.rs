//! One router in the process of the test, with a registry, hosts and clients that the test scripts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clap::Parser;
use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::*;
use spokeflow_router::{serve, Listening, RouterProgram, ServeError};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Index of the redeliverable operation.
pub(crate) const REDELIVERABLE: u16 = 0;
/// Index of the at-most-once operation.
pub(crate) const AT_MOST_ONCE: u16 = 1;
/// Time within which a test expects a message, a connection or the end of the router.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) type ClientLink = Framed<TcpStream, FrameCodec<ToClient, FromClient>>;
pub(crate) type RouterLink = Framed<TcpStream, FrameCodec<ToHost, FromHost>>;

/// A router with a scripted endpoint registry and a release controller that has released build 1.
pub(crate) struct RouterUnderTest {
    pub(crate) address: SocketAddr,
    list: mpsc::UnboundedSender<FromList>,
    /// Tells the router to shut down; `None` after that.
    end: Option<oneshot::Sender<()>>,
    /// The task of the router.
    pub(crate) ended: JoinHandle<Result<(), ServeError>>,
    /// Version of the last list update.
    version: u64,
}

/// Accepts one router and tells it that build 1 is released.
async fn serve_release_controller(listener: TcpListener) {
    let (stream, _) = listener.accept().await.unwrap();
    let mut link: Framed<_, FrameCodec<ToController, FromController>> =
        Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    link.next().await;
    link.send(FromController::Welcome).await.unwrap();
    let update = RolloutUpdate {
        build: 1,
        stage: 0,
        phase: RolloutPhase::Released,
        exposure_cap: 1.0,
        age_us: 0,
    };
    link.send(FromController::RolloutUpdate(update))
        .await
        .unwrap();
    while let Some(Ok(_)) = link.next().await {}
}

impl RouterUnderTest {
    /// Starts the router with further flags.
    pub(crate) async fn start(further_flags: &[&str]) -> RouterUnderTest {
        let list_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let controller_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut flags: Vec<String> = vec![
            "router".into(),
            "--listen=127.0.0.1:0".into(),
            format!("--list={}", list_listener.local_addr().unwrap()),
            format!(
                "--release-controller={}",
                controller_listener.local_addr().unwrap()
            ),
            "--op=safe:redeliverable:target=1s:timeout=4s".into(),
            "--op=once:at-most-once:target=1s:timeout=4s".into(),
            "--seed=1".into(),
        ];
        flags.extend(further_flags.iter().map(ToString::to_string));
        let flags = RouterProgram::try_parse_from(flags).unwrap().flags;
        flags.check().unwrap();
        let listening = Listening::open(&flags).await.unwrap();
        let address = listening.address();
        let (end, ending) = oneshot::channel::<()>();
        let ended = tokio::spawn(serve(flags, listening, async {
            let _ = ending.await;
        }));
        let (list, mut updates) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let (stream, _) = list_listener.accept().await.unwrap();
            let mut link: Framed<_, FrameCodec<ToList, FromList>> =
                Framed::new(stream, FrameCodec::new(LIST_LIMIT));
            link.next().await;
            link.send(FromList::Welcome).await.unwrap();
            loop {
                tokio::select! {
                    Some(message) = updates.recv() => link.send(message).await.unwrap(),
                    read = link.next() => if !matches!(read, Some(Ok(_))) { return },
                }
            }
        });
        tokio::spawn(serve_release_controller(controller_listener));
        RouterUnderTest {
            address,
            list,
            end: Some(end),
            ended,
            version: 0,
        }
    }

    /// Sends the router an update with these hosts, and gives it time to read the update.
    pub(crate) async fn list(&mut self, hosts: &[(u32, SocketAddr, EndpointPhase)]) {
        self.version += 1;
        let record = |(host, address, phase): &(u32, SocketAddr, EndpointPhase)| EndpointRecord {
            host: *host,
            address: address.to_string(),
            build: Some(1),
            cell: 0,
            zone: 0,
            phase: *phase,
            incarnation: 1,
            up_us: None,
        };
        let endpoints = hosts.iter().map(record).collect();
        self.list
            .send(FromList::Changes {
                version: self.version,
                endpoints,
            })
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    /// Tells the router to shut down.
    pub(crate) fn shut_down(&mut self) {
        let _ = self.end.take().unwrap().send(());
    }

    /// Connects a client.
    pub(crate) async fn connect_client(&self) -> ClientLink {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let mut link = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        link.send(FromClient::Hello(Hello::new(Role::Client, 0, 0)))
            .await
            .unwrap();
        assert_eq!(receive(&mut link).await, ToClient::Welcome);
        link
    }
}

/// Waits for the next message to a client.
pub(crate) async fn receive(client: &mut ClientLink) -> ToClient {
    timeout(TIMEOUT, client.next())
        .await
        .expect("the client got no message in time")
        .expect("the router closed the client connection")
        .expect("the client could not read a frame")
}

/// Builds a command whose body repeats the lowest byte of its id.
pub(crate) fn command(id: u64, op: u16, body_bytes: usize) -> FromClient {
    let body = Bytes::from(vec![id as u8; body_bytes]);
    FromClient::Command(Command {
        id,
        op,
        tenant: 0,
        key: 0,
        idempotency_key: 0,
        left_us: 3_000_000,
        body,
    })
}

/// Opens a listener for a scripted host, with a small receive buffer so that unread deliveries soon block the router.
pub(crate) fn host_listener() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns an address on which nothing listens.
pub(crate) fn closed_address() -> SocketAddr {
    host_listener().1
}

/// Accepts one connection of the router and welcomes it as a host.
pub(crate) async fn accept_router(listener: &TcpListener, host: u32) -> RouterLink {
    let (stream, _) = timeout(TIMEOUT, listener.accept())
        .await
        .expect("the router did not connect to the host in time")
        .unwrap();
    let mut link: RouterLink = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    assert!(matches!(link.next().await, Some(Ok(ToHost::Hello(_)))));
    link.send(FromHost::Welcome {
        host,
        build: 1,
        incarnation: 1,
        up_us: 100_000_000,
    })
    .await
    .unwrap();
    link
}

/// Starts a host that acks every delivery, and returns the ids of the commands delivered to it.
pub(crate) fn start_acking_host(listener: TcpListener, host: u32) -> mpsc::UnboundedReceiver<u64> {
    let (sender, delivered) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let mut link = accept_router(&listener, host).await;
            while let Some(Ok(message)) = link.next().await {
                if let ToHost::Deliver { delivery, body, .. } = message {
                    let _ = sender.send(body.first().copied().map_or(0, u64::from));
                    link.send(FromHost::Acked {
                        delivery,
                        body: Bytes::new(),
                    })
                    .await
                    .unwrap();
                }
            }
        }
    });
    delivered
}
