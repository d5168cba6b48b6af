//! A real router on loopback sockets against one misbehaving peer at a time.

mod scripted;

use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use scripted::*;
use spokeflow_proto::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn malformed_input_is_refused_with_its_error_code_and_does_not_affect_other_clients() {
    let mut router = RouterUnderTest::start(&[]).await;
    let (listener, address) = host_listener();
    router.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut other = router.connect_client().await;
    other.send(command(1, AT_MOST_ONCE, 8)).await.unwrap();
    let mut host = accept_router(&listener, 1).await;
    let Some(Ok(ToHost::Deliver { delivery, .. })) = host.next().await else {
        panic!("the host got no delivery")
    };

    let hello = [0, 0, 0, 9, 0, b'S', b'P', b'K', b'F', 1, 0, 0, 0];
    let newer_hello = [0, 0, 0, 9, 0, b'S', b'P', b'K', b'F', 9, 0, 0, 0];
    let cases: [(&str, Vec<u8>, u8); 7] = [
        ("oversized before the hello", vec![0, 1, 0, 0], 2),
        ("not spokeflow", b"GET / HTTP/1.1\r\n\r\n".to_vec(), 2),
        ("wrong version", newer_hello.to_vec(), 6),
        ("a command before the hello", vec![0, 0, 0, 2, 2, 1], 8),
        ("unknown kind", [&hello[..], &[0, 0, 0, 1, 99]].concat(), 3),
        (
            "oversized after the hello",
            [&hello[..], &[0, 9, 0, 0]].concat(),
            2,
        ),
        ("a second hello", [&hello[..], &hello[..]].concat(), 8),
    ];
    for (case, bytes, code) in cases {
        let mut stream = TcpStream::connect(router.address).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut link: ClientLink =
            tokio_util::codec::Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        let mut last = None;
        while let Ok(Some(Ok(message))) = timeout(TIMEOUT, link.next()).await {
            last = Some(message);
        }
        assert!(
            matches!(&last, Some(ToClient::Refused(refused)) if refused.code == code),
            "{case}: expected Refused with code {code}, got {last:?}"
        );
    }
    // A connection closed for writing within a frame is refused too: the other direction is still open.
    let mut stream = TcpStream::connect(router.address).await.unwrap();
    stream.write_all(&hello[..7]).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = Vec::new();
    timeout(TIMEOUT, stream.read_to_end(&mut answer))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(answer.get(5), Some(&1), "truncated frame: {answer:?}");

    host.send(FromHost::Acked {
        delivery,
        body: Default::default(),
    })
    .await
    .unwrap();
    assert!(matches!(
        receive(&mut other).await,
        ToClient::Acked { id: 1, .. }
    ));
}

#[tokio::test]
async fn host_that_disconnects_after_a_delivery_fails_it_and_a_refused_connection_loses_nothing() {
    let mut router = RouterUnderTest::start(&[]).await;
    let (listener, address) = host_listener();
    router.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut client = router.connect_client().await;
    client.send(command(1, AT_MOST_ONCE, 8)).await.unwrap();
    let mut host = accept_router(&listener, 1).await;
    assert!(matches!(
        host.next().await,
        Some(Ok(ToHost::Deliver { .. }))
    ));
    // The host may have run the command before it disconnected: the command must fail, not be nacked or repeated.
    drop(host);
    assert_eq!(receive(&mut client).await, ToClient::Failed { id: 1 });

    // Host 1 is listed as ready but refuses connections: its commands go to host 2, and none is lost.
    let (acking, acking_address) = host_listener();
    router
        .list(&[
            (1, closed_address(), EndpointPhase::Ready),
            (2, acking_address, EndpointPhase::Ready),
        ])
        .await;
    drop(listener);
    let mut delivered = start_acking_host(acking, 2);
    for id in 2..22 {
        client.send(command(id, AT_MOST_ONCE, 8)).await.unwrap();
        assert!(matches!(receive(&mut client).await, ToClient::Acked { .. }));
        assert_eq!(delivered.recv().await, Some(id));
    }
}

