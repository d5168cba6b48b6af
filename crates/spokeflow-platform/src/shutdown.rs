//! Phases of the graceful shutdown, without I/O: what each phase still accepts, and when it ends.
//!
//! | phase | begins with | accepts | ends |
//! | --- | --- | --- | --- |
//! | serving | the start | everything | on SIGTERM |
//! | draining | SIGTERM | connections and commands; each answer closes its connection | after 0.5 s |
//! | closing | the end of draining | connections; commands are nacked, idle connections closed | at the abort time |
//! | aborted | the abort time | as in closing; all commands have been answered | once no client is connected |
//!
//! From `closing` on, the shutdown ends once no command is pending and no client has been connected for a short time.
//! That time lets the router see connections that the operating system has accepted, and requests written to them.

use std::time::Duration;

use tokio::time::Instant;

/// Time from SIGTERM for which new connections are accepted. In a planned restart, the load balancer in front goes on
/// sending new connections for 0.2 to 0.4 s.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Upper bound of the part of the longest deadline that the platform waits for: it sends SIGKILL
/// `min(longest deadline, LONGEST_DEADLINE) + KILL_MARGIN` after SIGTERM at the earliest.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time that the platform adds to the bounded longest deadline before it sends SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Part of the time before SIGKILL that is reserved for writing the last answers.
const LAST_WRITE_TIME: Duration = Duration::from_millis(200);
/// Time without pending commands and clients after which the shutdown ends: every connection that the operating system
/// had accepted has been seen by then.
const QUIET_TIME: Duration = Duration::from_millis(50);
/// Maximum time after the abort time for clients to read their answers.
const SLOW_READER_TIME: Duration = Duration::from_secs(5);

/// What the engine's task has to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nothing.
    Wait,
    /// Nack new commands and close connections without a pending command.
    Close,
    /// Answer all pending commands.
    AbortAll,
    /// End the process.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    Draining,
    Closing,
    Aborted,
}

/// The state of the shutdown.
pub(crate) struct Shutdown {
    phase: Phase,
    /// When `closing` begins; not valid before SIGTERM.
    close_at: Instant,
    /// When all pending commands are aborted; not valid before SIGTERM.
    abort_at: Instant,
    /// Since when no command has been pending and no client connected.
    quiet_since: Option<Instant>,
    /// Time from SIGTERM to the abort time.
    drain_time: Duration,
}

impl Shutdown {
    /// Creates the state before SIGTERM. `longest_deadline` is the longest command timeout.
    pub(crate) fn new(longest_deadline: Duration) -> Self {
        let drain_time = longest_deadline.min(LONGEST_DEADLINE) + KILL_MARGIN - LAST_WRITE_TIME;
        let unset = Instant::now();
        Shutdown {
            phase: Phase::Serving,
            close_at: unset,
            abort_at: unset,
            quiet_since: None,
            drain_time,
        }
    }

    /// Whether SIGTERM has been received.
    pub(crate) fn has_begun(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Begins the shutdown, on SIGTERM.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.phase = Phase::Draining;
        self.close_at = now + ACCEPT_TIME;
        self.abort_at = now + self.drain_time;
    }

    /// Advances the phases. `waiting` is the number of pending commands, `clients` that of connected clients.
    pub(crate) fn step(&mut self, now: Instant, waiting: usize, clients: usize) -> Step {
        match self.phase {
            Phase::Serving => return Step::Wait,
            Phase::Draining if now < self.close_at => return Step::Wait,
            Phase::Draining => {
                self.phase = Phase::Closing;
                return Step::Close;
            }
            Phase::Closing if now >= self.abort_at => {
                self.phase = Phase::Aborted;
                return Step::AbortAll;
            }
            Phase::Closing | Phase::Aborted => {}
        }
        if waiting > 0 || clients > 0 {
            self.quiet_since = None;
            let has_timed_out =
                self.phase == Phase::Aborted && now >= self.abort_at + SLOW_READER_TIME;
            return if has_timed_out { Step::End } else { Step::Wait };
        }
        let is_quiet = now - *self.quiet_since.get_or_insert(now) >= QUIET_TIME;
        if is_quiet {
            Step::End
        } else {
            Step::Wait
        }
    }

    /// Returns when [`Shutdown::step`] is to be called again at the latest; `None` if not before another event.
    pub(crate) fn next_check(&self, now: Instant) -> Option<Instant> {
        match self.phase {
            Phase::Serving => None,
            Phase::Draining => Some(self.close_at),
            Phase::Closing | Phase::Aborted => Some(now + QUIET_TIME / 5),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/shutdown.rs"]
mod tests;
