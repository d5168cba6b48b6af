//! What is seen of a day: messages as the stand-ins write or read them, and effects at the hosts.

use serde::Serialize;

use crate::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AnswerKind {
    Acked,
    Nacked,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReplyKind {
    Acked,
    Error,
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Phase {
    Gone,
    Ready,
    Draining,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RolloutState {
    #[serde(rename = "OnTrial")]
    Canary,
    #[serde(rename = "GoingBack")]
    RollingBack,
    Released,
    Withdrawn,
}

/// A router's process: its number in the fleet, and which of its starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Process {
    pub router: u32,
    pub start: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Observation {
    RouterUp(Process),
    RouterKilled(Process),
    /// Told to end; it answers what it holds.
    #[serde(rename = "RouterAsked")]
    RouterShutdown(Process),
    RouterEnded(Process),
    /// A client has written a try to its socket. `command` is the same for all tries of one command.
    Taken {
        by: Process,
        #[serde(rename = "tried")]
        attempt: u64,
        command: u64,
        op: u16,
        key: u64,
        #[serde(rename = "patience")]
        timeout: Micros,
    },
    /// A client has read an answer.
    Answered {
        by: Process,
        #[serde(rename = "tried")]
        attempt: u64,
        kind: AnswerKind,
        build: u16,
    },
    /// The client has gone before its patience was over.
    Left {
        #[serde(rename = "tried")]
        attempt: u64,
    },
    /// A host has read a delivery.
    Delivered {
        host: u32,
        build: u16,
        from: Process,
        #[serde(rename = "tried")]
        attempt: u64,
        delivery: u64,
    },
    /// A host has written its answer.
    Replied {
        host: u32,
        #[serde(rename = "tried")]
        attempt: u64,
        delivery: u64,
        kind: ReplyKind,
    },
    /// The effect of a command happened; a repeat that a host dropped has none.
    Ran {
        host: u32,
        build: u16,
        #[serde(rename = "tried")]
        attempt: u64,
        command: u64,
        op: u16,
    },
    /// The list has written this to a router.
    Listed {
        to: Process,
        whole: bool,
        lines: Vec<(u32, u16, Phase)>,
    },
    /// The desk has written this to a router.
    News {
        to: Process,
        build: u16,
        stage: u8,
        #[serde(rename = "standing")]
        state: RolloutState,
        cap: f64,
    },
    Voted {
        from: Process,
        build: u16,
        stage: u8,
        #[serde(rename = "verdict")]
        vote: String,
    },
    /// A cold host was sent more than it can bear and is down.
    Fell {
        host: u32,
    },
    /// How the desk itself stands, whoever knows of it.
    #[serde(rename = "Desk")]
    ReleaseController {
        build: u16,
        stage: u8,
        #[serde(rename = "standing")]
        state: RolloutState,
    },
    /// A trouble of the script begins or ends.
    #[serde(rename = "Trouble")]
    Fault {
        what: String,
    },
}
