//! The activity of a client's connection, which decides which one is closed when a new one needs its place.

use std::sync::atomic::{AtomicI64, AtomicU8, Ordering};

use spokeflow_core::Micros;
use spokeflow_runtime::Clock;
use tokio::sync::Notify;

/// What a connection is doing. Connections are closed in the order of the variants when a new one needs their place;
/// one that is `Serving` or `Closing` is never closed for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    /// It has been requested to close, or its client is being refused. That takes time, since the client has to read the
    /// refusal.
    Closing,
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

    /// Returns the key by which connections are chosen for closing, lowest first; `None` while a command is pending, and
    /// once the connection is closing.
    pub(crate) fn close_priority(&self) -> Option<(u8, Micros)> {
        let activity = self.activity.load(Ordering::Relaxed);
        let since = self.since.load(Ordering::Relaxed);
        (activity < Activity::Serving as u8).then_some((activity, since))
    }

    /// Whether the connection is closing.
    pub(crate) fn is_closing(&self) -> bool {
        self.activity.load(Ordering::Relaxed) == Activity::Closing as u8
    }

    /// Requests the task to close the connection.
    pub(crate) fn request_close(&self, clock: &Clock) {
        self.set(Activity::Closing, clock);
        self.close_requested.notify_one();
    }
}
