//! The real router, started with a migrated file.

use std::process::Stdio;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use spokeflow_proto::*;
use spokeflow_router::migrate::{migrate, parse_settings, Setting};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::{Folder, OLD};

const SOON: Duration = Duration::from_secs(10);

type Peer<In, Out> = Framed<TcpStream, FrameCodec<In, Out>>;

/// Takes one call and answers its opening message, which it gives back.
async fn called<In, Out>(port: &TcpListener, limit: usize, welcome: Out) -> (Peer<In, Out>, In)
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    let (stream, _) = timeout(SOON, port.accept()).await.expect("a call").unwrap();
    let mut link = Framed::new(stream, FrameCodec::new(limit));
    let hello = link.next().await.expect("open").expect("whole");
    link.send(welcome).await.unwrap();
    (link, hello)
}

async fn port() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// The addresses that the router is started with, and a host of either build.
struct Ports {
    list: TcpListener,
    controller: TcpListener,
    hosts: [TcpListener; 2],
}

impl Ports {
    async fn open() -> Ports {
        Ports {
            list: port().await,
            controller: port().await,
            hosts: [port().await, port().await],
        }
    }

    /// Migrates the old file to these addresses; the variables of the written one.
    fn migrated(&self, folder: &Folder) -> Vec<Setting> {
        let set = [
            format!("SPOKEFLOW_LIST={}", self.list.local_addr().unwrap()),
            format!("SPOKEFLOW_DESK={}", self.controller.local_addr().unwrap()),
            "SPOKEFLOW_LISTEN=127.0.0.1:0".into(),
            "SPOKEFLOW_GATE=majority".into(),
            "SPOKEFLOW_BACK_VOTES=1".into(),
        ];
        let more: Vec<&str> = set.iter().flat_map(|s| ["--set", s.as_str()]).collect();
        migrate(&folder.program(&more)).unwrap();
        let file = std::fs::read_to_string(folder.0.join("new.env")).unwrap();
        parse_settings(&file).unwrap()
    }

    fn record(&self, host: u32, build: u16) -> EndpointRecord {
        EndpointRecord {
            host,
            address: self.hosts[host as usize].local_addr().unwrap().to_string(),
            build: Some(build),
            cell: 0,
            zone: 1,
            phase: EndpointPhase::Ready,
            incarnation: 1,
            up_us: None,
        }
    }
}

/// Starts the router; the address that it prints.
async fn start(settings: Vec<Setting>) -> (Child, String) {
    let variables = settings.into_iter().map(|s| (s.name, s.value));
    let mut router = Command::new(env!("CARGO_BIN_EXE_spokeflow-router"))
        .env_clear()
        .envs(variables)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let said = BufReader::new(router.stdout.take().unwrap())
        .lines()
        .next_line()
        .await
        .unwrap()
        .unwrap();
    let address = said.strip_prefix("listening on ").unwrap().to_string();
    (router, address)
}

/// The list gives both hosts, and sizes of which some fit none of them.
async fn serve_list(ports: &Ports) -> Peer<ToList, FromList> {
    let (mut list, hello) =
        called::<ToList, FromList>(&ports.list, LIST_LIMIT, FromList::Welcome).await;
    assert!(matches!(hello, ToList::Hello(h) if h.has_newest_version()));
    list.send(FromList::Complete {
        version: 1,
        endpoints: vec![ports.record(0, 1), ports.record(1, 2)],
    })
    .await
    .unwrap();
    let odd = [(0, 3.0), (1, 1.5), (7, 2.0), (1, f32::NAN), (0, -1.0)];
    let sizes = odd.map(|(host, size)| HostSize { host, size }).to_vec();
    list.send(FromList::Sizes { sizes }).await.unwrap();
    list
}

fn rollout(build: u16, phase: RolloutPhase, exposure_cap: f32) -> FromController {
    FromController::RolloutUpdate(RolloutUpdate {
        build,
        stage: 0,
        phase,
        exposure_cap,
        age_us: 0,
    })
}

