//! The platform's parties as scripted peers on loopback around the real program.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

pub(crate) const SOON: Duration = Duration::from_secs(10);

/// What a host does with a request once it has read it whole.
#[derive(Clone, Debug)]
pub(crate) enum Deed {
    /// Writes these bytes and goes on.
    Say(Vec<u8>),
    SayAfter(Duration, Vec<u8>),
    /// Says this once it is let.
    SayOnce(watch::Receiver<bool>, Vec<u8>),
    /// Says this, and after a pause what belongs to nobody.
    SayMore(Vec<u8>, Duration, Vec<u8>),
    /// Ends the connection unanswered.
    Break,
}

pub(crate) fn ok(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

type Script = Arc<dyn Fn(usize) -> Deed + Send + Sync>;

/// A host: its address, and the requests it has read, as text.
#[derive(Clone)]
pub(crate) struct Host {
    pub(crate) address: String,
    pub(crate) heard: Arc<Mutex<Vec<String>>>,
}

impl Host {
    /// The script is given how many requests this host has read before.
    pub(crate) async fn start(script: impl Fn(usize) -> Deed + Send + Sync + 'static) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let heard: Arc<Mutex<Vec<String>>> = Default::default();
        let (script, all): (Script, _) = (Arc::new(script), heard.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (script, all) = (script.clone(), all.clone());
                tokio::spawn(async move {
                    while let Some(request) = read_message(&mut stream).await {
                        let before = {
                            let mut all = all.lock().unwrap();
                            all.push(request);
                            all.len() - 1
                        };
                        let bytes = match script(before) {
                            Deed::Say(bytes) => bytes,
                            Deed::SayAfter(pause, bytes) => {
                                sleep(pause).await;
                                bytes
                            }
                            Deed::SayOnce(mut let_go, bytes) => {
                                let _ = let_go.wait_for(|go| *go).await;
                                bytes
                            }
                            Deed::SayMore(first, pause, more) => {
                                if stream.write_all(&first).await.is_err() {
                                    return;
                                }
                                sleep(pause).await;
                                more
                            }
                            Deed::Break => return,
                        };
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Host { address, heard }
    }

    pub(crate) fn count(&self) -> usize {
        self.heard.lock().unwrap().len()
    }

    /// Until it has read so many requests.
    pub(crate) async fn heard(&self, count: usize) {
        timeout(SOON, async {
            while self.count() < count {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await
        .expect("the host hears of it");
    }
}

/// One message with the length its head says, as text; `None` at the end of the connection.
pub(crate) async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_string();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| {
                l.to_ascii_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if rest.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// A list in discovery's form: id, address, phase and build of each host.
pub(crate) fn list(revision: u64, hosts: &[(&str, &str, &str, u16)]) -> String {
    let members: Vec<String> = hosts
        .iter()
        .map(|(id, address, phase, build)| {
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"revision_no":{build}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#,
        members.join(",")
    )
}

/// Discovery: tells each line that is set, and a sign of life between.
pub(crate) async fn discovery(lines: watch::Receiver<String>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut lines = lines.clone();
            tokio::spawn(async move {
                read_message(&mut stream).await?;
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .await
                    .ok()?;
                loop {
                    let line = format!("{}\n", *lines.borrow_and_update());
                    let chunk = format!("{:x}\r\n{line}\r\n", line.len());
                    stream.write_all(chunk.as_bytes()).await.ok()?;
                    let mut byte = [0];
                    tokio::select! {
                        changed = lines.changed() => changed.ok()?,
                        _ = stream.read(&mut byte) => return Some(()),
                    }
                }
            });
        }
    });
    address
}

/// The deployer: the first connections get what `first` holds, one each, the later ones speak as they should.
pub(crate) async fn deployer(first: Vec<&'static str>) -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let heard: Arc<Mutex<Vec<String>>> = Default::default();
    let all = heard.clone();
    tokio::spawn(async move {
        let mut first = first.into_iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            let (spoilt, all) = (first.next(), all.clone());
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while !bytes.ends_with(b"\r\n") {
                    if stream.read_buf(&mut bytes).await.ok()? == 0 {
                        return None;
                    }
                }
                let line = String::from_utf8_lossy(&bytes).trim_end().to_string();
                all.lock().unwrap().push(line.clone());
                let say = match (spoilt, line.as_str()) {
                    (Some(spoilt), _) => spoilt,
                    (None, "SUB") => "OK\r\n* news 2 0 IN_PROGRESS 0.5 10\r\n*\r\n",
                    (None, _) => "OK 2 0 IN_PROGRESS 0.5 20\r\n",
                };
                stream.write_all(say.as_bytes()).await.ok()?;
                loop {
                    sleep(Duration::from_secs(1)).await;
                    stream.write_all(b"*\r\n").await.ok()?;
                }
                #[allow(unreachable_code)]
                Some(())
            });
        }
    });
    (address, heard)
}

/// The real program between scripted peers.
pub(crate) struct Scene {
    pub(crate) address: String,
    pub(crate) child: Child,
    pub(crate) lines: watch::Sender<String>,
    pub(crate) folder: PathBuf,
}

/// A host that takes no new connection until it is let: the system's queue for it is full, and the one that a router
/// makes meanwhile comes up when it asks the system again, a second after its first try.
pub(crate) struct LateHost {
    pub(crate) host: Host,
    let_go: watch::Sender<bool>,
}

impl LateHost {
    pub(crate) async fn start() -> LateHost {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut fills = Vec::new();
        while let Ok(Ok(fill)) =
            timeout(Duration::from_millis(200), TcpStream::connect(address)).await
        {
            fills.push(fill);
        }
        let (let_go, mut released) = watch::channel(false);
        let heard: Arc<Mutex<Vec<String>>> = Default::default();
        let all = heard.clone();
        tokio::spawn(async move {
            let _ = released.wait_for(|go| *go).await;
            drop(fills);
            while let Ok((mut stream, _)) = listener.accept().await {
                let all = all.clone();
                tokio::spawn(async move {
                    while let Some(request) = read_message(&mut stream).await {
                        all.lock().unwrap().push(request);
                        stream.write_all(&ok("late")).await.ok()?;
                    }
                    Some(())
                });
            }
        });
        LateHost {
            host: Host {
                address: address.to_string(),
                heard,
            },
            let_go,
        }
    }

    /// Until a connection to it is being made.
    pub(crate) async fn wanted(&self) {
        let port: u16 = self
            .host
            .address
            .rsplit(':')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        timeout(SOON, async {
            while !sockets_to(port).iter().any(|(state, _)| *state == SYN_SENT) {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await
        .expect("a connection is being made");
    }

    pub(crate) fn let_go(&self) {
        self.let_go.send_replace(true);
    }
}

const SYN_SENT: u8 = 2;

/// State and unread bytes of each socket of this machine whose peer has this port (proc_net_tcp(5)).
pub(crate) fn sockets_to(port: u16) -> Vec<(u8, u64)> {
    let hex = |text: &str| u64::from_str_radix(text, 16).unwrap();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table
        .lines()
        .skip(1)
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let to = rows.filter(|row| hex(row[2].split_once(':').unwrap().1) == u64::from(port));
    to.map(|row| (hex(row[3]) as u8, hex(row[4].split_once(':').unwrap().1)))
        .collect()
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn configuration(listen: &str, discovery: &str, deployer: &str, sockets: u32) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
"deployer":{{"address":"{deployer}","news":{{"release":1,"tranche":0,"mode":"COMPLETE","exposure":1.0,"old_ms":5}}}},
"settings":{{"caps":{{"conn_idle_s":30.0,"connect_timeout_s":0.25,"max_retry_after_s":2.0,"may_cancel":true,
"parallel_tries":true,"probes":true,"retry_after":true,"send_cap":6}},
"categories":[{{"aim_s":1.0,"deadline_s":4.0,"effect":"idempotent","name":"read","worth":2.0}},
{{"aim_s":1.0,"deadline_s":4.0,"effect":"at_most_once","name":"seal","worth":3.0}}],
"dcs":["a","b"],"fleet_size":1,"me":0,"zone":0,"membership_mode":"push",
"family_info":{{"answer_wait_s":2.0,"back_votes":1,"bake_s":0.5,"counts":"all","forward_only":true,"free":1.0,
"gate_mode":"single","span_s":4.0,"stage_cap":[0.5,1.0],"style":"rolling","vote_ttl_s":10.0,"waves":[0.5,1.0]}},
"guarantees":{{"cold_from":0.31,"drain_grace_s":1.0,"fall_multiple":3.0,"fall_s":3.0,"warm_within_s":3.7}},
"tenants":[{{"allowance_per_s":25.0,"name":"acme"}}]}}}}"#
    )
}

impl Scene {
    pub(crate) async fn start(list: String, deployer: &str, sockets: u32) -> Scene {
        Scene::start_with(list, deployer, sockets, |told| told).await
    }

    /// `change` has the last word on the configuration.
    pub(crate) async fn start_with(
        list: String,
        deployer: &str,
        sockets: u32,
        change: impl Fn(String) -> String,
    ) -> Scene {
        let scene = Scene::laid(list, |address, discovery, file| {
            std::fs::write(
                file,
                change(configuration(address, discovery, deployer, sockets)),
            )
            .unwrap();
        })
        .await;
        scene.up().await;
        scene
    }

    /// One whose configuration is a pipe: each reading of it waits for [`Scene::tell`].
    pub(crate) async fn waiting() -> Scene {
        Scene::laid(String::new(), |_, _, file| {
            assert!(std::process::Command::new("mkfifo")
                .arg(file)
                .status()
                .unwrap()
                .success());
        })
        .await
    }

    /// Opens once the router reads its configuration.
    pub(crate) async fn pipe(&self) -> std::fs::File {
        use std::os::unix::fs::OpenOptionsExt;
        let mut open = std::fs::OpenOptions::new();
        open.write(true).custom_flags(nix::libc::O_NONBLOCK);
        let opened = timeout(SOON, async {
            loop {
                // Without a reader a pipe cannot be opened so.
                match open.open(self.folder.join("config.json")) {
                    Ok(pipe) => return pipe,
                    Err(_) => sleep(Duration::from_millis(1)).await,
                }
            }
        });
        opened.await.expect("the router reads its configuration")
    }

    /// Ends one reading with this text; the next one waits at a pipe of its own, so that two cannot run together.
    pub(crate) fn tell(&self, mut pipe: std::fs::File, text: &str) {
        let (next, file) = (self.folder.join("next"), self.folder.join("config.json"));
        assert!(std::process::Command::new("mkfifo")
            .arg(&next)
            .status()
            .unwrap()
            .success());
        std::fs::rename(next, file).unwrap();
        std::io::Write::write_all(&mut pipe, text.as_bytes()).unwrap();
    }

    async fn laid(list: String, lay: impl FnOnce(&str, &str, &std::path::Path)) -> Scene {
        static SCENES: AtomicU64 = AtomicU64::new(0);
        let n = SCENES.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("spokeflow-platform-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (lines, told) = watch::channel(list);
        let discovery = discovery(told).await;
        // An address of its own, and a port that the system deals out to nobody: one that was free a moment ago may be
        // the near end of another test's connection by the time the router listens.
        let (pid, n_th) = (std::process::id(), 1 + n % 250);
        let address = format!("127.{}.{}.{n_th}:8081", 64 + (pid >> 8) % 64, pid % 256);
        let file = folder.join("config.json");
        lay(&address, &discovery, &file);
        let child = Command::new(env!("CARGO_BIN_EXE_spokeflow-router"))
            .arg("platform")
            .env("GW_CONFIG", &file)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", &address)
            .stderr(Stdio::from(
                std::fs::File::create(folder.join("log")).unwrap(),
            ))
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        Scene {
            address,
            child,
            lines,
            folder,
        }
    }

    pub(crate) async fn up(&self) {
        let up = timeout(SOON, async {
            while self.status("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").await != Some(200) {
                sleep(Duration::from_millis(10)).await;
            }
        });
        if up.await.is_err() {
            let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
            panic!("the router does not come up: {log}");
        }
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.unwrap()
    }

    /// The status of the answer on a new connection; `None` where it is closed instead.
    pub(crate) async fn status(&self, request: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(&self.address).await.ok()?;
        status(&exchange(&mut stream, request).await?)
    }

    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill")
            .args([name, &pid])
            .status()
            .unwrap()
            .success());
    }
}

pub(crate) async fn exchange(stream: &mut TcpStream, request: &str) -> Option<String> {
    stream.write_all(request.as_bytes()).await.ok()?;
    timeout(SOON, read_message(stream))
        .await
        .expect("an answer or a close in time")
}

pub(crate) fn status(answer: &str) -> Option<u16> {
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

pub(crate) fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").unwrap().1
}

pub(crate) fn read(id: &str) -> String {
    format!("GET /read/k{id} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout: 4000m\r\n\r\n")
}

pub(crate) fn seal(id: &str) -> String {
    format!("POST /seal/k{id} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Class: seal\r\nTenant: acme\r\nRequest-Timeout: 4000m\r\nContent-Length: 4\r\n\r\nbody")
}
