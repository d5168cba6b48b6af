//! Stand-ins of the platform for the cases of the second review: discovery, deployer, hosts and usual clients, and the
//! start of the router with the `run` line of the deploy file. Standard library only; built by `review/build-2.sh`.

use std::collections::HashMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a run. Times are milliseconds since its start.
pub struct Record {
    pub start: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record {
            start: Instant::now(),
            lines: Mutex::new(Vec::new()),
        })
    }

    pub fn line(&self, text: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.start.elapsed().as_micros(), text.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|line| line.0);
        let mut text = String::new();
        for (at, line) in lines.iter() {
            text.push_str(&format!("{:>9.1} {line}\n", *at as f64 / 1000.0));
        }
        fs::write(path, text).expect("record.txt is written");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A listener on a free port of a loopback address.
pub fn listen(ip: &str) -> (TcpListener, String) {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a loopback address is free");
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// One message of HTTP/1.1 with its body.
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read past the last message.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> Option<()> {
        let mut block = [0; 8192];
        match self.stream.read(&mut block) {
            Ok(0) | Err(_) => None,
            Ok(read) => {
                self.buffer.extend_from_slice(&block[..read]);
                Some(())
            }
        }
    }

    /// Reads the next message, whose length `Content-Length` tells; `None` at the end of the connection or its time.
    pub fn message(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_string();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_string();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_string(), value.trim().to_string()))
            .collect();
        let mut message = Message {
            first,
            fields,
            body: Vec::new(),
        };
        let length: usize = message
            .field("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Some(message)
    }
}

/// A host of the list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: String,
    pub phase: &'static str,
    pub build: u16,
    pub up_since_ms: u64,
}

impl Member {
    pub fn json(&self) -> String {
        let Member {
            id,
            address,
            phase,
            build,
            up_since_ms,
        } = self;
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"c1","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms},"revision_no":{build}}}"#
        )
    }
}

pub fn listing(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    let members = members.join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

/// What an agent of discovery holds: the newest whole list, and the changes by revision.
pub struct Agent {
    state: Mutex<(u64, Vec<Member>, Vec<(u64, Vec<Member>)>)>,
    changed: Condvar,
}

impl Agent {
    pub fn new(revision: u64, members: Vec<Member>) -> Arc<Agent> {
        Arc::new(Agent {
            state: Mutex::new((revision, members, Vec::new())),
            changed: Condvar::new(),
        })
    }

    /// Changes the entries of these hosts, in one new revision.
    pub fn change(&self, members: Vec<Member>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let revision = state.0;
        for member in &members {
            state.1.retain(|other| other.id != member.id);
            if member.phase != "Gone" {
                state.1.push(member.clone());
            }
        }
        state.2.push((revision, members));
        self.changed.notify_all();
        revision
    }

    /// Serves the agent's watches at an address.
    pub fn serve(self: &Arc<Self>, record: &Arc<Record>, ip: &str) -> String {
        let (listener, address) = listen(ip);
        let agent = self.clone();
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                let record = record.clone();
                thread::spawn(move || agent.watch(stream, &record));
            }
        });
        address
    }

    fn watch(&self, stream: TcpStream, record: &Record) -> Option<()> {
        let mut wire = Wire::new(stream);
        let request = wire.message()?;
        let after = request.first.split("after=").nth(1)?;
        let mut after: u64 = after.split([' ', '&']).next()?.parse().ok()?;
        record.line(format!("discovery: {}", request.first));
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        wire.stream.write_all(head.as_bytes()).ok()?;
        let mut state = self.state.lock().unwrap();
        loop {
            let text = if state.0 > after {
                let oldest = state.2.first().map_or(u64::MAX, |change| change.0);
                let (from, revision) = (after, state.0);
                after = revision;
                if oldest == u64::MAX || from + 1 < oldest {
                    listing(revision, true, &state.1)
                } else {
                    let changes = state.2.iter().filter(|change| change.0 > from);
                    let members: Vec<Member> =
                        changes.flat_map(|change| change.1.clone()).collect();
                    listing(revision, false, &members)
                }
            } else {
                String::new()
            };
            drop(state);
            let line = format!("{text}\n");
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            wire.stream.write_all(chunk.as_bytes()).ok()?;
            state = self.state.lock().unwrap();
            if state.0 <= after {
                state = self
                    .changed
                    .wait_timeout(state, Duration::from_secs(2))
                    .unwrap()
                    .0;
            }
        }
    }
}

