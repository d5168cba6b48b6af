//! The link to the host list. The router watches the list, and renews the watch when no message has arrived for a while.

use std::time::Duration;

use spokeflow_engine::Input;
use spokeflow_proto::{FrameError, FromList, Hello, ToList, LIST_LIMIT};
use tokio::sync::mpsc;
use tracing::warn;

use crate::cached_list::CachedList;
use crate::links::{LinkProtocol, LIST_LINK};

/// Number of renewals in a row without any message after which the connection is closed and opened again.
const MAX_UNANSWERED: u32 = 3;

/// The protocol of the [`crate::links::ServiceLink`] to the host list.
pub(crate) struct ListProtocol {
    /// Time without a message after which the watch is renewed.
    renewal_interval: Duration,
    /// The cache of the list; `None`: the list is not cached.
    cached: Option<CachedList>,
    /// Version of the list that was received last.
    version: Option<u64>,
    /// Renewals since the last message.
    unanswered: u32,
}

impl ListProtocol {
    /// `renewal_interval`: time without a message after which the watch is renewed.
    pub(crate) fn new(renewal_interval: Duration, cached: Option<CachedList>) -> Self {
        ListProtocol {
            renewal_interval,
            cached,
            version: None,
            unanswered: 0,
        }
    }

    fn watch(&self) -> ToList {
        ToList::Watch { have: self.version }
    }
}

impl LinkProtocol for ListProtocol {
    type Incoming = FromList;
    type Outgoing = ToList;

    const LINK: u64 = LIST_LINK;
    const FRAME_LIMIT: usize = LIST_LIMIT;

    fn hello(&self, hello: Hello) -> ToList {
        ToList::Hello(hello)
    }

    fn is_welcome(message: &FromList) -> bool {
        matches!(message, FromList::Welcome)
    }

    fn on_connected(&mut self, queue: &mut mpsc::Receiver<ToList>) {
        // Requests that were queued for the previous connection are replaced by the watch that is sent first.
        while queue.try_recv().is_ok() {}
        self.unanswered = 0;
    }

    fn first_message(&self) -> Option<ToList> {
        Some(self.watch())
    }

    fn on_message(&mut self, message: FromList) -> Input {
        self.unanswered = 0;
        if let FromList::Complete { version, .. } | FromList::Changes { version, .. } = &message {
            self.version = Some(*version);
        }
        if let Some(cached) = &mut self.cached {
            cached.update(&message);
        }
        Input::FromList(message)
    }

    fn silence_timeout(&self) -> Option<Duration> {
        Some(self.renewal_interval)
    }

    fn on_silence(&mut self) -> Result<ToList, FrameError> {
        self.unanswered += 1;
        if self.unanswered > MAX_UNANSWERED {
            return Err(FrameError::TooSlow);
        }
        Ok(self.watch())
    }

    fn on_lost(&mut self, _queue: &mut mpsc::Receiver<ToList>) -> Input {
        Input::ListUnavailable
    }

    fn log_lost(&self, failures: u32, error: &FrameError) {
        warn!(failures, %error, "list link lost");
    }
}
