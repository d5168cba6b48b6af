//! Connections of routers to hosts, and the messages that cross them.

use bytes::Bytes;
use rand::RngExt;
use spokeflow_engine::{Input, TransportFailure};
use spokeflow_proto::FromHost;
use spokeflow_scenario::active_faults::{LinkDirection, RESENT_AFTER};
use spokeflow_scenario::host::Job;
use spokeflow_scenario::observation::{Observation, ReplyKind};
use spokeflow_scenario::{Micros, MS};

use super::event::{HostWord, RouterWord, What};
use super::{World, LOCAL_WAY};
use crate::pair::{pause, Link, Message, CONNECT_TIMEOUT, WAY_TIMEOUT};

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
        let (a, b) = (self.seats[seat].site, self.routers[router as usize].site);
        self.faults
            .delay(a, b, LinkDirection::Hosts)
            .map(|way| way.max(LOCAL_WAY))
    }

    /// The delay of one message, with what is lost on it; the cut is met on arrival.
    fn crossing(&mut self, pair: usize) -> Micros {
        let (seat, router) = self.ends_of(pair);
        let between = self.seats[seat].site != self.routers[router as usize].site;
        let mut late = 0;
        while between
            && self.faults.loss > 0.0
            && late < 8 * RESENT_AFTER
            && self.rng.random_bool(self.faults.loss)
        {
            late += RESENT_AFTER.max(late);
        }
        self.way(pair).unwrap_or(2 * MS) + late
    }

    pub(super) fn send(&mut self, pair: usize, word: HostWord) {
        let at = (self.now + self.crossing(pair)).max(self.pairs[pair].last_to);
        self.pairs[pair].last_to = at;
        let epoch = self.pairs[pair].epoch;
        self.plan_at(at, What::ToHost { pair, epoch, word });
    }

    pub(super) fn deliver(&mut self, pair: usize, parcel: Message) {
        let (seat, router) = self.ends_of(pair);
        let (host, build) = (self.seats[seat].host, self.seats[seat].build);
        let from = self.routers[router as usize].process;
        let p = &mut self.pairs[pair];
        p.used = self.now;
        if p.idle() {
            (p.quiet_since, p.pinged) = (self.now, false);
        }
        p.out.push(parcel.delivery);
        let listens = std::mem::replace(&mut p.listens, true);
        let epoch = p.epoch;
        if !listens {
            self.plan(WAY_TIMEOUT / 2, What::Silence { pair, epoch });
        }
        let (tried, delivery) = (parcel.tried, parcel.delivery);
        self.note(Observation::Delivered {
            host,
            build,
            from,
            attempt: tried,
            delivery,
        });
        self.send(pair, HostWord::Deliver(parcel));
    }

    pub(super) fn lose(
        &mut self,
        pair: usize,
        deliveries: impl IntoIterator<Item = u64>,
        end: TransportFailure,
    ) {
        let (seat, router) = self.ends_of(pair);
        let (host, by) = (self.seats[seat].host, self.routers[router as usize].process);
        for delivery in deliveries {
            self.plan(
                0,
                What::Lost {
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
        let runs = self.seats[seat]
            .process
            .as_ref()
            .is_some_and(|p| !p.model.fallen);
        let p = &mut self.pairs[pair];
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
            What::Connect { pair, epoch, fails },
        );
    }

    pub(super) fn connected(&mut self, pair: usize, epoch: u32, fails: bool) {
        if self.pairs[pair].epoch != epoch || self.pairs[pair].link != Link::Connecting {
            return;
        }
        let (seat, router) = self.ends_of(pair);
        let process = self.seats[seat]
            .process
            .as_ref()
            .filter(|p| !p.model.fallen && !fails);
        let (incarnation, began) = process.map_or((0, 0), |p| (p.incarnation, p.began));
        if process.is_none() || self.way(pair).is_none() {
            let drawn = self.rng.random_range(0.5..1.0);
            let now = self.now;
            let p = &mut self.pairs[pair];
            p.not_before = now + pause(p.failures, drawn);
            p.failures += 1;
            let (unsent, _) = p.drop_link();
            return self.lose(
                pair,
                unsent.into_iter().map(|w| w.delivery),
                TransportFailure::NotConnected,
            );
        }
        let (host, build) = (self.seats[seat].host, self.seats[seat].build);
        let p = &mut self.pairs[pair];
        (p.link, p.up_since, p.used) = (Link::Up, self.now, self.now);
        (p.quiet_since, p.pinged, p.listens) = (self.now, false, false);
        let waiting = std::mem::take(&mut p.waiting);
        let known = p.incarnation == incarnation;
        let up_us = (self.now - began) as u64;
        let by = self.routers[router as usize].process;
        // What waits was meant for another process, maybe another build.
        if known {
            for parcel in waiting {
                if self.now >= parcel.leave_by {
                    self.lose(pair, [parcel.delivery], TransportFailure::NotSent);
                } else {
                    self.deliver(pair, parcel);
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
        let (unsent, sent) = self.pairs[pair].broken(self.now, drawn);
        self.lose(
            pair,
            unsent.into_iter().map(|w| w.delivery),
            TransportFailure::NotSent,
        );
        self.lose(pair, sent, end);
    }

    pub(super) fn silence(&mut self, pair: usize, epoch: u32) {
        let p = &mut self.pairs[pair];
        if p.epoch != epoch || p.link != Link::Up {
            return;
        }
        if p.idle() {
            p.listens = false;
            return;
        }
        let until = p.quiet_since
            + if p.pinged {
                WAY_TIMEOUT
            } else {
                WAY_TIMEOUT / 2
            };
        if self.now < until {
            return self.plan_at(until, What::Silence { pair, epoch });
        }
        if p.pinged {
            return self.broken(pair, TransportFailure::Unresponsive);
        }
        p.pinged = true;
        p.pings += 1;
        let until = p.quiet_since + WAY_TIMEOUT;
        self.send(pair, HostWord::Ping);
        self.plan_at(until, What::Silence { pair, epoch });
    }

    pub(super) fn reaches_host(&mut self, pair: usize, epoch: u32, word: HostWord) {
        if self.pairs[pair].epoch != epoch {
            return;
        }
        if self.way(pair).is_none() {
            return self.blocked.push(What::ToHost { pair, epoch, word });
        }
        let (seat, _) = self.ends_of(pair);
        let Some(process) = self.seats[seat]
            .process
            .as_mut()
            .filter(|p| !p.model.fallen)
        else {
            return;
        };
        let from = (pair as u64) << 32 | u64::from(epoch);
        match word {
            HostWord::Ping => return self.reply(pair, epoch, RouterWord::Pong),
            HostWord::Cancel(delivery) => process.model.cancel(from, delivery),
            HostWord::Deliver(p) => {
                let Message {
                    delivery,
                    tried,
                    command,
                    key,
                    mark,
                    left,
                    ..
                } = p;
                let op = usize::from(p.op).min(self.day.ops.len() - 1);
                let expires = self.now + left;
                let job = Job {
                    from,
                    delivery,
                    tried,
                    command,
                    op,
                    key,
                    mark,
                    expires,
                };
                let taken = process.model.arrive(self.now, job);
                if process.model.fallen {
                    return self.fell(seat);
                }
                if !taken {
                    let host = self.seats[seat].host;
                    self.note(Observation::Replied {
                        host,
                        attempt: tried,
                        delivery,
                        kind: ReplyKind::Full,
                    });
                    self.reply(pair, epoch, RouterWord::Full(delivery));
                }
            }
        }
        self.pump(seat);
    }

    pub(super) fn reply(&mut self, pair: usize, epoch: u32, word: RouterWord) {
        if self.pairs[pair].epoch != epoch {
            return;
        }
        let at = (self.now + self.crossing(pair)).max(self.pairs[pair].last_from);
        self.pairs[pair].last_from = at;
        self.plan_at(at, What::FromHost { pair, epoch, word });
    }

    pub(super) fn reaches_router(&mut self, pair: usize, epoch: u32, word: RouterWord) {
        if self.pairs[pair].epoch != epoch {
            return;
        }
        if self.way(pair).is_none() {
            return self.blocked.push(What::FromHost { pair, epoch, word });
        }
        let (seat, router) = self.ends_of(pair);
        let p = &mut self.pairs[pair];
        (p.quiet_since, p.pinged) = (self.now, false);
        let (delivery, message) = match word {
            RouterWord::Broken => return self.broken(pair, TransportFailure::Reset),
            RouterWord::Pong => {
                p.pong();
                if p.ask() {
                    self.send(pair, HostWord::Ping);
                }
                return;
            }
            RouterWord::Acked { delivery, wrong } => {
                let body = Bytes::from_static(if wrong { b"wrong" } else { b"right" });
                (delivery, FromHost::Acked { delivery, body })
            }
            RouterWord::Error(delivery) => (delivery, FromHost::Error { delivery }),
            RouterWord::Full(delivery) => (delivery, FromHost::Full { delivery }),
        };
        p.used = self.now;
        if let Some(at) = p.out.iter().position(|d| *d == delivery) {
            p.out.remove(at);
        }
        p.cancelled.retain(|c| c.0 != delivery);
        let (host, by) = (self.seats[seat].host, self.routers[router as usize].process);
        self.give(by, Input::FromHost { host, message });
    }
}
