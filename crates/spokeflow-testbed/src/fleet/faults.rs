//! The faults that the rig injects.

use std::time::Duration;

use super::switchboard::{Link, LinkCondition};

/// The disk on which a killed node starts again.
#[derive(Clone, Debug, PartialEq)]
pub enum Disk {
    /// Its own, unchanged.
    Own,
    /// Its own as it was when the node was killed the time before.
    Stale,
    /// Its own without the last part.
    Truncated,
    /// A new one.
    Empty,
}

/// One fault, from its beginning to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A node is killed and started again.
    KillNode {
        /// Number of the node.
        node: u32,
        /// How long it is away.
        down: Duration,
        /// On which disk it comes back.
        disk: Disk,
    },
    /// Whichever node leads then is killed and started again.
    KillLeader {
        /// How long it is away.
        down: Duration,
    },
    /// A node is started so that it crashes at a step of its own.
    CrashAt {
        /// Number of the node.
        node: u32,
        /// The crash point and how often it is passed before, as `NAME:COUNT`.
        point: String,
    },
    /// A node is started on a disk that fails after some writes.
    FailWrites {
        /// Number of the node.
        node: u32,
        /// Writes that succeed.
        after: u64,
    },
    /// A node is stopped as by SIGSTOP and continued.
    PauseNode {
        /// Number of the node.
        node: u32,
        /// For how long.
        lasts: Duration,
    },
    /// All nodes are killed and started again.
    KillAllNodes {
        /// How long they are away.
        lasts: Duration,
    },
    /// A new node takes the place of another, by a change of the voters.
    ReplaceNode {
        /// Number of the node that leaves.
        node: u32,
    },
    /// A router is killed and started again.
    KillRouter {
        /// Number of the router.
        router: u32,
        /// How long it is away.
        down: Duration,
    },
    /// A router is stopped as by SIGSTOP and continued.
    PauseRouter {
        /// Number of the router.
        router: u32,
        /// For how long.
        lasts: Duration,
    },
    /// Links pass nothing.
    Cut {
        /// The links, each in one direction.
        links: Vec<Link>,
        /// For how long.
        lasts: Duration,
        /// Whether the connections over them end as well.
        reset: bool,
    },
    /// All links between all processes are disturbed.
    Degrade {
        /// What happens to frames meanwhile.
        condition: LinkCondition,
        /// For how long.
        lasts: Duration,
    },
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Fault::Cut {
                links,
                lasts,
                reset,
            } => {
                let count = links.len();
                let first = links.first();
                write!(
                    f,
                    "{count} links cut for {lasts:?}, reset {reset}, first {first:?}"
                )
            }
            other => write!(f, "{other:?}"),
        }
    }
}

/// A fault of a script.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedFault {
    /// What happens.
    pub fault: Fault,
    /// From its beginning to that of the next.
    pub pause: Duration,
}
