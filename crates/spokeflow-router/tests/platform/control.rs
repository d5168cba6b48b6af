//! The host list, the deployer, the configuration and the shutdown.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use crate::common::*;
use crate::with_host;

/// When a host id moves to another address, connections to the previous process must not be used for the new one, and a
/// draining host must get no new commands.
#[test]
fn changes_of_the_host_list_are_followed_at_once() {
    run(async {
        let first = Host::start(|_| HostAction::Respond(ok_response("first"))).await;
        let second = Host::start(|_| HostAction::Respond(ok_response("second"))).await;
        let router = with_host(&first).await;
        assert_eq!(router.status(&read_request("a")).await, Some(200));
        router
            .host_list
            .send("{\"revision\":2,\"complete\":tr".into())
            .unwrap();
        sleep(Duration::from_millis(50)).await;
        let moved = [
            ("s-a", &*second.address, "Ready", 1),
            ("s-b", &*first.address, "Terminating", 1),
        ];
        router.host_list.send(list(3, &moved)).unwrap();
        sleep(Duration::from_millis(400)).await;
        for n in 0..5 {
            let answer = exchange(&mut router.connect().await, &read_request(&format!("b{n}")))
                .await
                .unwrap();
            assert_eq!(body(&answer), "second");
        }
        assert_eq!(first.count(), 1);
        // Lists may be indented. When they were read line by line, each broke the watch and no further list was received.
        let back = list(
            4,
            &[
                ("s-a", &*second.address, "Terminating", 1),
                ("s-b", &*first.address, "Ready", 1),
            ],
        );
        router
            .host_list
            .send(back.replace(',', ",\n  ").replace('{', "{\n  "))
            .unwrap();
        sleep(Duration::from_millis(400)).await;
        let answer = exchange(&mut router.connect().await, &read_request("c"))
            .await
            .unwrap();
        assert_eq!(body(&answer), "first");
    });
}

#[test]
fn a_new_configuration_moves_discovery_and_deployer() {
    run(async {
        let first = Host::start(|_| HostAction::Respond(ok_response("first"))).await;
        let second = Host::start(|_| HostAction::Respond(ok_response("second"))).await;
        let router = with_host(&first).await;
        let (_lines, line_updates) =
            tokio::sync::watch::channel(list(9, &[("s-b", &second.address, "Ready", 1)]));
        let (controller, requests) = deployer(vec![]).await;
        let file = router.folder.join("config.json");
        std::fs::write(&file, "{ half a file").unwrap();
        router.signal("-HUP");
        sleep(Duration::from_millis(100)).await;
        assert_eq!(router.status(&read_request("a")).await, Some(200));
        std::fs::write(
            &file,
            configuration(
                &router.address,
                &discovery(line_updates).await,
                &controller,
                256,
            ),
        )
        .unwrap();
        router.signal("-HUP");
        sleep(Duration::from_millis(400)).await;
        let answer = exchange(&mut router.connect().await, &read_request("b"))
            .await
            .unwrap();
        assert_eq!(body(&answer), "second");
        assert_eq!(
            requests.lock().unwrap().first().map(String::as_str),
            Some("SUB")
        );
    });
}

#[test]
fn all_accepted_requests_are_answered_at_sigterm() {
    run(async {
        let host = Host::start(|_| {
            HostAction::RespondAfter(Duration::from_millis(1200), ok_response("late"))
        })
        .await;
        let mut router = with_host(&host).await;
        let mut held = Vec::new();
        for n in 0..3 {
            let mut client = router.connect().await;
            client
                .write_all(read_request(&format!("r{n}")).as_bytes())
                .await
                .unwrap();
            held.push(client);
        }
        let mut idle = router.connect().await;
        assert_eq!(
            status(
                &exchange(&mut idle, "GET /up HTTP/1.1\r\n\r\n")
                    .await
                    .unwrap()
            ),
            Some(200)
        );
        sleep(Duration::from_millis(100)).await;
        router.signal("-TERM");
        while router.status("GET /up HTTP/1.1\r\n\r\n").await == Some(200) {
            sleep(Duration::from_millis(5)).await;
        }
        for client in &mut held {
            let answer = timeout(EVENT_TIMEOUT, read_message(client))
                .await
                .unwrap()
                .unwrap();
            assert_eq!((status(&answer), body(&answer)), (Some(200), "late"));
            assert!(answer.contains("Connection: close"));
        }
        assert!(timeout(EVENT_TIMEOUT, router.child.wait())
            .await
            .unwrap()
            .unwrap()
            .success());
    });
}

