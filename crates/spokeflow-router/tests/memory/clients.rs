//! Bytes of clients: long bodies sent at once, bodies of unknown length, heads without end.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::{sleep, timeout, Instant};

use crate::common::*;
use crate::limits::{Limits, ALL_LIMITS};
use crate::{run_alone, start, start_hosts, PeerThread};

/// Maximum length of a body in bytes, as the platform's protocol sets it.
const BODY_LIMIT: usize = 64 << 10;
/// How long each flood lasts.
pub(crate) const FLOOD: Duration = Duration::from_secs(2);
/// Time within which each usual request must have its answer: its own time, and half a second in which the platform takes
/// an answer as late and not as lost.
const USUAL_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Time within which each client of a flood must have an answer or a close.
const FLOOD_TIMEOUT: Duration = Duration::from_secs(6);

/// Share of the descriptors that the platform's clients hold for requests at most.
pub(crate) const WHOLE_REQUESTS: f64 = 1.0 / 3.0;
/// Share of the descriptors for clients that never send a whole request: more than the router has for clients, so that
/// it has to close some.
const PARTIAL_REQUESTS: f64 = 0.7;

/// What a client of a flood sends on one connection, by a number that no other connection of the flood has.
pub(crate) type Sends = fn(usize) -> Vec<u8>;

/// Number from which each round of a client's connections is counted: more than a flood has clients.
const ROUND: usize = 10_000;

fn long_post(id: &str) -> Vec<u8> {
    let head = seal_request(id);
    let head = head.strip_suffix("Content-Length: 4\r\n\r\nbody").unwrap();
    let mut bytes = format!("{head}Content-Length: {BODY_LIMIT}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + BODY_LIMIT, b'x');
    bytes
}

/// Four requests with bodies of full length, one behind another.
pub(crate) fn long_bodies(connection: usize) -> Vec<u8> {
    let requests = (0..4).map(|n| long_post(&format!("flood-{connection}-{n}")));
    requests.collect::<Vec<_>>().concat()
}

/// A request with a chunked body that stops one byte before the full length.
pub(crate) fn endless_chunked_body(connection: usize) -> Vec<u8> {
    let head = seal_request(&format!("chunked-{connection}"));
    let head = head.strip_suffix("Content-Length: 4\r\n\r\nbody").unwrap();
    let size = BODY_LIMIT - 1;
    let mut bytes =
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{BODY_LIMIT:x}\r\n").into_bytes();
    bytes.resize(bytes.len() + size, b'x');
    bytes
}

/// A head that is almost as long as allowed and has no end.
pub(crate) fn endless_head(connection: usize) -> Vec<u8> {
    let mut bytes = format!("GET /read/k{connection} HTTP/1.1\r\nHost: h\r\n").into_bytes();
    while bytes.len() < 8_000 {
        bytes.extend_from_slice(b"Some-Field: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n");
    }
    bytes
}

/// Requests without a body, hundreds at once.
fn many_short_requests(connection: usize) -> Vec<u8> {
    let requests = (0..300).map(|n| read_request(&format!("short-{connection}-{n}")));
    requests.collect::<String>().into_bytes()
}

/// Sends on new connections one after another, each time with new ids, and reads what comes. `client` is the number of
/// this client. Panics if a connection gets neither an answer nor a close in time.
pub(crate) async fn flood_client(address: String, sends: Sends, client: usize, until: Instant) {
    let mut connection = client;
    while Instant::now() < until {
        let bytes = sends(connection);
        connection += ROUND;
        let Ok(mut stream) = TcpStream::connect(&address).await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (mut reader, mut writer) = stream.split();
        let writing = async {
            let _ = writer.write_all(&bytes).await;
            std::future::pending::<()>().await
        };
        let mut first = [0; 512];
        let answer = async {
            tokio::select! {
                read = timeout(FLOOD_TIMEOUT, reader.read(&mut first)) => read,
                _ = writing => unreachable!(),
            }
        };
        let answer = answer.await;
        assert!(answer.is_ok(), "a connection got no answer and no close");
        // The client goes on with the other answers until the connection ends or falls silent.
        let mut rest = [0; 4_096];
        while Instant::now() < until {
            let read = timeout(Duration::from_millis(500), reader.read(&mut rest)).await;
            if !matches!(read, Ok(Ok(1..))) {
                break;
            }
        }
    }
}

/// Sends short requests one after another until the flood is over, each on a connection of its own. Returns how many
/// were served and how many refused; any other end of one is a failure.
pub(crate) async fn usual_client(router: &TestRouter, until: Instant) -> (usize, usize) {
    let (mut served, mut refused) = (0, 0);
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let request = seal_request(&format!("usual-{n}"));
        let status = timeout(USUAL_TIMEOUT, router.status(&request)).await;
        match status.expect("an answer in time") {
            Some(200) => served += 1,
            Some(503) => refused += 1,
            other => panic!("usual request ended with {other:?}"),
        }
        sleep(Duration::from_millis(5)).await;
    }
    (served, refused)
}

