//! The send queue to one host, and which of its deliveries have been sent. A delivery is sent when the operating system
//! has taken its whole frame; one whose frame was not written completely never runs, however the connection ends.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use spokeflow_core::Micros;
use spokeflow_proto::ToHost;

/// Ids of the deliveries that were unsent or unconfirmed when their connection broke.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Undelivered {
    /// The frame was not written completely: they never ran.
    pub unsent: Vec<u64>,
    /// The frame was written and no answer has come: they may have run.
    pub unconfirmed: Vec<u64>,
}

/// The send queue of one connection. The caller encodes one message after another, and reports how long each was and
/// how many bytes the operating system has taken.
#[derive(Debug, Default)]
pub struct Outgoing {
    /// Messages that have not been encoded.
    waiting: VecDeque<QueuedMessage>,
    /// Encoded deliveries whose frames are not written completely, in order.
    unwritten: VecDeque<EncodedDelivery>,
    /// Ids of the deliveries that were sent and are not answered.
    unconfirmed: BTreeSet<u64>,
    /// Ids of the deliveries that were cancelled after they had been encoded. The value is the number of the ping
    /// whose answer shows that delivery and cancel have arrived: a network partition may hold both back and let them
    /// through when it ends.
    cancelled: BTreeMap<u64, u64>,
    pings_sent: u64,
    pongs_received: u64,
    /// Bytes encoded since the connection was made.
    encoded_bytes: u64,
    /// Whether deliveries are refused.
    closed: bool,
}

#[derive(Debug)]
struct QueuedMessage {
    message: ToHost,
    /// Time from which a delivery that is not encoded yet is too late and is not sent.
    send_deadline: Micros,
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
    /// Bytes encoded on the connection up to the end of its frame.
    ends_at: u64,
}

impl Outgoing {
    /// Queues a message. Returns the id of a delivery that is now proven not to have been sent: the message's own if
    /// the queue is closed, or the one that a `Cancel` has removed before it was encoded.
    pub fn push(&mut self, message: ToHost, send_deadline: Micros) -> Option<u64> {
        match message {
            ToHost::Cancel { delivery } => return self.cancel(delivery, send_deadline),
            ToHost::Deliver { delivery, .. } if self.closed => return Some(delivery),
            ToHost::Ping => self.pings_sent += 1,
            _ => {}
        }
        self.waiting.push_back(QueuedMessage {
            message,
            send_deadline,
        });
        None
    }

    /// Removes a delivery that waits, or queues a `Cancel` for one that is already encoded.
    fn cancel(&mut self, delivery: u64, send_deadline: Micros) -> Option<u64> {
        let queued = self
            .waiting
            .iter()
            .position(|queued| queued.delivery() == Some(delivery));
        if let Some(index) = queued {
            self.waiting.remove(index);
            return Some(delivery);
        }
        let was_sent = self.unconfirmed.remove(&delivery);
        if was_sent
            || self
                .unwritten
                .iter()
                .any(|frame| frame.delivery == delivery)
        {
            let message = ToHost::Cancel { delivery };
            self.waiting.push_back(QueuedMessage {
                message,
                send_deadline,
            });
            self.cancelled.insert(delivery, self.pings_sent + 1);
            self.ping_if_needed();
        }
        None
    }

    /// Queues a ping that shows whether cancelled deliveries have arrived, unless one is already unanswered.
    fn ping_if_needed(&mut self) {
        let next_ping = self.pings_sent + 1;
        let is_awaited = self.cancelled.values().any(|ping| *ping >= next_ping);
        if self.pings_sent == self.pongs_received && is_awaited {
            self.pings_sent = next_ping;
            self.waiting.push_back(QueuedMessage {
                message: ToHost::Ping,
                send_deadline: Micros::MAX,
            });
        }
    }

    /// Records that the host has answered a ping: all messages sent before the ping have arrived.
    pub fn on_pong(&mut self) {
        self.pongs_received = (self.pongs_received + 1).min(self.pings_sent);
        let answered = self.pongs_received;
        self.cancelled.retain(|_, ping| *ping > answered);
        self.ping_if_needed();
    }

    /// Returns the next message to encode. Ids of deliveries past their send deadline go to `late` instead: they
    /// are not sent.
    pub fn next(&mut self, now: Micros, late: &mut Vec<u64>) -> Option<ToHost> {
        while let Some(queued) = self.waiting.pop_front() {
            match queued.delivery() {
                Some(delivery) if now >= queued.send_deadline => late.push(delivery),
                _ => return Some(queued.message),
            }
        }
        None
    }

    /// Records that the message last returned by [`Outgoing::next`] was encoded to this number of bytes.
    pub fn on_encoded(&mut self, message: &ToHost, bytes: usize) {
        self.encoded_bytes += bytes as u64;
        if let ToHost::Deliver { delivery, .. } = message {
            self.unwritten.push_back(EncodedDelivery {
                delivery: *delivery,
                ends_at: self.encoded_bytes,
            });
        }
    }

    /// Records that the operating system has taken all bytes encoded so far except the last `remaining`.
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

    /// Records that the host has answered this delivery.
    pub fn on_answered(&mut self, delivery: u64) {
        self.unconfirmed.remove(&delivery);
        self.cancelled.remove(&delivery);
    }

    /// Closes the queue because the host drains or is gone. Returns the ids of the deliveries that waited: they are
    /// not sent.
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

    /// Opens the queue again because the host may get deliveries.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Returns whether deliveries are refused.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns whether the frame of an encoded delivery is not written completely.
    pub fn is_mid_frame(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Returns whether any message has not been encoded.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of messages that have not been encoded.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing is left to send and no answer is awaited.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.unwritten.is_empty()
            && self.unconfirmed.is_empty()
            && self.cancelled.is_empty()
    }

    /// Records that the connection has ended with `remaining` encoded bytes not taken by the operating system, and
    /// resets the queue for the next connection. Deliveries that were only queued are unsent too.
    pub fn on_disconnected(&mut self, remaining: usize) -> Undelivered {
        self.on_written(remaining);
        let partly_sent = self.unwritten.drain(..).map(|frame| frame.delivery);
        let queued = self
            .waiting
            .drain(..)
            .filter_map(|queued| queued.delivery());
        let undelivered = Undelivered {
            unsent: partly_sent.chain(queued).collect(),
            unconfirmed: std::mem::take(&mut self.unconfirmed).into_iter().collect(),
        };
        self.encoded_bytes = 0;
        self.pings_sent = 0;
        self.pongs_received = 0;
        self.cancelled.clear();
        undelivered
    }
}
