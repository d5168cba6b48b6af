//! The command line: subcommands and flags.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

/// Shows and changes the configuration of all routers of a fleet. Exit code 0: done; 1: refused, not in effect in
/// time, or a change of voters whose outcome is unknown; 2: wrong use, or no node gave a conclusive answer
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
    /// Address of a control-plane node; repeat the flag for each node. Any one of them may answer
    #[arg(
        long = "control-plane",
        alias = "keeper",
        env = "SPOKEFLOW_CONTROL_PLANE",
        value_delimiter = ',',
        global = true
    )]
    pub(crate) control_plane: Vec<SocketAddr>,
    /// Prints the result as JSON
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// Longest time for each request, and for the wait for its effect
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration, global = true)]
    pub(crate) within: Duration,
}

/// The subcommands.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Shows the leader, the revision in force, the pending revision, and how many routers act on the newest one
    Status,
    /// Shows the revisions: who proposed them, when and why
    History,
    /// Proposes a revision: NAME=VALUE for each flag whose value replaces the routers' own. For all other flags the
    /// routers return to their own values, unless --keep is given
    #[command(alias = "offer")]
    Propose(ProposeFlags),
    /// Shows what a revision with these values would change compared to the newest one
    Diff {
        #[arg(value_name = "NAME=VALUE")]
        values: Vec<String>,
    },
    /// Checks values in the same way as the control plane, without connecting to a node
    Check {
        #[arg(value_name = "NAME=VALUE")]
        values: Vec<String>,
    },
    /// Waits until this revision or a later one is in force
    Watch { revision: u64 },
    /// Registers the address of a node, so that the node can be added
    #[command(alias = "seat")]
    Register { node: u32, address: SocketAddr },
    /// Adds a node whose address is known
    #[command(alias = "take-in")]
    AddNode { node: u32 },
    /// Removes a node permanently; its number must not be used again
    #[command(alias = "take-out")]
    RemoveNode { node: u32 },
}

/// Flags of `propose`.
#[derive(Args)]
pub(crate) struct ProposeFlags {
    #[arg(value_name = "NAME=VALUE")]
    pub(crate) values: Vec<String>,
    /// Keeps the values of the newest revision for the flags that are not given
    #[arg(long)]
    pub(crate) keep: bool,
    /// Number of the newest revision known to you; the proposal is refused if there is a newer one [default: the
    /// newest]
    #[arg(long)]
    pub(crate) against: Option<u64>,
    /// Name of the person who proposes the revision
    #[arg(long, env = "USER")]
    pub(crate) who: String,
    /// Reason for the revision, in one sentence
    #[arg(long)]
    pub(crate) why: String,
    /// Waits until the revision is in force
    #[arg(long)]
    pub(crate) wait: bool,
}
