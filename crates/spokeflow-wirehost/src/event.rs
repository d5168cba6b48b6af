//! The events of a router, decoded from records of the wire.

use spokeflow_core::{
    AttemptOutcome, BuildId, CommandId, ControllerStats, Endpoint, EndpointState, HostId, Key,
    ListKind, Micros, OpType, RolloutState, RolloutStatus, TenantId, VoteOutcome, ZoneId,
};
use spokeflow_settings::Settings;

use crate::error::{Problem, WireError};
use crate::field_reader::FieldReader;

/// Codes of records in a batch.
pub(crate) mod code {
    pub(crate) const START: u8 = 0;
    pub(crate) const LIST: u8 = 1;
    pub(crate) const COMMAND: u8 = 2;
    pub(crate) const RESPONSE_STARTED: u8 = 3;
    pub(crate) const OUTCOME: u8 = 4;
    pub(crate) const FINISH: u8 = 5;
    pub(crate) const TIMER: u8 = 6;
    pub(crate) const STOP: u8 = 9;
    pub(crate) const ROLLOUT: u8 = 10;
    pub(crate) const STATS: u8 = 11;
    pub(crate) const WRONG_ANSWER: u8 = 12;
    /// Defines a list that later records of the batch name by its number.
    pub(crate) const DEFINE_LIST: u8 = 13;
    /// Names the router that the next records are for.
    pub(crate) const FOR: u8 = 14;
}

/// Number of endpoint lists that can be defined, with numbers from 0.
pub(crate) const LIST_COUNT: usize = 16;

/// Result code of a request that succeeded.
const OK: u16 = 100;

/// Result codes of an attempt that was not acked.
mod attempt_result {
    pub(super) const ERROR: u16 = 301;
    pub(super) const REJECTED: u16 = 302;
    pub(super) const TIMED_OUT: u16 = 303;
    pub(super) const NOT_CONNECTED: u16 = 304;
    pub(super) const RESET: u16 = 305;
    pub(super) const CANCELLED: u16 = 306;
    pub(super) const NOT_SENT: u16 = 307;
}

/// Result codes of a vote that did not count. All other codes say that it was refused.
mod vote_result {
    pub(super) const RATE_LIMITED: u16 = 302;
    pub(super) const NO_RESPONSE: u16 = 303;
    pub(super) const STALE: u16 = 307;
}

/// Sizes in bytes of fields that are skipped.
const U8_SIZE: usize = 1;
const U16_SIZE: usize = 2;
const U32_SIZE: usize = 4;

/// The seed and the settings with which a router is started.
pub(crate) struct Start {
    pub(crate) seed: u64,
    pub(crate) settings: Settings,
}

/// An event of a router that has been started.
pub(crate) enum Event {
    /// The endpoint list defined under `number` was received.
    List {
        kind: ListKind,
        number: u8,
    },
    ListFailure,
    Command {
        cmd: CommandId,
        op: OpType,
        tenant: TenantId,
        key: Key,
        time_left: Micros,
    },
    ResponseStarted {
        cmd: CommandId,
        attempt: u8,
    },
    Outcome {
        cmd: CommandId,
        attempt: u8,
        host: HostId,
        outcome: AttemptOutcome,
        latency: Micros,
        is_answered: bool,
        load_report: Vec<f64>,
    },
    Finish(CommandId),
    Timer,
    Stop,
    Rollout {
        /// The outcome of a vote, if the record answers one.
        vote: Option<VoteOutcome>,
        /// The status, if the request for it succeeded.
        status: Option<RolloutStatus>,
    },
    WrongAnswer {
        host: HostId,
        age: Micros,
    },
    Stats(ControllerStats),
    /// A record that is not used: a message between routers, the result of a probe, or an unknown code of a later
    /// version of the wire.
    Ignored,
}

impl Start {
    pub(crate) fn read(fields: &mut FieldReader) -> Result<Start, WireError> {
        let seed = fields.u64()?;
        let length = fields.u32()? as usize;
        let text = fields.bytes(length)?;
        let settings = Settings::parse(text).map_err(|error| fields.error(error))?;
        Ok(Start { seed, settings })
    }
}

impl Event {
    pub(crate) fn read(code: u8, fields: &mut FieldReader) -> Result<Event, WireError> {
        match code {
            code::LIST => read_list(fields),
            code::COMMAND => read_command(fields),
            code::RESPONSE_STARTED => {
                let cmd = CommandId(fields.u32()?);
                fields.f64()?;
                let attempt = fields.u8()?;
                Ok(Event::ResponseStarted { cmd, attempt })
            }
            code::OUTCOME => read_outcome(fields),
            code::FINISH => Ok(Event::Finish(CommandId(fields.u32()?))),
            code::TIMER => {
                fields.skip(U32_SIZE)?;
                Ok(Event::Timer)
            }
            code::STOP => Ok(Event::Stop),
            code::ROLLOUT => read_rollout(fields),
            code::WRONG_ANSWER => {
                let host = HostId(fields.u32()?);
                let age = fields.time()?;
                fields.skip(U16_SIZE)?;
                Ok(Event::WrongAnswer { host, age })
            }
            code::STATS => read_stats(fields),
            _ => Ok(Event::Ignored),
        }
    }
}

