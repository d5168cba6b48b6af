//! What the router keeps in mind, without judgement: figures about op types, commands and keys; `hosts` has those about hosts.

mod hosts;
mod pool;
mod ready;
mod window;

pub use hosts::{Hosts, StartSpans};
pub use pool::Pool;
pub use ready::{Member, ReadyHosts, RecentStarts};
pub use window::Window;

use crate::{BuildId, DeduplicationScope, Gate, Key, Micros, OperationConfig, Repeat};

pub struct OpRules {
    pub repeat: Repeat,
    pub scope: DeduplicationScope,
    pub memory: Micros,
    pub target: f64,
    /// Mean logarithm of the time to an answer and how many it rests on; learned only while none is on trial.
    pub usual: f64,
    pub usual_seen: u32,
    /// Acks of the last second or so, fading.
    pub acks: f64,
    /// Median time to an answer over the service target, as a logarithm.
    pub strain: f64,
    /// Deliveries out.
    pub out: u32,
    /// Of the desk's counts at earlier builds, fading: those with an answer, and their seconds.
    pub counted: [f64; 2],
    /// The share lost there, which rises at once and sinks slowly.
    pub counted_lost: f64,
    /// Mean seconds that the desk counted before the trial.
    pub counted_usual: f64,
}

impl OpRules {
    pub fn new(op: &OperationConfig) -> Self {
        OpRules {
            repeat: op.repeat,
            scope: op.deduplication_scope,
            memory: op.deduplication_window,
            target: op.latency_objective as f64,
            usual: 0.0,
            usual_seen: 0,
            acks: 0.0,
            strain: f64::NEG_INFINITY,
            out: 0,
            counted: [0.0; 2],
            counted_lost: 0.0,
            counted_usual: 0.0,
        }
    }
}

pub struct Delivery {
    pub host: usize,
    pub build: BuildId,
    pub sent: Micros,
    pub open: bool,
    pub may_have_run: bool,
    pub started: bool,
}

pub struct Command {
    pub op: usize,
    pub key: Key,
    pub share: usize,
    pub place: f64,
    pub taken: Micros,
    pub until: Micros,
    pub ended: bool,
    pub deliveries: Vec<Delivery>,
}

#[derive(Default)]
pub struct Pin {
    pub build: BuildId,
    pub used: Micros,
    /// The newest build that has answered this key: under one-way rules no way leads below it.
    pub answered_by: Option<BuildId>,
    /// The newest build at which it is out: that may answer at any time. And how many deliveries are.
    pub claimed_by: Option<BuildId>,
    pub claims: u32,
}

/// The told terms as decisions use them.
#[derive(Default)]
pub struct Figures {
    pub shares: Vec<f64>,
    pub fleet: f64,
    pub delivery_cap: usize,
    pub side_by_side: bool,
    pub may_cancel: bool,
    pub longest_return: Option<Micros>,
    pub cold_from: f64,
    pub warm_within: Micros,
    pub starts: StartSpans,
    pub fall_span: Micros,
    pub cold_part: f64,
    pub gate: Gate,
    pub first_cap: f64,
    pub stage_shares: Vec<f64>,
    pub free: f64,
    pub span: Micros,
    pub by_op: bool,
    pub guarded_stages: u8,
    pub one_way: bool,
    pub rolling: bool,
    pub go_wait: Micros,
    /// Commands a second of a router of mean traffic; how long the desk takes for all votes.
    pub even: f64,
    pub vote_span: f64,
    pub vote_life: Micros,
    pub vote_wait: Micros,
    /// Less than 1 where so few routers send a build back that the hastiest would decide for all.
    pub few: f64,
    pub complaint_weight: f64,
    pub wrong_margin: f64,
}
