//! Messages between routers and the release controller.

use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The build gets part of the traffic.
    Canary,
    /// The build is being rolled back.
    RollingBack,
    /// The build may get all traffic.
    Released,
    /// The build was rolled back.
    Withdrawn,
}

/// The state of the rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The build.
    pub build: u16,
    /// Index of the current stage.
    pub stage: u8,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Fraction of the traffic that the build may get, 0 to 1.
    pub exposure_cap: f32,
    /// Microseconds between the last change of this state and the sending of this message.
    pub age_us: u64,
}

/// What a router votes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteChoice {
    /// Withdraws an earlier vote.
    Abstain,
    /// Move to the next stage.
    Promote,
    /// Stay in this stage.
    Hold,
    /// Roll the build back.
    RollBack,
}

/// The result of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteResult {
    /// The vote counts.
    Counted,
    /// The vote is not for the current build or stage, or its choice does not apply to the current phase.
    Stale,
    /// The release controller received too many votes.
    RateLimited,
    /// The vote does not count for another reason.
    Refused,
}

/// Statistics of one operation on one build, from a sample of the deliveries of all routers over a past period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliveryStats {
    /// The build.
    pub build: u16,
    /// Index of the operation.
    pub op: u16,
    /// Deliveries in the sample.
    pub sampled: u32,
    /// Sampled deliveries that did not end with an ack.
    pub failed: u32,
    /// Mean latency of the acked deliveries, in microseconds.
    pub mean_us: u64,
    /// Microseconds since the end of the period.
    pub age_us: u64,
}

/// A message from a router to the release controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToController {
    /// Opens the connection.
    Hello(Hello),
    /// A vote on the rollout of a build.
    Vote {
        /// Id of the vote, assigned by the router and returned with the result.
        ballot: u64,
        /// The build.
        build: u16,
        /// Index of the stage that the router votes on.
        stage: u8,
        /// Choice of the router.
        choice: VoteChoice,
    },
}

/// A message from the release controller to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromController {
    /// Accepts the connection.
    Welcome,
    /// Refuses the connection or closes it with an error.
    Refused(Refused),
    /// The current state of the rollout, sent after `Welcome`, after each change and periodically.
    RolloutUpdate(RolloutUpdate),
    /// The result of a vote.
    Voted {
        /// Id of the vote.
        ballot: u64,
        /// Result of the vote.
        result: VoteResult,
    },
    /// Delivery statistics, one message per operation and build; sent only to a caller of version 2.
    Stats(DeliveryStats),
}