#[tokio::test]
async fn deliveries_queued_for_a_draining_host_are_not_sent_and_a_partly_sent_one_runs_once() {
    let mut router = RouterUnderTest::start(&["--drain-grace=600ms"]).await;
    let (blocked, blocked_address) = host_listener();
    router
        .list(&[(1, blocked_address, EndpointPhase::Ready)])
        .await;
    let mut client = router.connect_client().await;
    // More bytes than the socket buffers take for a host that reads nothing.
    let commands: Vec<u64> = (1..=4).collect();
    for id in &commands {
        client
            .send(command(*id, AT_MOST_ONCE, 60_000))
            .await
            .unwrap();
    }
    let mut host = accept_router(&blocked, 1).await;
    sleep(Duration::from_millis(150)).await;
    let (acking, acking_address) = host_listener();
    let mut delivered = start_acking_host(acking, 2);
    router
        .list(&[
            (1, blocked_address, EndpointPhase::Draining),
            (2, acking_address, EndpointPhase::Ready),
        ])
        .await;
    // After the drain grace the host reads all that was sent: only whole frames run.
    sleep(Duration::from_millis(700)).await;
    let mut ran = Vec::new();
    while let Ok(Some(Ok(message))) = timeout(TIMEOUT, host.next()).await {
        if let ToHost::Deliver { body, .. } = message {
            ran.push(u64::from(body[0]));
        }
    }
    let mut answers = Vec::new();
    for _ in &commands {
        answers.push(receive(&mut client).await);
    }
    while let Ok(id) = delivered.try_recv() {
        ran.push(id);
    }
    ran.sort_unstable();
    let mut once = ran.clone();
    once.dedup();
    assert_eq!(once, ran, "a command ran twice");
    // A delivery that was not sent whole has certainly not run: it goes to another host or is nacked, and does not fail.
    let mut certain = 0;
    for answer in answers {
        match answer {
            ToClient::Acked { id, .. } => {
                assert!(ran.contains(&id), "{id} was acked and did not run")
            }
            ToClient::Nacked { id, .. } => assert!(!ran.contains(&id), "{id} was nacked and ran"),
            // The delivery was sent whole, or its bytes were dropped with the connection: it may have run or not.
            ToClient::Failed { .. } => continue,
            other => panic!("unexpected message: {other:?}"),
        }
        certain += 1;
    }
    assert!(certain >= 1, "every command failed; ran: {ran:?}");
}

/// Guards against a delivery that a network cut delays until the hosts' deduplication marks are forgotten: in one run such
/// a delivery ran seven seconds later, long after its repeat at another host. The router must close a connection on which
/// pings get no answer.
#[tokio::test]
async fn connection_without_pongs_is_closed_and_a_slow_host_with_pongs_is_kept() {
    let mut router = RouterUnderTest::start(&["--ping-timeout=400ms"]).await;
    let (silent, address) = host_listener();
    router.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut client = router.connect_client().await;
    let sent = Instant::now();
    client.send(command(1, AT_MOST_ONCE, 8)).await.unwrap();
    let mut host = accept_router(&silent, 1).await;
    assert_eq!(receive(&mut client).await, ToClient::Failed { id: 1 });
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "{:?}",
        sent.elapsed()
    );
    let mut pinged = false;
    while let Some(Ok(message)) = host.next().await {
        pinged |= message == ToHost::Ping;
    }
    assert!(pinged);

    // A host that answers pings is only slow: its connection is kept.
    let mut host = {
        client.send(command(2, AT_MOST_ONCE, 8)).await.unwrap();
        sleep(Duration::from_millis(600)).await;
        client.send(command(3, AT_MOST_ONCE, 8)).await.unwrap();
        accept_router(&silent, 1).await
    };
    let (mut delivery, mut pings) = (None, 0);
    while pings < 4 {
        match timeout(TIMEOUT, host.next()).await.unwrap() {
            Some(Ok(ToHost::Ping)) => {
                pings += 1;
                host.send(FromHost::Pong).await.unwrap();
            }
            Some(Ok(ToHost::Deliver { delivery: id, .. })) => delivery = Some(id),
            other => panic!("unexpected message: {other:?}"),
        }
    }
    host.send(FromHost::Acked {
        delivery: delivery.unwrap(),
        body: Default::default(),
    })
    .await
    .unwrap();
    let mut answers = [receive(&mut client).await, receive(&mut client).await];
    answers.sort_by_key(|answer| matches!(answer, ToClient::Acked { .. }));
    assert!(
        matches!(answers, [ToClient::Nacked { .. }, ToClient::Acked { .. }]),
        "{answers:?}"
    );
}

