//! What is to come, in the order of its time.

use std::cmp::Ordering;
use std::rc::Rc;

use spokeflow_engine::TransportFailure;
use spokeflow_proto::{FromList, VoteResult};
use spokeflow_scenario::observation::Process;
use spokeflow_scenario::release_controller::{ControllerVote, State};
use spokeflow_scenario::traffic::{PlannedCommand, TryEnd};
use spokeflow_scenario::Micros;

use crate::pair::Message;

#[derive(Clone)]
pub(super) enum HostWord {
    Deliver(Message),
    Cancel(u64),
    Ping,
}

#[derive(Clone, Copy)]
pub(super) enum RouterWord {
    Acked { delivery: u64, wrong: bool },
    Error(u64),
    Full(u64),
    Pong,
    Broken,
}

/// What is due. Each carries what tells it from one that has been overtaken.
#[derive(Clone)]
pub(super) enum What {
    Ask(PlannedCommand),
    Try(usize),
    AtRouter {
        tried: u64,
        left: Micros,
    },
    AtClient {
        tried: u64,
        end: TryEnd,
        receipt: u64,
    },
    Leaves {
        tried: u64,
    },
    LeaveAt {
        tried: u64,
        by: Process,
    },
    DisputedAt {
        by: Process,
        receipt: u64,
    },
    Wake {
        by: Process,
        at: Micros,
    },
    Lost {
        by: Process,
        host: u32,
        delivery: u64,
        end: TransportFailure,
    },
    ToHost {
        pair: usize,
        epoch: u32,
        word: HostWord,
    },
    FromHost {
        pair: usize,
        epoch: u32,
        word: RouterWord,
    },
    Connect {
        pair: usize,
        epoch: u32,
        fails: bool,
    },
    Silence {
        pair: usize,
        epoch: u32,
    },
    HostDue {
        seat: usize,
        incarnation: u64,
        at: Micros,
    },
    Boot(u32),
    Stop(u32),
    Revive(u32),
    Free(u32),
    BoardTick,
    ListAsk {
        by: Process,
        link: u32,
        have: Option<u64>,
    },
    ListTo {
        by: Process,
        link: u32,
        message: Rc<FromList>,
    },
    ListRenew {
        by: Process,
        link: u32,
    },
    ListOpen {
        by: Process,
        link: u32,
    },
    NewsTo {
        by: Process,
        state: State,
    },
    VoteAt {
        by: Process,
        ballot: u64,
        build: u16,
        stage: u8,
        verdict: ControllerVote,
    },
    VotedTo {
        by: Process,
        ballot: u64,
        result: VoteResult,
    },
    Told {
        by: Process,
        from: u32,
        text: Rc<Vec<u8>>,
    },
    DeskTick,
    SlowTick,
    Begin(usize),
    End(usize),
    Roll {
        routers: Rc<Vec<u32>>,
        nth: usize,
        down: Micros,
        apart: Micros,
    },
    Ended {
        router: u32,
        by: Process,
        asked: Micros,
        next: Option<(Rc<Vec<u32>>, usize, Micros, Micros)>,
    },
    Start {
        router: u32,
        then: Option<(Rc<Vec<u32>>, usize, Micros, Micros)>,
    },
}

pub(super) struct Due {
    pub(super) at: Micros,
    pub(super) seq: u64,
    pub(super) what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.seq == other.seq
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}
