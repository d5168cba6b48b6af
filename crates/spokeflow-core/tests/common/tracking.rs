//! The rule checker's records of commands, deliveries, votes and hosts.

use super::*;

/// One delivery that the router sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentDelivery {
    pub(crate) host: HostId,
    pub(crate) at: Micros,
    pub(crate) open: bool,
    pub(super) may_have_run: bool,
}

/// A command that was sent to the router.
#[derive(Clone, Debug)]
pub(crate) struct TrackedCommand {
    pub(crate) operation: usize,
    pub(crate) key: Key,
    pub(crate) deadline: Micros,
    pub(crate) answered: bool,
    pub(crate) deliveries: Vec<SentDelivery>,
}

impl TrackedCommand {
    pub(super) fn may_have_run(&self) -> bool {
        self.deliveries.iter().any(|delivery| delivery.may_have_run)
    }
}

/// A vote that the router cast.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CastVote {
    pub(crate) build: BuildId,
    pub(crate) stage: u8,
    pub(crate) vote: RolloutVote,
}

/// A nack that the router answered with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Nack {
    pub(crate) command: CommandId,
    pub(crate) retry_after: Option<Micros>,
}

/// A command in the exposure windows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Received {
    pub(super) at: Micros,
    pub(super) slot: usize,
}

/// A delivery to a build on trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exposed {
    pub(super) at: Micros,
    pub(super) slot: usize,
    pub(super) build: BuildId,
}

/// Deliveries of a host's present process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SinceStart {
    pub(super) in_flight: u32,
    pub(super) acked: u32,
}
