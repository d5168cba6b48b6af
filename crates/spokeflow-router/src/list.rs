//! The link to the host list: the router watches it, and renews the watch where nothing comes.

use std::time::Duration;

use spokeflow_engine::Input;
use spokeflow_proto::{FrameError, FromList, Hello, ToList, LIST_LIMIT};
use tokio::sync::mpsc;
use tracing::warn;

use crate::cached_list::CachedList;
use crate::links::{LinkProtocol, LIST_LINK};

/// Renewals of the watch without any message, after which the connection is opened anew.
const MAX_UNANSWERED: u32 = 3;

/// The host list's side of a [`crate::links::ServiceLink`].
pub(crate) struct ListProtocol {
    renew: Duration,
    /// The list as it was received last, where it is kept in a file.
    cached: Option<CachedList>,
    /// The version that was received last.
    version: Option<u64>,
    unanswered: u32,
}

impl ListProtocol {
    /// `renew`: after how long without a message the watch is renewed.
    pub(crate) fn new(renew: Duration, cached: Option<CachedList>) -> Self {
        ListProtocol {
            renew,
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
        // What was requested of the previous connection is requested anew by the watch.
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
        Some(self.renew)
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