/// A malformed line from the deployer must only close its connection; votes and rollout status continue on the next one.
#[test]
fn the_router_reconnects_to_a_deployer_that_sends_malformed_lines() {
    run(async {
        let old = Host::start(|_| HostAction::Respond(ok_response("old"))).await;
        let new = Host::start(|_| HostAction::Respond(ok_response("new"))).await;
        let malformed = vec![
            "\u{fffd}noise\r\n",
            "OK\r\n* news 2 0 SIDEWAYS 0.5 10\r\n",
            "OK\r\n* news 2 0 IN_PROG",
        ];
        let (controller, requests) = deployer(malformed).await;
        let hosts = [
            ("s-a", &*old.address, "Ready", 1),
            ("s-b", &*new.address, "Ready", 2),
        ];
        let router = TestRouter::start(list(1, &hosts), &controller, 256).await;
        let started_at = Instant::now();
        let mut n = 0;
        let voted = || {
            requests
                .lock()
                .unwrap()
                .iter()
                .any(|line| line == "SAY 2 0 on")
        };
        while !voted() && started_at.elapsed() < EVENT_TIMEOUT {
            n += 1;
            assert_eq!(
                router.status(&read_request(&format!("r{n}"))).await,
                Some(200)
            );
            sleep(Duration::from_millis(5)).await;
        }
        assert!(voted(), "{:?}", requests.lock().unwrap());
        assert!(new.count() > 0);
    });
}

#[test]
fn an_invalid_configuration_ends_the_start_with_one_line() {
    let folder =
        std::env::temp_dir().join(format!("spokeflow-platform-bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let good = configuration("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 256);
    for (text, expected) in [
        ("{".to_string(), "--config"),
        (good.replace("COMPLETE", "ELSEWHERE"), "deployer.news"),
        (
            good.replace("\"sockets\":256", "\"sockets\":10"),
            "limits.sockets",
        ),
        (good.replace("\"single\"", "\"whoever\""), "gate_mode"),
        (good.replace("\"name\":\"n0\"", "\"name\":\"n1\""), "--name"),
    ] {
        let file = folder.join("config.json");
        std::fs::write(&file, text).unwrap();
        let ended = std::process::Command::new(env!("CARGO_BIN_EXE_spokeflow-router"))
            .args(["platform", "--name", "n0", "--config"])
            .arg(&file)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&ended.stderr).to_string();
        assert_eq!(
            (ended.status.code(), text.lines().count()),
            (Some(2), 1),
            "{text}"
        );
        assert!(text.contains(expected), "{text}");
    }
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a router that refuses to start with few file descriptors though it could serve some load.
#[test]
fn the_router_serves_with_very_few_file_descriptors() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let router = TestRouter::start(
            list(1, &[("s-a", &host.address, "Ready", 1)]),
            &controller,
            27,
        )
        .await;
        for n in 0..6 {
            assert_eq!(
                router.status(&read_request(&format!("r{n}"))).await,
                Some(200),
                "{n}"
            );
        }
    });
}

/// Guards against limits on the length of the list between discovery and the engine: 1,500 hosts, of which half are then
/// replaced by new ones. Each list is one line.
#[test]
fn a_list_of_many_hosts_is_read_whole_and_updated() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let host_names = |from: usize| {
            (from..from + 1500)
                .map(|n| format!("s-{n:08x}"))
                .collect::<Vec<_>>()
        };
        let first = host_names(0);
        let second = host_names(750);
        let lines = |names: &[String], phase| {
            let members: Vec<_> = names
                .iter()
                .map(|name| (name.as_str(), host.address.as_str(), phase, 1))
                .collect();
            list(1, &members)
        };
        let router = TestRouter::start(lines(&first, "Ready"), &controller, 256).await;
        let mut client = router.connect().await;
        for n in 0..20 {
            assert_eq!(
                status(
                    &exchange(&mut client, &read_request(&format!("a{n}")))
                        .await
                        .unwrap()
                ),
                Some(200)
            );
        }
        router.host_list.send(lines(&second, "Ready")).unwrap();
        for n in 0..20 {
            assert_eq!(
                status(
                    &exchange(&mut client, &read_request(&format!("b{n}")))
                        .await
                        .unwrap()
                ),
                Some(200)
            );
        }
    });
}
