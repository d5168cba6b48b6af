//! What waits to leave for one host, and what of it has left. A frame that has not left whole was never sent,
//! however the connection ends.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use spokeflow_core::Micros;
use spokeflow_proto::ToHost;

/// Deliveries that were unsent or unconfirmed when their connection broke, by their numbers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Undelivered {
    /// No whole frame has left: they never ran.
    pub unsent: Vec<u64>,
    /// The frame has left and no answer has come: they may have run.
    pub unconfirmed: Vec<u64>,
}

/// The send queue of one connection. The caller encodes one message after another, and says how long each was and how
/// many bytes the system has taken.
#[derive(Debug, Default)]
pub struct Outgoing {
    waiting: VecDeque<QueuedMessage>,
    /// Encoded deliveries that have not left whole, in order.
    unwritten: VecDeque<EncodedDelivery>,
    /// Left, unanswered.
    unconfirmed: BTreeSet<u64>,
    /// Cancelled after they had begun to leave, with the ping whose answer shows that nothing of them is still on
    /// the way: a network that is cut may hold both, and let them through when the cut ends.
    cancelled: BTreeMap<u64, u64>,
    pings_sent: u64,
    pongs_received: u64,
    encoded_bytes: u64,
    closed: bool,
}

#[derive(Debug)]
struct QueuedMessage {
    message: ToHost,
    /// When it is too late to begin.
    leave_by: Micros,
}

impl QueuedMessage {
    fn delivery(&self) -> Option<u64> {
        match self.message {
            ToHost::Deliver { delivery, .. } => Some(delivery),
            _ => None,
        }
    }
}

#[derive(Debug)]
struct EncodedDelivery {
    delivery: u64,
    /// Bytes of the connection up to its end.
    ends_at: u64,
}

impl Outgoing {
    /// Queues a message. The answer is the number of a delivery that is now proven not sent: the message's own where
    /// the queue is closed, or the one that a `Cancel` has taken out before it was encoded.
    pub fn push(&mut self, message: ToHost, leave_by: Micros) -> Option<u64> {
        match message {
            ToHost::Cancel { delivery } => return self.cancel(delivery, leave_by),
            ToHost::Deliver { delivery, .. } if self.closed => return Some(delivery),
            ToHost::Ping => self.pings_sent += 1,
            _ => {}
        }
        self.waiting.push_back(QueuedMessage { message, leave_by });
        None
    }

    fn cancel(&mut self, delivery: u64, leave_by: Micros) -> Option<u64> {
        let queued = self
            .waiting
            .iter()
            .position(|queued| queued.delivery() == Some(delivery));
        if let Some(index) = queued {
            self.waiting.remove(index);
            return Some(delivery);
        }
        let has_left = self.unconfirmed.remove(&delivery);
        if has_left
            || self
                .unwritten
                .iter()
                .any(|frame| frame.delivery == delivery)
        {
            let message = ToHost::Cancel { delivery };
            self.waiting.push_back(QueuedMessage { message, leave_by });
            self.cancelled.insert(delivery, self.pings_sent + 1);
            self.ping_if_needed();
        }
        None
    }

    /// Asks whether cancelled deliveries have arrived, unless a ping is already under way.
    fn ping_if_needed(&mut self) {
        let next_ping = self.pings_sent + 1;
        let is_awaited = self.cancelled.values().any(|ping| *ping >= next_ping);
        if self.pings_sent == self.pongs_received && is_awaited {
            self.pings_sent = next_ping;
            self.waiting.push_back(QueuedMessage {
                message: ToHost::Ping,
                leave_by: Micros::MAX,
            });
        }
    }

    /// The host has answered a ping: all that left before it has arrived.
    pub fn on_pong(&mut self) {
        self.pongs_received = (self.pongs_received + 1).min(self.pings_sent);
        let answered = self.pongs_received;
        self.cancelled.retain(|_, ping| *ping > answered);
        self.ping_if_needed();
    }

    /// The next message to encode. Deliveries that are too late go to `late` instead: they never leave.
    pub fn next(&mut self, now: Micros, late: &mut Vec<u64>) -> Option<ToHost> {
        while let Some(queued) = self.waiting.pop_front() {
            match queued.delivery() {
                Some(delivery) if now >= queued.leave_by => late.push(delivery),
                _ => return Some(queued.message),
            }
        }
        None
    }

    /// The message just taken by [`Outgoing::next`] became so many bytes.
    pub fn on_encoded(&mut self, message: &ToHost, bytes: usize) {
        self.encoded_bytes += bytes as u64;
        if let ToHost::Deliver { delivery, .. } = message {
            self.unwritten.push_back(EncodedDelivery {
                delivery: *delivery,
                ends_at: self.encoded_bytes,
            });
        }
    }

    /// Of all bytes encoded so far, `remaining` have not been taken by the system.
    pub fn on_written(&mut self, remaining: usize) {
        let written = self.encoded_bytes - remaining as u64;
        while let Some(frame) = self
            .unwritten
            .pop_front_if(|frame| frame.ends_at <= written)
        {
            if !self.cancelled.contains_key(&frame.delivery) {
                self.unconfirmed.insert(frame.delivery);
            }
        }
    }

    /// The host has answered this delivery.
    pub fn on_answered(&mut self, delivery: u64) {
        self.unconfirmed.remove(&delivery);
        self.cancelled.remove(&delivery);
    }

    /// The host drains or is gone: what waits never leaves. Returns the numbers of those deliveries.
    pub fn close(&mut self) -> Vec<u64> {
        self.closed = true;
        let unsent = self
            .waiting
            .iter()
            .filter_map(QueuedMessage::delivery)
            .collect();
        self.waiting.retain(|queued| queued.delivery().is_none());
        unsent
    }

    /// The host may get work again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Whether deliveries are refused.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether a frame has begun to leave and has not left whole.
    pub fn is_mid_frame(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Whether any message has not begun to leave.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Messages that have not begun to leave.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing is to be sent and nothing is awaited.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.unwritten.is_empty()
            && self.unconfirmed.is_empty()
            && self.cancelled.is_empty()
    }

    /// The connection has ended, with `remaining` encoded bytes not taken by the system. The queue starts anew for
    /// the next connection; what was only queued is unsent too.
    pub fn on_disconnected(&mut self, remaining: usize) -> Undelivered {
        self.on_written(remaining);
        let half_sent = self.unwritten.drain(..).map(|frame| frame.delivery);
        let queued = self
            .waiting
            .drain(..)
            .filter_map(|queued| queued.delivery());
        let undelivered = Undelivered {
            unsent: half_sent.chain(queued).collect(),
            unconfirmed: std::mem::take(&mut self.unconfirmed).into_iter().collect(),
        };
        self.encoded_bytes = 0;
        self.pings_sent = 0;
        self.pongs_received = 0;
        self.cancelled.clear();
        undelivered
    }
}
