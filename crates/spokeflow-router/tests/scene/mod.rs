//! The platform's parties as scripted peers on loopback around the real program.

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

pub const SOON: Duration = Duration::from_secs(10);

/// What a host does with a request once it has read it whole.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Writes these bytes and goes on.
    Say(Vec<u8>),
    SayAfter(Duration, Vec<u8>),
    /// Says this, and after a pause what belongs to nobody.
    SayMore(Vec<u8>, Duration, Vec<u8>),
    /// Ends the connection unanswered.
    Break,
}

pub fn ok(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

type Script = Arc<dyn Fn(usize) -> Deed + Send + Sync>;

/// A host: its address, and the requests it has read, as text.
#[derive(Clone)]
pub struct Host {
    pub address: String,
    pub heard: Arc<Mutex<Vec<String>>>,
}

impl Host {
    /// The script is given how many requests this host has read before.
    pub async fn start(script: impl Fn(usize) -> Deed + Send + Sync + 'static) -> Host {
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

    pub fn count(&self) -> usize {
        self.heard.lock().unwrap().len()
    }
}

/// One message with the length its head says, as text; `None` at the end of the connection.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_string();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
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
pub fn list(revision: u64, hosts: &[(&str, &str, &str, u16)]) -> String {
    let members: Vec<String> = hosts
        .iter()
        .map(|(id, address, phase, build)| {
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"revision_no":{build}}}"#
            )
        })
        .collect();
    format!(r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#, members.join(","))
}

/// Discovery: tells each line that is set, and a sign of life between.
pub async fn discovery(lines: watch::Receiver<String>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut lines = lines.clone();
            tokio::spawn(async move {
                read_message(&mut stream).await?;
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
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
pub async fn deployer(first: Vec<&'static str>) -> (String, Arc<Mutex<Vec<String>>>) {
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
pub struct Scene {
    pub address: String,
    pub child: Child,
    pub lines: watch::Sender<String>,
    pub folder: PathBuf,
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn configuration(listen: &str, discovery: &str, deployer: &str, sockets: u32) -> String {
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
    pub async fn start(list: String, deployer: &str, sockets: u32) -> Scene {
        Scene::start_with(list, deployer, sockets, |told| told).await
    }

    /// `change` has the last word on the configuration.
    pub async fn start_with(
        list: String,
        deployer: &str,
        sockets: u32,
        change: impl Fn(String) -> String,
    ) -> Scene {
        static SCENES: AtomicU64 = AtomicU64::new(0);
        let n = SCENES.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("spokeflow-platform-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (lines, told) = watch::channel(list);
        let discovery = discovery(told).await;
        let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = free.local_addr().unwrap().to_string();
        drop(free);
        let file = folder.join("config.json");
        std::fs::write(&file, change(configuration(&address, &discovery, deployer, sockets))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_spokeflow-router"))
            .arg("platform")
            .env("GW_CONFIG", &file)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", &address)
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let scene = Scene { address, child, lines, folder };
        timeout(SOON, async {
            while scene.status("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").await != Some(200) {
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await
        .expect("the router comes up");
        scene
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.unwrap()
    }

    /// The status of the answer on a new connection; `None` where it is closed instead.
    pub async fn status(&self, request: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(&self.address).await.ok()?;
        status(&exchange(&mut stream, request).await?)
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args([name, &pid]).status().unwrap().success());
    }
}

pub async fn exchange(stream: &mut TcpStream, request: &str) -> Option<String> {
    stream.write_all(request.as_bytes()).await.ok()?;
    timeout(SOON, read_message(stream)).await.expect("an answer or a close in time")
}

pub fn status(answer: &str) -> Option<u16> {
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

pub fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").unwrap().1
}

pub fn read(id: &str) -> String {
    format!("GET /read/k{id} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout: 4000m\r\n\r\n")
}

pub fn seal(id: &str) -> String {
    format!("POST /seal/k{id} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nRequest-Class: seal\r\nTenant: acme\r\nRequest-Timeout: 4000m\r\nContent-Length: 4\r\n\r\nbody")
}