#[tokio::test]
async fn client_that_does_not_read_is_closed_and_does_not_delay_others() {
    let mut router = RouterUnderTest::start(&["--client-queue=8"]).await;
    let (listener, address) = host_listener();
    router.list(&[(1, address, EndpointPhase::Ready)]).await;
    tokio::spawn(async move {
        let mut link = accept_router(&listener, 1).await;
        while let Some(Ok(message)) = link.next().await {
            if let ToHost::Deliver { delivery, body, .. } = message {
                link.send(FromHost::Acked { delivery, body }).await.unwrap();
            }
        }
    });
    let mut stalled = router.connect_client().await;
    let mut other = router.connect_client().await;
    let mut slowest = Duration::ZERO;
    let mut closed = false;
    for id in 1..2000 {
        // The answer to each command has 60 kB, and the client reads none.
        closed = stalled
            .send(command(id, REDELIVERABLE, 60_000))
            .await
            .is_err();
        if closed {
            break;
        }
        let sent = Instant::now();
        other.send(command(id, REDELIVERABLE, 8)).await.unwrap();
        assert!(matches!(receive(&mut other).await, ToClient::Acked { .. }));
        slowest = slowest.max(sent.elapsed());
    }
    assert!(closed, "the client that never reads was not closed");
    // A stall would take seconds; the bound leaves room for a busy machine.
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
}