fn read_list(fields: &mut FieldReader) -> Result<Event, WireError> {
    fields.skip(U32_SIZE)?;
    let number = fields.u8()?;
    let kind = match fields.u8()? {
        0 => ListKind::Changes,
        1 => ListKind::Complete,
        2 => return Ok(Event::ListFailure),
        3 => ListKind::Cached,
        other => return Err(fields.error(Problem::UnknownListMode(other))),
    };
    if usize::from(number) >= LIST_COUNT {
        return Err(fields.error(Problem::ListNumber(number)));
    }
    Ok(Event::List { kind, number })
}

fn read_command(fields: &mut FieldReader) -> Result<Event, WireError> {
    let cmd = CommandId(fields.u32()?);
    fields.skip(U8_SIZE)?;
    let tenant = TenantId(fields.u32()?);
    let op = OpType(fields.u16()?);
    fields.f64()?;
    let key = Key(fields.u64()?);
    let time_left = fields.time()?;
    Ok(Event::Command {
        cmd,
        op,
        tenant,
        key,
        time_left,
    })
}

fn read_outcome(fields: &mut FieldReader) -> Result<Event, WireError> {
    let cmd = CommandId(fields.u32()?);
    let attempt = fields.u8()?;
    let host = HostId(fields.u32()?);
    let outcome = read_attempt_outcome(fields)?;
    let latency = fields.time()?;
    let is_answered = fields.u8()? != 0;
    let load_report = fields.load_report()?;
    Ok(Event::Outcome {
        cmd,
        attempt,
        host,
        outcome,
        latency,
        is_answered,
        load_report,
    })
}

fn read_attempt_outcome(fields: &mut FieldReader) -> Result<AttemptOutcome, WireError> {
    Ok(match fields.u16()? {
        OK => AttemptOutcome::Acked,
        attempt_result::ERROR => AttemptOutcome::Error,
        attempt_result::REJECTED => AttemptOutcome::Rejected,
        attempt_result::TIMED_OUT => AttemptOutcome::TimedOut,
        attempt_result::NOT_CONNECTED => AttemptOutcome::NotConnected,
        attempt_result::RESET => AttemptOutcome::Reset,
        attempt_result::CANCELLED => AttemptOutcome::Cancelled,
        attempt_result::NOT_SENT => AttemptOutcome::NotSent,
        other => return Err(fields.error(Problem::UnknownResult(other))),
    })
}

fn read_rollout(fields: &mut FieldReader) -> Result<Event, WireError> {
    let build = BuildId(fields.u16()?);
    let stage = fields.u8()?;
    let state = match fields.u8()? {
        0 => RolloutState::Canary,
        1 => RolloutState::RollingBack,
        2 => RolloutState::Released,
        3 => RolloutState::Withdrawn,
        other => return Err(fields.error(Problem::UnknownRolloutState(other))),
    };
    let answers_vote = fields.u8()? == 1;
    let result = fields.u16()?;
    let status = RolloutStatus {
        build,
        stage,
        state,
        exposure_cap: fields.f32()?,
        age: fields.time()?,
    };
    Ok(Event::Rollout {
        vote: answers_vote.then(|| vote_outcome(result)),
        status: (result == OK).then_some(status),
    })
}

fn vote_outcome(result: u16) -> VoteOutcome {
    match result {
        OK => VoteOutcome::Counted,
        vote_result::RATE_LIMITED => VoteOutcome::RateLimited,
        vote_result::NO_RESPONSE => VoteOutcome::NoResponse,
        vote_result::STALE => VoteOutcome::Stale,
        _ => VoteOutcome::Refused,
    }
}

fn read_stats(fields: &mut FieldReader) -> Result<Event, WireError> {
    let sampled = fields.u32()?;
    let age = fields.time()?;
    let op = OpType(fields.u16()?);
    let build = BuildId(fields.u16()?);
    let mean_latency = fields.time()?;
    let failed = fields.u32()?;
    Ok(Event::Stats(ControllerStats {
        build,
        op,
        sampled,
        failed,
        mean_latency,
        age,
    }))
}

/// Reads one endpoint of a list that is being defined.
pub(crate) fn read_endpoint(fields: &mut FieldReader) -> Result<Endpoint, WireError> {
    let release = fields.f32()?;
    let cell = fields.u16()?;
    let zone = ZoneId(fields.u16()?);
    fields.skip(U8_SIZE)?;
    let state = match fields.u8()? {
        0 => EndpointState::Gone,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(fields.error(Problem::UnknownEndpointState(other))),
    };
    let size = fields.f32()?;
    let started_at = fields.time()?;
    Ok(Endpoint {
        host: HostId(fields.u32()?),
        build: build_of(release),
        cell,
        zone,
        state,
        // A size that is not positive stands for the usual size.
        size: if size > 0.0 { size } else { 1.0 },
        // 0 means that the time is not known.
        started_at: (started_at != 0).then_some(started_at),
    })
}

/// Returns the build that a release number names, or `None` (not known) if the number is out of range.
fn build_of(release: f64) -> Option<BuildId> {
    let builds = 0.0..65536.0;
    builds.contains(&release).then_some(BuildId(release as u16))
}
