//! Bad clients: some send empty lines without end, hundreds connect and say nothing.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;

/// Bad clients that send empty lines without end.
const SENDERS: usize = 16;
/// Bad clients that connect and say nothing.
const SILENT: usize = 300;
/// When the bad clients come, and when the usual ones stop to ask.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(30);

/// Sends empty lines at full speed until the connection ends, and reads what it is sent.
fn send_empty_lines(
    record: Arc<Record>,
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    number: usize,
) {
    while !stop.load(Ordering::Relaxed) {
        send_until_told(&record, address, &stop, number);
        thread::sleep(Duration::from_millis(50));
    }
}

fn send_until_told(record: &Arc<Record>, address: SocketAddr, stop: &AtomicBool, number: usize) {
    let Some(mut stream) = connect(address) else {
        return record.line(format!("bad client {number}: not connected"));
    };
    let at = Instant::now();
    record.line(format!(
        "bad client {number}: connected, sends empty lines without end"
    ));
    let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
    let told = Arc::new(AtomicBool::new(false));
    let mut reader = stream.try_clone().unwrap();
    let reading = {
        let (told, record) = (told.clone(), record.clone());
        thread::spawn(move || {
            let mut block = [0; 1024];
            let read = reader.read(&mut block);
            let what = match read {
                Ok(read) => String::from_utf8_lossy(&block[..read]).to_string(),
                Err(error) => error.to_string(),
            };
            record.line(format!(
                "bad client {number}: after {} ms the router says {what:?}",
                at.elapsed().as_millis()
            ));
            told.store(true, Ordering::Relaxed);
        })
    };
    let lines = b"\r\n".repeat(4096);
    while !told.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed) {
        let _ = stream.write(&lines);
    }
    if !told.load(Ordering::Relaxed) {
        record.line(format!(
            "bad client {number}: no error and no close in {} ms",
            at.elapsed().as_millis()
        ));
    }
    close(&stream);
    let _ = reading.join();
}

/// Connects and says nothing, and connects again once the router has closed.
fn say_nothing(
    record: Arc<Record>,
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    waits: Arc<Mutex<Vec<u128>>>,
) {
    while !stop.load(Ordering::Relaxed) {
        let Some(mut stream) = connect(address) else {
            record.line("silent client: not connected");
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let at = Instant::now();
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let mut byte = [0; 64];
        while !stop.load(Ordering::Relaxed) {
            match stream.read(&mut byte) {
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                _ => break,
            }
        }
        waits.lock().unwrap().push(at.elapsed().as_millis());
    }
}

pub fn play(place: &Place, trouble: bool) -> bool {
    let record = Record::new();
    let members: Vec<Member> = (0..6)
        .map(|number| {
            let name = format!("s-{number}");
            let act = |id: &str, _: &Message| {
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
    let clients = Clients::new(&record, router.address, Duration::from_millis(1));
    let stop = Arc::new(AtomicBool::new(false));
    let waits = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let mut bad = Vec::new();
    let mut usual = Vec::new();
    let mut began = false;
    let mut number = 0;
    while started.elapsed() < END_AT {
        if trouble && !began && started.elapsed() > TROUBLE_AT {
            began = true;
            record.line("trouble: bad clients come");
            for number in 0..SENDERS {
                let (record, stop) = (record.clone(), stop.clone());
                let address = router.address;
                bad.push(thread::spawn(move || {
                    send_empty_lines(record, address, stop, number)
                }));
            }
            thread::sleep(Duration::from_millis(200));
            for _ in 0..SILENT {
                let (record, stop, waits) = (record.clone(), stop.clone(), waits.clone());
                let address = router.address;
                bad.push(thread::spawn(move || {
                    say_nothing(record, address, stop, waits)
                }));
            }
        }
        number += 1;
        let unsafe_ = number % 5 < 2;
        let whole = if unsafe_ { 6000 } else { 4000 };
        let timeout = Duration::from_millis(whole * (40 + number * 7 % 61) / 100);
        usual.push(clients.send(unsafe_, timeout));
        thread::sleep(Duration::from_millis(50));
    }
    usual.into_iter().for_each(|one| one.join().unwrap());
    stop.store(true, Ordering::Relaxed);
    bad.into_iter().for_each(|one| one.join().unwrap());
    let crashed = !router.runs();
    let waits = waits.lock().unwrap();
    let longest = waits.iter().max().copied().unwrap_or(0);
    record.line(format!(
        "silent clients: {} closed, the longest after {longest} ms",
        waits.len()
    ));
    let results = clients.results.lock().unwrap();
    let lost: Vec<&Sent> = results
        .iter()
        .filter(|sent| matches!(sent.end, End::Nothing))
        .collect();
    let acked = results
        .iter()
        .filter(|sent| matches!(sent.end, End::Answered(200, _)))
        .count();
    record.line(format!(
        "usual clients: {} requests, {acked} served, {} never answered; router crashed: {crashed}",
        results.len(),
        lost.len()
    ));
    println!(
        "{} requests, {acked} served, {} never answered, silent longest {longest} ms; crashed {crashed}", results.len(), lost.len());
    record.write(&place.record);
    !lost.is_empty() || crashed
}
