//! Connections of routers to hosts, and the messages that cross them.

use bytes::Bytes;
use rand::RngExt;
use spokeflow_engine::{Input, TransportFailure};
use spokeflow_proto::FromHost;
use spokeflow_scenario::active_faults::{LinkKind, RETRANSMISSION_DELAY};
use spokeflow_scenario::host::Job;
use spokeflow_scenario::observation::{Observation, ReplyKind};
use spokeflow_scenario::{Micros, MS};

use super::event::{Event, HostMessage, RouterMessage};
use super::{World, LOCAL_DELAY};
use crate::host_link::{pause, Link, Message, CONNECT_TIMEOUT, LINK_TIMEOUT};

impl World {
    pub(super) fn ends_of(&self, pair: usize) -> (usize, u32) {
        let of_router = self.day.routers as usize;
        (pair / of_router, (pair % of_router) as u32)
    }

    pub(super) fn pair_of(&self, seat: usize, router: u32) -> usize {
        seat * self.day.routers as usize + router as usize
    }

    pub(super) fn way(&self, pair: usize) -> Option<Micros> {
        let (seat, router) = self.ends_of(pair);
        let (a, b) = (
            self.host_slots[seat].site,
            self.routers[router as usize].site,
        );
        self.faults
            .delay(a, b, LinkKind::Hosts)
            .map(|way| way.max(LOCAL_DELAY))
    }

    /// The delay of one message, with what is lost on it; the cut is met on arrival.
    fn crossing(&mut self, pair: usize) -> Micros {
        let (seat, router) = self.ends_of(pair);
        let between = self.host_slots[seat].site != self.routers[router as usize].site;
        let mut late = 0;
        while between
            && self.faults.loss > 0.0
            && late < 8 * RETRANSMISSION_DELAY
            && self.rng.random_bool(self.faults.loss)
        {
            late += RETRANSMISSION_DELAY.max(late);
        }
        self.way(pair).unwrap_or(2 * MS) + late
    }

    pub(super) fn send(&mut self, pair: usize, word: HostMessage) {
        let at = (self.now + self.crossing(pair)).max(self.host_links[pair].last_to);
        self.host_links[pair].last_to = at;
        let epoch = self.host_links[pair].epoch;
        self.plan_at(at, Event::MessageAtHost { pair, epoch, word });
    }

    pub(super) fn deliver(&mut self, pair: usize, message: Message) {
        let (seat, router) = self.ends_of(pair);
        let (host, build) = (self.host_slots[seat].host, self.host_slots[seat].build);
        let from = self.routers[router as usize].process;
        let p = &mut self.host_links[pair];
        p.last_used = self.now;
        if p.idle() {
            p.quiet_since = self.now;
            p.pinged = false;
        }
        p.in_flight.push(message.delivery);
        let listens = std::mem::replace(&mut p.silence_watched, true);
        let epoch = p.epoch;
        if !listens {
            self.plan(LINK_TIMEOUT / 2, Event::SilenceCheck { pair, epoch });
        }
        let (tried, delivery) = (message.attempt, message.delivery);
        self.note(Observation::Delivered {
            host,
            build,
            from,
            attempt: tried,
            delivery,
        });
        self.send(pair, HostMessage::Deliver(message));
    }

    pub(super) fn lose(
        &mut self,
        pair: usize,
        deliveries: impl IntoIterator<Item = u64>,
        end: TransportFailure,
    ) {
        let (seat, router) = self.ends_of(pair);
        let (host, by) = (
            self.host_slots[seat].host,
            self.routers[router as usize].process,
        );
        for delivery in deliveries {
            self.plan(
                0,
                Event::DeliveryFailed {
                    by,
                    host,
                    delivery,
                    end,
                },
            );
        }
    }

    pub(super) fn connect(&mut self, pair: usize) {
        let (seat, _) = self.ends_of(pair);
        let runs = self.host_slots[seat]
            .process
            .as_ref()
            .is_some_and(|p| !p.model.crashed);
        let p = &mut self.host_links[pair];
        p.epoch += 1;
        p.link = Link::Connecting;
        let epoch = p.epoch;
        let took = match (self.way(pair), runs) {
            (Some(way), true) => 4 * way + self.faults.slow_connects,
            (Some(way), false) => 2 * way,
            (None, _) => CONNECT_TIMEOUT,
        };
        let fails = took >= CONNECT_TIMEOUT;
        self.plan(
            took.min(CONNECT_TIMEOUT),
            Event::ConnectEnds { pair, epoch, fails },
        );
    }

    pub(super) fn connected(&mut self, pair: usize, epoch: u32, fails: bool) {
        if self.host_links[pair].epoch != epoch || self.host_links[pair].link != Link::Connecting {
            return;
        }
        let (seat, router) = self.ends_of(pair);
        let process = self.host_slots[seat]
            .process
            .as_ref()
            .filter(|p| !p.model.crashed && !fails);
        let (incarnation, began) = process.map_or((0, 0), |p| (p.incarnation, p.began));
        if process.is_none() || self.way(pair).is_none() {
            let drawn = self.rng.random_range(0.5..1.0);
            let now = self.now;
            let p = &mut self.host_links[pair];
            p.not_before = now + pause(p.failures, drawn);
            p.failures += 1;
            let (unsent, _) = p.drop_link();
            return self.lose(
                pair,
                unsent.into_iter().map(|w| w.delivery),
                TransportFailure::NotConnected,
            );
        }
        let (host, build) = (self.host_slots[seat].host, self.host_slots[seat].build);
        let p = &mut self.host_links[pair];
        p.link = Link::Up;
        p.up_since = self.now;
        p.last_used = self.now;
        p.quiet_since = self.now;
        p.pinged = false;
        p.silence_watched = false;
        let waiting = std::mem::take(&mut p.waiting);
        let known = p.incarnation == incarnation;
        let up_us = (self.now - began) as u64;
        let by = self.routers[router as usize].process;
        // Event waits was meant for another process, maybe another build.
        if known {
            for message in waiting {
                if self.now >= message.leave_by {
                    self.lose(pair, [message.delivery], TransportFailure::NotSent);
                } else {
                    self.deliver(pair, message);
                }
            }
        } else {
            self.lose(
                pair,
                waiting.into_iter().map(|w| w.delivery),
                TransportFailure::NotConnected,
            );
        }
        let message = FromHost::Welcome {
            host,
            build,
            incarnation,
            up_us,
        };
        self.give(by, Input::FromHost { host, message });
    }

