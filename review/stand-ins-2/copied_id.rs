//! Bad clients: some send the id of another client's open request, behind requests of their own, or again and again as
//! soon as they are turned away.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;

/// How long a host takes for a request.
const SERVICE: Duration = Duration::from_millis(120);
/// When the bad client sends, after the usual one has sent the request whose id it takes.
const COPY_AFTER: Duration = Duration::from_millis(30);
/// Number of requests of its own that the bad client sends at once, ahead of the copy.
const AHEAD: usize = 2;
/// Number of rounds, and the time between two.
const ROUNDS: usize = 30;
const PAUSE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(4);

/// Sends requests of its own and a copy of `id` at once, in one piece, and reads the answers. Returns whether the
/// other client's request was open when the last byte had been written, and the answers' states.
fn copy(
    router: std::net::SocketAddr,
    id: &str,
    answered: &Mutex<Option<u16>>,
) -> Option<(bool, Vec<u16>)> {
    let mut wire = Wire::new(connect(router)?);
    let mut text = String::new();
    for _ in 0..AHEAD {
        text += &request_text(&new_id(), false, TIMEOUT);
    }
    text += &request_text(id, true, TIMEOUT);
    wire.stream.write_all(text.as_bytes()).ok()?;
    let was_open = answered.lock().unwrap().is_none();
    wire.stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let answers = (0..=AHEAD).map_while(|_| wire.message());
    Some((was_open, answers.map(|answer| answer.status()).collect()))
}

/// Sends a copy of `id`, and the same again on a new connection as soon as it is turned away. Returns whether the other
/// client's request was open when the first copy had been written, and the answers' states.
fn copy_again(
    router: std::net::SocketAddr,
    id: &str,
    answered: &Mutex<Option<u16>>,
) -> Option<(bool, Vec<u16>)> {
    let until = Instant::now() + TIMEOUT;
    let mut was_open = None;
    let mut states: Vec<u16> = Vec::new();
    while Instant::now() < until && states.last().is_none_or(|state| *state != 200) {
        let mut wire = Wire::new(connect(router)?);
        let text = request_text(id, true, TIMEOUT);
        wire.stream.write_all(text.as_bytes()).ok()?;
        was_open.get_or_insert(answered.lock().unwrap().is_none());
        wire.stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        states.push(wire.message().map_or(0, |answer| answer.status()));
    }
    // Only the ends are of interest: the first refusals, and what ended them.
    let last = states.split_off(states.len().saturating_sub(1));
    states.truncate(2);
    states.extend(last);
    Some((was_open?, states))
}

pub fn play(place: &Place, trouble: bool) -> bool {
    let record = Record::new();
    let ran: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let members: Vec<Member> = (0..6)
        .map(|number| {
            let name = format!("s-{number}");
            let ran = ran.clone();
            let act = move |id: &str, _: &Message| {
                *ran.lock().unwrap().entry(id.to_string()).or_default() += 1;
                Act::Answer(SERVICE, good_answer(&body_for(id)))
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
    let address = router.address;
    let (mut twice, mut twice_again) = (0, 0);
    let (mut unanswered, mut served_copies, mut closed_before) = (0, 0, 0);
    for number in 0..ROUNDS {
        let round = Instant::now();
        let id = new_id();
        let answered: Arc<Mutex<Option<u16>>> = Arc::default();
        let usual = {
            let (id, answered) = (id.clone(), answered.clone());
            thread::spawn(move || {
                let mut wire = Wire::new(connect(address)?);
                let text = request_text(&id, true, TIMEOUT);
                wire.stream.write_all(text.as_bytes()).ok()?;
                wire.stream.set_read_timeout(Some(TIMEOUT + LATE)).ok()?;
                let at = Instant::now();
                let Some(answer) = wire.message() else {
                    // A close is not judged here, silence is.
                    return (at.elapsed() >= TIMEOUT + LATE).then_some(0);
                };
                let status = answer.status();
                *answered.lock().unwrap() = Some(status);
                Some(status)
            })
        };
        thread::sleep(COPY_AFTER);
        let copied = match (trouble, number % 2) {
            (false, _) => None,
            (true, 0) => copy(address, &id, &answered),
            (true, _) => copy_again(address, &id, &answered),
        };
        let status = usual.join().unwrap();
        let times = ran.lock().unwrap().get(&id).copied().unwrap_or(0);
        record.line(format!(
            "usual client: POST {id} answered {status:?}; bad client: (open when sent, answers) {copied:?}; {id} ran {times} times"
        ));
        unanswered += usize::from(status == Some(0));
        match copied {
            Some((false, _)) => closed_before += 1,
            Some((true, answers)) => {
                served_copies += usize::from(answers.len() > AHEAD && answers.last() == Some(&200));
                if number % 2 == 0 {
                    twice += usize::from(times > 1);
                } else {
                    twice_again += usize::from(times > 1);
                }
            }
            None => twice += usize::from(times > 1),
        }
        thread::sleep(PAUSE.saturating_sub(round.elapsed()));
    }
    let crashed = !router.runs();
    let summary = format!(
        "{ROUNDS} requests not to be repeated: {twice} ran twice by a copy written while they were open, {twice_again} by one sent again after 409; {served_copies} copies served with 200, {closed_before} sent too late to count, {unanswered} never answered; crashed {crashed}"
    );
    println!("{summary}");
    record.line(summary);
    record.write(&place.record);
    // Copies that were sent again are shown, but only those written while the id was open are judged.
    twice > 0 || unanswered > 0 || crashed
}
