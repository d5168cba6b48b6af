//! A process of hollow routers. A hollow router is the control side of a router: its link to the control-plane nodes,
//! its leases, its revisions and its replicated list, over real sockets, but without an engine, clients and hosts.

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

use super::settings::{tenant_quotas, RouterPeers, RouterSettings};

/// Line that the process prints to standard output once its routers start.
pub(super) const STARTED: &str = "hollow routers start";
/// Capacity of one router's event queue; its link waits while the queue is full.
const EVENT_QUEUE: usize = 64;

/// A command to a process of hollow routers on its standard input, one JSON value per line. The process exits at the
/// end of its input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HollowCommand {
    /// Stops these routers at once; their connections close.
    Leave(BTreeSet<u32>),
    /// Starts these routers without any state, as new processes would.
    Return(BTreeSet<u32>),
}

/// Flags of a process of hollow routers.
#[derive(Args, Clone, Debug)]
pub struct HollowFlags {
    /// Number of the first router
    #[arg(long)]
    pub first: u32,
    /// Number of routers in this process
    #[arg(long)]
    pub count: u32,
    /// Number of routers in the fleet
    #[arg(long)]
    pub fleet_size: u32,
    /// Number of tenants in the settings of the routers
    #[arg(long, default_value_t = 0)]
    pub tenants: u32,
    /// Address of a control-plane node; repeat the flag for each
    #[arg(long = "control-plane", alias = "keeper", required = true)]
    pub control_plane: Vec<SocketAddr>,
    /// The routers get the host list from the control plane
    #[arg(long, alias = "agreed-list")]
    pub replicated_list: bool,
    /// Seed of the routers' random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Log filter
    #[arg(long, default_value = "warn")]
    pub log: String,
}

#[derive(Parser)]
struct RouterArguments {
    #[command(flatten)]
    flags: RouterFlags,
}

/// Endpoints by host, as a router keeps them from the replicated list.
#[derive(Default)]
struct EndpointTable(BTreeMap<u32, EndpointRecord>);

impl EndpointTable {
    fn update(&mut self, complete: bool, hosts: Vec<EndpointRecord>) {
        if complete {
            self.0.clear();
        }
        for endpoint in hosts {
            match endpoint.phase {
                EndpointPhase::Gone => self.0.remove(&endpoint.host),
                _ => self.0.insert(endpoint.host, endpoint),
            };
        }
    }
}

/// The hollow routers of this process.
struct HollowRouters {
    flags: RouterFlags,
    seed: u64,
    running: BTreeMap<u32, JoinHandle<()>>,
}

impl HollowRouters {
    fn start(&mut self, index: u32) {
        let flags = RouterFlags {
            index,
            ..self.flags.clone()
        };
        let seed = self.seed.wrapping_mul(31).wrapping_add(u64::from(index));
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE);
        let (applied_sender, applied) = watch::channel(RevisionNumber(0));
        let link =
            ControlPlaneLink::new(&flags, seed, Clock::starting_now(), event_sender, applied);
        // One task for both, so that aborting it ends both.
        let router = async move {
            tokio::join!(link.run(), handle_events(events, applied_sender));
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

/// Handles the events of the link in place of a router's engine: stores the list and applies revisions at once.
async fn handle_events(
    mut events: mpsc::Receiver<EngineEvent>,
    applied_sender: watch::Sender<RevisionNumber>,
) {
    let mut endpoints = EndpointTable::default();
    while let Some(event) = events.recv().await {
        match event {
            EngineEvent::Input(Input::ReplicatedList { complete, hosts }) => {
                endpoints.update(complete, hosts);
            }
            EngineEvent::LeaseGranted { revision, .. } => {
                applied_sender.send_if_modified(|r| std::mem::replace(r, revision) != revision);
            }
            _ => {}
        }
    }
}

/// Why the settings of hollow routers are invalid.
#[derive(Debug, thiserror::Error)]
enum HollowError {
    #[error(transparent)]
    Parse(#[from] clap::Error),
    #[error(transparent)]
    Check(#[from] spokeflow_config::ConfigErrors),
}

/// Returns the settings of a router of this process. Errors: they are invalid.
fn router_flags(flags: &HollowFlags) -> Result<RouterFlags, HollowError> {
    let settings = RouterSettings {
        control_plane: flags.control_plane.clone(),
        fleet_size: flags.fleet_size,
        tenants: flags.tenants,
        replicated_list: flags.replicated_list,
        seed: flags.seed,
    };
    // The router's flags require both addresses, but a hollow router connects to neither.
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let peers = RouterPeers {
        list: unused_address,
        release_controller: unused_address,
    };
    let arguments =
        std::iter::once("router".to_string()).chain(settings.flags(flags.first, 0, peers));
    let mut router_flags = RouterArguments::try_parse_from(arguments)?.flags;
    router_flags.service.customers = tenant_quotas(flags.tenants);
    router_flags.check()?;
    Ok(router_flags)
}

async fn run(flags: &HollowFlags, router_flags: RouterFlags) {
    let mut routers = HollowRouters {
        flags: router_flags,
        seed: flags.seed,
        running: BTreeMap::new(),
    };
    for index in flags.first..flags.first.saturating_add(flags.count) {
        routers.start(index);
    }
    println!("{STARTED}");
    let mut commands = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = commands.next_line().await {
        match serde_json::from_str(&line) {
            Ok(command) => routers.execute(command),
            Err(e) => {
                eprintln!("spokeflow-testbed hollow: cannot decode the command '{line}': {e}");
                return;
            }
        }
    }
}

/// Runs hollow routers until standard input ends. Exit code 0: standard input has ended; 1: the runtime cannot be
/// started; 2: the settings are invalid.
pub fn hollow(flags: &HollowFlags) -> ExitCode {
    if let Err(error) = init_logging(&flags.log, LogFormat::Text) {
        eprintln!("spokeflow-testbed hollow: {error}");
        return ExitCode::from(2);
    }
    let router_flags = match router_flags(flags) {
        Ok(router_flags) => router_flags,
        Err(error) => {
            eprintln!("spokeflow-testbed hollow: invalid settings of the routers: {error}");
            return ExitCode::from(2);
        }
    };
    // A single thread, as in a router.
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("spokeflow-testbed hollow: cannot start the async runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(run(flags, router_flags));
    runtime.shutdown_background();
    ExitCode::SUCCESS
}