#[tokio::test]
async fn router_that_shuts_down_answers_open_commands_and_nacks_new_ones() {
    let mut router = RouterUnderTest::start(&[]).await;
    let (listener, address) = host_listener();
    router.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut client = router.connect_client().await;
    client.send(command(1, AT_MOST_ONCE, 8)).await.unwrap();
    let mut host = accept_router(&listener, 1).await;
    let Some(Ok(ToHost::Deliver { delivery, .. })) = host.next().await else {
        panic!("the host got no delivery")
    };
    router.shut_down();
    assert_eq!(receive(&mut client).await, ToClient::Closing);
    client.send(command(2, AT_MOST_ONCE, 8)).await.unwrap();
    assert!(matches!(
        receive(&mut client).await,
        ToClient::Nacked { id: 2, .. }
    ));
    sleep(Duration::from_millis(300)).await;
    host.send(FromHost::Acked {
        delivery,
        body: Default::default(),
    })
    .await
    .unwrap();
    assert!(matches!(
        receive(&mut client).await,
        ToClient::Acked { id: 1, .. }
    ));
    assert!(
        TcpStream::connect(router.address).await.is_err(),
        "the router accepts connections during its shutdown"
    );
    timeout(TIMEOUT, &mut router.ended)
        .await
        .expect("the router did not end in time")
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn clients_above_the_maximum_are_closed_until_another_client_ends() {
    let router = RouterUnderTest::start(&["--max-clients=2"]).await;
    let (first, _second) = (router.connect_client().await, router.connect_client().await);
    let mut third = TcpStream::connect(router.address).await.unwrap();
    assert_eq!(third.read(&mut [0; 8]).await.unwrap_or(0), 0);
    drop(first);
    sleep(Duration::from_millis(400)).await;
    router.connect_client().await;
}

#[tokio::test]
async fn host_with_another_number_than_listed_gets_no_deliveries() {
    let mut router = RouterUnderTest::start(&[]).await;
    let (listener, address) = host_listener();
    let (acking, acking_address) = host_listener();
    router
        .list(&[
            (1, address, EndpointPhase::Ready),
            (2, acking_address, EndpointPhase::Ready),
        ])
        .await;
    let mut delivered = start_acking_host(acking, 2);
    let mut wrong = start_acking_host(listener, 7);
    let mut client = router.connect_client().await;
    for id in 1..10 {
        client.send(command(id, AT_MOST_ONCE, 8)).await.unwrap();
        assert!(matches!(receive(&mut client).await, ToClient::Acked { .. }));
    }
    assert!(wrong.try_recv().is_err() && delivered.recv().await.is_some());
}

#[tokio::test]
async fn router_starts_from_the_list_file_and_ignores_a_damaged_one() {
    let file = std::env::temp_dir().join(format!("spokeflow-list-{}", std::process::id()));
    let flag = format!("--list-file={}", file.display());
    let (listener, address) = host_listener();
    let mut delivered = start_acking_host(listener, 1);
    let mut router = RouterUnderTest::start(&[&flag]).await;
    router.list(&[(1, address, EndpointPhase::Ready)]).await;
    sleep(Duration::from_millis(300)).await;
    router.shut_down();
    let _ = (&mut router.ended).await;
    // The registry of this router sends no update.
    let router = RouterUnderTest::start(&[&flag]).await;
    let mut client = router.connect_client().await;
    client.send(command(5, AT_MOST_ONCE, 8)).await.unwrap();
    assert!(matches!(
        receive(&mut client).await,
        ToClient::Acked { id: 5, .. }
    ));
    assert_eq!(delivered.recv().await, Some(5));
    // A damaged list file is not used.
    std::fs::write(&file, b"SPKFLST1\xff\xff\xff").unwrap();
    let router = RouterUnderTest::start(&[&flag]).await;
    let mut client = router.connect_client().await;
    client.send(command(6, AT_MOST_ONCE, 8)).await.unwrap();
    assert!(matches!(
        receive(&mut client).await,
        ToClient::Nacked { id: 6, .. }
    ));
    std::fs::remove_file(&file).unwrap();
}

/// Guards against commands that are sent on for a client that has closed its sending side behind many of them, and reads
/// none of its answers.
#[tokio::test]
async fn nothing_is_sent_after_a_close_behind_many_commands() {
    const COMMANDS: u64 = 2_000;
    const SERVICE_TIME: Duration = Duration::from_millis(20);
    let mut router = RouterUnderTest::start(&[]).await;
    let (listener, address) = host_listener();
    router.list(&[(1, address, EndpointPhase::Ready)]).await;
    let (sender, mut delivered) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut link = accept_router(&listener, 1).await;
        while let Some(Ok(message)) = link.next().await {
            if let ToHost::Deliver { delivery, .. } = message {
                let _ = sender.send(delivery);
                sleep(SERVICE_TIME).await;
                let body = Default::default();
                let _ = link.send(FromHost::Acked { delivery, body }).await;
            }
        }
    });
    let mut client = router.connect_client().await;
    for id in 1..=COMMANDS {
        client.feed(command(id, AT_MOST_ONCE, 64)).await.unwrap();
    }
    client.flush().await.unwrap();
    client.get_mut().shutdown().await.unwrap();
    // What the host's receive buffer holds was sent before the close.
    let mut before = 0;
    let settled = Duration::from_millis(500);
    while let Ok(Some(_)) = timeout(settled, delivered.recv()).await {
        before += 1;
    }
    assert!(before > 0, "no command was delivered");
    assert!(before < COMMANDS / 10, "{before} commands were delivered");
    // Another client is served.
    let mut other = router.connect_client().await;
    other.send(command(1, AT_MOST_ONCE, 8)).await.unwrap();
    let answer = receive(&mut other).await;
    assert!(matches!(
        answer,
        ToClient::Acked { .. } | ToClient::Nacked { .. }
    ));
}
