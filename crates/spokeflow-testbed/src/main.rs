//! The command line of the testbed: parses the subcommand and dispatches to its module.

mod commands;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use spokeflow_control_plane::ControlPlaneProgram;
use spokeflow_router::{main_with, RouterProgram};
use spokeflow_scenario::scenario::FaultKind;
use spokeflow_testbed::commits::CommitFlags;
use spokeflow_testbed::load::{load, LoadFlags};
use spokeflow_testbed::scale::{self, HollowFlags, ScaleFlags};

use self::commands::commits::measure_commits;
use self::commands::day::{run_day, DayFlags};
use self::commands::fleet::{run_fleet, FleetFlags};
use self::commands::pass::{run_pass_through, PassFlags};
use self::commands::scale::run_scale;
use self::commands::CommandResult;

/// Exit code for invalid arguments, and for a run that an error ended.
const EXIT_ERROR: u8 = 2;

/// Runs real routers and control-plane nodes against fake peers, checks their rules and measures them.
#[derive(Parser)]
#[command(name = "spokeflow-testbed", version)]
struct Program {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario on loopback sockets with real router processes and checks the five rules. Exit code 0: no rule
    /// was violated; 1: a rule was violated; 2: invalid arguments, or an error ended the run
    Day(Box<DayFlags>),
    /// Starts real control-plane nodes and routers whose links to nodes all pass through a switchboard, injects randomly
    /// drawn faults and checks the rules from the recorded frames. Exit code 0: no rule was violated; 1: a rule was
    /// violated; 2: invalid arguments, or an error ended the run
    Fleet(FleetFlags),
    /// Measures the control plane at a given size: real nodes and routers, and many hollow routers on real sockets.
    /// Exit code 0: all bounds held; 1: a bound was exceeded, or the run was aborted; 2: invalid arguments, or a run
    /// too large for this machine
    Scale(Box<ScaleFlags>),
    /// Runs hollow routers; started by `scale`
    #[command(hide = true)]
    Hollow(HollowFlags),
    /// Measures the rate and latency of commits with three control-plane nodes, and of bare syncs to the same disk
    Commits(CommitFlags),
    /// Lists the kinds of fault, one per line
    #[command(alias = "troubles")]
    Faults,
    /// Sends an open loop of commands through one router and through a plain pass-through on the same codec, in turn,
    /// and prints the latency and processor time that each adds
    Load(LoadFlags),
    /// Runs the pass-through; started by `load`
    #[command(hide = true)]
    Pass(PassFlags),
    /// Runs a router; started by the runs of the other subcommands
    #[command(hide = true)]
    Router(Box<RouterProgram>),
    /// Runs a control-plane node; started by the runs of the other subcommands
    #[command(hide = true, alias = "keeper")]
    Node(Box<ControlPlaneProgram>),
}

fn main() -> ExitCode {
    spokeflow_config::adopt_former_variables();
    run(Program::parse().command).unwrap_or_else(|error| {
        eprintln!("spokeflow-testbed: {error}");
        ExitCode::from(EXIT_ERROR)
    })
}

fn run(command: Command) -> CommandResult {
    match command {
        Command::Day(flags) => run_day(&flags),
        Command::Fleet(flags) => run_fleet(&flags),
        Command::Scale(flags) => run_scale(&flags),
        Command::Hollow(flags) => Ok(scale::hollow(&flags)),
        Command::Commits(flags) => measure_commits(&flags),
        Command::Faults => {
            for kind in FaultKind::ALL {
                println!("{}", kind.name());
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Load(flags) => {
            load(&flags)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Pass(flags) => Ok(run_pass_through(&flags)),
        Command::Router(program) => Ok(main_with(*program)),
        Command::Node(program) => Ok(spokeflow_control_plane::main_with(*program)),
    }
}
