//! Clients: floods, and what comes between requests.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::common::*;

/// Room is wanted while a request is coming in: who says nothing goes first.
#[test]
fn a_flood_does_not_close_a_connection_whose_request_has_begun() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let router = TestRouter::start(
            list(1, &[("s-a", &host.address, "Ready", 1)]),
            &controller,
            64,
        )
        .await;
        let mut half = router.connect().await;
        let request = seal("half");
        let (first, rest) = request.split_at(request.len() - 2);
        half.write_all(first.as_bytes()).await.unwrap();
        assert_eq!(router.status("GET /up HTTP/1.1\r\n\r\n").await, Some(200));
        let mut silent = Vec::new();
        for _ in 0..60 {
            silent.push(router.connect().await);
        }
        // The first of the silent ones has had to go.
        closed(&mut silent[0]).await;
        half.write_all(rest.as_bytes()).await.unwrap();
        let answer = timeout(SOON, read_message(&mut half))
            .await
            .unwrap()
            .expect("an answer and no close");
        assert_eq!(status(&answer), Some(200));
    });
}

/// An empty line behind a request begins no other: the connection was answered 400 two seconds later, unasked.
#[test]
fn an_empty_line_between_requests_is_no_request_that_does_not_go_on() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let router = TestRouter::start(
            list(1, &[("s-a", &host.address, "Ready", 1)]),
            &controller,
            256,
        )
        .await;
        let mut client = router.connect().await;
        for id in ["a", "b"] {
            let answer = exchange(&mut client, &format!("{}\r\n", seal(id)))
                .await
                .unwrap();
            assert_eq!(status(&answer), Some(200));
        }
        let mut all = Vec::new();
        let _ = timeout(Duration::from_secs(3), client.read_to_end(&mut all)).await;
        assert!(all.is_empty(), "{}", String::from_utf8_lossy(&all));
    });
}
