//! What is observed of a run: messages as the fake peers write or read them, and effects at the hosts. Serialized
//! names are those of recorded traces.

use serde::Serialize;

use crate::Micros;

/// A router's final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AnswerKind {
    /// Acknowledged.
    Acked,
    /// Refused.
    Nacked,
    /// The host answered with an error.
    Failed,
}

/// A host's answer to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReplyKind {
    /// Acknowledged.
    Acked,
    /// An error.
    Error,
    /// Not looked at, the queue is full.
    Full,
}

/// An endpoint as the host list shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Phase {
    /// No longer there.
    Gone,
    /// Takes commands.
    Ready,
    /// Takes no new commands.
    Draining,
}

/// Where a build's rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RolloutState {
    /// In a stage.
    #[serde(rename = "OnTrial")]
    Canary,
    /// Its hosts are replaced by the build before.
    #[serde(rename = "GoingBack")]
    RollingBack,
    /// It passed all stages.
    Released,
    /// It was rolled back.
    Withdrawn,
}

/// A router's process: its number in the fleet, and which of its starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Process {
    /// The router's number.
    pub router: u32,
    /// Which of its starts, from 0.
    pub start: u32,
}

/// One thing that was observed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Observation {
    /// A router process has started.
    RouterUp(Process),
    /// A router process was killed.
    RouterKilled(Process),
    /// A router process was told to end; it answers what it holds.
    #[serde(rename = "RouterAsked")]
    RouterShutdown(Process),
    /// A router process has ended.
    RouterEnded(Process),
    /// A client has written an attempt to its socket. `command` is the same for all attempts at one command.
    Taken {
        /// The router.
        by: Process,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// The client's command.
        command: u64,
        /// Index of the operation.
        op: u16,
        /// The sticky key, 0 for none.
        key: u64,
        /// How long the client says that it waits.
        #[serde(rename = "patience")]
        timeout: Micros,
    },
    /// A client has read an answer.
    Answered {
        /// The router.
        by: Process,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// What it says.
        kind: AnswerKind,
        /// The build concerned.
        build: u16,
    },
    /// The client has gone before its timeout.
    Left {
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
    },
    /// A host has read a delivery.
    Delivered {
        /// The host.
        host: u32,
        /// The build concerned.
        build: u16,
        /// The router.
        from: Process,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// The router's number of the delivery.
        delivery: u64,
    },
    /// A host has written its answer.
    Replied {
        /// The host.
        host: u32,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// The router's number of the delivery.
        delivery: u64,
        /// What it says.
        kind: ReplyKind,
    },
    /// The effect of a command happened; a repeat that a host dropped has none.
    Ran {
        /// The host.
        host: u32,
        /// The build concerned.
        build: u16,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// The client's command.
        command: u64,
        /// Index of the operation.
        op: u16,
    },
    /// The list has written this to a router.
    Listed {
        /// The router.
        to: Process,
        /// Whether this is the whole list or changes alone.
        whole: bool,
        /// Hosts with their builds and phases.
        lines: Vec<(u32, u16, Phase)>,
    },
    /// The release controller has written this to a router.
    News {
        /// The router.
        to: Process,
        /// The build concerned.
        build: u16,
        /// The rollout's stage, from 0.
        stage: u8,
        /// Where the rollout is.
        #[serde(rename = "standing")]
        state: RolloutState,
        /// The exposure cap, 0 to 1.
        cap: f64,
    },
    /// A router's vote has reached the release controller.
    Voted {
        /// The router.
        from: Process,
        /// The build concerned.
        build: u16,
        /// The rollout's stage, from 0.
        stage: u8,
        /// The vote's name.
        #[serde(rename = "verdict")]
        vote: String,
    },
    /// A cold host was sent more than it can bear and is down.
    Fell {
        /// The host.
        host: u32,
    },
    /// The release controller's own state, whoever knows of it.
    #[serde(rename = "Desk")]
    ReleaseController {
        /// The build concerned.
        build: u16,
        /// The rollout's stage, from 0.
        stage: u8,
        /// Where the rollout is.
        #[serde(rename = "standing")]
        state: RolloutState,
    },
    /// A scheduled fault begins or ends.
    #[serde(rename = "Trouble")]
    Fault {
        /// The fault, for people.
        what: String,
    },
}
