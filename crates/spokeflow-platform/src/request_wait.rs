//! The wait of a client's connection for a request: how long it lasts and what ends it.

use std::time::Duration;

use spokeflow_http::HttpError;
use tokio::time::Instant;

use crate::client_request::ClientRequest;
use crate::connection_state::Activity;

/// Time for the first request on a connection to arrive whole, and for a later one once a part of it has arrived; after
/// it the connection is closed. The platform lets a router close a connection with no open request after 2 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the next request on a connection whose requests have been answered; after it the connection is closed, or
/// earlier if a new connection needs its place. The platform allows closing after 2 s; a longer time lets more clients
/// find their connection still open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum time for a first request to arrive whole once a part of it has arrived, and the time for one that begins to
/// arrive when the connection is about to be closed.
const BEGUN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a new client to send its first request after the shutdown has begun to close idle connections.
const CLOSING_GRACE: Duration = Duration::from_millis(100);

/// What ends a wait for a request.
pub(crate) enum Wake {
    Request(ClientRequest),
    /// The wait goes on: a part of a request arrived, or the deadline has changed.
    Continue,
    /// The client has closed the connection.
    Disconnected,
    /// The connection is to be closed, unless a part of a request has arrived.
    Close,
}

/// The state of one wait for a request.
pub(crate) struct RequestWait {
    /// Whether an earlier request on the connection has had its answer.
    has_had_answer: bool,
    /// Deadline of the wait.
    pub(crate) until: Instant,
    /// Whether a part of a request has arrived; it may still be unread in the operating system's buffer.
    pub(crate) has_begun: bool,
    /// Whether [`RequestWait::on_closing`] has been called.
    pub(crate) has_seen_closing: bool,
}

impl RequestWait {
    pub(crate) fn starting_now(has_had_answer: bool) -> Self {
        let limit = if has_had_answer {
            IDLE_TIMEOUT
        } else {
            FIRST_REQUEST_TIMEOUT
        };
        RequestWait {
            has_had_answer,
            until: Instant::now() + limit,
            has_begun: false,
            has_seen_closing: false,
        }
    }

    /// Returns the activity of the connection before any part of the request has arrived.
    pub(crate) fn activity(&self) -> Activity {
        if self.has_had_answer {
            Activity::Idle
        } else {
            Activity::New
        }
    }

    /// Notes that a part of the request has been read.
    pub(crate) fn begin(&mut self) {
        self.has_begun = true;
        let now = Instant::now();
        self.until = if self.has_had_answer {
            now + FIRST_REQUEST_TIMEOUT
        } else {
            self.until.max(now + BEGUN_TIMEOUT)
        };
    }

    /// Whether the deadline is over.
    pub(crate) fn is_over(&self) -> bool {
        Instant::now() >= self.until
    }

    /// Ends the wait at its deadline. `has_part`: whether a part of the request has been read.
    ///
    /// # Errors
    ///
    /// The request has not been received whole.
    pub(crate) fn close_or_refuse(&self, has_part: bool) -> Result<Wake, HttpError> {
        if has_part {
            return Err(HttpError::Unreadable("request not received whole in time"));
        }
        Ok(Wake::Close)
    }

    /// Notes that a part of the request arrived when the connection was to be closed.
    pub(crate) fn begin_instead_of_closing(&mut self) {
        self.has_begun = true;
        self.until = Instant::now() + BEGUN_TIMEOUT;
    }

    /// Handles the shutdown's request to close idle connections.
    pub(crate) fn on_closing(&mut self) -> Wake {
        self.has_seen_closing = true;
        if self.has_had_answer {
            return Wake::Close;
        }
        // A client that has just connected is about to send a request.
        self.until = self.until.min(Instant::now() + CLOSING_GRACE);
        Wake::Continue
    }
}
