//! The link between routers and the release controller.

use serde::{Deserialize, Serialize};

use crate::{Hello, Refused};

/// Where the rollout of a build has got to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// It gets part of the traffic.
    Canary,
    /// It is being taken back.
    RollingBack,
    /// It may get all traffic.
    Released,
    /// It was taken back.
    Withdrawn,
}

/// The state of the rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The build.
    pub build: u16,
    /// Index of its stage.
    pub stage: u8,
    /// Where it has got to.
    pub phase: RolloutPhase,
    /// The fraction of traffic that it may get, 0 to 1.
    pub exposure_cap: f32,
    /// Microseconds that this had been so when it was sent.
    pub age_us: u64,
}

/// What a router votes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteChoice {
    /// Takes an earlier vote back.
    Abstain,
    /// The next stage.
    Promote,
    /// To stay in this stage.
    Hold,
    /// To take the build back.
    RollBack,
}

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteResult {
    /// It counts.
    Counted,
    /// Not the present build or stage, or no such choice here.
    Stale,
    /// The release controller gets too many votes.
    RateLimited,
    /// It does not count, for another reason.
    Refused,
}

/// One operation at one build, in a sample of all routers' deliveries over a past period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliveryStats {
    /// The build.
    pub build: u16,
    /// Index of the operation.
    pub op: u16,
    /// Deliveries in the sample.
    pub sampled: u32,
    /// Those that did not end with an ack.
    pub failed: u32,
    /// Mean microseconds of the others.
    pub mean_us: u64,
    /// Microseconds since the period ended.
    pub age_us: u64,
}

/// From a router to the release controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToController {
    /// Opens the connection.
    Hello(Hello),
    /// A vote on the rollout of a build.
    Vote {
        /// The router's number of the vote, to be returned with the result.
        ballot: u64,
        /// The build.
        build: u16,
        /// The stage that the router knows it in.
        stage: u8,
        /// What is voted for.
        choice: VoteChoice,
    },
}

/// From the release controller to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromController {
    /// The connection is open.
    Welcome,
    /// The connection is closed.
    Refused(Refused),
    /// Sent after `Welcome`, after each change and from time to time.
    RolloutUpdate(RolloutUpdate),
    /// The result of a vote.
    Voted {
        /// The router's number of the vote.
        ballot: u64,
        /// What became of it.
        result: VoteResult,
    },
    /// One message for each operation and build; only to a caller of version 2.
    Stats(DeliveryStats),
}
