//! Scheduled events.

use std::cmp::Ordering;
use std::rc::Rc;

use spokeflow_engine::TransportFailure;
use spokeflow_proto::{FromList, VoteResult};
use spokeflow_scenario::observation::Process;
use spokeflow_scenario::release_controller::{ControllerVote, RolloutStatus};
use spokeflow_scenario::traffic::{AttemptEnd, PlannedCommand};
use spokeflow_scenario::Micros;

use crate::host_link::DeliveryMessage;

/// A message from a router to a host.
#[derive(Clone)]
pub(super) enum HostMessage {
    Deliver(DeliveryMessage),
    Cancel(u64),
    Ping,
}

/// A message from a host to a router.
#[derive(Clone, Copy)]
pub(super) enum RouterMessage {
    Acked {
        delivery: u64,
        wrong: bool,
    },
    Error(u64),
    Full(u64),
    Pong,
    /// The connection was closed by the end of the host process.
    Closed,
}

/// The rest of a rolling restart of routers.
#[derive(Clone)]
pub(super) struct RollingRestart {
    /// All routers of the restart, in order.
    pub(super) routers: Rc<Vec<u32>>,
    /// Index in `routers` of the next one to shut down.
    pub(super) next_index: usize,
    /// How long each router is down.
    pub(super) down_for: Micros,
    /// Time from the end of one router to the shutdown of the next, at least `down_for`.
    pub(super) interval: Micros,
}

/// What happens when an event is due. Variants carry the process, epoch, incarnation or time that tells whether the
/// event is still valid: one for an earlier process or connection, or a timer that was replaced, is dropped.
#[derive(Clone)]
pub(super) enum Event {
    CommandDue(PlannedCommand),
    RetryDue(usize),
    CommandAtRouter {
        attempt: u64,
        time_left: Micros,
    },
    AnswerAtClient {
        attempt: u64,
        end: AttemptEnd,
        receipt: u64,
    },
    ClientLeaves {
        attempt: u64,
    },
    AbandonAtRouter {
        attempt: u64,
        process: Process,
    },
    WrongAnswerAtRouter {
        process: Process,
        receipt: u64,
    },
    RouterTimer {
        process: Process,
        at: Micros,
    },
    DeliveryFailed {
        process: Process,
        host: u32,
        delivery: u64,
        failure: TransportFailure,
    },
    MessageAtHost {
        link_id: usize,
        epoch: u32,
        message: HostMessage,
    },
    MessageAtRouter {
        link_id: usize,
        epoch: u32,
        message: RouterMessage,
    },
    ConnectEnds {
        link_id: usize,
        epoch: u32,
        fails: bool,
    },
    SilenceCheck {
        link_id: usize,
        epoch: u32,
    },
    HostTimer {
        slot: usize,
        incarnation: u64,
        at: Micros,
    },
    HostStarts(u32),
    HostStops(u32),
    HostRestarts(u32),
    SlotFreed(u32),
    RegistryTick,
    ListRequest {
        process: Process,
        connection: u32,
        have: Option<u64>,
    },
    ListAtRouter {
        process: Process,
        connection: u32,
        message: Rc<FromList>,
    },
    ListRefreshDue {
        process: Process,
        connection: u32,
    },
    ListConnectDue {
        process: Process,
        connection: u32,
    },
    RolloutAtRouter {
        process: Process,
        status: RolloutStatus,
    },
    VoteAtController {
        process: Process,
        ballot: u64,
        build: u16,
        stage: u8,
        vote: ControllerVote,
    },
    VoteResultAtRouter {
        process: Process,
        ballot: u64,
        result: VoteResult,
    },
    GossipAtRouter {
        process: Process,
        from: u32,
        text: Rc<Vec<u8>>,
    },
    ControllerTick,
    FleetTick,
    FaultBegins(usize),
    FaultEnds(usize),
    /// The next router of a rolling restart is shut down.
    RouterRoll(RollingRestart),
    RouterEnds {
        router: u32,
        process: Process,
        shutdown_at: Micros,
        next: Option<RollingRestart>,
    },
    RouterStarts {
        router: u32,
        next: Option<RollingRestart>,
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
