//! Peers at their worst, one at a time, against a real router on loopback.

mod scripted;

use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use scripted::*;
use spokeflow_proto::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn what_is_wrong_is_named_to_its_sender_and_touches_nobody_else() {
    let mut scene = Scene::open(&[]).await;
    let (port, address) = host_port();
    scene.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut bystander = scene.client().await;
    bystander.send(command(1, ONCE, 8)).await.unwrap();
    let mut host = welcome(&port, 1).await;
    let Some(Ok(ToHost::Deliver { delivery, .. })) = host.next().await else {
        panic!("no delivery")
    };

    let hello = [0, 0, 0, 9, 0, b'S', b'P', b'K', b'F', 1, 0, 0, 0];
    let newer = [0, 0, 0, 9, 0, b'S', b'P', b'K', b'F', 9, 0, 0, 0];
    let cases: [(&str, Vec<u8>, u8); 7] = [
        ("oversized before the hello", vec![0, 1, 0, 0], 2),
        ("not spokeflow", b"GET / HTTP/1.1\r\n\r\n".to_vec(), 2),
        ("wrong version", newer.to_vec(), 6),
        ("a command before the hello", vec![0, 0, 0, 2, 2, 1], 8),
        ("unknown kind", [&hello[..], &[0, 0, 0, 1, 99]].concat(), 3),
        (
            "oversized after the hello",
            [&hello[..], &[0, 9, 0, 0]].concat(),
            2,
        ),
        ("a second hello", [&hello[..], &hello[..]].concat(), 8),
    ];
    for (what, bytes, code) in cases {
        let mut stream = TcpStream::connect(scene.address).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut link: Client = tokio_util::codec::Framed::new(stream, FrameCodec::new(WORK_LIMIT));
        let mut last = None;
        while let Ok(Some(Ok(message))) = timeout(SOON, link.next()).await {
            last = Some(message);
        }
        assert!(
            matches!(&last, Some(ToClient::Refused(r)) if r.code == code),
            "{what}: {last:?}"
        );
    }
    // Cut within a frame: closed, and said where it can still be read.
    let mut stream = TcpStream::connect(scene.address).await.unwrap();
    stream.write_all(&hello[..7]).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut said = Vec::new();
    timeout(SOON, stream.read_to_end(&mut said))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(said.get(5), Some(&1), "truncated: {said:?}");

    host.send(FromHost::Acked {
        delivery,
        body: Default::default(),
    })
    .await
    .unwrap();
    assert!(matches!(
        heard(&mut bystander).await,
        ToClient::Acked { id: 1, .. }
    ));
}

#[tokio::test]
async fn bytes_taken_and_then_a_reset_may_have_run_and_a_refused_connection_has_not() {
    let mut scene = Scene::open(&[]).await;
    let (port, address) = host_port();
    scene.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut client = scene.client().await;
    client.send(command(1, ONCE, 8)).await.unwrap();
    let mut host = welcome(&port, 1).await;
    assert!(matches!(
        host.next().await,
        Some(Ok(ToHost::Deliver { .. }))
    ));
    drop(host);
    assert_eq!(heard(&mut client).await, ToClient::Failed { id: 1 });

    // A list that says ready for a host that refuses: the command goes elsewhere, and nothing is lost.
    let (good, good_address) = host_port();
    scene
        .list(&[
            (1, closed_port(), EndpointPhase::Ready),
            (2, good_address, EndpointPhase::Ready),
        ])
        .await;
    drop(port);
    let mut got = good_host(good, 2);
    for id in 2..22 {
        client.send(command(id, ONCE, 8)).await.unwrap();
        assert!(matches!(heard(&mut client).await, ToClient::Acked { .. }));
        assert_eq!(got.recv().await, Some(id));
    }
}

