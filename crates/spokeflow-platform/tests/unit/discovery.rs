//! Reopening of a watch: how soon it happens, and from which revision the new watch requests changes.

use super::*;

const LISTING: &str =
    r#"{"revision":41,"complete":true,"members":[{"id":"s-{\"a]","phase":"Ready"}]}"#;

/// From 6 s after a watch fell silent, the platform holds the router responsible for the changes that it missed. Guards
/// against backoff that grows each time a watch becomes silent without a change of the list.
#[test]
fn a_watch_that_repeatedly_becomes_silent_is_reopened_in_time() {
    let mut backoff = Backoff::new(5, 0, MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
    let mut failures = 0;
    for _ in 0..20 {
        failures = failures_in_a_row(failures, true);
        assert!(
            READ_TIMEOUT + backoff.delay(failures) < Duration::from_millis(5_500),
            "after {failures} failures in a row"
        );
    }
    let mut refused = 0;
    (0..20).for_each(|_| refused = failures_in_a_row(refused, false));
    assert!(backoff.delay(refused) >= MAX_RECONNECT_DELAY / 2);
}

/// Guards against losing a listing that was read and not handed over: the address changes while the listing waits for
/// space in the event queue, and the next watch has to request it again.
#[tokio::test]
async fn a_listing_that_was_not_handed_over_is_requested_again() {
    let (request_sender, mut requests) = mpsc::unbounded_channel();
    let mut addresses = Vec::new();
    for _ in 0..2 {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let request_sender = request_sender.clone();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"\r\n\r\n") {
                stream.read_buf(&mut bytes).await.unwrap();
            }
            request_sender
                .send(String::from_utf8(bytes).unwrap())
                .unwrap();
            let response = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{LISTING}\r\n",
                LISTING.len()
            );
            stream.write_all(response.as_bytes()).await.unwrap();
            std::future::pending::<()>().await
        });
    }
    let (events, mut event_receiver) = mpsc::channel(1);
    events
        .send(EngineEvent::ClientDisconnected(0))
        .await
        .unwrap();
    let (address_sender, address) = watch::channel(addresses[0]);
    let backoff = Backoff::new(1, 0, MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY);
    let discovery_watch = DiscoveryWatch {
        address,
        clock: Clock::starting_now(),
        events,
        after: 7,
        backoff,
        limits: ListingLimits {
            size: 64 << 10,
            hosts: 100,
        },
    };
    tokio::spawn(discovery_watch.run());
    assert!(requests.recv().await.unwrap().contains("after=7 "));
    // By then the listing has been read and waits for space: the event queue holds one event, which nobody has taken.
    sleep(Duration::from_millis(100)).await;
    address_sender.send(addresses[1]).unwrap();
    assert!(
        requests.recv().await.unwrap().contains("after=7 "),
        "the listing was never handed over and must be requested again"
    );
    assert!(matches!(
        event_receiver.recv().await,
        Some(EngineEvent::ClientDisconnected(0))
    ));
    assert!(
        matches!(event_receiver.recv().await, Some(EngineEvent::EndpointsListed { listing, .. }) if listing.revision == 41)
    );
}
