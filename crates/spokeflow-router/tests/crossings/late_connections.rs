//! Connections to hosts that are established late.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::common::*;
use crate::{seal_request_with_key, with_deduplication};

/// Edits a configuration to allow three seconds for a connection, so that a late one is still established.
fn with_long_connect_timeout(text: String) -> String {
    text.replace("\"connect_timeout_s\":0.25", "\"connect_timeout_s\":3.0")
}

/// Edits a configuration to forbid cancelling an attempt, in addition to the longer connect timeout.
fn without_cancel(text: String) -> String {
    with_long_connect_timeout(text).replace("\"may_cancel\":true", "\"may_cancel\":false")
}

async fn start_with_late_host(late: &LateHost, change: impl Fn(String) -> String) -> TestRouter {
    let (controller, _) = deployer(vec![]).await;
    TestRouter::start_with(
        list(1, &[("s-a", &late.host.address, "Ready", 1)]),
        &controller,
        256,
        change,
    )
    .await
}

/// The remaining time sent to a host must be computed when the request is written, not when the connection is requested.
/// With the latter, a host worked for a second after its client had given up.
#[test]
fn the_request_timeout_is_computed_when_the_request_is_written() {
    run(async {
        let late = LateHost::start().await;
        let router = start_with_late_host(&late, with_long_connect_timeout).await;
        let mut client = router.connect().await;
        client
            .write_all(read_request("a").as_bytes())
            .await
            .unwrap();
        late.wait_for_connect().await;
        let connecting_at = Instant::now();
        late.release();
        let answer = timeout(EVENT_TIMEOUT, read_message(&mut client))
            .await
            .unwrap()
            .unwrap();
        assert_eq!((status(&answer), body(&answer)), (Some(200), "late"));
        let requests = late.host.requests.lock().unwrap()[0].clone();
        let left = requests
            .lines()
            .find_map(|l| l.strip_prefix("Request-Timeout: ")?.strip_suffix('u'));
        let left = Duration::from_micros(left.unwrap().parse().unwrap());
        assert!(
            connecting_at.elapsed() > Duration::from_millis(300),
            "the connection was not late"
        );
        // The remaining time covers neither the time after the write nor the time before the connection was awaited.
        assert!(
            left + connecting_at.elapsed() < Duration::from_millis(4_100),
            "{left:?} after {:?}",
            connecting_at.elapsed()
        );
        assert!(left < Duration::from_millis(3_700), "{left:?}");
    });
}

/// The platform states: "A client that closes its connection has gone". Its command must not be sent if it still waits for
/// the connection to the host, even where attempts may not be cancelled.
#[test]
fn nothing_is_sent_for_a_client_that_closed_before_the_host_was_connected() {
    run(async {
        for change in [
            with_long_connect_timeout as fn(String) -> String,
            without_cancel,
        ] {
            let late = LateHost::start().await;
            let router = start_with_late_host(&late, change).await;
            let mut client = router.connect().await;
            client
                .write_all(read_request("a").as_bytes())
                .await
                .unwrap();
            late.wait_for_connect().await;
            drop(client);
            wait_until_clients_are_read(&router).await;
            late.release();
            sleep(Duration::from_millis(1_500)).await;
            assert_eq!(late.host.count(), 0, "{:?}", late.host.requests);
        }
    });
}

/// A client sends a second request behind the first and closes. The router must notice the close behind the
/// second request and send neither request to the host.
#[test]
fn a_close_behind_a_pipelined_request_is_noticed() {
    run(async {
        let late = LateHost::start().await;
        let router = start_with_late_host(&late, with_long_connect_timeout).await;
        let mut client = router.connect().await;
        client
            .write_all(format!("{}{}", read_request("a"), read_request("b")).as_bytes())
            .await
            .unwrap();
        late.wait_for_connect().await;
        drop(client);
        wait_until_clients_are_read(&router).await;
        late.release();
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(late.host.count(), 0, "{:?}", late.host.requests);
    });
}

/// Waits until the router has read everything that its clients have sent, and noticed which of them have closed.
async fn wait_until_clients_are_read(router: &TestRouter) {
    for _ in 0..3 {
        assert_eq!(router.status("GET /up HTTP/1.1\r\n\r\n").await, Some(200));
    }
}

/// Starts a deployer whose subscription sends the rollout status that the test sets.
async fn deployer_with_status(first: &str) -> (String, watch::Sender<String>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (status, status_updates) = watch::channel(first.to_string());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut status_updates = status_updates.clone();
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while !bytes.ends_with(b"\r\n") {
                    stream.read_buf(&mut bytes).await.ok()?;
                }
                if bytes != b"SUB\r\n" {
                    return stream.write_all(b"ERR throttled\r\n").await.ok();
                }
                stream.write_all(b"OK\r\n").await.ok()?;
                loop {
                    let line = format!("* news {}\r\n", *status_updates.borrow_and_update());
                    stream.write_all(line.as_bytes()).await.ok()?;
                    while timeout(Duration::from_secs(1), status_updates.changed())
                        .await
                        .is_err()
                    {
                        stream.write_all(b"*\r\n").await.ok()?;
                    }
                }
            });
        }
    });
    (address, status)
}

