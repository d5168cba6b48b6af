//! How long a connection waits for a request, and what ends the wait.

use std::time::Duration;

use spokeflow_http::Request;
use tokio::time::Instant;

use crate::connection_state::Activity;

/// A connection that has sent nothing whole for so long is closed: "a connection with no open request may be closed
/// after 2 s" (days in service).
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that had its answers and is used no more is closed, if room has not been wanted before: by the same term
/// it might be after 2 s, and a client that comes back finds it open for longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A first request that began within its time gets so much more to come whole, at the least.
const BEGUN_TIMEOUT: Duration = Duration::from_millis(500);
/// After idle connections are closed, a client that has just connected gets so much more to send its first request.
const CLOSING_GRACE: Duration = Duration::from_millis(100);

/// What ends a wait for a request.
pub(crate) enum Wake {
    Request(Request),
    /// A part of one, or nothing that ends the wait.
    Again,
    /// The client has closed the connection.
    End,
    /// The connection is to be closed, unless something of a request has come.
    Close,
}

/// The wait for a request: until when, and what has happened in it.
pub(crate) struct RequestWait {
    /// Whether an earlier request on the connection has had its answer.
    had_answer: bool,
    pub(crate) until: Instant,
    /// Something of a request has come, maybe only as far as the system.
    pub(crate) has_begun: bool,
    pub(crate) saw_closing: bool,
}

impl RequestWait {
    pub(crate) fn starting_now(had_answer: bool) -> Self {
        let limit = if had_answer {
            IDLE_TIMEOUT
        } else {
            FIRST_REQUEST_TIMEOUT
        };
        RequestWait {
            had_answer,
            until: Instant::now() + limit,
            has_begun: false,
            saw_closing: false,
        }
    }

    /// What the connection is doing before anything of the request has come.
    pub(crate) fn activity(&self) -> Activity {
        if self.had_answer {
            Activity::Idle
        } else {
            Activity::New
        }
    }

    /// Something of the request has been read.
    pub(crate) fn begin(&mut self) {
        self.has_begun = true;
        let now = Instant::now();
        self.until = if self.had_answer {
            now + FIRST_REQUEST_TIMEOUT
        } else {
            self.until.max(now + BEGUN_TIMEOUT)
        };
    }

    /// Something of the request has come when the connection was to be closed.
    pub(crate) fn cross_closing(&mut self) {
        self.has_begun = true;
        self.until = Instant::now() + BEGUN_TIMEOUT;
    }

    /// Idle connections are being closed.
    pub(crate) fn on_closing(&mut self) -> Wake {
        self.saw_closing = true;
        if self.had_answer {
            return Wake::Close;
        }
        // Whoever has just connected is about to send a request.
        self.until = self.until.min(Instant::now() + CLOSING_GRACE);
        Wake::Again
    }
}
