//! One router's connection to one host, as `spokeflow-router` keeps it: made when there is work, made anew with
//! growing backoff, dropped when the way is silent.

use spokeflow_scenario::{Micros, MS, SECOND};

// The defaults of the router's flags.
pub const CONNECT_TIMEOUT: Micros = 250 * MS;
pub const FIRST_BACKOFF: Micros = 50 * MS;
pub const LONGEST_BACKOFF: Micros = 2 * SECOND;
pub const IDLE_TIMEOUT: Micros = 30 * SECOND;
pub const LINK_TIMEOUT: Micros = SECOND;
pub const QUEUE_LIMIT: usize = 256;

/// The pause after so many failures in a row; `drawn` is from 0.5 to 1.
pub fn pause(failures: u32, drawn: f64) -> Micros {
    let whole = (FIRST_BACKOFF << failures.min(16)).min(LONGEST_BACKOFF);
    (whole as f64 * drawn) as Micros
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    #[default]
    Closed,
    Connecting,
    Up,
}

/// A delivery as it crosses the way.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub delivery: u64,
    pub attempt: u64,
    pub command: u64,
    pub op: u16,
    pub key: u64,
    pub idempotency_key: u64,
    pub left: Micros,
    pub leave_by: Micros,
}

#[derive(Default)]
pub struct HostLink {
    /// Counts connections: what belongs to an earlier one is dropped.
    pub epoch: u32,
    pub link: Link,
    /// The list lets work go there.
    pub open: bool,
    /// The process that the list names.
    pub incarnation: u64,
    pub failures: u32,
    pub not_before: Micros,
    pub up_since: Micros,
    pub last_used: Micros,
    pub quiet_since: Micros,
    pub pinged: bool,
    pub silence_watched: bool,
    /// When the last message each way arrives: none overtakes another.
    pub last_to: Micros,
    pub last_from: Micros,
    pub waiting: Vec<Message>,
    /// Left and unanswered.
    pub in_flight: Vec<u64>,
    /// Cancelled after they left, with the ping whose answer shows that they have arrived.
    pub cancelled: Vec<(u64, u64)>,
    pub pings: u64,
    pub pongs: u64,
}

impl HostLink {
    /// As after a restart of the router, or for another host in the same seat.
    pub fn reset(&mut self) {
        *self = HostLink {
            epoch: self.epoch + 1,
            ..HostLink::default()
        };
    }

    pub fn idle(&self) -> bool {
        self.in_flight.is_empty() && self.cancelled.is_empty()
    }

    /// Whether a ping is to be sent for what was cancelled since the last one.
    pub fn start_ping(&mut self) -> bool {
        let asks = self.pings == self.pongs && self.cancelled.iter().any(|c| c.1 > self.pings);
        self.pings += u64::from(asks);
        asks
    }

    pub fn on_pong(&mut self) {
        self.pongs = (self.pongs + 1).min(self.pings);
        let heard = self.pongs;
        self.cancelled.retain(|c| c.1 > heard);
    }

    /// The connection is no more. Answers what never left and what may have run.
    pub fn on_broken(&mut self, now: Micros, drawn: f64) -> (Vec<Message>, Vec<u64>) {
        self.failures = if now - self.up_since > LONGEST_BACKOFF {
            0
        } else {
            self.failures + 1
        };
        self.not_before = now + pause(self.failures.saturating_sub(1), drawn);
        self.drop_link()
    }

    pub fn drop_link(&mut self) -> (Vec<Message>, Vec<u64>) {
        self.epoch += 1;
        self.link = Link::Closed;
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