/// The canary is rolled back while the connection for a delivery to it is being established; the delivery must not be
/// sent then.
#[test]
fn a_lowered_exposure_cap_applies_to_unsent_deliveries() {
    run(async {
        let old = Host::start(|_| HostAction::Respond(ok_response("old"))).await;
        let late = LateHost::start().await;
        let (controller, rollout_status) = deployer_with_status("2 0 IN_PROGRESS 0.5 10").await;
        let hosts = [
            ("s-a", old.address.as_str(), "Ready", 1),
            ("s-b", &*late.host.address, "Ready", 2),
        ];
        // Without hedging and cancelling the command has one delivery, the one that must not be sent.
        let without_hedging = |text| {
            without_cancel(text).replace("\"parallel_tries\":true", "\"parallel_tries\":false")
        };
        let router =
            TestRouter::start_with(list(1, &hosts), &controller, 256, without_hedging).await;
        let mut clients = Vec::new();
        let connecting = late.wait_for_connect();
        tokio::pin!(connecting);
        for n in 0.. {
            let mut client = router.connect().await;
            client
                .write_all(read_request(&format!("r{n}")).as_bytes())
                .await
                .unwrap();
            clients.push(client);
            if timeout(Duration::from_millis(5), &mut connecting)
                .await
                .is_ok()
            {
                break;
            }
        }
        rollout_status
            .send("2 0 ROLLING_BACK 0.0 0".into())
            .unwrap();
        let port: u16 = controller.rsplit(':').next().unwrap().parse().unwrap();
        sleep(Duration::from_millis(50)).await;
        timeout(EVENT_TIMEOUT, async {
            while sockets_to(port).iter().any(|(_, unread)| *unread > 0) {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await
        .expect("the router reads the rollout status in time");
        // The router has read the status, so it applies to this command.
        let answer = exchange(&mut router.connect().await, &read_request("after"))
            .await
            .unwrap();
        assert_eq!(body(&answer), "old");
        late.release();
        for client in &mut clients {
            let answer = timeout(EVENT_TIMEOUT, read_message(client))
                .await
                .unwrap()
                .unwrap();
            assert_eq!(
                body(&answer),
                "old",
                "served by a build whose exposure cap is 0"
            );
        }
        assert_eq!(late.host.count(), 0);
    });
}

/// Hosts deduplicate for 0.6 s, and the connection for a retry is established a second late. A retry sent after the
/// deduplication window would run the command a second time.
#[test]
fn a_late_retry_is_not_sent_after_the_deduplication_window() {
    run(async {
        let late = LateHost::start().await;
        let seen: std::sync::Arc<std::sync::Mutex<Vec<Instant>>> = Default::default();
        let request_times = seen.clone();
        let closing_host = Host::start(move |_| {
            request_times.lock().unwrap().push(Instant::now());
            HostAction::Close
        })
        .await;
        let (controller, _) = deployer(vec![]).await;
        let hosts = [
            ("s-a", closing_host.address.as_str(), "Ready", 1),
            ("s-b", &*late.host.address, "Ready", 1),
        ];
        let change = |text| with_deduplication(with_long_connect_timeout(text));
        let router = TestRouter::start_with(list(1, &hosts), &controller, 256, change).await;
        let mut clients = Vec::new();
        for n in 0..8 {
            let mut client = router.connect().await;
            client
                .write_all(seal_request_with_key(&format!("r{n}")).as_bytes())
                .await
                .unwrap();
            clients.push(client);
            // Spaced out, so that the router knows the outcome of the previous request.
            sleep(Duration::from_millis(20)).await;
        }
        closing_host.wait_for_requests(1).await;
        late.wait_for_connect().await;
        late.release();
        for client in &mut clients {
            timeout(EVENT_TIMEOUT, read_message(client))
                .await
                .unwrap()
                .expect("a final answer");
        }
        let id = |request: &String| {
            request
                .lines()
                .find_map(|l| l.strip_prefix("Request-Id: ").map(str::to_string))
                .unwrap()
        };
        let failed: Vec<String> = closing_host
            .requests
            .lock()
            .unwrap()
            .iter()
            .map(id)
            .collect();
        let repeated: Vec<String> = late.host.requests.lock().unwrap().iter().map(id).collect();
        assert!(!failed.is_empty());
        assert!(
            !repeated.iter().any(|id| failed.contains(id)),
            "{failed:?} then {repeated:?}"
        );
    });
}
