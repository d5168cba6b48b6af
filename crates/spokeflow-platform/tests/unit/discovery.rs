//! How often a watch is opened again, and what is asked of the new one.

use super::*;

const PLAIN: &str =
    r#"{"revision":41,"complete":true,"members":[{"id":"s-{\"a]","phase":"Ready"}]}"#;

/// What a silent watch misses counts as told after 6 s, however often that happens and nothing changes meanwhile.
#[test]
fn a_watch_that_falls_silent_again_and_again_is_opened_anew_in_time() {
    let mut backoff = Backoff::new(5, 0, MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
    let mut failures = 0;
    for _ in 0..20 {
        failures = failures_in_a_row(failures, true);
        assert!(
            READ_TIMEOUT + backoff.delay(failures) < Duration::from_millis(5_500),
            "{failures} in a row"
        );
    }
    let mut refused = 0;
    (0..20).for_each(|_| refused = failures_in_a_row(refused, false));
    assert!(backoff.delay(refused) >= MAX_RECONNECT_DELAY / 2);
}

/// Guards against a hand-over that loses what it has taken: the address moves while the list waits for room, and the
/// next watch has to ask from before it.
#[tokio::test]
async fn a_list_that_was_not_handed_over_is_requested_again() {
    let (asked, mut asks) = mpsc::unbounded_channel();
    let mut addresses = Vec::new();
    for _ in 0..2 {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let asked = asked.clone();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"\r\n\r\n") {
                stream.read_buf(&mut bytes).await.unwrap();
            }
            asked.send(String::from_utf8(bytes).unwrap()).unwrap();
            let line = PLAIN;
            let told = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
                line.len()
            );
            stream.write_all(told.as_bytes()).await.unwrap();
            std::future::pending::<()>().await
        });
    }
    let (events, mut arrivals) = mpsc::channel(1);
    events
        .send(EngineEvent::ClientDisconnected(0))
        .await
        .unwrap();
    let (moves, address) = watch::channel(addresses[0]);
    let backoff = Backoff::new(1, 0, MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
    let watching = DiscoveryWatch {
        address,
        clock: Clock::starting_now(),
        events,
        after: 7,
        backoff,
    };
    tokio::spawn(watching.run());
    assert!(asks.recv().await.unwrap().contains("after=7 "));
    // The list has been read and waits for room once the first in line is the only thing that is not taken.
    sleep(Duration::from_millis(100)).await;
    moves.send(addresses[1]).unwrap();
    assert!(
        asks.recv().await.unwrap().contains("after=7 "),
        "what was never handed over counts as heard"
    );
    assert!(matches!(
        arrivals.recv().await,
        Some(EngineEvent::ClientDisconnected(0))
    ));
    assert!(
        matches!(arrivals.recv().await, Some(EngineEvent::EndpointsListed(listing)) if listing.revision == 41)
    );
}
