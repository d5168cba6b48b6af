//! The command line of the testbed: each subcommand is a module, this file dispatches.

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

/// Exit code of wrong use, or of something that cannot be started.
const EXIT_ERROR: u8 = 2;

/// Fake peers for what surrounds the routers, and scenarios to run real routers on.
#[derive(Parser)]
#[command(name = "spokeflow-testbed", version)]
struct Program {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario on loopback sockets with real router processes and checks the five rules. Exit code 0: all
    /// kept; 1: one broken; 2: wrong use
    Day(Box<DayFlags>),
    /// Starts real control-plane nodes and routers with every link to a node through a switchboard, injects drawn faults
    /// between them and checks from what crossed it. Exit code 0: all kept; 1: something broken; 2: wrong use
    Fleet(FleetFlags),
    /// Measures the control plane at a given size: real nodes and routers, and many hollow routers over real sockets.
    /// Exit code 0: bounds kept; 1: one exceeded, or the run had to stop; 2: wrong use, or a run that this machine does
    /// not bear
    Scale(Box<ScaleFlags>),
    /// Hollow routers, as the scale run starts them
    #[command(hide = true)]
    Hollow(HollowFlags),
    /// What a commit of three nodes costs, beside bare syncs of the same disk
    Commits(CommitFlags),
    /// The kinds of fault, one a line
    #[command(alias = "troubles")]
    Faults,
    /// Puts an open loop of commands on one router, beside a plain pass-through on the same codec in turn, and
    /// prints what each adds
    Load(LoadFlags),
    /// The pass-through
    #[command(hide = true)]
    Pass(PassFlags),
    /// The router itself, as the day starts it
    #[command(hide = true)]
    Router(Box<RouterProgram>),
    /// The node itself, as the rig starts it
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
