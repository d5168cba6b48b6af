//! Clients: requests with the id of an earlier one, which may still be pending.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::common::*;
use crate::with_host;

/// Makes a request with this id.
type MakeRequest = fn(&str) -> String;
/// A request of each operation: idempotent and at-most-once.
const OPERATIONS: [MakeRequest; 2] = [read_request, seal_request];

/// Starts a router, and a host that answers once it is released.
async fn start() -> (Host, TestRouter, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    let host = Host::start(move |_| {
        HostAction::RespondOnceReleased(released.clone(), ok_response("once"))
    })
    .await;
    let router = with_host(&host).await;
    (host, router, release)
}

/// Sends a request on a new connection and waits until the host has it.
async fn send_pending(router: &TestRouter, host: &Host, request: &str) -> TcpStream {
    let mut client = router.connect().await;
    let before = host.count();
    client.write_all(request.as_bytes()).await.unwrap();
    host.wait_for_requests(before + 1).await;
    client
}

/// Returns how many requests with this id the host has read.
fn runs(host: &Host, id: &str) -> usize {
    let field = format!("\r\nRequest-Id: {id}\r\n");
    let requests = host.requests.lock().unwrap();
    let with_id = requests.iter().filter(|request| request.contains(&field));
    with_id.count()
}

/// Guards against a copy of another client's request that runs once the first has its answer. The platform states:
/// "`Request-Id` is new with every request", so a copy is refused for good.
#[test]
fn a_request_id_is_refused_while_it_is_pending_and_afterwards() {
    run(async {
        for request in OPERATIONS {
            let (host, router, release) = start().await;
            let request = request("same");
            let mut first = send_pending(&router, &host, &request).await;
            assert_eq!(router.status(&request).await, Some(409));
            release.send(true).unwrap();
            let answer = read_message(&mut first).await.unwrap();
            assert_eq!((status(&answer), body(&answer)), (Some(200), "once"));
            for _ in 0..5 {
                assert_eq!(router.status(&request).await, Some(409));
            }
            // Also with another request around the id, and on the connection of the first.
            let other = read_request("same").replace("/read/ksame", "/read/other");
            assert_eq!(router.status(&other).await, Some(409));
            let again = exchange(&mut first, &request).await.unwrap();
            assert_eq!(status(&again), Some(409));
            assert_eq!(runs(&host, "same"), 1);
        }
    });
}

/// Guards against a copy that is written while the first is pending and read only afterwards, since it waits behind
/// requests of its own client.
#[test]
fn a_copy_that_waits_behind_other_requests_is_refused() {
    run(async {
        for request in OPERATIONS {
            let (host, router, release) = start().await;
            let mut first = send_pending(&router, &host, &request("same")).await;
            let own = read_request("own-a") + &read_request("own-b");
            let mut copier = send_pending(&router, &host, &(own + &request("same"))).await;
            release.send(true).unwrap();
            let answer = read_message(&mut first).await.unwrap();
            assert_eq!(status(&answer), Some(200));
            let all = String::from_utf8(read_until_closed(&mut copier).await).unwrap();
            assert_eq!(all.matches("HTTP/1.1 200").count(), 2, "{all}");
            assert_eq!(all.matches("HTTP/1.1 409").count(), 1, "{all}");
            assert_eq!(runs(&host, "same"), 1);
        }
    });
}

/// Guards against a copy that begins while the first is pending and whose last part is read only afterwards.
#[test]
fn a_copy_that_arrives_in_parts_is_refused() {
    run(async {
        for request in OPERATIONS {
            let (host, router, release) = start().await;
            let request = request("same");
            let mut first = send_pending(&router, &host, &request).await;
            let mut copier = router.connect().await;
            let (start, end) = request.split_at(request.len() - 2);
            copier.write_all(start.as_bytes()).await.unwrap();
            sleep(Duration::from_millis(50)).await;
            release.send(true).unwrap();
            assert!(read_message(&mut first).await.is_some());
            let answer = exchange(&mut copier, end).await.unwrap();
            assert_eq!(status(&answer), Some(409));
            assert_eq!(runs(&host, "same"), 1);
        }
    });
}

/// Guards against a request that runs again each time its id comes after its client has left.
#[test]
fn a_request_whose_client_has_left_is_not_run_again() {
    run(async {
        for request in OPERATIONS {
            let (host, router, release) = start().await;
            let request = request("left");
            drop(send_pending(&router, &host, &request).await);
            sleep(Duration::from_millis(100)).await;
            for _ in 0..3 {
                assert_eq!(router.status(&request).await, Some(409));
            }
            release.send(true).unwrap();
            assert_eq!(router.status(&request).await, Some(409));
            assert_eq!(runs(&host, "left"), 1);
        }
    });
}

/// A request that was refused before it reached a host has used its id as well: its client's retry has a new one.
#[test]
fn a_refused_request_uses_its_id() {
    run(async {
        let full = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
        let host = Host::start(move |_| HostAction::Respond(full.to_vec())).await;
        let router = with_host(&host).await;
        assert_eq!(router.status(&seal_request("full")).await, Some(503));
        let delivered = host.count();
        assert_eq!(router.status(&seal_request("full")).await, Some(409));
        assert_eq!(host.count(), delivered);
    });
}
