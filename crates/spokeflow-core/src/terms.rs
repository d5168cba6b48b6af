//! What is read at start and what is told later, in the words of the trade.

use crate::{BuildId, HostId, Micros, OpType, ZoneId};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Redeliverable,
    Deduplicated,
    AtMostOnce,
}

/// Which hosts drop the repeat of a deduplicated command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatScope {
    All,
    Zone,
    Cell,
    /// Not said: only the same host counts.
    Unknown,
}

#[derive(Clone, Debug)]
pub struct OpTerms {
    pub repeat: Repeat,
    pub repeat_scope: RepeatScope,
    pub repeat_memory: Micros,
    pub service_target: Micros,
    pub command_timeout: Micros,
    pub importance: f64,
    pub streamed: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Gate {
    #[default]
    Single,
    Majority,
    Clocked,
}

/// What a deployment promises and allows, as told when a router starts.
#[derive(Clone, Debug)]
pub struct ServiceTerms {
    pub ops: Vec<OpTerms>,
    /// What each customer may send a second, all routers together; above 0.
    pub shares: Vec<f64>,
    pub own_zone: ZoneId,
    pub own_index: u32,
    pub fleet_size: u32,
    pub tick: Micros,
    pub list_must_be_asked: bool,
    pub list_ask_within: Micros,
    pub delivery_cap: u32,
    pub side_by_side: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_tell: bool,
    pub may_name_return: bool,
    pub longest_return: Micros,
    pub drain_grace: Micros,
    pub cold_from: f64,
    pub warm_within: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
    pub gate: Gate,
    pub stage_caps: Vec<f64>,
    pub stage_shares: Vec<f64>,
    pub exposure_free: f64,
    pub exposure_span: Micros,
    pub exposure_by_op: bool,
    pub guarded_stages: u8,
    pub forward_only: bool,
    pub rolling: bool,
    pub stage_bake: Micros,
    pub vote_life: Micros,
    pub vote_wait: Micros,
    pub complaint_share: f64,
    /// Routers whose votes send a build back; infinite where that is not told.
    pub back_votes: u32,
    /// Votes that the desk takes a second from all routers together; 0 where that is not told.
    pub votes_a_second: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    Gone,
    Ready,
    Draining,
}

/// One line of the host list.
#[derive(Clone, Copy, Debug)]
pub struct HostLine {
    pub host: HostId,
    /// `None` where the list does not say.
    pub build: Option<BuildId>,
    pub cell: u16,
    pub zone: ZoneId,
    pub phase: HostPhase,
    /// Its capacity against other hosts', in any unit; above 0, and 1 where the list does not say.
    pub size: f64,
    /// When the process last started; `None` for long ago.
    pub started: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Whole,
    /// What a router still had when it started: may be old.
    Remembered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryEnd {
    Acked,
    Error,
    Full,
    TimedOut,
    NotConnected,
    Reset,
    Cancelled,
    NotSent,
}

impl DeliveryEnd {
    /// Whether a delivery that ended so may have had its effect.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            DeliveryEnd::Full | DeliveryEnd::NotConnected | DeliveryEnd::NotSent
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

/// The desk's news on the newest build.
#[derive(Clone, Copy, Debug)]
pub struct StageNews {
    pub build: BuildId,
    pub stage: u8,
    pub standing: Standing,
    pub cap: f64,
    /// How long this state had stood when the news came.
    pub age: Micros,
}

/// What the desk counted of one op type at one build, in a sample of all routers' deliveries over a past period.
#[derive(Clone, Copy, Debug)]
pub struct DeskCount {
    pub build: BuildId,
    pub op: OpType,
    pub sampled: u32,
    /// Those that did not end with an ack.
    pub lost: u32,
    /// Mean time of the others.
    pub mean: Micros,
    /// How long ago the period ended.
    pub age: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteAnswer {
    Counted,
    /// Not the present build or stage, or no such verdict here.
    Moot,
    TooMany,
    Refused,
    /// No answer in time: it may count.
    Silence,
}
