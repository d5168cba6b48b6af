//! The command line of `spokeflow-experiments`: parses the subcommand and its flags, and executes it.

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

/// Plays scenarios in simulated time (one, many, two sides compared, the worst searched), and load-tests a real router
#[derive(Parser)]
#[command(name = "spokeflow-experiments", version)]
struct Program {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one scenario in simulated time and prints its report. Exit code 0: all rules held; 1: a rule was broken;
    /// 2: error
    Run(Box<RunFlags>),
    /// Plays the product of --days, --seeds, --sizes, --terms and --who on all cores, and writes tables and charts.
    /// Runs with a result in the store are not played again, so an interrupted sweep resumes. Exit code 1: the engine
    /// broke a rule
    Sweep(Box<SweepFlags>),
    /// Compares two strategies or sets of overrides on the same runs: paired differences with 95% intervals
    Compare(Box<CompareFlags>),
    /// Plays drawn scenarios, and shrinks those that break a rule or lose the most service against full sight
    Hunt(Box<HuntFlags>),
    /// Plays the same scenarios with real routers on sockets and in simulated time, and compares the reports
    Agree(Box<AgreeFlags>),
    /// Plays drawn scenarios of control-plane nodes and the routers that follow them, and checks that no two routers
    /// contradict each other for longer than a lease. Exit code 1: an invariant was broken
    Agreement(agreement::AgreementFlags),
    /// Writes tables and charts of the results in a store
    Report(ReportFlags),
    /// Computes how many bad builds routers can detect at best, each from its own evidence and all from shared evidence
    Alone(solo_evidence::SoloEvidenceFlags),
    /// Prints the cost of a target in each role, computed from measured lines, as a page in Markdown
    Capacity(capacity::CapacityFlags),
    /// Computes the measured lines that `capacity` reads from the raw runs of a folder
    CollectSlopes(capacity::CollectFlags),
    /// Measures the encoded sizes of messages and stored records with the real codecs, and writes a raw run
    MeasureBytes(capacity::MeasureBytesFlags),
    /// Measures the overhead of a real router per request over sockets, by number of hosts, and writes a raw run
    MeasureLoad(capacity::MeasureLoadFlags),
    /// Sends an open loop of commands through a real router and through a plain pass-through in turn, and compares them
    Load(LoadFlags),
    /// The plain pass-through that `load` compares a router with
    #[command(hide = true)]
    Pass(PassThroughFlags),
    #[command(hide = true)]
    Router(Box<RouterProgram>),
    // The testbed starts its control-plane nodes by the former name `keeper`.
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
            return Ok(Outcome::from_rules_held(agreement::check_agreement(&flags)));
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
            unreachable!(
                "`main` runs the router and the control plane, which return their own exit codes"
            )
        }
    }
    Ok(Outcome::Success)
}
