//! Bytes of clients that write slowly, stop half way through a long request, or send heads of very many short fields.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::clients::{usual_client, FLOOD};
use crate::common::*;
use crate::limits::{Limits, ALL_LIMITS};
use crate::{run_alone, start, start_hosts, PeerThread};

/// Such clients for each descriptor of the router: more than it has places for.
const CLIENTS_PER_DESCRIPTOR: f64 = 1.2;
/// Time within which the platform owes each of these clients an error or a close.
const OWED_WITHIN: Duration = Duration::from_secs(3);
/// Time for which a new client may wait until it is accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Length of the body that the requests announce, in bytes.
const BODY_LENGTH: usize = 64 << 10;

/// What a client sends, never to its end, and how.
#[derive(Clone)]
struct SlowRequest {
    bytes: Vec<u8>,
    /// Number of bytes that are written at once.
    step: usize,
    /// Time between two writes.
    pause: Duration,
}

/// Returns the start of a request with a long body, of which `sent` bytes are there.
fn unfinished_body(client: usize, sent: usize) -> Vec<u8> {
    let head = seal_request(&format!("slow-{client}"));
    let head = head.strip_suffix("Content-Length: 4\r\n\r\nbody").unwrap();
    let mut bytes = format!("{head}Content-Length: {BODY_LENGTH}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + sent, b'x');
    bytes
}

/// Returns a head without end of this many short fields.
fn short_fields(count: usize) -> Vec<u8> {
    let fields = "a:\r\n".repeat(count);
    format!("GET /read/k HTTP/1.1\r\n{fields}").into_bytes()
}

/// A quarter of the clients each: too many short fields, as many as a head may have, half of a long body, a slow body.
fn slow_request(client: usize) -> SlowRequest {
    let (bytes, step, pause_ms) = match client % 4 {
        0 => (short_fields(1_900), 200, 10),
        1 => (short_fields(63), 20, 50),
        2 => (unfinished_body(client, BODY_LENGTH / 2), BODY_LENGTH, 0),
        _ => (unfinished_body(client, BODY_LENGTH - 1), 500, 10),
    };
    let pause = Duration::from_millis(pause_ms);
    SlowRequest { bytes, step, pause }
}

/// Sends the request on new connections one after another. Panics if one gets neither an error nor a close in time.
async fn slow_client(address: String, request: SlowRequest, until: Instant) {
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(&address).await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (mut reader, mut writer) = stream.split();
        let writing = async {
            for part in request.bytes.chunks(request.step) {
                if writer.write_all(part).await.is_err() {
                    break;
                }
                sleep(request.pause).await;
            }
            std::future::pending::<()>().await
        };
        let mut answer = [0; 512];
        tokio::select! {
            read = timeout(ACCEPT_TIMEOUT + OWED_WITHIN, reader.read(&mut answer)) => {
                read.expect("an error or a close in time").ok();
            }
            () = writing => unreachable!("it never ends"),
        }
    }
}

async fn play(limits: Limits) {
    let hosts =
        start_hosts(|| HostAction::RespondAfter(Duration::from_millis(100), ok_response("good")))
            .await;
    let mut router = start(limits, &hosts).await;
    let until = Instant::now() + FLOOD;
    let count = (f64::from(limits.sockets) * CLIENTS_PER_DESCRIPTOR) as usize;
    let peers = PeerThread::start();
    let clients: Vec<_> = (0..count)
        .map(|n| peers.spawn(slow_client(router.address.clone(), slow_request(n), until)))
        .collect();
    let (served, refused) = usual_client(&router, until).await;
    for client in clients {
        client.await.unwrap();
    }
    peers.stop();
    limits.assert_held(&mut router, "slow clients");
    assert!(served > 0, "{limits:?}: no usual request served");
    assert_eq!(refused, 0, "{limits:?}: usual requests refused");
}

/// Guards against a router that is killed for memory, or serves no one else, when hundreds of clients write slowly, stop
/// half way or send heads of very many short fields.
#[test]
fn slow_clients_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(play(limits));
    }
}
