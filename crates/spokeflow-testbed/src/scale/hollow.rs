//! A process of hollow routers: each is the control side of a router, its link to the nodes, its leases, revisions
//! and replicated list, over real sockets and without an engine, clients and hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Args, Parser};
use serde::{Deserialize, Serialize};
use spokeflow_coordination::RevisionNumber;
use spokeflow_engine::Input;
use spokeflow_proto::{EndpointPhase, EndpointRecord};
use spokeflow_router::{ControlPlaneLink, EngineEvent, RouterFlags};
use spokeflow_runtime::{init_logging, Clock, LogFormat};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::settings::{customers, RouterPeers, RouterSettings};

/// What the process says on standard output once its routers are to start.
pub(super) const STARTED: &str = "hollow routers start";
/// Events that wait for one router at most; its link waits meanwhile.
const EVENT_QUEUE: usize = 64;

/// What a hollow process is told on standard input, one JSON value a line. At its end the process ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HollowCommand {
    /// These routers end at once, and their connections with them.
    Leave(BTreeSet<u32>),
    /// These routers start, as new processes would.
    Return(BTreeSet<u32>),
}

/// Flags of a process of hollow routers.
#[derive(Args, Clone, Debug)]
pub struct HollowFlags {
    /// Number of the first router
    #[arg(long)]
    pub first: u32,
    /// Routers in this process
    #[arg(long)]
    pub count: u32,
    /// Routers in the fleet
    #[arg(long)]
    pub fleet_size: u32,
    /// Customers in their settings
    #[arg(long, default_value_t = 0)]
    pub tenants: u32,
    /// A control-plane node; repeat the flag for each
    #[arg(long = "control-plane", alias = "keeper", required = true)]
    pub control_plane: Vec<SocketAddr>,
    /// The host list comes from the control plane
    #[arg(long, alias = "agreed-list")]
    pub replicated_list: bool,
    /// Draws the timing of the routers
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Which lines are logged
    #[arg(long, default_value = "warn")]
    pub log: String,
}

#[derive(Parser)]
struct RouterLine {
    #[command(flatten)]
    terms: RouterFlags,
}

/// What a replicated list leaves behind in a router: endpoints by host.
#[derive(Default)]
struct EndpointTable(BTreeMap<u32, EndpointRecord>);

impl EndpointTable {
    fn update(&mut self, complete: bool, hosts: Vec<EndpointRecord>) {
        if complete {
            self.0.clear();
        }
        for line in hosts {
            match line.phase {
                EndpointPhase::Gone => self.0.remove(&line.host),
                _ => self.0.insert(line.host, line),
            };
        }
    }
}

struct Hollow {
    terms: RouterFlags,
    seed: u64,
    running: BTreeMap<u32, JoinHandle<()>>,
}

impl Hollow {
    fn start(&mut self, index: u32) {
        let terms = RouterFlags {
            index,
            ..self.terms.clone()
        };
        let seed = self.seed.wrapping_mul(31).wrapping_add(u64::from(index));
        let (core, events) = mpsc::channel(EVENT_QUEUE);
        let (applied_sender, applied) = watch::channel(RevisionNumber(0));
        let link = ControlPlaneLink::new(&terms, seed, Clock::starting_now(), core, applied);
        // Both end together when the task is dropped.
        let router = async move {
            tokio::join!(link.run(), take(events, applied_sender));
        };
        if let Some(before) = self.running.insert(index, tokio::spawn(router)) {
            before.abort();
        }
    }

    fn execute(&mut self, command: HollowCommand) {
        match command {
            HollowCommand::Leave(routers) => {
                for router in routers {
                    if let Some(running) = self.running.remove(&router) {
                        running.abort();
                    }
                }
            }
            HollowCommand::Return(routers) => {
                routers.into_iter().for_each(|router| self.start(router))
            }
        }
    }
}

/// Stands in for the task that owns a router's engine.
async fn take(
    mut events: mpsc::Receiver<EngineEvent>,
    applied_sender: watch::Sender<RevisionNumber>,
) {
    let mut endpoints = EndpointTable::default();
    while let Some(arrival) = events.recv().await {
        match arrival {
            EngineEvent::Input(Input::ReplicatedList {
                complete: whole,
                hosts,
            }) => endpoints.update(whole, hosts),
            EngineEvent::LeaseGranted { revision, .. } => {
                applied_sender.send_if_modified(|r| std::mem::replace(r, revision) != revision);
            }
            _ => {}
        }
    }
}

/// Why the settings of hollow routers do not fit.
#[derive(Debug, thiserror::Error)]
enum HollowError {
    #[error(transparent)]
    Parse(#[from] clap::Error),
    #[error(transparent)]
    Check(#[from] spokeflow_config::ConfigErrors),
}

/// The settings of a router of this process. Errors: they do not fit.
fn terms(flags: &HollowFlags) -> Result<RouterFlags, HollowError> {
    let settings = RouterSettings {
        nodes: flags.control_plane.clone(),
        fleet_size: flags.fleet_size,
        tenants: flags.tenants,
        replicated_list: flags.replicated_list,
        seed: flags.seed,
    };
    // Required by the flags; a hollow router calls neither.
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let around = RouterPeers {
        list: nowhere,
        release_controller: nowhere,
    };
    let line = std::iter::once("router".to_string()).chain(settings.flags(flags.first, 0, around));
    let mut terms = RouterLine::try_parse_from(line)?.terms;
    terms.service.customers = customers(flags.tenants);
    terms.check()?;
    Ok(terms)
}

async fn run(flags: &HollowFlags, terms: RouterFlags) {
    let mut hollow = Hollow {
        terms,
        seed: flags.seed,
        running: BTreeMap::new(),
    };
    for index in flags.first..flags.first.saturating_add(flags.count) {
        hollow.start(index);
    }
    println!("{STARTED}");
    let mut commands = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = commands.next_line().await {
        match serde_json::from_str(&line) {
            Ok(command) => hollow.execute(command),
            Err(e) => {
                eprintln!("spokeflow-testbed hollow: a command cannot be read: {e}");
                return;
            }
        }
    }
}

/// Runs hollow routers until standard input ends. Exit code 0: it has ended; 1: cannot start; 2: settings that do not fit.
pub fn hollow(flags: &HollowFlags) -> ExitCode {
    if let Err(fault) = init_logging(&flags.log, LogFormat::Text) {
        eprintln!("spokeflow-testbed hollow: {fault}");
        return ExitCode::from(2);
    }
    let terms = match terms(flags) {
        Ok(terms) => terms,
        Err(faults) => {
            eprintln!("spokeflow-testbed hollow: {faults}");
            return ExitCode::from(2);
        }
    };
    // One thread, as a router has.
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("spokeflow-testbed hollow: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(run(flags, terms));
    runtime.shutdown_background();
    ExitCode::SUCCESS
}
