//! The real router, started with a migrated settings file.

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

const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

type Peer<In, Out> = Framed<TcpStream, FrameCodec<In, Out>>;

/// Accepts one connection and answers its opening message. Returns the connection and the opening message.
async fn accept_link<In, Out>(
    listener: &TcpListener,
    limit: usize,
    welcome: Out,
) -> (Peer<In, Out>, In)
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    let (stream, _) = timeout(EVENT_TIMEOUT, listener.accept())
        .await
        .expect("a connection in time")
        .unwrap();
    let mut link = Framed::new(stream, FrameCodec::new(limit));
    let hello = link
        .next()
        .await
        .expect("an opening message")
        .expect("a valid frame");
    link.send(welcome).await.unwrap();
    (link, hello)
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// The sockets of the list, the release controller and one host of each build.
struct Listeners {
    list: TcpListener,
    controller: TcpListener,
    hosts: [TcpListener; 2],
}

impl Listeners {
    async fn open() -> Listeners {
        Listeners {
            list: listen().await,
            controller: listen().await,
            hosts: [listen().await, listen().await],
        }
    }

    /// Migrates the old file with these addresses and returns the settings of the written file.
    fn migrated_settings(&self, folder: &Folder) -> Vec<Setting> {
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

    fn endpoint_record(&self, host: u32, build: u16) -> EndpointRecord {
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

/// Starts the router and returns it with the address that it prints.
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
    let line = BufReader::new(router.stdout.take().unwrap())
        .lines()
        .next_line()
        .await
        .unwrap()
        .unwrap();
    let address = line.strip_prefix("listening on ").unwrap().to_string();
    (router, address)
}

/// Serves as the list: sends both hosts and sizes, some of which are invalid or of an unknown host. The connection is kept.
async fn serve_list(listeners: &Listeners) -> Peer<ToList, FromList> {
    let (mut list, hello) =
        accept_link::<ToList, FromList>(&listeners.list, LIST_LIMIT, FromList::Welcome).await;
    assert!(matches!(hello, ToList::Hello(h) if h.has_newest_version()));
    list.send(FromList::Complete {
        version: 1,
        endpoints: vec![
            listeners.endpoint_record(0, 1),
            listeners.endpoint_record(1, 2),
        ],
    })
    .await
    .unwrap();
    let sizes = [(0, 3.0), (1, 1.5), (7, 2.0), (1, f32::NAN), (0, -1.0)];
    let sizes = sizes.map(|(host, size)| HostSize { host, size }).to_vec();
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

/// Serves as the host of the earlier build: acks each delivery, after a load report.
async fn serve_host(listener: &TcpListener) {
    let welcome = FromHost::Welcome {
        host: 0,
        build: 1,
        incarnation: 1,
        up_us: 60_000_000,
    };
    let (mut host, hello) = accept_link::<ToHost, FromHost>(listener, WORK_LIMIT, welcome).await;
    assert!(matches!(hello, ToHost::Hello(h) if h.has_newest_version()));
    while let Some(Ok(message)) = host.next().await {
        if let ToHost::Deliver { delivery, body, .. } = message {
            host.send(FromHost::LoadReport { busy: 400 }).await.unwrap();
            host.send(FromHost::Acked { delivery, body }).await.unwrap();
        }
    }
}

/// Sends 20 commands as a client and checks that each is acked. Returns the connection, which stays open.
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
        let answer = timeout(EVENT_TIMEOUT, client.next())
            .await
            .expect("an answer in time")
            .unwrap()
            .unwrap();
        assert!(
            matches!(answer, ToClient::Acked { id: n, .. } if n == id),
            "{answer:?}"
        );
    }
    client
}

/// Sends statistics in which deliveries to build 2 fail and those to build 1 do not.
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

/// Confirms votes as counted until one asks to roll back build 2.
async fn await_rollback_vote(controller: &mut Peer<ToController, FromController>) {
    loop {
        match timeout(EVENT_TIMEOUT, controller.next())
            .await
            .expect("a vote in time")
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
            other => panic!("expected a vote, got {other:?}"),
        }
    }
}

#[tokio::test]
async fn the_router_starts_with_the_written_file_answers_and_judges_by_controller_statistics() {
    let listeners = Listeners::open().await;
    let folder = Folder::new("start", OLD);
    let (mut router, address) = start(listeners.migrated_settings(&folder)).await;
    let _list = serve_list(&listeners).await;
    let (mut controller, hello) = accept_link::<ToController, FromController>(
        &listeners.controller,
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
        // Build 2 becomes the canary. This router sends nothing to it and learns of its failures only from the release
        // controller's statistics.
        controller
            .send(rollout(2, RolloutPhase::Canary, 0.0))
            .await
            .unwrap();
        send_statistics(&mut controller).await;
        await_rollback_vote(&mut controller).await;
    };
    tokio::select! {
        _ = serve_host(&listeners.hosts[0]) => panic!("the host's connection broke"),
        _ = script => {}
    }
    router.kill().await.unwrap();
}
