//! Bad hosts: some answers come with a length that does not fit, less than the body has.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;

/// One answer in this many is spoilt.
const SPOILT_EVERY: u64 = 7;
/// By how many bytes the told length is less than the body's.
const MISSING: usize = 6;
/// When the first answer is spoilt, and when the usual clients stop to ask.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(18);

/// An answer whose length is told as less than it is, in one piece.
fn spoilt_answer(body: &str) -> Vec<u8> {
    let told = body.len() - MISSING;
    format!("HTTP/1.1 200 OK\r\nContent-Length: {told}\r\n\r\n{body}").into_bytes()
}

pub fn play(place: &Place, trouble: bool) -> bool {
    let record = Record::new();
    let started = Instant::now();
    let answers = Arc::new(AtomicU64::new(0));
    let made: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let members: Vec<Member> = (0..6)
        .map(|number| {
            let name = format!("s-{number}");
            let (answers, made) = (answers.clone(), made.clone());
            let log = record.clone();
            let host_name = name.clone();
            let act = move |id: &str, _: &Message| {
                let body = body_for(id);
                made.lock().unwrap().insert(id.to_string(), body.clone());
                let n = answers.fetch_add(1, Ordering::Relaxed);
                let spoils = trouble && started.elapsed() > TROUBLE_AT && n % SPOILT_EVERY == 0;
                let bytes = if spoils {
                    log.line(format!(
                        "host {host_name}: answer of {id} spoilt: length told {} of {}",
                        body.len() - MISSING,
                        body.len()
                    ));
                    spoilt_answer(&body)
                } else {
                    good_answer(&body)
                };
                Act::Answer(Duration::from_millis(120), bytes)
            };
            Member {
                address: host(&record, &format!("127.0.1.{}", number + 1), &name, act),
                id: name,
                phase: "Ready",
                build: 1,
                up_since_ms: 0,
            }
        })
        .collect();
    let known = listing(1, true, &members);
    let agent = Agent::new(1, members);
    let discovery = agent.serve(&record, "127.0.2.1");
    let deployer = deployer(&record, "127.0.2.2", "1 4 COMPLETE 1.0");
    let listen = free_address("127.0.3.1");
    let mut router = Router::start(
        &place.root,
        &place.folder,
        &Terms {
            name: "n1",
            listen: &listen,
            discovery: &discovery,
            deployer: &deployer,
            news: r#"{"release":1,"tranche":4,"mode":"COMPLETE","exposure":1.0,"old_ms":60000}"#,
            sockets: 256,
            memory_mb: 64,
            fleet: 3,
            known: &known,
        },
    );
    record.line("router is ready");
    let clients = Clients::new(&record, router.address, Duration::from_secs(2));
    let mut usual = Vec::new();
    let mut number = 0;
    while started.elapsed() < END_AT {
        number += 1;
        let unsafe_ = number % 5 < 2;
        let timeout = Duration::from_millis(if unsafe_ { 6000 } else { 4000 });
        usual.push(clients.send(unsafe_, timeout));
        thread::sleep(Duration::from_millis(50));
    }
    usual.into_iter().for_each(|one| one.join().unwrap());
    let crashed = !router.runs();
    let made = made.lock().unwrap();
    let results = clients.results.lock().unwrap();
    let served = |sent: &&Sent| matches!(sent.end, End::Answered(200, _));
    let wrong: Vec<&Sent> = results
        .iter()
        .filter(
            |sent| matches!(&sent.end, End::Answered(200, body) if Some(body) != made.get(&sent.id)),
        )
        .collect();
    for sent in &wrong {
        record.line(format!(
            "wrong: {} got {:?}, its host made {:?}",
            sent.id,
            sent.end,
            made.get(&sent.id)
        ));
    }
    let summary = format!(
        "{} requests, {} served, {} of them with a body that no host made ({} of these not to be repeated); crashed {crashed}",
        results.len(),
        results.iter().filter(served).count(),
        wrong.len(),
        wrong.iter().filter(|sent| sent.unsafe_).count()
    );
    println!("{summary}");
    record.line(summary);
    record.write(&place.record);
    !wrong.is_empty() || crashed
}