/// Plays a flood of clients beside one usual client. `share` is the part of the descriptors that the flood holds.
async fn play(limits: Limits, sends: Sends, share: f64, case: &str) {
    let hosts =
        start_hosts(|| HostAction::RespondAfter(Duration::from_millis(100), ok_response("good")))
            .await;
    let mut router = start(limits, &hosts).await;
    let until = Instant::now() + FLOOD;
    let clients = (f64::from(limits.sockets) * share) as usize;
    let peers = PeerThread::start();
    let flood: Vec<_> = (0..clients)
        .map(|n| peers.spawn(flood_client(router.address.clone(), sends, n, until)))
        .collect();
    let (served, refused) = usual_client(&router, until).await;
    for client in flood {
        client.await.unwrap();
    }
    peers.stop();
    limits.assert_held(&mut router, case);
    eprintln!("{limits:?}, {case}: {served} usual requests served, {refused} refused");
    assert!(served > 0, "{limits:?}, {case}: no usual request served");
    assert!(
        refused * 20 <= served,
        "{limits:?}, {case}: {refused} usual requests refused, {served} served"
    );
    assert_eq!(router.status(&read_request("after")).await, Some(200));
}

/// Guards against a router that is killed for memory when many clients send several long bodies at once.
#[test]
fn long_bodies_sent_at_once_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(play(limits, long_bodies, WHOLE_REQUESTS, "long bodies"));
    }
}

/// Guards against bodies of unknown length that are held without a bound over all clients.
#[test]
fn unfinished_chunked_bodies_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(play(
            limits,
            endless_chunked_body,
            PARTIAL_REQUESTS,
            "chunked bodies",
        ));
    }
}

/// Guards against unfinished heads that are held without a bound over all clients.
#[test]
fn unfinished_heads_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(play(
            limits,
            endless_head,
            PARTIAL_REQUESTS,
            "unfinished heads",
        ));
    }
}

/// Guards against the state that the router keeps for each short request when hundreds come at once.
#[test]
fn many_short_requests_at_once_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(play(
            limits,
            many_short_requests,
            WHOLE_REQUESTS,
            "short requests",
        ));
    }
}

/// Starts a host that never answers. Sends the time at which it has read each request, and an event for each connection
/// that the router has closed after that.
async fn silent_host(requests: UnboundedSender<Instant>, closes: UnboundedSender<()>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (requests, closes) = (requests.clone(), closes.clone());
            tokio::spawn(async move {
                read_message(&mut stream).await?;
                requests.send(Instant::now()).ok()?;
                while read_message(&mut stream).await.is_some() {}
                closes.send(()).ok()
            });
        }
    });
    address
}

/// Guards against deliveries for clients that have gone: a close must be noticed also behind input that is not read ahead,
/// since more clients send ahead than there is room for. Those without room may be refused before their first request
/// is delivered; the others wait for their hosts, with a second delivery each after a time.
#[test]
fn a_close_behind_unread_input_is_noticed() {
    const CLIENTS: usize = 30;
    const SENT_AHEAD: usize = 40 << 10;
    /// Read buffers of 72 KiB for which there is room at 32 MB.
    const CLIENTS_WITH_ROOM: usize = 13;
    /// Time after a close from which the platform counts a delivery as lost, with 50 ms more for each limit.
    const CLOSE_GRACE: Duration = Duration::from_millis(150);
    run_alone(async {
        let (request_sender, mut requests) = unbounded_channel();
        let (close_sender, mut closes) = unbounded_channel();
        let address = silent_host(request_sender, close_sender).await;
        let names: Vec<String> = (0..48).map(|n| format!("s-{n}")).collect();
        let entries: Vec<_> = names
            .iter()
            .map(|name| (name.as_str(), address.as_str(), "Ready", 1))
            .collect();
        let (controller, _) = deployer(vec![]).await;
        let limits = Limits::new(32, 256);
        let router = limits.start(list(1, &entries), &controller).await;
        let mut clients = Vec::new();
        for n in 0..CLIENTS {
            let mut client = router.connect().await;
            let mut bytes = read_request(&format!("first-{n}"));
            while bytes.len() < SENT_AHEAD {
                bytes += &read_request(&format!("ahead-{n}-{}", bytes.len()));
            }
            // A client that is refused may find its connection closed.
            let _ = client.write_all(bytes.as_bytes()).await;
            clients.push(client);
        }
        let mut delivered = 0;
        while delivered < CLIENTS_WITH_ROOM {
            let request = timeout(EVENT_TIMEOUT, requests.recv()).await;
            request.expect("the first requests of clients with room are delivered");
            delivered += 1;
        }
        drop(clients);
        let closed_at = Instant::now();
        sleep(Duration::from_secs(2)).await;
        while let Ok(read_at) = requests.try_recv() {
            delivered += 1;
            let after = read_at.saturating_duration_since(closed_at);
            assert!(
                after <= CLOSE_GRACE,
                "a request was delivered {after:?} after its client had gone"
            );
        }
        for n in 0..delivered {
            closes
                .try_recv()
                .unwrap_or_else(|_| panic!("{n} of {delivered} deliveries ended in time"));
        }
    });
}
