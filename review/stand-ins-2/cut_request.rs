//! Bad clients: some send a request with a length that is wrong, less than its body has.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;

/// The body that a bad client sends, and how many bytes of it its head tells.
const BODY: &str = "seal trip 4711 of truck 12";
const TOLD: usize = 13;
/// Between two bad clients.
const PAUSE: Duration = Duration::from_millis(250);
/// When the bad clients come, and when all stop.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(15);
/// How long such a client is owed an error or a close.
const OWED: Duration = Duration::from_secs(3);

/// Sends one request whose length is wrong, in one piece. Returns its id and the status of the first answer; 0 for a
/// close, `None` if neither comes.
fn send_wrong_length(record: &Record, router: &Router) -> Option<(String, Option<u16>)> {
    let id = new_id();
    let text = request_text(&id, true, OWED).replace(
        "Content-Length: 4\r\n\r\nseal",
        &format!("Content-Length: {TOLD}\r\n\r\n{BODY}"),
    );
    let mut wire = Wire::new(connect(router.address)?);
    wire.stream.write_all(text.as_bytes()).ok()?;
    let at = Instant::now();
    wire.stream.set_read_timeout(Some(OWED)).ok()?;
    let status = match wire.message() {
        Some(answer) => Some(answer.status()),
        None => (at.elapsed() < OWED).then_some(0),
    };
    let then = wire.message().map(|answer| answer.status());
    record.line(format!(
        "bad client: {id} sent {:?} with the length {TOLD}: first answer {status:?}, then {then:?}",
        BODY
    ));
    Some((id, status))
}

pub fn play(place: &Place, trouble: bool) -> bool {
    let record = Record::new();
    let ran: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let members: Vec<Member> = (0..6)
        .map(|number| {
            let name = format!("s-{number}");
            let ran = ran.clone();
            let act = move |id: &str, request: &Message| {
                let body = String::from_utf8_lossy(&request.body).to_string();
                ran.lock().unwrap().insert(id.to_string(), body);
                Act::Answer(Duration::from_millis(120), good_answer(&body_for(id)))
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
    let started = Instant::now();
    let mut bad = Vec::new();
    let mut usual = Vec::new();
    let mut next_bad = TROUBLE_AT;
    let mut number = 0;
    while started.elapsed() < END_AT {
        number += 1;
        let timeout = Duration::from_millis(4000);
        usual.push(clients.send(number % 5 < 2, timeout));
        if trouble && started.elapsed() > next_bad {
            next_bad += PAUSE;
            bad.extend(send_wrong_length(&record, &router));
        }
        thread::sleep(Duration::from_millis(50));
    }
    usual.into_iter().for_each(|one| one.join().unwrap());
    let crashed = !router.runs();
    let ran = ran.lock().unwrap();
    let served = bad.iter().filter(|(_, status)| *status == Some(200));
    let cut: Vec<&String> = bad.iter().filter_map(|(id, _)| ran.get(id)).collect();
    let results = clients.results.lock().unwrap();
    let lost = results.iter().filter(|sent| sent.end == End::Nothing);
    let summary = format!(
        "{} requests with a wrong length: {} served with 200, {} ran at a host, with the body {:?}; usual clients: {} requests, {} never answered; crashed {crashed}",
        bad.len(),
        served.clone().count(),
        cut.len(),
        cut.first(),
        results.len(),
        lost.clone().count()
    );
    println!("{summary}");
    record.line(summary);
    record.write(&place.record);
    served.count() > 0 || lost.count() > 0 || crashed
}
