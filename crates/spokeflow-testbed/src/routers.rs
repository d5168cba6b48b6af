//! Real router processes, started, killed and told to end.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use spokeflow_config::OperationFlag;
use spokeflow_core::DeduplicationScope;

use spokeflow_scenario::scenario::{Gate, Repeat, Scenario};

use crate::Micros;

pub struct RouterProcess {
    child: Child,
    pub address: SocketAddr,
}

/// How routers are started: the program, with arguments that come first, and where logs and recordings go.
#[derive(Clone, Debug)]
pub struct Starting {
    pub program: PathBuf,
    pub first: Vec<String>,
    pub logs: Option<PathBuf>,
    pub log: String,
}

impl Starting {
    /// This program itself, whose hidden subcommand is the router: a build of the stand-ins alone has both.
    pub fn own() -> std::io::Result<Starting> {
        let program = std::env::current_exe()?;
        Ok(Starting {
            program,
            first: vec!["router".into()],
            logs: None,
            log: "info".into(),
        })
    }
}

impl RouterProcess {
    /// Errors: it does not start or does not say where it listens.
    pub async fn start(
        starting: &Starting,
        flags: &[String],
        name: &str,
    ) -> Result<RouterProcess, String> {
        let mut flags = flags.to_vec();
        flags.push(format!("--log={}", starting.log));
        RouterProcess::start_as(starting, &flags, name).await
    }

    /// A program that listens as a router does and takes no flags of the log.
    pub async fn start_plain(
        starting: &Starting,
        flags: &[String],
    ) -> Result<RouterProcess, String> {
        RouterProcess::start_as(starting, flags, "plain").await
    }

    async fn start_as(
        starting: &Starting,
        flags: &[String],
        name: &str,
    ) -> Result<RouterProcess, String> {
        let mut command = Command::new(&starting.program);
        command.args(&starting.first).args(flags);
        let log = match &starting.logs {
            Some(folder) => {
                let file = folder.join(format!("{name}.log"));
                let file = std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(file);
                let file = file.map_err(|e| format!("--logs {}: {e}", folder.display()))?;
                Stdio::from(file)
            }
            None => Stdio::null(),
        };
        // No variable of the caller's is taken for a term of the day.
        std::env::vars()
            .filter(|(k, _)| k.starts_with("SPOKEFLOW_"))
            .for_each(|(k, _)| {
                command.env_remove(k);
            });
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true);
        let mut child = command
            .spawn()
            .map_err(|e| format!("{}: {e}", starting.program.display()))?;
        let Some(out) = child.stdout.take() else {
            return Err("no output".into());
        };
        let mut line = String::new();
        let said = timeout(
            Duration::from_secs(10),
            BufReader::new(out).read_line(&mut line),
        )
        .await;
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .and_then(|a| a.parse().ok());
        match (said, address) {
            (Ok(Ok(_)), Some(address)) => Ok(RouterProcess { child, address }),
            _ => Err(format!(
                "router {name} did not say where it listens: '{}'",
                line.trim()
            )),
        }
    }

    /// `None` once it has ended and that has been noticed.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// As by `kill -9`.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Stopped as by SIGSTOP, or continued.
    pub fn stop(&self, stopped: bool) {
        if let Some(pid) = self.child.id() {
            let signal = if stopped {
                Signal::SIGSTOP
            } else {
                Signal::SIGCONT
            };
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Whether it has ended by itself, and its exit code then.
    pub fn has_ended(&mut self) -> Option<Option<i32>> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code())
    }

    /// Told to end. Answers how it ended; killed where it does not within `within`.
    pub async fn end(&mut self, within: Duration) -> Result<(), String> {
        if let Some(pid) = self.child.id() {
            let _ = kill(Pid::from_raw(pid as i32), Signal::SIGTERM);
        }
        match timeout(within, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(status) => Err(format!("ended with {status:?}")),
            Err(_) => {
                self.kill().await;
                Err("did not end in time".into())
            }
        }
    }

    /// Processor time used so far, where the system tells.
    pub fn cpu(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()?)).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // The kernel tells in hundredths of a second on every platform that this runs on.
        Some(Duration::from_millis(ticks * 10))
    }

    /// Resident memory in KiB, where the system tells.
    pub fn resident(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        status.lines().find_map(|l| {
            l.strip_prefix("VmRSS:")?
                .trim()
                .strip_suffix(" kB")?
                .trim()
                .parse()
                .ok()
        })
    }
}

fn span(t: Micros) -> String {
    format!("{t}us")
}

/// All terms of a day as flags.
pub fn flags(day: &Scenario, index: u32, list: SocketAddr, desk: SocketAddr) -> Vec<String> {
    let numbers = |list: &[f64]| {
        list.iter()
            .map(|n| format!("{n}"))
            .collect::<Vec<_>>()
            .join(",")
    };
    let mut flags = vec![
        "--listen=127.0.0.1:0".to_string(),
        format!("--list={list}"),
        format!("--release-controller={desk}"),
        format!("--index={index}"),
        format!("--site={}", index % u32::from(day.sites)),
        format!("--fleet-size={}", day.routers),
        "--delivery-cap=6".into(),
        "--side-by-side".into(),
        format!("--drain-grace={}", span(day.drain_grace)),
        format!("--cold-from={}", day.cold_from),
        format!("--warm-within={}", span(day.warm_within)),
        format!("--fall-multiple={}", day.fall_multiple),
        format!("--fall-span={}", span(day.fall_span)),
        format!(
            "--gate={}",
            if day.gate == Gate::Single {
                "single"
            } else {
                "majority"
            }
        ),
        format!("--stage-share={}", numbers(&day.stage_fractions)),
        format!(
            "--stage-cap={}",
            numbers(
                &(0..day.stage_fractions.len())
                    .map(|s| day.cap(s))
                    .collect::<Vec<_>>()
            )
        ),
        format!("--exposure-free={}", day.exposure_free),
        format!("--exposure-span={}", span(day.exposure_span)),
        format!("--stage-bake={}", span(day.bake)),
        format!("--complaint-share={}", day.reported),
        format!(
            "--seed={}",
            day.seed.wrapping_mul(31).wrapping_add(u64::from(index))
        ),
    ];
    if day.forward_only {
        flags.push("--forward-only".into());
    }
    for op in &day.ops {
        let micros = |t: Micros| Duration::from_micros(t as u64);
        let (repeat, memory) = match op.repeat {
            Repeat::Redeliverable => (spokeflow_core::Repeat::Idempotent, 0),
            Repeat::Deduplicated(memory) => (spokeflow_core::Repeat::Deduplicated, memory),
            Repeat::AtMostOnce => (spokeflow_core::Repeat::AtMostOnce, 0),
        };
        let op = OperationFlag {
            name: op.name.to_string(),
            repeat,
            scope: DeduplicationScope::All,
            memory: micros(memory),
            target: micros(op.target),
            timeout: micros(op.timeout),
            importance: op.importance,
            streamed: false,
        };
        flags.push(format!("--op={}", op));
    }
    flags.extend(
        day.customers
            .iter()
            .map(|c| format!("--customer={}={}", c.name, c.allowed)),
    );
    flags
}
