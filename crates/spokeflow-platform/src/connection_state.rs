//! What a client's connection is doing, for the choice of one to close when another needs its place.

use std::sync::atomic::{AtomicI64, AtomicU8, Ordering};

use spokeflow_core::Micros;
use spokeflow_runtime::Clock;
use tokio::sync::Notify;

/// In the order in which connections are closed where another needs their place; one that is served never is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Activity {
    /// Nothing has come since it was accepted.
    New,
    /// Its requests have had their answers.
    Idle,
    /// A part of a request has come.
    Receiving,
    /// A command of it is owed an answer.
    Serving,
}

/// Shared by the acceptor and the task of one connection.
pub(crate) struct ConnectionState {
    activity: AtomicU8,
    /// Since when, by the clock of the process.
    since: AtomicI64,
    /// Requests the task to close the connection, if it can.
    pub(crate) close_requested: Notify,
}

impl ConnectionState {
    pub(crate) fn new(now: Micros) -> Self {
        ConnectionState {
            activity: AtomicU8::new(Activity::New as u8),
            since: AtomicI64::new(now),
            close_requested: Notify::new(),
        }
    }

    pub(crate) fn set(&self, activity: Activity, clock: &Clock) {
        self.activity.store(activity as u8, Ordering::Relaxed);
        self.since.store(clock.now(), Ordering::Relaxed);
    }

    /// The lowest is closed first; `None` while a command is served.
    pub(crate) fn close_priority(&self) -> Option<(u8, Micros)> {
        let activity = self.activity.load(Ordering::Relaxed);
        let since = self.since.load(Ordering::Relaxed);
        (activity != Activity::Serving as u8).then_some((activity, since))
    }
}
