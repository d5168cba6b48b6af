use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use spokeflow_router::{main_with, RouterProgram};
use spokeflow_standin::day::play;
use spokeflow_standin::report::Report;
use spokeflow_standin::routers::Starting;
use spokeflow_standin::scenario::{Kind, Scenario, Trouble};
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
    Day(Box<DayFlags>),
    /// The kinds of trouble, one a line
    Troubles,
    /// The router itself, as the day starts it
    #[command(hide = true)]
    Router(Box<RouterProgram>),
}

#[derive(Args)]
struct DayFlags {
    /// Draws the day
    #[arg(long, env = "SPOKEFLOW_DAY_SEED", default_value_t = 1)]
    seed: u64,
    /// Seconds in which commands are sent
    #[arg(long, env = "SPOKEFLOW_DAY_SECONDS", default_value_t = 60)]
    seconds: u64,
    /// One kind of trouble alone, with a good build on trial; bad-build: a bad one and nothing else
    #[arg(long, env = "SPOKEFLOW_DAY_ONLY")]
    only: Option<Kind>,
    /// In place of the drawn troubles: KIND:at=TIME[:lasts=TIME][:part=NUMBER][:size=NUMBER], repeated or split
    /// by commas
    #[arg(long, env = "SPOKEFLOW_DAY_SCRIPT", value_delimiter = ',')]
    script: Vec<Trouble>,
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

fn day(flags: &DayFlags) -> Result<bool, String> {
    if flags.seconds < 5 {
        return Err("--seconds: at least 5".into());
    }
    let length = flags.seconds as Micros * SECOND;
    let mut scenario = match flags.only {
        Some(kind) => Scenario::only(kind, flags.seed, length),
        None => Scenario::bad_day(flags.seed, length),
    };
    if !flags.script.is_empty() {
        scenario.name = "script".into();
        scenario.troubles.clone_from(&flags.script);
    }
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
        let (at, of) = (at / SECOND, flags.seconds);
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
    let report = Report::of(&played);
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?);
    } else {
        print!("{}", report.text());
    }
    // Not waited for: connections of the stand-ins may still be open.
    runtime.shutdown_background();
    Ok(report.sound())
}
