use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use spokeflow_control_plane::ControlPlaneProgram;
use spokeflow_router::{main_with, RouterProgram};
use spokeflow_scenario::flags::ScenarioFlags;
use spokeflow_scenario::scenario::FaultKind;
use spokeflow_testbed::commits::{commits, CommitFlags};
use spokeflow_testbed::day::play;
use spokeflow_testbed::fleet::{self, FleetConfig, FleetRun, ScriptedFault};
use spokeflow_testbed::load::{load, pass_through, LoadFlags};
use spokeflow_testbed::routers::Starting;
use spokeflow_testbed::scale::{self, HollowFlags, Outcome, ScaleFlags};
use spokeflow_testbed::{Micros, SECOND};

/// Stand-ins for what surrounds the routers, and days to try real routers on.
#[derive(Parser)]
#[command(name = "spokeflow-testbed", version)]
struct Program {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays a day on loopback sockets with real router processes and checks the five rules. Exit code 0: all
    /// kept; 1: one broken; 2: wrong use
    Day(Box<PlayFlags>),
    /// Starts real keepers and routers with every link to a keeper through a switchboard, plays drawn faults between them
    /// and checks from what crossed it. Exit code 0: all kept; 1: something broken; 2: wrong use
    Fleet(FleetFlags),
    /// Measures the control plane at a given size: real keepers and routers, and many hollow routers over real sockets.
    /// Exit code 0: bounds kept; 1: one exceeded, or the run had to stop; 2: wrong use, or a run that this machine does
    /// not bear
    Scale(Box<ScaleFlags>),
    /// Hollow routers, as the scale run starts them
    #[command(hide = true)]
    Hollow(HollowFlags),
    /// What a commit of three keepers costs, beside bare syncs of the same disk
    Commits(CommitFlags),
    /// The kinds of trouble, one a line
    Troubles,
    /// Puts an open loop of commands on one router, beside a plain pass-through on the same codec in turn, and
    /// prints what each adds
    Load(LoadFlags),
    /// The pass-through
    #[command(hide = true)]
    Pass {
        #[arg(long)]
        host: Vec<std::net::SocketAddr>,
    },
    /// The router itself, as the day starts it
    #[command(hide = true)]
    Router(Box<RouterProgram>),
    /// The keeper itself, as the rig starts it
    #[command(hide = true)]
    Keeper(Box<ControlPlaneProgram>),
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Plan {
    /// Revisions of settings under faults of keepers, routers and the ways between them
    Settings,
}

#[derive(Args)]
struct FleetFlags {
    /// What is tried
    #[arg(long, value_enum, default_value = "settings")]
    plan: Plan,
    #[arg(long, default_value_t = 24)]
    routers: u32,
    /// Keepers at the beginning: 3, 5 or 7
    #[arg(long, default_value_t = 5)]
    keepers: u32,
    /// Draws the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// For how long faults begin
    #[arg(long, default_value = "40s", value_parser = humantime::parse_duration)]
    lasts: std::time::Duration,
    /// The routers' lease, which bounds every contradiction
    #[arg(long, default_value = "1500ms", value_parser = humantime::parse_duration)]
    lease: std::time::Duration,
    /// Routers hear the host list from its source, not from the keepers
    #[arg(long)]
    own_list: bool,
    /// Nothing fails; each revision is offered as soon as the one before is in force
    #[arg(long)]
    peace: bool,
    /// The leading keeper is killed so often, every three seconds, and nothing else fails
    #[arg(long, default_value_t = 0)]
    kill_leaders: u32,
    /// Between two commands of each router's client
    #[arg(long, default_value = "20ms", value_parser = humantime::parse_duration)]
    pace: std::time::Duration,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    /// Keeps the processes' logs in this folder
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Which lines they log
    #[arg(long, default_value = "info")]
    log: String,
    /// Keeps the keepers' stores in this folder
    #[arg(long)]
    stores: Option<PathBuf>,
    /// Writes all frames that crossed the switchboard to this file, one a line
    #[arg(long)]
    trace: Option<PathBuf>,
}

#[derive(Args)]
struct PlayFlags {
    #[command(flatten)]
    day: ScenarioFlags,
    /// Prints the report as JSON
    #[arg(long)]
    json: bool,
    /// Writes all that the tap saw to this file, one JSON value a line
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Keeps the routers' logs in this folder
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Which lines the routers log
    #[arg(long, default_value = "info")]
    log: String,
}

fn main() -> ExitCode {
    spokeflow_config::adopt_former_variables();
    match Program::parse().what {
        What::Router(program) => main_with(*program),
        What::Keeper(program) => spokeflow_control_plane::main_with(*program),
        What::Fleet(flags) => match play_fleet(&flags) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(1),
            Err(what) => {
                eprintln!("spokeflow-testbed: {what}");
                ExitCode::from(2)
            }
        },
        What::Scale(flags) => match scale::scale(&flags) {
            Ok(report) => {
                println!("{}", report.text());
                match report.outcome {
                    Outcome::Kept => ExitCode::SUCCESS,
                    Outcome::Exceeded => ExitCode::from(1),
                }
            }
            Err(what) => {
                eprintln!("spokeflow-testbed: {what}");
                ExitCode::from(2)
            }
        },
        What::Hollow(flags) => scale::hollow(&flags),
        What::Troubles => {
            FaultKind::ALL
                .iter()
                .for_each(|kind| println!("{}", kind.name()));
            ExitCode::SUCCESS
        }
        What::Load(flags) => match load(&flags) {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => {
                eprintln!("spokeflow-testbed: {what}");
                ExitCode::from(2)
            }
        },
        What::Commits(flags) => {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build();
            match runtime
                .map_err(|e| e.to_string())
                .and_then(|r| r.block_on(commits(&flags)))
            {
                Ok(()) => ExitCode::SUCCESS,
                Err(what) => {
                    eprintln!("spokeflow-testbed: {what}");
                    ExitCode::from(2)
                }
            }
        }
        What::Pass { host } => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            match runtime
                .map_err(|e| e.to_string())
                .and_then(|r| r.block_on(pass_through(&host)))
            {
                Ok(()) => ExitCode::SUCCESS,
                Err(what) => {
                    eprintln!("spokeflow-testbed: {what}");
                    ExitCode::FAILURE
                }
            }
        }
        What::Day(flags) => match day(&flags) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(1),
            Err(what) => {
                eprintln!("spokeflow-testbed: {what}");
                ExitCode::from(2)
            }
        },
    }
}

