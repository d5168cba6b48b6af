//! The watch on the host list.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::common::*;

/// A discovery whose connections are each spoken to by a script of their own.
async fn scripted<F>(script: impl Fn(usize, TcpStream) -> F + Send + 'static) -> String
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

/// The configuration with another discovery.
fn at_discovery(address: &str) -> impl Fn(String) -> String + '_ {
    move |text| {
        let at = text.find("\"discovery\":\"").unwrap();
        let end = at + text[at..].find(',').unwrap();
        format!("{}\"discovery\":\"{address}\"{}", &text[..at], &text[end..])
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A watch that begins an object and then shows signs of life only: what it holds back counts as known after 6 s.
#[test]
fn a_watch_that_stops_within_an_object_is_opened_anew_in_time() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok("good"))).await;
        let whole = list(1, &[("s-a", &host.address, "Ready", 1)]);
        let (connections, mut reopened) = watch::channel(0);
        let discovery = scripted(move |n, mut stream| {
            connections.send_replace(n + 1);
            let whole = whole.clone();
            async move {
                // White space may stand here, so that nothing tells it from a list that goes on.
                let half = &whole[..whole.find('[').unwrap() + 1];
                let first = if n == 0 { half } else { &whole };
                let _ = stream
                    .write_all(format!("{HEAD}{}", chunk(first)).as_bytes())
                    .await;
                while stream.write_all(chunk("\n").as_bytes()).await.is_ok() {
                    sleep(Duration::from_millis(300)).await;
                }
            }
        })
        .await;
        let (controller, _) = deployer(vec![]).await;
        let begun = Instant::now();
        let router =
            TestRouter::start_with(String::new(), &controller, 256, at_discovery(&discovery)).await;
        assert_eq!(*reopened.borrow_and_update(), 2);
        assert!(
            begun.elapsed() < Duration::from_millis(5_900),
            "{:?}",
            begun.elapsed()
        );
        assert_eq!(router.status(&read("a")).await, Some(200));
    });
}

/// An agent that takes the connection and says nothing, as while discovery is down: what it says at its return counts at
/// once, so that no attempt may stand for long.
#[test]
fn a_watch_that_is_not_answered_at_once_is_opened_anew() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok("good"))).await;
        let whole = list(1, &[("s-a", &host.address, "Ready", 1)]);
        let discovery = scripted(move |n, mut stream| {
            let whole = whole.clone();
            async move {
                if n >= 3 {
                    let _ = stream
                        .write_all(format!("{HEAD}{}", chunk(&whole)).as_bytes())
                        .await;
                }
                sleep(Duration::from_secs(30)).await;
            }
        })
        .await;
        let (controller, _) = deployer(vec![]).await;
        let begun = Instant::now();
        let router =
            TestRouter::start_with(String::new(), &controller, 256, at_discovery(&discovery)).await;
        assert!(
            begun.elapsed() < Duration::from_millis(4_000),
            "{:?}",
            begun.elapsed()
        );
        assert_eq!(router.status(&read("a")).await, Some(200));
    });
}

/// The address moves to an agent that lags behind the old one: what it tells anew was overtaken there, and a host that
/// drains must not come back by it.
#[test]
fn changes_older_than_those_received_before_a_move_are_skipped() {
    run(async {
        let drained = Host::start(|_| HostAction::Respond(ok("drained"))).await;
        let good = Host::start(|_| HostAction::Respond(ok("good"))).await;
        let newest = Host::start(|_| HostAction::Respond(ok("newest"))).await;
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
            "{HEAD}{}{}",
            chunk(&change(5, "s-a", &drained)),
            chunk(&change(10, "s-c", &newest))
        );
        let lagging = scripted(move |_, mut stream| {
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
        let begun = Instant::now();
        let mut n = 0;
        while newest.count() < 10 && begun.elapsed() < SOON {
            n += 1;
            assert_eq!(router.status(&read(&format!("r{n}"))).await, Some(200));
        }
        assert!(newest.count() >= 10);
        assert_eq!(
            drained.count(),
            0,
            "a host that drains was given {} commands",
            drained.count()
        );
    });
}
