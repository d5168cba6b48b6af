//! What hosts need of a request, and their answers and closes.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::common::*;
use crate::{keyed, with_key};

/// Seen on a variant: the class whose repeats hosts drop was served 0.000, and hosts told the request from the one its
/// client had sent. The key by which hosts know a repeat has to reach them.
#[test]
fn the_key_of_a_deduplicated_command_reaches_its_host() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let hosts = list(1, &[("s-a", &host.address, "Ready", 1)]);
        let router = TestRouter::start_with(hosts.clone(), &controller, 256, keyed).await;
        assert_eq!(router.status(&with_key("a")).await, Some(200));
        let requests = host.requests.lock().unwrap()[0].clone();
        assert_eq!(
            requests.matches("\r\nIdempotency-Key: key-a\r\n").count(),
            1,
            "{requests}"
        );
        // Without one, or with two, a host could not tell a repeat.
        assert_eq!(router.status(&seal("b")).await, Some(400));
        let two =
            with_key("c").replace("Content-Length", "Idempotency-Key: other\r\nContent-Length");
        assert_eq!(router.status(&two).await, Some(400));
        assert_eq!(host.count(), 1);
        // "A request that is unsafe to repeat uses POST, with no idempotency key."
        let plain = TestRouter::start(hosts, &controller, 256).await;
        assert_eq!(plain.status(&with_key("d")).await, Some(200));
        assert!(!host.requests.lock().unwrap()[1].contains("Idempotency-Key"));
    });
}

/// "A second answer may come some milliseconds late", and the client asks again at once: it got the answer before.
#[test]
fn a_second_answer_is_not_taken_for_the_next_ones() {
    run(async {
        let host = Host::start(|n| {
            let bytes = ok(&format!("answer {n}"));
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
            let answer = exchange(&mut client, &seal(&format!("r{n}")))
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

/// A host ends a resting connection in the same turn of the router in which the next command comes.
#[test]
fn a_connection_that_its_host_has_ended_carries_no_command() {
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
                                stream.write_all(&ok("good")).await.ok()?;
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
                    &exchange(&mut client, &seal(&format!("a{n}")))
                        .await
                        .unwrap()
                ),
                Some(200)
            );
            // Long enough for the connection to be used again.
            sleep(Duration::from_millis(30)).await;
            router.signal("-STOP");
            end.send(n).unwrap();
            sleep(Duration::from_millis(5)).await;
            client
                .write_all(seal(&format!("b{n}")).as_bytes())
                .await
                .unwrap();
            router.signal("-CONT");
            let answer = timeout(SOON, read_message(&mut client))
                .await
                .unwrap()
                .unwrap();
            assert_eq!(status(&answer), Some(200), "{n}");
        }
        assert_eq!(arrived.load(std::sync::atomic::Ordering::Relaxed), 40);
    });
}