/// A deployer that tells one state and counts each vote.
pub fn deployer(record: &Arc<Record>, ip: &str, state: &'static str) -> String {
    let (listener, address) = listen(ip);
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || desk(stream, &record, state));
        }
    });
    address
}

fn desk(mut stream: TcpStream, record: &Record, state: &str) -> Option<()> {
    let mut reader = stream.try_clone().ok()?;
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        if reader.read(&mut byte).ok()? == 0 {
            return None;
        }
        if byte[0] != b'\n' {
            line.push(byte[0]);
            continue;
        }
        let call = String::from_utf8_lossy(&line).trim().to_string();
        line.clear();
        if call == "SUB" {
            stream
                .write_all(format!("OK\r\n* news {state} 1000\r\n").as_bytes())
                .ok()?;
            loop {
                thread::sleep(Duration::from_secs(1));
                stream.write_all(b"*\r\n").ok()?;
            }
        }
        record.line(format!("deployer: {call}"));
        stream
            .write_all(format!("OK {state} 1000\r\n").as_bytes())
            .ok()?;
    }
}

/// What a host does with a request.
pub enum Act {
    /// Runs it, and answers with these bytes after this time.
    Answer(Duration, Vec<u8>),
    /// Runs it and says nothing.
    Silence,
}

pub fn good_answer(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The body that a host makes for a request.
pub fn body_for(id: &str) -> String {
    format!("answer for {id}")
}

/// Starts a host. `act` gets the name of the host and the request's id.
pub fn host<F>(record: &Arc<Record>, ip: &str, name: &str, act: F) -> String
where
    F: Fn(&str, &Message) -> Act + Send + Sync + 'static,
{
    let (listener, address) = listen(ip);
    let act = Arc::new(act);
    let name = name.to_string();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let act = act.clone();
            let name = name.clone();
            let record = record.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Some(request) = wire.message() {
                    let id = request.field("request-id").unwrap_or("-").to_string();
                    record.line(format!("host {name}: run {id} {}", request.first));
                    match act(&id, &request) {
                        Act::Answer(after, bytes) => {
                            thread::sleep(after);
                            if wire.stream.write_all(&bytes).is_err() {
                                record.line(format!("host {name}: answer of {id} not taken"));
                                return;
                            }
                        }
                        Act::Silence => thread::sleep(Duration::from_secs(3600)),
                    }
                }
            });
        }
    });
    address
}

/// A router that was started by the `run` line of the deploy file.
pub struct Router {
    pub address: SocketAddr,
    pub config: PathBuf,
    pub child: Child,
    pub folder: PathBuf,
}

/// The configuration's parts that differ between cases.
pub struct Terms<'a> {
    pub name: &'a str,
    pub listen: &'a str,
    pub discovery: &'a str,
    pub deployer: &'a str,
    pub news: &'a str,
    pub sockets: u32,
    pub memory_mb: u32,
    pub fleet: u32,
    pub known: &'a str,
}

