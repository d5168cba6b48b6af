//! What waits to leave for one host, and what of it has left. A frame is what the protocol says it is: one that
//! has not left whole was never sent, however the connection ends.

use std::collections::{BTreeMap, VecDeque};

use spokeflow_core::Micros;
use spokeflow_proto::ToHost;

/// How the deliveries of a broken or closed connection stand.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Left {
    /// No whole frame has left: they never ran.
    pub unsent: Vec<u64>,
    /// The frame has left and no answer has come.
    pub sent: Vec<u64>,
}

/// The caller encodes one message after another, says how long each was, and how many bytes the system took.
#[derive(Debug, Default)]
pub struct Outgoing {
    waiting: VecDeque<(ToHost, Micros)>,
    /// Encoded deliveries that have not left whole, by the byte at which each ends.
    leaving: VecDeque<(u64, u64)>,
    /// Left, unanswered; in order of their numbers.
    out: BTreeMap<u64, ()>,
    /// Cancelled after they had begun to leave, by the ping whose answer shows that nothing of them is still on
    /// the way: a way that is cut holds both, and lets them through when the cut ends.
    cancelled: BTreeMap<u64, u64>,
    pings: u64,
    pongs: u64,
    encoded: u64,
    taken: u64,
    closed: bool,
}

impl Outgoing {
    /// Queues a message. `Cancel` of what has not been encoded takes it out instead: answered with its number,
    /// proven not sent.
    pub fn push(&mut self, message: ToHost, leave_by: Micros) -> Option<u64> {
        match message {
            ToHost::Cancel { delivery } => {
                let waits =
                    |m: &ToHost| matches!(m, ToHost::Deliver { delivery: d, .. } if *d == delivery);
                if let Some(at) = self.waiting.iter().position(|(m, _)| waits(m)) {
                    self.waiting.remove(at);
                    return Some(delivery);
                }
                let known = self.out.remove(&delivery).is_some();
                if known || self.leaving.iter().any(|l| l.1 == delivery) {
                    self.waiting.push_back((message, leave_by));
                    self.cancelled.insert(delivery, self.pings + 1);
                    self.ask();
                }
                None
            }
            ToHost::Ping => {
                self.pings += 1;
                self.waiting.push_back((message, leave_by));
                None
            }
            ToHost::Deliver { delivery, .. } if self.closed => Some(delivery),
            _ => {
                self.waiting.push_back((message, leave_by));
                None
            }
        }
    }

    /// Asks whether the way bears, unless that has been asked and not answered.
    fn ask(&mut self) {
        if self.pings == self.pongs && self.cancelled.values().any(|ping| *ping > self.pings) {
            self.pings += 1;
            self.waiting.push_back((ToHost::Ping, Micros::MAX));
        }
    }

    /// The host has answered a ping: all that left before it has arrived.
    pub fn pong(&mut self) {
        self.pongs = (self.pongs + 1).min(self.pings);
        let heard = self.pongs;
        self.cancelled.retain(|_, ping| *ping > heard);
        self.ask();
    }

    /// The next message to encode. What is past its time is put on `late` instead: it never leaves.
    pub fn next(&mut self, now: Micros, late: &mut Vec<u64>) -> Option<ToHost> {
        while let Some((message, leave_by)) = self.waiting.pop_front() {
            match message {
                ToHost::Deliver { delivery, .. } if now >= leave_by => late.push(delivery),
                other => return Some(other),
            }
        }
        None
    }

    /// The message just taken by [`Outgoing::next`] became so many bytes.
    pub fn encoded(&mut self, message: &ToHost, bytes: usize) {
        self.encoded += bytes as u64;
        if let ToHost::Deliver { delivery, .. } = message {
            self.leaving.push_back((self.encoded, *delivery));
        }
    }

    /// Of all bytes encoded so far, `remaining` have not been taken by the system.
    pub fn remaining(&mut self, remaining: usize) {
        self.taken = self.encoded - remaining as u64;
        while let Some((_, delivery)) = self.leaving.pop_front_if(|l| l.0 <= self.taken) {
            if !self.cancelled.contains_key(&delivery) {
                self.out.insert(delivery, ());
            }
        }
    }

    /// The host has answered.
    pub fn answered(&mut self, delivery: u64) {
        self.out.remove(&delivery);
        self.cancelled.remove(&delivery);
    }

    /// The host drains or is gone: what waits never leaves. Answers the numbers of those deliveries.
    pub fn close(&mut self) -> Vec<u64> {
        self.closed = true;
        let waiting = std::mem::take(&mut self.waiting);
        let (mut unsent, mut kept) = (Vec::new(), VecDeque::new());
        for (message, leave_by) in waiting {
            match message {
                ToHost::Deliver { delivery, .. } => unsent.push(delivery),
                other => kept.push_back((other, leave_by)),
            }
        }
        self.waiting = kept;
        unsent
    }

    /// The host may get work again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether a frame has begun to leave and has not left whole.
    pub fn half_sent(&self) -> bool {
        !self.leaving.is_empty()
    }

    pub fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Messages that have not begun to leave.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn idle(&self) -> bool {
        self.waiting.is_empty()
            && self.leaving.is_empty()
            && self.out.is_empty()
            && self.cancelled.is_empty()
    }

    /// The connection is no more, with so many encoded bytes untaken; starts anew for the next one. What was
    /// only queued is unsent too.
    pub fn broken(&mut self, remaining: usize) -> Left {
        self.remaining(remaining);
        let mut unsent: Vec<u64> = self.leaving.drain(..).map(|l| l.1).collect();
        unsent.extend(self.waiting.drain(..).filter_map(|(m, _)| match m {
            ToHost::Deliver { delivery, .. } => Some(delivery),
            _ => None,
        }));
        let sent = std::mem::take(&mut self.out).into_keys().collect();
        (self.encoded, self.taken, self.pings, self.pongs) = (0, 0, 0, 0);
        self.cancelled.clear();
        Left { unsent, sent }
    }
}
