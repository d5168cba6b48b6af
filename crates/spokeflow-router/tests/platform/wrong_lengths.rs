//! Hosts: answers whose announced length does not fit the body.

use std::time::Duration;

use tokio::time::sleep;

use crate::common::*;
use crate::with_host;

/// The body that the host made.
const BODY: &str = "certificate 4711 of truck 12";
/// Time between two parts of an answer: they arrive in separate reads.
const PART_PAUSE: Duration = Duration::from_millis(20);

/// An answer in two parts, of which the second one arrives in a later read if there is a first.
struct SpoiltAnswer {
    name: &'static str,
    first: String,
    second: String,
}

fn with_length(length: usize, rest: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{rest}")
}

fn chunked(rest: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{rest}")
}

fn spoilt(name: &'static str, first: &str, second: String) -> SpoiltAnswer {
    let first = first.to_string();
    SpoiltAnswer {
        name,
        first,
        second,
    }
}

/// Answers that have the whole body and announce another length.
fn answers_of_wrong_length() -> Vec<SpoiltAnswer> {
    let good = with_length(BODY.len(), BODY);
    let less = BODY.len() - 6;
    let more = BODY.len() + 6;
    let (half, rest) = BODY.split_at(10);
    vec![
        spoilt("6 bytes less", "", with_length(less, BODY)),
        spoilt("1 byte less", "", with_length(BODY.len() - 1, BODY)),
        spoilt("no byte", "", with_length(0, BODY)),
        spoilt("less, with another", "", with_length(less, BODY) + &good),
        spoilt("more, with another", "", with_length(more, BODY) + &good),
        spoilt("more, another later", &with_length(more, BODY), good),
        spoilt("less, body later", &with_length(less, ""), BODY.to_string()),
        spoilt(
            "less, half of it later",
            &with_length(less, half),
            rest.to_string(),
        ),
        spoilt(
            "not started",
            "",
            format!("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n{BODY}"),
        ),
    ]
}

/// Answers in chunks that have the whole body and end too early.
fn answers_with_wrong_chunks() -> Vec<SpoiltAnswer> {
    let (start, end) = BODY.split_at(BODY.len() - 6);
    let size = start.len();
    let (half, rest) = start.split_at(10);
    vec![
        spoilt(
            "last chunk too early",
            "",
            chunked(&format!("{size:x}\r\n{start}\r\n0\r\n\r\n{end}")),
        ),
        spoilt(
            "last chunk too early, in later parts",
            &chunked(&format!("{size:x}\r\n{half}")),
            format!("{rest}\r\n0\r\n\r\n{end}"),
        ),
        spoilt(
            "more chunks behind the last one",
            "",
            chunked(&format!(
                "{size:x}\r\n{start}\r\n0\r\n\r\n6\r\n{end}\r\n0\r\n\r\n"
            )),
        ),
        spoilt(
            "a chunk with data as the last one",
            "",
            chunked(&format!("{size:x}\r\n{start}\r\n0\r\n{end}\r\n\r\n")),
        ),
        spoilt(
            "a chunk size that is too small",
            "",
            chunked(&format!("{size:x}\r\n{BODY}\r\n0\r\n\r\n")),
        ),
    ]
}

impl SpoiltAnswer {
    fn action(&self) -> HostAction {
        let second = self.second.clone().into_bytes();
        if self.first.is_empty() {
            return HostAction::Respond(second);
        }
        HostAction::RespondAndSend(self.first.clone().into_bytes(), PART_PAUSE, second)
    }
}

/// Asserts that no part of the answer reaches a client: an idempotent command is delivered to another host, and an
/// at-most-once command fails after one delivery, as after any answer that cannot be read.
async fn assert_failed_delivery(spoilt: SpoiltAnswer) {
    let name = spoilt.name;
    let spoiling_host = Host::start(move |_| spoilt.action()).await;
    let healthy_host = Host::start(|_| HostAction::Respond(ok_response(BODY))).await;
    let (controller, _) = deployer(vec![]).await;
    let both = [
        ("s-a", &*spoiling_host.address, "Ready", 1),
        ("s-b", &*healthy_host.address, "Ready", 1),
    ];
    let router = TestRouter::start(list(1, &both), &controller, 256).await;
    let mut n = 0;
    while spoiling_host.count() == 0 {
        n += 1;
        let request = read_request(&format!("r{n}"));
        let read = exchange(&mut router.connect().await, &request).await;
        let read = read.expect("an answer");
        assert_eq!((status(&read), body(&read)), (Some(200), BODY), "{name}");
    }
    router.host_list.send(list(2, &both[..1])).unwrap();
    sleep(Duration::from_millis(700)).await;
    let before = spoiling_host.count();
    let sealed = router.status(&seal_request("once")).await;
    assert_eq!(sealed, Some(502), "{name}");
    let delivered = spoiling_host.count() - before;
    assert_eq!(delivered, 1, "{name}: deliveries of one command");
}

/// Guards against an answer that is passed on cut at its announced length, or with bytes that belong to another one.
#[test]
fn an_answer_with_a_wrong_length_is_a_failed_delivery() {
    run(async {
        for spoilt in answers_of_wrong_length() {
            assert_failed_delivery(spoilt).await;
        }
    });
}

/// Guards against an answer that is passed on cut because one of its chunks is announced as the last.
#[test]
fn an_answer_with_a_last_chunk_too_early_is_a_failed_delivery() {
    run(async {
        for spoilt in answers_with_wrong_chunks() {
            assert_failed_delivery(spoilt).await;
        }
    });
}

/// The platform states: "Other answers are good but bring more than belongs to them: a second copy [...] right behind".
/// They are served, and their connection is not used again.
#[test]
fn an_answer_with_another_answer_right_behind_is_served() {
    run(async {
        // 2,048 bytes are read at once: the other answer begins inside a read, at its end and behind it.
        for length in (1_990..2_020).step_by(3) {
            let answer = move |n: usize| format!("{n:length$}");
            let host = Host::start(move |n| {
                let good = ok_response(&answer(n));
                HostAction::Respond([good.clone(), good].concat())
            })
            .await;
            let router = with_host(&host).await;
            let mut client = router.connect().await;
            for n in 0..3 {
                let read = exchange(&mut client, &seal_request(&format!("r{length}-{n}")))
                    .await
                    .unwrap();
                assert_eq!((status(&read), body(&read)), (Some(200), &*answer(n)));
                sleep(Duration::from_millis(30)).await;
            }
        }
    });
}
