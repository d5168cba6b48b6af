use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use spokeflow_router::{main_with, RouterProgram};
use spokeflow_standin::day::play;
use spokeflow_standin::load::{load, pass_through, LoadFlags};
use spokeflow_standin::routers::Starting;
use spokeflow_standin::scenario::flags::DayFlags;
use spokeflow_standin::scenario::scenario::Kind;
use spokeflow_standin::{Micros, SECOND};

/// Stand-ins for what surrounds the routers, and days to try real routers on.
#[derive(Parser)]
#[command(name = "spokeflow-standin", version)]
struct Program {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays a day on loopback sockets with real router processes and checks the five rules. Exit code 0: all
    /// kept; 1: one broken; 2: wrong use
    Day(Box<PlayFlags>),
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
}

#[derive(Args)]
struct PlayFlags {
    #[command(flatten)]
    day: DayFlags,
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
    match Program::parse().what {
        What::Router(program) => main_with(*program),
        What::Troubles => {
            Kind::ALL.iter().for_each(|kind| println!("{}", kind.name()));
            ExitCode::SUCCESS
        }
        What::Load(flags) => match load(&flags) {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => {
                eprintln!("spokeflow-standin: {what}");
                ExitCode::from(2)
            }
        },
        What::Pass { host } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime.map_err(|e| e.to_string()).and_then(|r| r.block_on(pass_through(&host))) {
                Ok(()) => ExitCode::SUCCESS,
                Err(what) => {
                    eprintln!("spokeflow-standin: {what}");
                    ExitCode::FAILURE
                }
            }
        }
        What::Day(flags) => match day(&flags) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(1),
            Err(what) => {
                eprintln!("spokeflow-standin: {what}");
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
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
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
    let played = runtime.block_on(play(scenario, starting, progress))?;
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
        println!("{}", serde_json::to_string_pretty(report).map_err(|e| e.to_string())?);
    } else {
        print!("{}", report.text());
    }
    // Not waited for: connections of the stand-ins may still be open.
    runtime.shutdown_background();
    Ok(report.sound())
}
