//! Clients: connection floods, and bytes between requests.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::common::*;

/// When the router runs out of client connections while a request is being received, it must close silent connections
/// first, not the one with the partial request.
#[test]
fn a_flood_of_connections_does_not_close_one_with_a_partial_request() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let router = TestRouter::start(
            list(1, &[("s-a", &host.address, "Ready", 1)]),
            &controller,
            64,
        )
        .await;
        let mut half = router.connect().await;
        let request = seal_request("half");
        let (first, rest) = request.split_at(request.len() - 2);
        half.write_all(first.as_bytes()).await.unwrap();
        assert_eq!(router.status("GET /up HTTP/1.1\r\n\r\n").await, Some(200));
        let mut silent = Vec::new();
        for _ in 0..60 {
            silent.push(router.connect().await);
        }
        // The oldest silent connection must have been closed.
        read_until_closed(&mut silent[0]).await;
        half.write_all(rest.as_bytes()).await.unwrap();
        let answer = timeout(EVENT_TIMEOUT, read_message(&mut half))
            .await
            .unwrap()
            .expect("an answer and no close");
        assert_eq!(status(&answer), Some(200));
    });
}

/// An empty line after a request must not count as the start of another one. When it did, the connection got an
/// unsolicited 400 two seconds later.
#[test]
fn an_empty_line_between_requests_does_not_start_a_request() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let router = TestRouter::start(
            list(1, &[("s-a", &host.address, "Ready", 1)]),
            &controller,
            256,
        )
        .await;
        let mut client = router.connect().await;
        for id in ["a", "b"] {
            let answer = exchange(&mut client, &format!("{}\r\n", seal_request(id)))
                .await
                .unwrap();
            assert_eq!(status(&answer), Some(200));
        }
        let mut all = Vec::new();
        let _ = timeout(Duration::from_secs(3), client.read_to_end(&mut all)).await;
        assert!(all.is_empty(), "{}", String::from_utf8_lossy(&all));
    });
}