#[tokio::test]
async fn nothing_queued_for_a_draining_host_leaves_and_a_half_sent_frame_runs_once_elsewhere() {
    let mut scene = Scene::open(&["--drain-grace=600ms"]).await;
    let (stuck, stuck_address) = host_port();
    scene
        .list(&[(1, stuck_address, EndpointPhase::Ready)])
        .await;
    let mut client = scene.client().await;
    // More than the system takes for a host that reads nothing.
    let commands: Vec<u64> = (1..=4).collect();
    for id in &commands {
        client.send(command(*id, ONCE, 60_000)).await.unwrap();
    }
    let mut host = welcome(&stuck, 1).await;
    sleep(Duration::from_millis(150)).await;
    let (good, good_address) = host_port();
    let mut got = good_host(good, 2);
    scene
        .list(&[
            (1, stuck_address, EndpointPhase::Draining),
            (2, good_address, EndpointPhase::Ready),
        ])
        .await;
    // Past the grace it reads all that there is: whole frames count, a cut one was never sent.
    sleep(Duration::from_millis(700)).await;
    let mut ran = Vec::new();
    while let Ok(Some(Ok(message))) = timeout(SOON, host.next()).await {
        if let ToHost::Deliver { body, .. } = message {
            ran.push(u64::from(body[0]));
        }
    }
    let mut answers = Vec::new();
    for _ in &commands {
        answers.push(heard(&mut client).await);
    }
    while let Ok(id) = got.try_recv() {
        ran.push(id);
    }
    ran.sort_unstable();
    let mut once = ran.clone();
    once.dedup();
    assert_eq!(once, ran, "nothing ran twice");
    // What had not left whole is proven not to have run: it went elsewhere or was nacked, not failed.
    let mut proven = 0;
    for answer in answers {
        match answer {
            ToClient::Acked { id, .. } => assert!(ran.contains(&id), "{id}"),
            ToClient::Nacked { id, .. } => assert!(!ran.contains(&id), "{id} was nacked and ran"),
            // It had left whole, or its bytes were taken back with the connection: no promise either way.
            ToClient::Failed { .. } => continue,
            other => panic!("{other:?}"),
        }
        proven += 1;
    }
    assert!(proven >= 1, "{ran:?}");
}

#[tokio::test]
async fn a_silent_way_is_dropped_so_that_nothing_held_on_it_arrives_after_marks_are_forgotten() {
    // Seen on a bad day: a delivery held by a cut ran seven seconds later, long after its repeat elsewhere.
    let mut scene = Scene::open(&["--ping-timeout=400ms"]).await;
    let (silent, address) = host_port();
    scene.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut client = scene.client().await;
    let sent = Instant::now();
    client.send(command(1, ONCE, 8)).await.unwrap();
    let mut host = welcome(&silent, 1).await;
    assert_eq!(heard(&mut client).await, ToClient::Failed { id: 1 });
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

    // One that answers pings is only slow: it is left alone.
    let mut host = {
        client.send(command(2, ONCE, 8)).await.unwrap();
        sleep(Duration::from_millis(600)).await;
        client.send(command(3, ONCE, 8)).await.unwrap();
        welcome(&silent, 1).await
    };
    let (mut delivery, mut pings) = (None, 0);
    while pings < 4 {
        match timeout(SOON, host.next()).await.unwrap() {
            Some(Ok(ToHost::Ping)) => {
                pings += 1;
                host.send(FromHost::Pong).await.unwrap();
            }
            Some(Ok(ToHost::Deliver { delivery: d, .. })) => delivery = Some(d),
            other => panic!("{other:?}"),
        }
    }
    host.send(FromHost::Acked {
        delivery: delivery.unwrap(),
        body: Default::default(),
    })
    .await
    .unwrap();
    let mut answers = [heard(&mut client).await, heard(&mut client).await];
    answers.sort_by_key(|a| matches!(a, ToClient::Acked { .. }));
    assert!(
        matches!(answers, [ToClient::Nacked { .. }, ToClient::Acked { .. }]),
        "{answers:?}"
    );
}

#[tokio::test]
async fn a_client_that_does_not_read_delays_nobody_and_is_closed() {
    let mut scene = Scene::open(&["--client-queue=8"]).await;
    let (port, address) = host_port();
    scene.list(&[(1, address, EndpointPhase::Ready)]).await;
    tokio::spawn(async move {
        let mut link = welcome(&port, 1).await;
        while let Some(Ok(message)) = link.next().await {
            if let ToHost::Deliver { delivery, body, .. } = message {
                link.send(FromHost::Acked { delivery, body }).await.unwrap();
            }
        }
    });
    let mut stalled = scene.client().await;
    let mut other = scene.client().await;
    let mut slowest = Duration::ZERO;
    let mut closed = false;
    for id in 1..2000 {
        // 60 kB come back for each, and none of it is read.
        closed = stalled.send(command(id, SAFE, 60_000)).await.is_err();
        if closed {
            break;
        }
        let sent = Instant::now();
        other.send(command(id, SAFE, 8)).await.unwrap();
        assert!(matches!(heard(&mut other).await, ToClient::Acked { .. }));
        slowest = slowest.max(sent.elapsed());
    }
    assert!(closed, "a client that never reads is closed in the end");
    // A stall would be seconds; the bound leaves room for a busy machine.
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
}

