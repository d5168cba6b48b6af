//! Hosts: the idempotency key, duplicate answers and closed connections.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::common::*;
use crate::{seal_request_with_key, with_deduplication};

/// Hosts recognise a repeat by its idempotency key, so the key must be forwarded. Without it, no command of the
/// deduplicated operation was served, and hosts noticed that the request differed from the one its client had sent.
#[test]
fn the_key_of_a_deduplicated_command_reaches_its_host() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let hosts = list(1, &[("s-a", &host.address, "Ready", 1)]);
        let router =
            TestRouter::start_with(hosts.clone(), &controller, 256, with_deduplication).await;
        assert_eq!(router.status(&seal_request_with_key("a")).await, Some(200));
        let requests = host.requests.lock().unwrap()[0].clone();
        assert_eq!(
            requests.matches("\r\nIdempotency-Key: key-a\r\n").count(),
            1,
            "{requests}"
        );
        // Without a key, or with two, a host could not recognise a repeat.
        assert_eq!(router.status(&seal_request("b")).await, Some(400));
        let two = seal_request_with_key("c")
            .replace("Content-Length", "Idempotency-Key: other\r\nContent-Length");
        assert_eq!(router.status(&two).await, Some(400));
        assert_eq!(host.count(), 1);
        // "A request that is unsafe to repeat uses POST, with no idempotency key."
        let plain = TestRouter::start(hosts, &controller, 256).await;
        assert_eq!(plain.status(&seal_request_with_key("d")).await, Some(200));
        assert!(!host.requests.lock().unwrap()[1].contains("Idempotency-Key"));
    });
}

/// The platform states: "A second answer may come some milliseconds late". A client that sent its next request at once
/// was given this duplicate of the previous answer.
#[test]
fn a_duplicate_answer_is_not_given_to_the_next_request() {
    run(async {
        let host = Host::start(|n| {
            let bytes = ok_response(&format!("answer {n}"));
            HostAction::RespondAndSend(bytes.clone(), Duration::from_millis(4), bytes)
        })
        .await;
        let (controller, _) = deployer(vec![]).await;
        let router = TestRouter::start(
            list(1, &[("s-a", &host.address, "Ready", 1)]),
            &controller,
            256,
        )
        .await;
        let mut client = router.connect().await;
        for n in 0..40 {
            let answer = exchange(&mut client, &seal_request(&format!("r{n}")))
                .await
                .unwrap();
            assert_eq!(
                (status(&answer), body(&answer)),
                (Some(200), format!("answer {n}").as_str())
            );
            sleep(Duration::from_millis(n % 4)).await;
        }
        assert_eq!(host.count(), 40);
    });
}

/// A host closes an idle connection in the same iteration of the router's event loop in which the next command arrives.
/// The command must be sent on another connection.
#[test]
fn a_connection_closed_by_its_host_is_not_reused() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (end, ended) = watch::channel(0);
        let arrived = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let count = arrived.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut ended = ended.clone();
                let count = count.clone();
                ended.borrow_and_update();
                tokio::spawn(async move {
                    loop {
                        tokio::select! {
                            _ = ended.changed() => return Some(()),
                            request = read_message(&mut stream) => {
                                request?;
                                count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                                stream.write_all(&ok_response("good")).await.ok()?;
                            }
                        }
                    }
                });
            }
        });
        let (controller, _) = deployer(vec![]).await;
        let router =
            TestRouter::start(list(1, &[("s-a", &address, "Ready", 1)]), &controller, 256).await;
        let mut client = router.connect().await;
        for n in 0..20 {
            assert_eq!(
                status(
                    &exchange(&mut client, &seal_request(&format!("a{n}")))
                        .await
                        .unwrap()
                ),
                Some(200)
            );
            // Long enough for the router to keep the connection for reuse.
            sleep(Duration::from_millis(30)).await;
            router.signal("-STOP");
            end.send(n).unwrap();
            sleep(Duration::from_millis(5)).await;
            client
                .write_all(seal_request(&format!("b{n}")).as_bytes())
                .await
                .unwrap();
            router.signal("-CONT");
            let answer = timeout(EVENT_TIMEOUT, read_message(&mut client))
                .await
                .unwrap()
                .unwrap();
            assert_eq!(status(&answer), Some(200), "{n}");
        }
        assert_eq!(arrived.load(std::sync::atomic::Ordering::Relaxed), 40);
    });
}
