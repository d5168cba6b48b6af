//! Starts the real program with scripted peers.

use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::http::{exchange, status};
use super::peers::discovery;
use super::EVENT_TIMEOUT;

/// The real program, connected to scripted peers.
pub(crate) struct TestRouter {
    pub(crate) address: String,
    pub(crate) child: Child,
    /// The host list that discovery sends.
    pub(crate) host_list: watch::Sender<String>,
    pub(crate) folder: PathBuf,
}

impl Drop for TestRouter {
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

impl TestRouter {
    pub(crate) async fn start(list: String, deployer: &str, sockets: u32) -> TestRouter {
        TestRouter::start_with(list, deployer, sockets, |text| text).await
    }

    /// Starts a router whose configuration `change` has edited.
    pub(crate) async fn start_with(
        list: String,
        deployer: &str,
        sockets: u32,
        change: impl Fn(String) -> String,
    ) -> TestRouter {
        let router = TestRouter::start_configured(list, |address, discovery, file| {
            std::fs::write(
                file,
                change(configuration(address, discovery, deployer, sockets)),
            )
            .unwrap();
        })
        .await;
        router.wait_until_up().await;
        router
    }

    /// Starts a router whose configuration file is a pipe. Each time the router reads it, it waits for
    /// [`TestRouter::provide_configuration`].
    pub(crate) async fn start_with_configuration_pipe() -> TestRouter {
        TestRouter::start_configured(String::new(), |_, _, file| {
            assert!(std::process::Command::new("mkfifo")
                .arg(file)
                .status()
                .unwrap()
                .success());
        })
        .await
    }

    /// Opens the configuration pipe once the router reads it.
    pub(crate) async fn open_configuration_pipe(&self) -> std::fs::File {
        use std::os::unix::fs::OpenOptionsExt;
        let mut open = std::fs::OpenOptions::new();
        open.write(true).custom_flags(nix::libc::O_NONBLOCK);
        let opened = timeout(EVENT_TIMEOUT, async {
            loop {
                // A pipe without a reader cannot be opened for writing without blocking.
                match open.open(self.folder.join("config.json")) {
                    Ok(pipe) => return pipe,
                    Err(_) => sleep(Duration::from_millis(1)).await,
                }
            }
        });
        opened.await.expect("the router reads its configuration")
    }

    /// Gives the router `text` as its configuration. The next read finds a new pipe, so that two reads never share one.
    pub(crate) fn provide_configuration(&self, mut pipe: std::fs::File, text: &str) {
        let next = self.folder.join("next");
        let file = self.folder.join("config.json");
        assert!(std::process::Command::new("mkfifo")
            .arg(&next)
            .status()
            .unwrap()
            .success());
        std::fs::rename(next, file).unwrap();
        std::io::Write::write_all(&mut pipe, text.as_bytes()).unwrap();
    }

    async fn start_configured(
        list: String,
        write_configuration: impl FnOnce(&str, &str, &std::path::Path),
    ) -> TestRouter {
        static ROUTERS: AtomicU64 = AtomicU64::new(0);
        let n = ROUTERS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("spokeflow-platform-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (host_list, list_updates) = watch::channel(list);
        let discovery = discovery(list_updates).await;
        // Each router gets its own loopback address, and a port outside the range of ephemeral ports: a port that was
        // free a moment ago may be the local port of another test's connection by the time the router listens.
        let pid = std::process::id();
        let n_th = 1 + n % 250;
        let address = format!("127.{}.{}.{n_th}:8081", 64 + (pid >> 8) % 64, pid % 256);
        let file = folder.join("config.json");
        write_configuration(&address, &discovery, &file);
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
        TestRouter {
            address,
            child,
            host_list,
            folder,
        }
    }

    pub(crate) async fn wait_until_up(&self) {
        let up = timeout(EVENT_TIMEOUT, async {
            while self.status("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").await != Some(200) {
                sleep(Duration::from_millis(10)).await;
            }
        });
        if up.await.is_err() {
            let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
            panic!(
                "router did not answer GET /up with 200 within {EVENT_TIMEOUT:?}; its log: {log}"
            );
        }
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.unwrap()
    }

    /// Sends a request on a new connection. Returns the status of the answer; `None`: the connection was closed.
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