    fn broken(&mut self, pair: usize, end: TransportFailure) {
        let drawn = self.rng.random_range(0.5..1.0);
        let (unsent, sent) = self.host_links[pair].on_broken(self.now, drawn);
        self.lose(
            pair,
            unsent.into_iter().map(|w| w.delivery),
            TransportFailure::NotSent,
        );
        self.lose(pair, sent, end);
    }

    pub(super) fn silence(&mut self, pair: usize, epoch: u32) {
        let p = &mut self.host_links[pair];
        if p.epoch != epoch || p.link != Link::Up {
            return;
        }
        if p.idle() {
            p.silence_watched = false;
            return;
        }
        let until = p.quiet_since
            + if p.pinged {
                LINK_TIMEOUT
            } else {
                LINK_TIMEOUT / 2
            };
        if self.now < until {
            return self.plan_at(until, Event::SilenceCheck { pair, epoch });
        }
        if p.pinged {
            return self.broken(pair, TransportFailure::Unresponsive);
        }
        p.pinged = true;
        p.pings += 1;
        let until = p.quiet_since + LINK_TIMEOUT;
        self.send(pair, HostMessage::Ping);
        self.plan_at(until, Event::SilenceCheck { pair, epoch });
    }

    pub(super) fn reaches_host(&mut self, pair: usize, epoch: u32, word: HostMessage) {
        if self.host_links[pair].epoch != epoch {
            return;
        }
        if self.way(pair).is_none() {
            return self
                .blocked
                .push(Event::MessageAtHost { pair, epoch, word });
        }
        let (seat, _) = self.ends_of(pair);
        let Some(process) = self.host_slots[seat]
            .process
            .as_mut()
            .filter(|p| !p.model.crashed)
        else {
            return;
        };
        let from = (pair as u64) << 32 | u64::from(epoch);
        match word {
            HostMessage::Ping => return self.reply(pair, epoch, RouterMessage::Pong),
            HostMessage::Cancel(delivery) => process.model.cancel(from, delivery),
            HostMessage::Deliver(p) => {
                let Message {
                    delivery,
                    attempt: tried,
                    command,
                    key,
                    idempotency_key: mark,
                    left,
                    ..
                } = p;
                let op = usize::from(p.op).min(self.day.ops.len() - 1);
                let expires = self.now + left;
                let job = Job {
                    from,
                    delivery,
                    attempt: tried,
                    command,
                    op,
                    key,
                    idempotency_key: mark,
                    expires,
                };
                let taken = process.model.arrive(self.now, job);
                if process.model.crashed {
                    return self.fell(seat);
                }
                if !taken {
                    let host = self.host_slots[seat].host;
                    self.note(Observation::Replied {
                        host,
                        attempt: tried,
                        delivery,
                        kind: ReplyKind::Full,
                    });
                    self.reply(pair, epoch, RouterMessage::Full(delivery));
                }
            }
        }
        self.pump(seat);
    }

    pub(super) fn reply(&mut self, pair: usize, epoch: u32, word: RouterMessage) {
        if self.host_links[pair].epoch != epoch {
            return;
        }
        let at = (self.now + self.crossing(pair)).max(self.host_links[pair].last_from);
        self.host_links[pair].last_from = at;
        self.plan_at(at, Event::MessageAtRouter { pair, epoch, word });
    }

    pub(super) fn reaches_router(&mut self, pair: usize, epoch: u32, word: RouterMessage) {
        if self.host_links[pair].epoch != epoch {
            return;
        }
        if self.way(pair).is_none() {
            return self
                .blocked
                .push(Event::MessageAtRouter { pair, epoch, word });
        }
        let (seat, router) = self.ends_of(pair);
        let p = &mut self.host_links[pair];
        p.quiet_since = self.now;
        p.pinged = false;
        let (delivery, message) = match word {
            RouterMessage::Broken => return self.broken(pair, TransportFailure::Reset),
            RouterMessage::Pong => {
                p.on_pong();
                if p.start_ping() {
                    self.send(pair, HostMessage::Ping);
                }
                return;
            }
            RouterMessage::Acked { delivery, wrong } => {
                let body = Bytes::from_static(if wrong { b"wrong" } else { b"right" });
                (delivery, FromHost::Acked { delivery, body })
            }
            RouterMessage::Error(delivery) => (delivery, FromHost::Error { delivery }),
            RouterMessage::Full(delivery) => (delivery, FromHost::Full { delivery }),
        };
        p.last_used = self.now;
        if let Some(at) = p.in_flight.iter().position(|d| *d == delivery) {
            p.in_flight.remove(at);
        }
        p.cancelled.retain(|c| c.0 != delivery);
        let (host, by) = (
            self.host_slots[seat].host,
            self.routers[router as usize].process,
        );
        self.give(by, Input::FromHost { host, message });
    }
}