#[tokio::test]
async fn an_ending_router_answers_what_it_holds_and_takes_nothing_new() {
    let mut scene = Scene::open(&[]).await;
    let (port, address) = host_port();
    scene.list(&[(1, address, EndpointPhase::Ready)]).await;
    let mut client = scene.client().await;
    client.send(command(1, ONCE, 8)).await.unwrap();
    let mut host = welcome(&port, 1).await;
    let Some(Ok(ToHost::Deliver { delivery, .. })) = host.next().await else {
        panic!("no delivery")
    };
    scene.end();
    assert_eq!(heard(&mut client).await, ToClient::Closing);
    client.send(command(2, ONCE, 8)).await.unwrap();
    assert!(matches!(
        heard(&mut client).await,
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
        heard(&mut client).await,
        ToClient::Acked { id: 1, .. }
    ));
    assert!(
        TcpStream::connect(scene.address).await.is_err(),
        "nothing new is taken"
    );
    timeout(SOON, &mut scene.ended)
        .await
        .expect("ends by itself")
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn clients_beyond_the_bound_are_closed_and_a_place_is_free_again() {
    let scene = Scene::open(&["--max-clients=2"]).await;
    let (first, _second) = (scene.client().await, scene.client().await);
    let mut third = TcpStream::connect(scene.address).await.unwrap();
    assert_eq!(third.read(&mut [0; 8]).await.unwrap_or(0), 0);
    drop(first);
    sleep(Duration::from_millis(400)).await;
    scene.client().await;
}

#[tokio::test]
async fn a_host_of_another_name_at_the_address_gets_no_work() {
    let mut scene = Scene::open(&[]).await;
    let (port, address) = host_port();
    let (good, good_address) = host_port();
    scene
        .list(&[
            (1, address, EndpointPhase::Ready),
            (2, good_address, EndpointPhase::Ready),
        ])
        .await;
    let mut got = good_host(good, 2);
    let mut wrong = good_host(port, 7);
    let mut client = scene.client().await;
    for id in 1..10 {
        client.send(command(id, ONCE, 8)).await.unwrap();
        assert!(matches!(heard(&mut client).await, ToClient::Acked { .. }));
    }
    assert!(wrong.try_recv().is_err() && got.recv().await.is_some());
}

#[tokio::test]
async fn a_kept_list_serves_a_start_without_the_list() {
    let file = std::env::temp_dir().join(format!("spokeflow-list-{}", std::process::id()));
    let flag = format!("--list-file={}", file.display());
    let (port, address) = host_port();
    let mut got = good_host(port, 1);
    let mut scene = Scene::open(&[&flag]).await;
    scene.list(&[(1, address, EndpointPhase::Ready)]).await;
    sleep(Duration::from_millis(300)).await;
    scene.end();
    let _ = (&mut scene.ended).await;
    // This list never says anything.
    let scene = Scene::open(&[&flag]).await;
    let mut client = scene.client().await;
    client.send(command(5, ONCE, 8)).await.unwrap();
    assert!(matches!(
        heard(&mut client).await,
        ToClient::Acked { id: 5, .. }
    ));
    assert_eq!(got.recv().await, Some(5));
    // A damaged one is not read as true.
    std::fs::write(&file, b"SPKFLST1\xff\xff\xff").unwrap();
    let scene = Scene::open(&[&flag]).await;
    let mut client = scene.client().await;
    client.send(command(6, ONCE, 8)).await.unwrap();
    assert!(matches!(
        heard(&mut client).await,
        ToClient::Nacked { id: 6, .. }
    ));
    std::fs::remove_file(&file).unwrap();
}
