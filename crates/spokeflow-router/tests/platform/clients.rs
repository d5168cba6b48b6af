//! Clients: requests, refusals and connections.

use std::time::{Duration, Instant};

use tokio::time::timeout;

use crate::common::*;
use crate::with_host;

#[test]
fn both_operations_are_served_on_one_connection() {
    run(async {
        let host = Host::start(|n| HostAction::Respond(ok_response(&format!("answer {n}")))).await;
        let router = with_host(&host).await;
        let mut client = router.connect().await;
        let first = exchange(&mut client, &read_request("r1")).await.unwrap();
        let second = exchange(&mut client, &seal_request("r2")).await.unwrap();
        assert_eq!((status(&first), body(&first)), (Some(200), "answer 0"));
        assert_eq!((status(&second), body(&second)), (Some(200), "answer 1"));
        let requests = host.requests.lock().unwrap().clone();
        assert!(
            requests[0].starts_with("GET /read/kr1 HTTP/1.1\r\nRequest-Timeout: "),
            "{}",
            requests[0]
        );
        assert!(requests[0].contains("\r\nRequest-Id: r1\r\n"));
        assert!(
            requests[1].starts_with("POST /seal/kr2 ") && requests[1].ends_with("\r\n\r\nbody")
        );
    });
}

/// A client that sends an invalid request must be refused or closed in time. No part of the request may reach a host or be
/// answered as if it had, and other clients are served.
#[test]
fn invalid_requests_are_refused_and_reach_no_host() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let router = with_host(&host).await;
        let good = read_request("x");
        let without = |field: &str| {
            let lines = good
                .split("\r\n")
                .filter(|l| !l.starts_with(field))
                .collect::<Vec<_>>();
            lines.join("\r\n")
        };
        let smuggled = "0\r\n\r\nPOST /seal/k HTTP/1.1\r\nRequest-Id: s\r\nRequest-Class: seal\r\nTenant: acme\r\nRequest-Timeout: 900m\r\nContent-Length: 0\r\n\r\n";
        let bad = [
            "noise\x01\x02\r\n\r\n".to_string(),
            format!("GET /{} HTTP/1.1\r\n", "x".repeat(20_000)),
            without("Request-Id"),
            without("Request-Class"),
            without("Tenant"),
            without("Request-Timeout"),
            good.replace("4000m", "soon"),
            good.replace("4000m", "-4m"),
            good.replace("4000m", "4000"),
            good.replace("Class: read", "Class: nothing")
                .replace("/read/", "/nothing/"),
            good.replace("/read/", "/seal/"),
            good.replace("GET", "POST"),
            good.replace("Tenant: acme", "Tenant: nobody"),
            good.replace("Request-Id: x", "Request-Id: x\r\nRequest-Id: y"),
            seal_request("b").replace("Length: 4", "Length: -4"),
            seal_request("b").replace("Length: 4", "Length: 60000000"),
            seal_request("b").replace("Length: 4", "Length: 4\r\nContent-Length: 5"),
            seal_request("b")
                .replace("Length: 4", "Length: 4\r\nTransfer-Encoding: chunked")
                .replace("body", smuggled),
            "GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n".to_string(),
            "GET /read/half HTTP/1.1\r\nRequest-Id: h".to_string(),
            String::new(),
        ];
        for request in bad {
            let started_at = Instant::now();
            let status = router.status(&request).await;
            let shown: String = request.chars().take(200).collect();
            assert!(
                status.is_none_or(|s| (400..600).contains(&s)),
                "{status:?} to {shown:?}"
            );
            assert!(
                started_at.elapsed() < Duration::from_secs(3),
                "late to {shown:?}"
            );
        }
        assert_eq!(host.count(), 0, "{:?}", host.requests);
        assert_eq!(router.status(&good).await, Some(200));
    });
}

/// With more connections than file descriptors, silent connections must be closed to make room, and the router must go on
/// accepting.
#[test]
fn silent_connections_do_not_block_others() {
    run(async {
        let host = Host::start(|_| HostAction::Respond(ok_response("good"))).await;
        let (controller, _) = deployer(vec![]).await;
        let router = TestRouter::start(
            list(1, &[("s-a", &host.address, "Ready", 1)]),
            &controller,
            64,
        )
        .await;
        let mut silent = Vec::new();
        let started_at = Instant::now();
        for n in 0..300 {
            silent.push(router.connect().await);
            if n % 50 == 0 {
                assert_eq!(
                    router.status(&read_request(&format!("r{n}"))).await,
                    Some(200)
                );
            }
        }
        // If silent connections were not closed early, new ones would wait for their timeout.
        assert!(
            started_at.elapsed() < Duration::from_millis(1900),
            "{:?}",
            started_at.elapsed()
        );
        for client in &mut silent {
            let closed = timeout(Duration::from_secs(3), read_message(client)).await;
            assert_eq!(closed.expect("closed in time"), None);
        }
    });
}
