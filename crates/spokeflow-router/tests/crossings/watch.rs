//! The watch on the host list.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::common::*;

/// Starts a discovery that runs `script` on each connection, with the number of earlier connections. Returns its address.
async fn start_scripted_discovery<F>(
    script: impl Fn(usize, TcpStream) -> F + Send + 'static,
) -> String
where
    F: std::future::Future<Output = ()> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        for n in 0.. {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            if read_message(&mut stream).await.is_some() {
                tokio::spawn(script(n, stream));
            }
        }
    });
    address
}

/// Edits a configuration to use the discovery at `address`.
fn with_discovery(address: &str) -> impl Fn(String) -> String + '_ {
    move |text| {
        let at = text.find("\"discovery\":\"").unwrap();
        let end = at + text[at..].find(',').unwrap();
        format!("{}\"discovery\":\"{address}\"{}", &text[..at], &text[end..])
    }
}

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A watch begins an object and then sends only whitespace. The router must reopen it within 6 s, after which the platform
/// counts a change as known.
#[test]
fn a_watch_that_stalls_within_an_object_is_reopened_in_time() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let whole = list(1, &[("s-a", &host.address, "Ready", 1)]);
        let (connections, mut reopened) = watch::channel(0);
        let discovery = start_scripted_discovery(move |n, mut stream| {
            connections.send_replace(n + 1);
            let whole = whole.clone();
            async move {
                // Whitespace is allowed here, so a stalled list cannot be told from one that continues.
                let half = &whole[..whole.find('[').unwrap() + 1];
                let first = if n == 0 { half } else { &whole };
                let _ = stream
                    .write_all(format!("{RESPONSE_HEAD}{}", chunk(first)).as_bytes())
                    .await;
                while stream.write_all(chunk("\n").as_bytes()).await.is_ok() {
                    sleep(Duration::from_millis(300)).await;
                }
            }
        })
        .await;
        let (controller, _) = deployer(vec![]).await;
        let started_at = Instant::now();
        let router =
            TestRouter::start_with(String::new(), &controller, 256, with_discovery(&discovery))
                .await;
        assert_eq!(*reopened.borrow_and_update(), 2);
        assert!(
            started_at.elapsed() < Duration::from_millis(5_900),
            "{:?}",
            started_at.elapsed()
        );
        assert_eq!(router.status(&read_request("a")).await, Some(200));
    });
}

/// An agent accepts connections and sends nothing, as while discovery is down. The list that it sends once discovery is
/// back counts as known at once, so the router must not wait long on any one connection.
#[test]
fn an_unanswered_watch_is_reopened() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let whole = list(1, &[("s-a", &host.address, "Ready", 1)]);
        let discovery = start_scripted_discovery(move |n, mut stream| {
            let whole = whole.clone();
            async move {
                if n >= 3 {
                    let _ = stream
                        .write_all(format!("{RESPONSE_HEAD}{}", chunk(&whole)).as_bytes())
                        .await;
                }
                sleep(Duration::from_secs(30)).await;
            }
        })
        .await;
        let (controller, _) = deployer(vec![]).await;
        let started_at = Instant::now();
        let router =
            TestRouter::start_with(String::new(), &controller, 256, with_discovery(&discovery))
                .await;
        assert!(
            started_at.elapsed() < Duration::from_millis(4_000),
            "{:?}",
            started_at.elapsed()
        );
        assert_eq!(router.status(&read_request("a")).await, Some(200));
    });
}

/// The configuration moves to an agent that lags behind the previous one. Its older changes must be skipped, so that a
/// draining host does not become ready again.
#[test]
fn changes_older_than_those_received_before_a_move_are_skipped() {
    run(async {
        let drained = Host::start(|_| HostAction::Respond(ok_response("drained"))).await;
        let good = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let newest = Host::start(|_| HostAction::Respond(ok_response("newest"))).await;
        let (controller, _) = deployer(vec![]).await;
        let before = [
            ("s-a", drained.address.as_str(), "Terminating", 1),
            ("s-b", &*good.address, "Ready", 1),
        ];
        let router = TestRouter::start(list(9, &before), &controller, 256).await;
        let change = |revision, id, host: &Host| {
            list(revision, &[(id, &host.address, "Ready", 1)])
                .replace("\"complete\":true", "\"complete\":false")
        };
        let text = format!(
            "{RESPONSE_HEAD}{}{}",
            chunk(&change(5, "s-a", &drained)),
            chunk(&change(10, "s-c", &newest))
        );
        let lagging = start_scripted_discovery(move |_, mut stream| {
            let text = text.clone();
            async move {
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(Duration::from_secs(30)).await;
            }
        })
        .await;
        let file = router.folder.join("config.json");
        std::fs::write(
            &file,
            configuration(&router.address, &lagging, &controller, 256),
        )
        .unwrap();
        router.signal("-HUP");
        let started_at = Instant::now();
        let mut n = 0;
        while newest.count() < 10 && started_at.elapsed() < EVENT_TIMEOUT {
            n += 1;
            assert_eq!(
                router.status(&read_request(&format!("r{n}"))).await,
                Some(200)
            );
        }
        assert!(newest.count() >= 10);
        assert_eq!(
            drained.count(),
            0,
            "a draining host was given {} commands",
            drained.count()
        );
    });
}
