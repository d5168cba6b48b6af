//! Event is to come, in the order of its time.

use std::cmp::Ordering;
use std::rc::Rc;

use spokeflow_engine::TransportFailure;
use spokeflow_proto::{FromList, VoteResult};
use spokeflow_scenario::observation::Process;
use spokeflow_scenario::release_controller::{ControllerVote, RolloutStatus};
use spokeflow_scenario::traffic::{AttemptEnd, PlannedCommand};
use spokeflow_scenario::Micros;

use crate::host_link::Message;

#[derive(Clone)]
pub(super) enum HostMessage {
    Deliver(Message),
    Cancel(u64),
    Ping,
}

#[derive(Clone, Copy)]
pub(super) enum RouterMessage {
    Acked { delivery: u64, wrong: bool },
    Error(u64),
    Full(u64),
    Pong,
    Broken,
}

/// Event is due. Each carries what tells it from one that has been overtaken.
#[derive(Clone)]
pub(super) enum Event {
    CommandDue(PlannedCommand),
    RetryDue(usize),
    CommandAtRouter {
        tried: u64,
        left: Micros,
    },
    AnswerAtClient {
        tried: u64,
        end: AttemptEnd,
        receipt: u64,
    },
    ClientLeaves {
        tried: u64,
    },
    AbandonAtRouter {
        tried: u64,
        by: Process,
    },
    WrongAnswerAtRouter {
        by: Process,
        receipt: u64,
    },
    RouterTimer {
        by: Process,
        at: Micros,
    },
    DeliveryFailed {
        by: Process,
        host: u32,
        delivery: u64,
        end: TransportFailure,
    },
    MessageAtHost {
        pair: usize,
        epoch: u32,
        word: HostMessage,
    },
    MessageAtRouter {
        pair: usize,
        epoch: u32,
        word: RouterMessage,
    },
    ConnectEnds {
        pair: usize,
        epoch: u32,
        fails: bool,
    },
    SilenceCheck {
        pair: usize,
        epoch: u32,
    },
    HostTimer {
        seat: usize,
        incarnation: u64,
        at: Micros,
    },
    HostStarts(u32),
    HostStops(u32),
    HostRestarts(u32),
    SlotFreed(u32),
    RegistryTick,
    ListRequest {
        by: Process,
        link: u32,
        have: Option<u64>,
    },
    ListAtRouter {
        by: Process,
        link: u32,
        message: Rc<FromList>,
    },
    ListReconnects {
        by: Process,
        link: u32,
    },
    ListConnected {
        by: Process,
        link: u32,
    },
    RolloutAtRouter {
        by: Process,
        state: RolloutStatus,
    },
    VoteAtController {
        by: Process,
        ballot: u64,
        build: u16,
        stage: u8,
        verdict: ControllerVote,
    },
    VoteResultAtRouter {
        by: Process,
        ballot: u64,
        result: VoteResult,
    },
    GossipAtRouter {
        by: Process,
        from: u32,
        text: Rc<Vec<u8>>,
    },
    ControllerTick,
    SlowTick,
    FaultBegins(usize),
    FaultEnds(usize),
    RouterRoll {
        routers: Rc<Vec<u32>>,
        nth: usize,
        down: Micros,
        apart: Micros,
    },
    RouterEnds {
        router: u32,
        by: Process,
        asked: Micros,
        next: Option<(Rc<Vec<u32>>, usize, Micros, Micros)>,
    },
    RouterStarts {
        router: u32,
        then: Option<(Rc<Vec<u32>>, usize, Micros, Micros)>,
    },
}

pub(super) struct ScheduledEvent {
    pub(super) at: Micros,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