/// The configuration of a router of a small deployment with one class that may be repeated and one that may not.
pub fn configuration(terms: &Terms) -> String {
    let Terms {
        name,
        listen,
        discovery,
        deployer,
        news,
        sockets,
        memory_mb,
        fleet,
        known,
    } = terms;
    let seed = unix_ms();
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"deployer":{{"address":"{deployer}","news":{news}}},
"known":{known},
"settings":{{"caps":{{"conn_idle_s":30.0,"connect_timeout_s":0.25,"max_retry_after_s":2.0,"may_cancel":true,
"parallel_tries":true,"peers":false,"probes":true,"retry_after":true,"send_cap":6,"streams_per_conn":32,"max_open":20000}},
"categories":[{{"aim_s":1.2,"deadline_s":4.0,"effect":"idempotent","name":"set-threshold","worth":2.0,"late_worth":0.2,"stream":false}},
{{"aim_s":2.0,"deadline_s":6.0,"effect":"at_most_once","name":"close-trip","worth":3.0,"late_worth":0.2,"stream":false}}],
"clients":{{"marks_retry":false}},"counted_by":"request","domain_type":"rollout",
"dcs":["a","b","c"],"fleet_size":{fleet},"me":0,"zone":0,"membership_mode":"push","models":["c1"],
"family_info":{{"answer_wait_s":2.0,"back_votes":1,"on_votes":1,"bake_s":2.0,"counts":"all","forward_only":true,"free":1.0,
"gate_mode":"single","span_s":4.0,"stage_cap":[0.056,0.14,0.35,0.77,1.0],"style":"rolling","vote_ttl_s":10.0,"vote_allowance":50.0,
"push_s":4.0,"waves":[0.04,0.1,0.25,0.55,1.0]}},
"guarantees":{{"cold_from":0.31,"drain_grace_s":1.0,"fall_multiple":3.0,"fall_s":3.0,"warm_within_s":3.7,"grace_to_answer_s":0.02}},
"tenants":[{{"allowance_per_s":25.0,"name":"doto-dairy","share":0.6}},{{"allowance_per_s":17.0,"name":"rumoi-fish","share":0.4}}]}}}}"#
    )
}

/// The `run` line of the deploy file.
fn run_line(root: &Path) -> String {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    line.expect("the run line")
        .trim_end_matches('"')
        .to_string()
}

impl Router {
    /// Starts a router and waits until it is ready.
    pub fn start(root: &Path, folder: &Path, terms: &Terms) -> Router {
        let folder = folder.join(terms.name);
        fs::create_dir_all(folder.join("tmp")).unwrap();
        let config = folder.join("config.json");
        fs::write(&config, configuration(terms)).unwrap();
        let log = fs::File::create(folder.join("log")).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_line(root))
            .current_dir(root)
            .env("GW_NAME", terms.name)
            .env("GW_LISTEN", terms.listen)
            .env("GW_DISCOVERY", terms.discovery)
            .env("GW_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the router starts");
        let mut router = Router {
            address: terms.listen.parse().unwrap(),
            config,
            child,
            folder,
        };
        router.wait_until_up();
        router
    }

    pub fn wait_until_up(&mut self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut wire = Wire::new(stream);
                let _ = wire
                    .stream
                    .write_all(b"GET /up HTTP/1.1\r\nHost: r\r\n\r\n");
                if wire.message().is_some_and(|answer| answer.status() == 200) {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        // An exit runs no destructor.
        let _ = self.child.kill();
        let _ = self.child.wait();
        cannot_run("the router was not ready within 30 s");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([name, &pid]).status();
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// A free port of a loopback address, outside what stand-ins hold.
pub fn free_address(ip: &str) -> String {
    listen(ip).1
}

/// How long after its time a request may get its answer without being lost: "Up to half a second after its time it only
/// earns nothing" (STANDING), "Each time limit is 50 ms longer" (PROTOCOL). Its time counts from its last byte (PROTOCOL).
pub const LATE: Duration = Duration::from_millis(550);

/// How a usual client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer with this status and body.
    Answered(u16, String),
    /// The router ended the connection without a whole answer.
    Closed,
    /// No connection, so nothing was taken.
    NotConnected,
    /// Nothing came until [`LATE`] after the request's time.
    Nothing,
}

/// A request of a usual client, as it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub unsafe_: bool,
    pub at: Instant,
    pub timeout: Duration,
    pub took: Duration,
    pub end: End,
    pub new_connection: bool,
}

static IDS: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let number = IDS.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub fn request_text(id: &str, unsafe_: bool, timeout: Duration) -> String {
    let timeout = timeout.as_millis();
    if unsafe_ {
        format!("POST /close-trip/{id} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: close-trip\r\nTenant: doto-dairy\r\nRequest-Timeout: {timeout}m\r\nContent-Length: 4\r\n\r\nseal")
    } else {
        format!("GET /set-threshold/{id} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: set-threshold\r\nTenant: rumoi-fish\r\nRequest-Timeout: {timeout}m\r\n\r\n")
    }
}

