//! The faults that the rig injects.

use std::time::Duration;

use super::switchboard::{Link, LinkCondition};

/// The disk on which a killed node starts again. All but `Own` are swapped disks: a stale, truncated or empty store in
/// place of the node's own, on which a node must not promise anything.
#[derive(Clone, Debug, PartialEq)]
pub enum Disk {
    /// Its own, unchanged.
    Own,
    /// Its own, with the content that it had at the node's previous kill.
    Stale,
    /// Its own without the last quarter.
    Truncated,
    /// An empty one.
    Empty,
}

/// A fault, with everything needed to begin and end it.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A node is killed and started again.
    KillNode {
        /// Number of the node.
        node: u32,
        /// How long it stays down.
        down: Duration,
        /// Disk on which it starts again.
        disk: Disk,
    },
    /// The node that is leader when the fault begins is killed and started again.
    KillLeader {
        /// How long it stays down.
        down: Duration,
    },
    /// A node is restarted with a crash point set, at which its process ends itself.
    CrashAt {
        /// Number of the node.
        node: u32,
        /// The crash point and the pass of it, counted from 1, at which to crash: `POINT:NTH`.
        point: String,
    },
    /// A node is restarted on a disk whose writes fail from a given one on.
    FailWrites {
        /// Number of the node.
        node: u32,
        /// Number of the first write to the store that fails, counted from 1 from the restart of the node. All later
        /// writes fail too.
        after: u64,
    },
    /// A node is paused as by SIGSTOP and then resumed.
    PauseNode {
        /// Number of the node.
        node: u32,
        /// How long it stays paused.
        lasts: Duration,
    },
    /// All nodes are killed and started again.
    KillAllNodes {
        /// How long they stay down.
        lasts: Duration,
    },
    /// A new node replaces another through changes of the voters.
    ReplaceNode {
        /// Number of the node that is replaced.
        node: u32,
    },
    /// A router is killed and started again.
    KillRouter {
        /// Number of the router.
        router: u32,
        /// How long it stays down.
        down: Duration,
    },
    /// A router is paused as by SIGSTOP and then resumed.
    PauseRouter {
        /// Number of the router.
        router: u32,
        /// How long it stays paused.
        lasts: Duration,
    },
    /// Links forward no frames.
    Cut {
        /// The links, each in one direction.
        links: Vec<Link>,
        /// How long they stay cut.
        lasts: Duration,
        /// Whether connections over the links are reset at the beginning.
        reset: bool,
    },
    /// All links between nodes and routers get the same condition.
    Degrade {
        /// Condition of the links during the fault.
        condition: LinkCondition,
        /// How long it applies.
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

/// A fault and the pause after its beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedFault {
    /// The fault.
    pub fault: Fault,
    /// Time from its beginning to that of the next fault.
    pub pause: Duration,
}
