//! The program: parses the subcommand and its flags, and dispatches. What each does is in `commands`.

mod commands;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use commands::{
    AgreeFlags, CommandError, CompareFlags, HuntFlags, Outcome, PassThroughFlags, ReportFlags,
    RunFlags, SweepFlags,
};
use spokeflow_control_plane::ControlPlaneProgram;
use spokeflow_experiments::{agreement, capacity, solo_evidence};
use spokeflow_router::RouterProgram;
use spokeflow_testbed::load::{load, LoadFlags};

/// Days in simulated time: one, many, two ways compared, the worst ones found; and loads on a real router
#[derive(Parser)]
#[command(name = "spokeflow-experiments", version)]
struct Program {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one day in simulated time and prints its report. Exit code 0: all rules kept; 1: one broken; 2:
    /// wrong use
    Run(Box<RunFlags>),
    /// Plays days x seeds x sizes x terms x who on all cores, and writes tables and charts. What the store has
    /// is not played again, so a sweep that was cut off goes on. Exit code 1: the engine broke a rule
    Sweep(Box<SweepFlags>),
    /// Two ways to play the same days: paired differences with 95% intervals
    Compare(Box<CompareFlags>),
    /// Draws days, keeps those that break a rule or lose most against full sight, and shrinks them
    Hunt(Box<HuntFlags>),
    /// Plays the same days on sockets, with real routers, and in simulated time, and says how far both agree
    Agree(Box<AgreeFlags>),
    /// Plays drawn days of control-plane nodes and the routers that follow them, and says whether any two
    /// contradicted each other for longer than a lease. Exit code 1: they did
    Agreement(agreement::AgreementFlags),
    /// Tables and charts of a store
    Report(ReportFlags),
    /// What routers that each judge alone could know of a build at best, and one that hears all of them
    Alone(solo_evidence::SoloEvidenceFlags),
    /// Prints what a target costs in each role, computed from measured lines, as a page in Markdown
    Capacity(capacity::CapacityFlags),
    /// Makes the measured lines that `capacity` reads from the raw runs of a folder
    CollectSlopes(capacity::CollectFlags),
    /// Measures by the real codecs how many bytes messages and kept records take, and writes a raw run
    MeasureBytes(capacity::MeasureBytesFlags),
    /// Measures over sockets what a real router adds to a request, over numbers of hosts, and writes a raw run
    MeasureLoad(capacity::MeasureLoadFlags),
    /// Puts an open loop of commands on a real router, beside a plain pass-through in turn
    Load(LoadFlags),
    /// The plain pass-through that `load` compares a router with
    #[command(hide = true)]
    Pass(PassThroughFlags),
    #[command(hide = true)]
    Router(Box<RouterProgram>),
    // The testbed starts its nodes by the former name.
    #[command(hide = true, alias = "keeper")]
    ControlPlane(Box<ControlPlaneProgram>),
}

fn main() -> ExitCode {
    spokeflow_config::adopt_former_variables();
    let outcome = match Program::parse().command {
        Command::Router(program) => return spokeflow_router::main_with(*program),
        Command::ControlPlane(program) => return spokeflow_control_plane::main_with(*program),
        command => execute(command),
    };
    match outcome {
        Ok(Outcome::Success) => ExitCode::SUCCESS,
        Ok(Outcome::RuleBroken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("spokeflow-experiments: {error}");
            ExitCode::from(2)
        }
    }
}

fn execute(command: Command) -> Result<Outcome, CommandError> {
    match command {
        Command::Run(flags) => return commands::run(&flags),
        Command::Sweep(flags) => return commands::sweep(&flags),
        Command::Compare(flags) => return commands::compare(&flags),
        Command::Hunt(flags) => return commands::hunt(&flags),
        Command::Agree(flags) => return commands::agree(&flags),
        Command::Report(flags) => return commands::report(&flags),
        Command::Pass(flags) => return commands::serve_pass_through(&flags),
        Command::Agreement(flags) => {
            return Ok(Outcome::from_soundness(agreement::agreement(&flags)));
        }
        Command::Alone(flags) => print!("{}", solo_evidence::text(&flags)),
        Command::Capacity(flags) => print!("{}", capacity::capacity(&flags)?),
        Command::CollectSlopes(flags) => {
            eprintln!("{} lines", capacity::collect_slopes(&flags)?);
        }
        Command::MeasureBytes(flags) => {
            eprintln!("{} records", capacity::measure_bytes(&flags)?);
        }
        Command::MeasureLoad(flags) => {
            eprintln!("{} records", capacity::measure_load(&flags)?);
        }
        Command::Load(flags) => load(&flags).map_err(CommandError::testbed)?,
        Command::Router(_) | Command::ControlPlane(_) => {
            unreachable!("the two programs run in `main`, by their own exit codes")
        }
    }
    Ok(Outcome::Success)
}
