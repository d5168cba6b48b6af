//! Commands in flight and their deliveries.

use crate::{BuildId, Key, Micros};

/// One attempt to have a command executed at a host.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Index of the host in [`super::Hosts`].
    pub host: usize,
    /// The build that the host was listed with when the delivery was sent.
    pub build: BuildId,
    /// When it was sent.
    pub sent_at: Micros,
    /// Its outcome is not known yet.
    pub open: bool,
    /// The host may have executed it.
    pub may_have_run: bool,
    /// The response has begun to arrive.
    pub response_started: bool,
}

impl Delivery {
    /// A delivery that goes out now.
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

/// A command whose final answer or whose last delivery is outstanding.
#[derive(Debug)]
pub struct Command {
    /// Index into the configured operations.
    pub operation: usize,
    /// What the command is about.
    pub key: Key,
    /// Index into the configured tenant quotas.
    pub tenant: usize,
    /// Position from 0 to 1 by the hash of the key; the canary takes the keys below its fraction.
    pub key_position: f64,
    /// When the command arrived.
    pub received_at: Micros,
    /// When the client gives up.
    pub deadline: Micros,
    /// The final answer has been given.
    pub answered: bool,
    /// All deliveries so far, in the order they were sent.
    pub deliveries: Vec<Delivery>,
}

impl Command {
    /// Whether any delivery is open.
    pub fn has_open_delivery(&self) -> bool {
        self.deliveries.iter().any(|delivery| delivery.open)
    }

    /// Whether any delivery may have been executed.
    pub fn may_have_run(&self) -> bool {
        self.deliveries.iter().any(|delivery| delivery.may_have_run)
    }

    /// Whether any delivery went to a host.
    pub fn tried(&self, host: usize) -> bool {
        self.deliveries.iter().any(|delivery| delivery.host == host)
    }
}
