//! Peers that do exactly what a test says, around one router in this process.

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

pub(crate) const SAFE: u16 = 0;
pub(crate) const ONCE: u16 = 1;
pub(crate) const SOON: Duration = Duration::from_secs(5);

pub(crate) type Client = Framed<TcpStream, FrameCodec<ToClient, FromClient>>;
pub(crate) type Router = Framed<TcpStream, FrameCodec<ToHost, FromHost>>;

/// A router with a scripted list and a desk that has released build 1.
pub(crate) struct Scene {
    pub(crate) address: SocketAddr,
    list: mpsc::UnboundedSender<FromList>,
    end: Option<oneshot::Sender<()>>,
    pub(crate) ended: JoinHandle<Result<(), ServeError>>,
    version: u64,
}

/// Tells one router that its build is released.
async fn serve_release_controller(desk_port: TcpListener) {
    let (stream, _) = desk_port.accept().await.unwrap();
    let mut link: Framed<_, FrameCodec<ToController, FromController>> =
        Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    link.next().await;
    link.send(FromController::Welcome).await.unwrap();
    let standing = RolloutPhase::Released;
    let news = RolloutUpdate {
        build: 1,
        stage: 0,
        phase: standing,
        exposure_cap: 1.0,
        age_us: 0,
    };
    link.send(FromController::RolloutUpdate(news))
        .await
        .unwrap();
    while let Some(Ok(_)) = link.next().await {}
}

impl Scene {
    pub(crate) async fn open(more: &[&str]) -> Scene {
        let list_port = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let desk_port = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut flags: Vec<String> = vec![
            "router".into(),
            "--listen=127.0.0.1:0".into(),
            format!("--list={}", list_port.local_addr().unwrap()),
            format!("--release-controller={}", desk_port.local_addr().unwrap()),
            "--op=safe:redeliverable:target=1s:timeout=4s".into(),
            "--op=once:at-most-once:target=1s:timeout=4s".into(),
            "--seed=1".into(),
        ];
        flags.extend(more.iter().map(ToString::to_string));
        let terms = RouterProgram::try_parse_from(flags).unwrap().flags;
        terms.check().unwrap();
        let listening = Listening::open(&terms).await.unwrap();
        let address = listening.address();
        let (end, ending) = oneshot::channel::<()>();
        let ended = tokio::spawn(serve(terms, listening, async {
            let _ = ending.await;
        }));
        let (list, mut lines) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let (stream, _) = list_port.accept().await.unwrap();
            let mut link: Framed<_, FrameCodec<ToList, FromList>> =
                Framed::new(stream, FrameCodec::new(LIST_LIMIT));
            link.next().await;
            link.send(FromList::Welcome).await.unwrap();
            loop {
                tokio::select! {
                    Some(message) = lines.recv() => link.send(message).await.unwrap(),
                    read = link.next() => if !matches!(read, Some(Ok(_))) { return },
                }
            }
        });
        tokio::spawn(serve_release_controller(desk_port));
        Scene {
            address,
            list,
            end: Some(end),
            ended,
            version: 0,
        }
    }

    /// Tells the router of hosts, and waits until it has heard.
    pub(crate) async fn list(&mut self, hosts: &[(u32, SocketAddr, EndpointPhase)]) {
        self.version += 1;
        let line = |(host, address, phase): &(u32, SocketAddr, EndpointPhase)| EndpointRecord {
            host: *host,
            address: address.to_string(),
            build: Some(1),
            cell: 0,
            zone: 0,
            phase: *phase,
            incarnation: 1,
            up_us: None,
        };
        let lines = hosts.iter().map(line).collect();
        self.list
            .send(FromList::Changes {
                version: self.version,
                endpoints: lines,
            })
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    pub(crate) fn end(&mut self) {
        let _ = self.end.take().unwrap().send(());
    }

    pub(crate) async fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let mut link = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        link.send(FromClient::Hello(Hello::new(Role::Client, 0, 0)))
            .await
            .unwrap();
        assert_eq!(heard(&mut link).await, ToClient::Welcome);
        link
    }
}

pub(crate) async fn heard(client: &mut Client) -> ToClient {
    timeout(SOON, client.next())
        .await
        .expect("in time")
        .expect("open")
        .expect("a whole frame")
}

pub(crate) fn command(id: u64, op: u16, body: usize) -> FromClient {
    let body = Bytes::from(vec![id as u8; body]);
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

/// A port on which a test plays a host, with little room for what it has not read.
pub(crate) fn host_port() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let port = socket.listen(64).unwrap();
    let address = port.local_addr().unwrap();
    (port, address)
}

/// A port that nobody listens on.
pub(crate) fn closed_port() -> SocketAddr {
    host_port().1
}

/// Takes one connection of the router and welcomes it.
pub(crate) async fn welcome(port: &TcpListener, host: u32) -> Router {
    let (stream, _) = timeout(SOON, port.accept())
        .await
        .expect("in time")
        .unwrap();
    let mut link: Router = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
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

/// A host that acks all it gets, and says how many that were when asked.
pub(crate) fn good_host(port: TcpListener, host: u32) -> mpsc::UnboundedReceiver<u64> {
    let (tell, got) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let mut link = welcome(&port, host).await;
            while let Some(Ok(message)) = link.next().await {
                if let ToHost::Deliver { delivery, body, .. } = message {
                    let _ = tell.send(body.first().copied().map_or(0, u64::from));
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
    got
}