fn day(flags: &PlayFlags) -> Result<bool, String> {
    let scenario = flags.day.day()?;
    let mut starting = Starting::own().map_err(|e| e.to_string())?;
    if let Some(folder) = &flags.logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("--logs {}: {e}", folder.display()))?;
    }
    starting.logs.clone_from(&flags.logs);
    starting.log.clone_from(&flags.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let shown = std::io::stderr().is_terminal();
    let progress = |at: Micros| {
        let (at, of) = (at / SECOND, flags.day.seconds);
        if shown {
            eprint!("\r{at} s of {of} s and the last answers ");
        } else if at % 10 == 0 {
            eprintln!("{at} s of {of} s");
        }
    };
    let played = runtime.block_on(play(scenario, starting, progress));
    let played = played.map_err(|e| e.to_string())?;
    if shown {
        eprintln!();
    }
    if let Some(file) = &flags.trace {
        let fault = |e: std::io::Error| format!("--trace {}: {e}", file.display());
        let mut out = std::io::BufWriter::new(std::fs::File::create(file).map_err(fault)?);
        for seen in &played.seen {
            let line = serde_json::to_string(seen).map_err(|e| e.to_string())?;
            writeln!(out, "{line}").map_err(fault)?;
        }
    }
    let report = &played.report;
    if flags.json {
        println!(
            "{}",
            serde_json::to_string_pretty(report).map_err(|e| e.to_string())?
        );
    } else {
        print!("{}", report.text());
    }
    // Not waited for: connections of the stand-ins may still be open.
    runtime.shutdown_background();
    Ok(report.passed())
}

fn play_fleet(flags: &FleetFlags) -> Result<bool, String> {
    let Plan::Settings = flags.plan;
    if ![3, 5, 7].contains(&flags.keepers) {
        return Err(format!("--keepers {}: 3, 5 or 7", flags.keepers));
    }
    if flags.routers == 0 {
        return Err("--routers: at least 1".into());
    }
    let mut starting = Starting::own().map_err(|e| e.to_string())?;
    if let Some(folder) = &flags.logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("--logs {}: {e}", folder.display()))?;
    }
    starting.logs.clone_from(&flags.logs);
    starting.log.clone_from(&flags.log);
    let own =
        || std::env::temp_dir().join(format!("spokeflow-testbed-fleet-{}", std::process::id()));
    let kill = fleet::Fault::KillLeader {
        down: std::time::Duration::from_millis(1500),
    };
    let kill = ScriptedFault {
        fault: kill,
        pause: std::time::Duration::from_secs(3),
    };
    let config = FleetConfig {
        routers: flags.routers,
        nodes: flags.keepers,
        seed: flags.seed,
        duration: flags.lasts,
        script: vec![kill; flags.kill_leaders as usize],
        lease: flags.lease,
        election_timeout: flags.lease / 5,
        store_directory: flags.stores.clone().unwrap_or_else(own),
        keep_stores: flags.stores.is_some(),
        replicated_list: !flags.own_list,
        fault_free: flags.peace,
        command_interval: flags.pace,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let progress = |at: Micros, what: &str| eprintln!("{:>7} ms  {what}", at / 1000);
    let run = fleet::run(config, starting, progress);
    let FleetRun { report, frames, .. } = runtime.block_on(run).map_err(|e| e.to_string())?;
    if let Some(file) = &flags.trace {
        let fault = |e: std::io::Error| format!("--trace {}: {e}", file.display());
        let mut out = std::io::BufWriter::new(std::fs::File::create(file).map_err(fault)?);
        for frame in &frames {
            writeln!(out, "{frame:?}").map_err(fault)?;
        }
    }
    match flags.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?
        ),
        false => println!("{}", report.text()),
    }
    runtime.shutdown_background();
    Ok(report.sound())
}
