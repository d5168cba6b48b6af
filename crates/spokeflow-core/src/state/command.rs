//! Commands in flight and their deliveries.

use crate::{BuildId, Key, Micros};

/// One attempt to have a command executed at a host.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Index of the host in [`super::Hosts`].
    pub host: usize,
    /// The build that the host was listed with when the delivery was sent.
    pub build: BuildId,
    /// When the delivery was sent.
    pub sent_at: Micros,
    /// Whether the outcome is still unknown.
    pub open: bool,
    /// Whether the host may have executed the command; `true` while the delivery is open.
    pub may_have_run: bool,
    /// Whether the response has begun to arrive.
    pub response_started: bool,
}

impl Delivery {
    /// Creates an open delivery, sent at `sent_at`.
    pub fn new(host: usize, build: BuildId, sent_at: Micros) -> Self {
        Delivery {
            host,
            build,
            sent_at,
            open: true,
            may_have_run: true,
            response_started: false,
        }
    }
}

/// A command that has no final answer yet, or that still has an open delivery.
#[derive(Debug)]
pub struct Command {
    /// Index into the configured operations.
    pub operation: usize,
    /// The sticky key.
    pub key: Key,
    /// Index into the configured tenant quotas.
    pub tenant: usize,
    /// Position from 0 to 1 by the hash of the key, or of the command's id if it has no key; the
    /// canary takes the commands below its fraction.
    pub key_position: f64,
    /// When the command arrived.
    pub received_at: Micros,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Whether the command has its final answer, or its client has left.
    pub answered: bool,
    /// All deliveries so far, in the order in which they were sent.
    pub deliveries: Vec<Delivery>,
}

impl Command {
    /// Whether any delivery is open.
    pub fn has_open_delivery(&self) -> bool {
        self.deliveries.iter().any(|delivery| delivery.open)
    }

    /// Whether any host may have executed the command.
    pub fn may_have_run(&self) -> bool {
        self.deliveries.iter().any(|delivery| delivery.may_have_run)
    }

    /// Whether any delivery was sent to `host`.
    pub fn tried(&self, host: usize) -> bool {
        self.deliveries.iter().any(|delivery| delivery.host == host)
    }
}
