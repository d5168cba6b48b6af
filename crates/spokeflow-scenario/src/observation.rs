//! Observations of a run: messages as the test peers write and read them, and effects at the hosts. Serialized names
//! must not change, since recorded traces contain them.

use serde::Serialize;

use crate::Micros;

/// A router's final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AnswerKind {
    /// An ack.
    Acked,
    /// A nack.
    Nacked,
    /// A failure.
    Failed,
}

/// A host's answer to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReplyKind {
    /// An ack.
    Acked,
    /// An error.
    Error,
    /// The queue is full and the delivery was not accepted.
    Full,
}

/// The phase of a host on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Phase {
    /// The host has stopped.
    Gone,
    /// The host accepts commands.
    Ready,
    /// The host finishes its commands and accepts no new ones.
    Draining,
}

/// The state of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RolloutState {
    /// The build is in one of its stages.
    #[serde(rename = "OnTrial")]
    Canary,
    /// The build is being rolled back: its hosts are replaced by hosts of the earlier build.
    #[serde(rename = "GoingBack")]
    RollingBack,
    /// The build has passed all stages.
    Released,
    /// The build was rolled back.
    Withdrawn,
}

/// A process of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Process {
    /// Number of the router in the fleet.
    pub router: u32,
    /// Number of starts of this router before this process.
    pub start: u32,
}

/// One observation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Observation {
    /// A router process has started.
    RouterUp(Process),
    /// A router process was killed.
    RouterKilled(Process),
    /// A router process was asked to shut down; it still answers the commands that it has accepted.
    #[serde(rename = "RouterAsked")]
    RouterShutdown(Process),
    /// A router process has ended.
    RouterEnded(Process),
    /// A client sends an attempt at a command to a router; recorded when it is sent. From then on the rules count the
    /// attempt as accepted by the router.
    Taken {
        /// The router.
        by: Process,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// The command, the same for all its attempts.
        command: u64,
        /// Index of the operation.
        op: u16,
        /// The sticky key, 0 for none.
        key: u64,
        /// Timeout that the client sends with the attempt.
        #[serde(rename = "patience")]
        timeout: Micros,
    },
    /// A client has received an answer.
    Answered {
        /// The router.
        by: Process,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// Kind of the answer.
        kind: AnswerKind,
        /// The build.
        build: u16,
    },
    /// A client has abandoned an attempt before its timeout.
    Left {
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
    },
    /// A router has sent a delivery to a host. The simulator records it when it is sent, a run on sockets when it
    /// arrives at the host's end of the connection, before any simulated delay of the path.
    Delivered {
        /// The host.
        host: u32,
        /// The build.
        build: u16,
        /// The router.
        from: Process,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// Id of the delivery.
        delivery: u64,
    },
    /// A host has sent its answer.
    Replied {
        /// The host.
        host: u32,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// Id of the delivery.
        delivery: u64,
        /// Kind of the answer.
        kind: ReplyKind,
    },
    /// A command took effect at a host. A repeat that the host drops has no effect.
    Ran {
        /// The host.
        host: u32,
        /// The build.
        build: u16,
        /// The client's attempt.
        #[serde(rename = "tried")]
        attempt: u64,
        /// The command, the same for all its attempts.
        command: u64,
        /// Index of the operation.
        op: u16,
    },
    /// The endpoint list has sent an update to a router.
    Listed {
        /// The router.
        to: Process,
        /// Whether the update is the complete list or only the changes.
        whole: bool,
        /// Hosts with their builds and phases.
        lines: Vec<(u32, u16, Phase)>,
    },
    /// The release controller has sent a rollout update to a router.
    News {
        /// The router.
        to: Process,
        /// The build.
        build: u16,
        /// Index of the rollout's stage.
        stage: u8,
        /// State of the rollout.
        #[serde(rename = "standing")]
        state: RolloutState,
        /// The exposure cap, 0 to 1.
        cap: f64,
    },
    /// A router's vote has reached the release controller.
    Voted {
        /// The router.
        from: Process,
        /// The build.
        build: u16,
        /// Index of the rollout's stage.
        stage: u8,
        /// Name of the vote, see [`crate::release_controller::ControllerVote`].
        #[serde(rename = "verdict")]
        vote: String,
    },
    /// A cold host was sent more than it can process and has crashed.
    Fell {
        /// The host.
        host: u32,
    },
    /// The state of the release controller has changed, whether or not a router has been told.
    #[serde(rename = "Desk")]
    ReleaseController {
        /// The build.
        build: u16,
        /// Index of the rollout's stage.
        stage: u8,
        /// State of the rollout.
        #[serde(rename = "standing")]
        state: RolloutState,
    },
    /// A scheduled fault begins or ends.
    #[serde(rename = "Trouble")]
    Fault {
        /// Description of the fault.
        what: String,
    },
}
