//! One router's connection to one host, with the rules of `spokeflow-router`: it is opened when there is a delivery
//! to send, reopened with exponential backoff, and closed when the host does not answer a ping.

use spokeflow_scenario::{Micros, MS, SECOND};

// These constants equal the defaults of the router's flags.
pub(crate) const CONNECT_TIMEOUT: Micros = 250 * MS;
pub(crate) const FIRST_BACKOFF: Micros = 50 * MS;
pub(crate) const LONGEST_BACKOFF: Micros = 2 * SECOND;
pub(crate) const IDLE_TIMEOUT: Micros = 30 * SECOND;
pub(crate) const LINK_TIMEOUT: Micros = SECOND;
pub(crate) const QUEUE_LIMIT: usize = 256;

/// Returns the backoff after `failures` failed connects in a row; `jitter` is a factor from 0.5 to 1.
pub(crate) fn backoff(failures: u32, jitter: f64) -> Micros {
    let longest = (FIRST_BACKOFF << failures.min(16)).min(LONGEST_BACKOFF);
    (longest as f64 * jitter) as Micros
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkState {
    #[default]
    Closed,
    Connecting,
    Up,
}

/// A delivery as it is sent from a router to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeliveryMessage {
    pub(crate) delivery: u64,
    pub(crate) attempt: u64,
    pub(crate) command: u64,
    pub(crate) op: u16,
    pub(crate) key: u64,
    pub(crate) idempotency_key: u64,
    /// The time left for the command when the delivery is handed to the connection.
    pub(crate) time_left: Micros,
    /// The delivery must not be sent at this time or later.
    pub(crate) send_deadline: Micros,
}

/// The state that one router keeps of its connection to one host.
#[derive(Default)]
pub(crate) struct HostLink {
    /// The number of the connection; events with another number belong to an earlier one and are dropped.
    pub(crate) epoch: u32,
    pub(crate) state: LinkState,
    /// Whether the engine has opened the host for deliveries.
    pub(crate) is_open: bool,
    /// The incarnation of the host process that the engine expects there.
    pub(crate) incarnation: u64,
    /// Failed connects and lost connections in a row.
    pub(crate) failures: u32,
    /// The end of the backoff: no connect before this time.
    pub(crate) not_before: Micros,
    pub(crate) up_since: Micros,
    pub(crate) last_used: Micros,
    /// When the host was last heard, or the first delivery was sent on an idle connection, whichever is later.
    pub(crate) silent_since: Micros,
    /// Whether the host was pinged because of its silence and has not been heard since.
    pub(crate) is_pinged: bool,
    /// Whether a silence check is scheduled for the connection.
    pub(crate) has_silence_check: bool,
    /// When the last message to the host arrives; later messages arrive no earlier, as on a TCP connection.
    pub(crate) last_to: Micros,
    /// When the last message from the host arrives; later messages arrive no earlier.
    pub(crate) last_from: Micros,
    /// Deliveries that wait for the connection.
    pub(crate) waiting: Vec<DeliveryMessage>,
    /// Numbers of the deliveries that were sent and are unanswered.
    pub(crate) in_flight: Vec<u64>,
    /// Deliveries cancelled after they were sent, each with the number of the ping whose pong shows that the cancel
    /// has arrived.
    pub(crate) cancelled: Vec<(u64, u64)>,
    /// Pings sent.
    pub(crate) pings: u64,
    /// Pongs received.
    pub(crate) pongs: u64,
}

impl HostLink {
    /// Drops all state and starts a new epoch, after a restart of the router or when the slot is freed for another host.
    pub(crate) fn reset(&mut self) {
        *self = HostLink {
            epoch: self.epoch + 1,
            ..HostLink::default()
        };
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.cancelled.is_empty()
    }

    /// Returns true where the caller must send a ping to confirm cancels sent since the last one, and counts that
    /// ping.
    pub(crate) fn start_ping(&mut self) -> bool {
        let is_due = self.pings == self.pongs && self.cancelled.iter().any(|c| c.1 > self.pings);
        self.pings += u64::from(is_due);
        is_due
    }

    pub(crate) fn on_pong(&mut self) {
        self.pongs = (self.pongs + 1).min(self.pings);
        let pongs = self.pongs;
        self.cancelled.retain(|c| c.1 > pongs);
    }

    /// Handles the loss of the connection. Returns the deliveries that were never sent and those that may have run.
    pub(crate) fn on_lost(&mut self, now: Micros, jitter: f64) -> (Vec<DeliveryMessage>, Vec<u64>) {
        self.failures = if now - self.up_since > LONGEST_BACKOFF {
            0
        } else {
            self.failures + 1
        };
        self.not_before = now + backoff(self.failures.saturating_sub(1), jitter);
        self.close()
    }

    /// Closes the connection. Returns the deliveries that were never sent and those that may have run.
    pub(crate) fn close(&mut self) -> (Vec<DeliveryMessage>, Vec<u64>) {
        self.epoch += 1;
        self.state = LinkState::Closed;
        self.cancelled.clear();
        self.pings = 0;
        self.pongs = 0;
        self.last_to = 0;
        self.last_from = 0;
        (
            std::mem::take(&mut self.waiting),
            std::mem::take(&mut self.in_flight),
        )
    }
}