/// The host of the earlier build answers, with a report before each ack.
async fn serve_host(port: &TcpListener) {
    let welcome = FromHost::Welcome {
        host: 0,
        build: 1,
        incarnation: 1,
        up_us: 60_000_000,
    };
    let (mut host, hello) = called::<ToHost, FromHost>(port, WORK_LIMIT, welcome).await;
    assert!(matches!(hello, ToHost::Hello(h) if h.has_newest_version()));
    while let Some(Ok(message)) = host.next().await {
        if let ToHost::Deliver { delivery, body, .. } = message {
            host.send(FromHost::LoadReport { busy: 400 }).await.unwrap();
            host.send(FromHost::Acked { delivery, body }).await.unwrap();
        }
    }
}

/// A client's commands are all acked. The connection is kept.
async fn send_commands(address: &str) -> Peer<ToClient, FromClient> {
    let stream = TcpStream::connect(address).await.unwrap();
    let mut client: Peer<ToClient, FromClient> = Framed::new(stream, FrameCodec::new(WORK_LIMIT));
    client
        .send(FromClient::Hello(Hello::new(Role::Client, 0, 1)))
        .await
        .unwrap();
    assert_eq!(client.next().await.unwrap().unwrap(), ToClient::Welcome);
    for id in 1..=20 {
        let command = spokeflow_proto::Command {
            id,
            op: 0,
            tenant: 0,
            key: id,
            idempotency_key: 0,
            left_us: 3_000_000,
            body: "x".into(),
        };
        client.send(FromClient::Command(command)).await.unwrap();
        let answer = timeout(SOON, client.next())
            .await
            .expect("in time")
            .unwrap()
            .unwrap();
        assert!(
            matches!(answer, ToClient::Acked { id: n, .. } if n == id),
            "{answer:?}"
        );
    }
    client
}

/// Statistics by which build 2 fails and build 1 does not.
async fn send_statistics(controller: &mut Peer<ToController, FromController>) {
    for _ in 0..4 {
        for (build, op) in [(1, 0), (1, 1), (2, 0), (2, 1)] {
            let failed = 6 * u32::from(build == 2);
            let stats = DeliveryStats {
                build,
                op,
                sampled: 12,
                failed,
                mean_us: 90_000,
                age_us: 600_000,
            };
            controller.send(FromController::Stats(stats)).await.unwrap();
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// Counts votes until one rolls build 2 back.
async fn await_rollback_vote(controller: &mut Peer<ToController, FromController>) {
    loop {
        match timeout(SOON, controller.next())
            .await
            .expect("a vote")
            .unwrap()
            .unwrap()
        {
            ToController::Vote {
                build: 2,
                choice: VoteChoice::RollBack,
                ..
            } => break,
            ToController::Vote { ballot, .. } => {
                let result = VoteResult::Counted;
                controller
                    .send(FromController::Voted { ballot, result })
                    .await
                    .unwrap();
            }
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn the_router_starts_with_the_written_file_answers_and_judges_by_controller_statistics() {
    let ports = Ports::open().await;
    let folder = Folder::new("start", OLD);
    let (mut router, address) = start(ports.migrated(&folder)).await;
    let _list = serve_list(&ports).await;
    let (mut controller, hello) = called::<ToController, FromController>(
        &ports.controller,
        WORK_LIMIT,
        FromController::Welcome,
    )
    .await;
    assert!(matches!(hello, ToController::Hello(h) if h.has_newest_version()));
    controller
        .send(rollout(1, RolloutPhase::Released, 1.0))
        .await
        .unwrap();
    let script = async {
        let _client = send_commands(&address).await;
        // Build 2 comes on trial; this router sees none of it, the release controller counts that it fails.
        controller
            .send(rollout(2, RolloutPhase::Canary, 0.0))
            .await
            .unwrap();
        send_statistics(&mut controller).await;
        await_rollback_vote(&mut controller).await;
    };
    tokio::select! {
        _ = serve_host(&ports.hosts[0]) => panic!("the host's connection broke"),
        _ = script => {}
    }
    router.kill().await.unwrap();
}
