//! Bytes of hosts: long answers, to clients that read them and to clients that do not.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use crate::common::*;
use crate::limits::{Limits, ALL_LIMITS};
use crate::{run_alone, start, start_hosts};

/// Maximum length of a body in bytes, as the platform's protocol sets it.
const BODY_LIMIT: usize = 64 << 10;

/// An answer of full length whose length is announced, or not.
fn long_answer(has_length: bool) -> Vec<u8> {
    let body = "x".repeat(BODY_LIMIT);
    if has_length {
        return ok_response(&body);
    }
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{BODY_LIMIT:x}\r\n{body}\r\n0\r\n\r\n")
        .into_bytes()
}

/// As many clients as the descriptors allow ask at once, and the host answers all of them together with long bodies.
/// Each client gets one final answer.
async fn play(limits: Limits, has_length: bool, case: &str) {
    let (release, released) = tokio::sync::watch::channel(false);
    let hosts = start_hosts(move || {
        HostAction::RespondOnceReleased(released.clone(), long_answer(has_length))
    })
    .await;
    let mut router = start(limits, &hosts).await;
    let clients = limits.sockets as usize / 2;
    let mut streams = Vec::new();
    for n in 0..clients {
        let mut stream = router.connect().await;
        let request = read_request(&format!("r{n}"));
        stream.write_all(request.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    sleep(Duration::from_millis(500)).await;
    release.send(true).unwrap();
    sleep(Duration::from_millis(500)).await;
    let (mut served, mut others) = (0, 0);
    for stream in &mut streams {
        let answer = timeout(Duration::from_secs(6), read_message(stream)).await;
        let answer = answer.expect("an answer in time").expect("no close");
        match status(&answer) {
            Some(200) => {
                assert_eq!(body(&answer).len(), BODY_LIMIT);
                served += 1;
            }
            _ => others += 1,
        }
    }
    eprintln!("{limits:?}, {case}: {served} served, {others} refused or failed");
    limits.assert_held(&mut router, case);
    assert!(served > 0, "{limits:?}, {case}: no client served");
    assert_eq!(router.status(&read_request("after")).await, Some(200));
}

/// Guards against answers of hosts that are held without a bound over all deliveries.
#[test]
fn long_answers_at_once_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(play(limits, true, "long answers"));
    }
}

/// Guards against answers of unknown length that are held without a bound over all deliveries.
#[test]
fn long_chunked_answers_at_once_stay_inside_the_memory_limit() {
    for limits in ALL_LIMITS {
        run_alone(play(limits, false, "long chunked answers"));
    }
}
