//! Connections to hosts that come up late.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::common::*;
use crate::{keyed, with_key};

/// The module allows three seconds for a connection, so that what is late comes up.
fn patient(text: String) -> String {
    text.replace("\"connect_timeout_s\":0.25", "\"connect_timeout_s\":3.0")
}

/// Without the right to give up an attempt by itself.
fn no_cancel(text: String) -> String {
    patient(text).replace("\"may_cancel\":true", "\"may_cancel\":false")
}

async fn beside_late(late: &LateHost, change: impl Fn(String) -> String) -> TestRouter {
    let (controller, _) = deployer(vec![]).await;
    TestRouter::start_with(
        list(1, &[("s-a", &late.host.address, "Ready", 1)]),
        &controller,
        256,
        change,
    )
    .await
}

/// The time left was that of the module's call; a host went on for a second after its client had gone.
#[test]
fn the_time_left_is_that_of_the_writing() {
    run(async {
        let late = LateHost::start().await;
        let router = beside_late(&late, patient).await;
        let mut client = router.connect().await;
        client.write_all(read("a").as_bytes()).await.unwrap();
        late.wait_for_connect().await;
        let called = Instant::now();
        late.release();
        let answer = timeout(SOON, read_message(&mut client))
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
            called.elapsed() > Duration::from_millis(300),
            "it was not late"
        );
        // What passed after the writing is not in it, nor what passed before the look at the connection.
        assert!(
            left + called.elapsed() < Duration::from_millis(4_100),
            "{left:?} after {:?}",
            called.elapsed()
        );
        assert!(left < Duration::from_millis(3_700), "{left:?}");
    });
}

/// "A client that closes its connection has gone": what still waits for its connection then is not sent on, also where
/// attempts may not be given up.
#[test]
fn nothing_leaves_for_a_client_that_has_gone_before_its_connection_is_open() {
    run(async {
        for change in [patient as fn(String) -> String, no_cancel] {
            let late = LateHost::start().await;
            let router = beside_late(&late, change).await;
            let mut client = router.connect().await;
            client.write_all(read("a").as_bytes()).await.unwrap();
            late.wait_for_connect().await;
            drop(client);
            gone(&router).await;
            late.release();
            sleep(Duration::from_millis(1_500)).await;
            assert_eq!(late.host.count(), 0, "{:?}", late.host.requests);
        }
    });
}

/// The same with a second request behind the first: the close behind it was not seen.
#[test]
fn a_client_that_sent_its_next_request_and_closed_has_gone() {
    run(async {
        let late = LateHost::start().await;
        let router = beside_late(&late, patient).await;
        let mut client = router.connect().await;
        client
            .write_all(format!("{}{}", read("a"), read("b")).as_bytes())
            .await
            .unwrap();
        late.wait_for_connect().await;
        drop(client);
        gone(&router).await;
        late.release();
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(late.host.count(), 0, "{:?}", late.host.requests);
    });
}

/// Until the router has read what its clients have written and closed: nothing of theirs waits in the system.
async fn gone(router: &TestRouter) {
    for _ in 0..3 {
        assert_eq!(router.status("GET /up HTTP/1.1\r\n\r\n").await, Some(200));
    }
}

/// A deployer whose one subscription sends what the test sets.
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

/// The build on trial goes back while the connection of a delivery to it is being made.
#[test]
fn a_lower_cap_binds_what_has_not_left() {
    run(async {
        let old = Host::start(|_| HostAction::Respond(ok("old"))).await;
        let late = LateHost::start().await;
        let (controller, tell) = deployer_with_status("2 0 IN_PROGRESS 0.5 10").await;
        let hosts = [
            ("s-a", old.address.as_str(), "Ready", 1),
            ("s-b", &*late.host.address, "Ready", 2),
        ];
        // No second delivery beside the first, and none in its place: it is this one that must not leave.
        let alone =
            |text| no_cancel(text).replace("\"parallel_tries\":true", "\"parallel_tries\":false");
        let router = TestRouter::start_with(list(1, &hosts), &controller, 256, alone).await;
        let mut clients = Vec::new();
        let wanted = late.wait_for_connect();
        tokio::pin!(wanted);
        for n in 0.. {
            let mut client = router.connect().await;
            client
                .write_all(read(&format!("r{n}")).as_bytes())
                .await
                .unwrap();
            clients.push(client);
            if timeout(Duration::from_millis(5), &mut wanted).await.is_ok() {
                break;
            }
        }
        tell.send("2 0 ROLLING_BACK 0.0 0".into()).unwrap();
        let port: u16 = controller.rsplit(':').next().unwrap().parse().unwrap();
        sleep(Duration::from_millis(50)).await;
        timeout(SOON, async {
            while sockets_to(port).iter().any(|(_, unread)| *unread > 0) {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await
        .expect("the router reads the news");
        // The router has read it, and this command comes after it.
        let answer = exchange(&mut router.connect().await, &read("after"))
            .await
            .unwrap();
        assert_eq!(body(&answer), "old");
        late.release();
        for client in &mut clients {
            let answer = timeout(SOON, read_message(client)).await.unwrap().unwrap();
            assert_eq!(body(&answer), "old", "served by a build whose cap is 0");
        }
        assert_eq!(late.host.count(), 0);
    });
}

/// Hosts drop repeats for 0.6 s; the repeat's connection comes up a second late. It ran again.
#[test]
fn a_repeat_that_is_late_does_not_leave_after_the_window() {
    run(async {
        let late = LateHost::start().await;
        let seen: std::sync::Arc<std::sync::Mutex<Vec<Instant>>> = Default::default();
        let at = seen.clone();
        let breaks = Host::start(move |_| {
            at.lock().unwrap().push(Instant::now());
            HostAction::Close
        })
        .await;
        let (controller, _) = deployer(vec![]).await;
        let hosts = [
            ("s-a", breaks.address.as_str(), "Ready", 1),
            ("s-b", &*late.host.address, "Ready", 1),
        ];
        let change = |text| keyed(patient(text));
        let router = TestRouter::start_with(list(1, &hosts), &controller, 256, change).await;
        let mut clients = Vec::new();
        for n in 0..8 {
            let mut client = router.connect().await;
            client
                .write_all(with_key(&format!("r{n}")).as_bytes())
                .await
                .unwrap();
            clients.push(client);
            // One after another, so that each sees what became of the one before.
            sleep(Duration::from_millis(20)).await;
        }
        breaks.wait_for_requests(1).await;
        late.wait_for_connect().await;
        late.release();
        for client in &mut clients {
            timeout(SOON, read_message(client))
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
        let broken: Vec<String> = breaks.requests.lock().unwrap().iter().map(id).collect();
        let repeated: Vec<String> = late.host.requests.lock().unwrap().iter().map(id).collect();
        assert!(!broken.is_empty());
        assert!(
            !repeated.iter().any(|id| broken.contains(id)),
            "{broken:?} then {repeated:?}"
        );
    });
}
