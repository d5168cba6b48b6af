//! The activity of a client's connection, which decides which one is closed when a new one needs its place.

use std::sync::atomic::{AtomicI64, AtomicU8, Ordering};

use spokeflow_core::Micros;
use spokeflow_runtime::Clock;
use tokio::sync::Notify;

/// What a connection is doing. Connections are closed in the order of the variants when a new one needs their place;
/// one that is `Serving` is never closed for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Activity {
    /// It has sent nothing since it was accepted.
    New,
    /// All its requests have been answered.
    Idle,
    /// It has sent a part of a request.
    Receiving,
    /// It has a pending command.
    Serving,
}

/// State that the acceptor shares with the task of one connection.
pub(crate) struct ConnectionState {
    activity: AtomicU8,
    /// When the activity began, in microseconds by the clock of the process.
    since: AtomicI64,
    /// Notified to request the task to close the connection, if no command is pending.
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

    /// Returns the key by which connections are chosen for closing, lowest first; `None` while a command is pending.
    pub(crate) fn close_priority(&self) -> Option<(u8, Micros)> {
        let activity = self.activity.load(Ordering::Relaxed);
        let since = self.since.load(Ordering::Relaxed);
        (activity != Activity::Serving as u8).then_some((activity, since))
    }
}
