//! The command line: subcommands and flags.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

/// Shows and changes the configuration that all routers of a fleet follow. Exit code 0: done; 1: refused, or not so;
/// 2: wrong use, or no node answers
#[derive(Parser)]
#[command(name = "spokeflowctl", version)]
pub(crate) struct Program {
    #[command(flatten)]
    pub(crate) connection: ConnectionFlags,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Flags of all subcommands.
#[derive(Args)]
pub(crate) struct ConnectionFlags {
    /// A control-plane node; repeat the flag for each, any that answers will do
    #[arg(
        long = "control-plane",
        alias = "keeper",
        env = "SPOKEFLOW_CONTROL_PLANE",
        value_delimiter = ',',
        global = true
    )]
    pub(crate) control_plane: Vec<SocketAddr>,
    /// Prints JSON
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// How long to try
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration, global = true)]
    pub(crate) within: Duration,
}

/// What to do.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Shows the leader, the revision in force, the pending one, and how many routers act on the newest
    Status,
    /// Shows the revisions: who proposed them, when and why
    History,
    /// Proposes a revision: NAME=VALUE for each flag that is to differ from the routers' own. What is not named goes
    /// back to those, unless --keep is given
    #[command(alias = "offer")]
    Propose(ProposeFlags),
    /// Shows what a revision would change against the newest
    Diff {
        #[arg(value_name = "NAME=VALUE")]
        values: Vec<String>,
    },
    /// Checks values as the control plane does; connects to no node
    Check {
        #[arg(value_name = "NAME=VALUE")]
        values: Vec<String>,
    },
    /// Waits until this revision, or a later one, is in force
    Watch { revision: u64 },
    /// Registers the address of a node, so that it may be added
    #[command(alias = "seat")]
    Register { node: u32, address: SocketAddr },
    /// Adds a node whose address is known
    #[command(alias = "take-in")]
    AddNode { node: u32 },
    /// Removes a node, for good: its number is not used again
    #[command(alias = "take-out")]
    RemoveNode { node: u32 },
}

/// Flags of `propose`.
#[derive(Args)]
pub(crate) struct ProposeFlags {
    #[arg(value_name = "NAME=VALUE")]
    pub(crate) values: Vec<String>,
    /// Names that are not given stay as the newest revision has them
    #[arg(long)]
    pub(crate) keep: bool,
    /// The newest revision that you have seen; refused where there is a newer one. Read first where not given
    #[arg(long)]
    pub(crate) against: Option<u64>,
    /// Who proposes it
    #[arg(long, env = "USER")]
    pub(crate) who: String,
    /// Why, in one sentence
    #[arg(long)]
    pub(crate) why: String,
    /// Waits until it is in force
    #[arg(long)]
    pub(crate) wait: bool,
}