/// The usual clients: they keep their connections, and open more when all are busy.
pub struct Clients {
    address: SocketAddr,
    record: Arc<Record>,
    idle: Mutex<Vec<(Wire, Instant)>>,
    pub results: Mutex<Vec<Sent>>,
    /// How long clients keep a connection that rests.
    pub keep: Duration,
}

impl Clients {
    pub fn new(record: &Arc<Record>, address: SocketAddr, keep: Duration) -> Arc<Clients> {
        Arc::new(Clients {
            address,
            record: record.clone(),
            idle: Mutex::new(Vec::new()),
            results: Mutex::new(Vec::new()),
            keep,
        })
    }

    /// Sends one request and waits for its answer, in a thread of its own.
    pub fn send(self: &Arc<Self>, unsafe_: bool, timeout: Duration) -> thread::JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || {
            let id = new_id();
            let at = Instant::now();
            let (end, new_connection) = clients.exchange(&id, unsafe_, timeout);
            let sent = Sent {
                id,
                unsafe_,
                at,
                timeout,
                took: at.elapsed(),
                end,
                new_connection,
            };
            clients.record.line(format!(
                "client: {} {} ended after {} ms of {} ms on a {} connection: {:?}",
                if unsafe_ { "POST" } else { "GET" },
                sent.id,
                sent.took.as_millis(),
                timeout.as_millis(),
                if new_connection { "new" } else { "kept" },
                sent.end
            ));
            clients.results.lock().unwrap().push(sent);
        })
    }

    fn take_idle(&self) -> Option<Wire> {
        let mut idle = self.idle.lock().unwrap();
        idle.retain(|(_, since)| since.elapsed() < self.keep);
        while let Some((wire, _)) = idle.pop() {
            // A connection that the router has closed meanwhile is not used.
            let _ = wire.stream.set_nonblocking(true);
            let mut byte = [0];
            let open = matches!(wire.stream.peek(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
            let _ = wire.stream.set_nonblocking(false);
            if open {
                return Some(wire);
            }
        }
        None
    }

    fn exchange(&self, id: &str, unsafe_: bool, timeout: Duration) -> (End, bool) {
        let text = request_text(id, unsafe_, timeout);
        if let Some(wire) = self.take_idle() {
            match self.on(wire, &text, timeout) {
                // The close may have crossed the request: it is sent once more on a new connection.
                End::Closed => self.record.line(format!("client: {id} again, closed")),
                end => return (end, false),
            }
        }
        self.record.line(format!("client: connects for {id}"));
        let connected = TcpStream::connect_timeout(&self.address, Duration::from_secs(2));
        let Ok(stream) = connected else {
            return (End::NotConnected, true);
        };
        (self.on(Wire::new(stream), &text, timeout), true)
    }

    fn on(&self, mut wire: Wire, text: &str, timeout: Duration) -> End {
        if wire.stream.write_all(text.as_bytes()).is_err() {
            return End::Closed;
        }
        let until = Instant::now() + timeout + LATE;
        let left = until.saturating_duration_since(Instant::now());
        let _ = wire
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match wire.message() {
            Some(answer) => {
                let body = String::from_utf8_lossy(&answer.body).to_string();
                let end = End::Answered(answer.status(), body);
                if answer.field("connection") != Some("close") {
                    self.idle.lock().unwrap().push((wire, Instant::now()));
                }
                end
            }
            None if Instant::now() >= until => End::Nothing,
            None => End::Closed,
        }
    }
}

/// How often each id ran, from the hosts' lines of the record.
pub fn runs(record: &Record) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for (_, line) in record.lines.lock().unwrap().iter() {
        let mut words = line.split(' ');
        if words.next() == Some("host") {
            words.next();
            if words.next() == Some("run") {
                *runs
                    .entry(words.next().unwrap_or("").to_string())
                    .or_default() += 1;
            }
        }
    }
    runs
}

/// Opens a connection, writes, and half-closes nothing.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_secs(3)).ok()
}

pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Where a case runs.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: PathBuf,
}
