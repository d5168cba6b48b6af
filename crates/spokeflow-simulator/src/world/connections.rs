//! The connections of routers to hosts, and the messages that are sent on them.

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
use crate::host_link::{backoff, DeliveryMessage, LinkState, CONNECT_TIMEOUT, LINK_TIMEOUT};

/// Delay assumed for a message on a link that is cut; whether it is still cut is checked when the message arrives.
pub(super) const CUT_LINK_DELAY: Micros = 2 * MS;
/// Time to open a connection, in one-way delays of the link.
const CONNECT_LINK_DELAYS: Micros = 4;
/// Time until a host without a running process refuses a connection, in one-way delays of the link.
const REFUSAL_LINK_DELAYS: Micros = 2;

impl World {
    /// Returns the host slot and the router that a link connects.
    pub(super) fn link_ends(&self, link_id: usize) -> (usize, u32) {
        let routers = self.scenario.routers as usize;
        (link_id / routers, (link_id % routers) as u32)
    }

    /// Returns the index in `host_links` of the link between a host slot and a router.
    pub(super) fn link_id(&self, slot: usize, router: u32) -> usize {
        slot * self.scenario.routers as usize + router as usize
    }

    /// Returns the one-way delay, or `None` while host and router are cut off from each other.
    pub(super) fn link_delay(&self, link_id: usize) -> Option<Micros> {
        let (slot, router) = self.link_ends(link_id);
        let host_site = self.host_slots[slot].site;
        let router_site = self.routers[router as usize].site;
        self.faults
            .delay(host_site, router_site, LinkKind::Hosts)
            .map(|delay| delay.max(LOCAL_DELAY))
    }

    /// Draws the delay of one message, including the time to send lost packets again. Whether the link is cut is
    /// checked when the message arrives.
    fn draw_message_delay(&mut self, link_id: usize) -> Micros {
        let (slot, router) = self.link_ends(link_id);
        let is_between_sites = self.host_slots[slot].site != self.routers[router as usize].site;
        let mut resend_delay = 0;
        while is_between_sites
            && self.faults.loss > 0.0
            && resend_delay < 8 * RETRANSMISSION_DELAY
            && self.rng.random_bool(self.faults.loss)
        {
            resend_delay += RETRANSMISSION_DELAY.max(resend_delay);
        }
        self.link_delay(link_id).unwrap_or(CUT_LINK_DELAY) + resend_delay
    }

    /// Sends a message from a router to a host.
    pub(super) fn send(&mut self, link_id: usize, message: HostMessage) {
        let at =
            (self.now + self.draw_message_delay(link_id)).max(self.host_links[link_id].last_to);
        self.host_links[link_id].last_to = at;
        let epoch = self.host_links[link_id].epoch;
        self.schedule_at(
            at,
            Event::MessageAtHost {
                link_id,
                epoch,
                message,
            },
        );
    }

    pub(super) fn deliver(&mut self, link_id: usize, message: DeliveryMessage) {
        let (slot, router) = self.link_ends(link_id);
        let (host, build) = (self.host_slots[slot].host, self.host_slots[slot].build);
        let from = self.routers[router as usize].process;
        let link = &mut self.host_links[link_id];
        link.last_used = self.now;
        if link.is_idle() {
            link.silent_since = self.now;
            link.is_pinged = false;
        }
        link.in_flight.push(message.delivery);
        let has_check = std::mem::replace(&mut link.has_silence_check, true);
        let epoch = link.epoch;
        if !has_check {
            self.schedule(LINK_TIMEOUT / 2, Event::SilenceCheck { link_id, epoch });
        }
        let (attempt, delivery) = (message.attempt, message.delivery);
        self.observe(Observation::Delivered {
            host,
            build,
            from,
            attempt,
            delivery,
        });
        self.send(link_id, HostMessage::Deliver(message));
    }

    /// Reports deliveries as failed to the router.
    pub(super) fn fail_deliveries(
        &mut self,
        link_id: usize,
        deliveries: impl IntoIterator<Item = u64>,
        failure: TransportFailure,
    ) {
        let (slot, router) = self.link_ends(link_id);
        let (host, process) = (
            self.host_slots[slot].host,
            self.routers[router as usize].process,
        );
        for delivery in deliveries {
            self.schedule(
                0,
                Event::DeliveryFailed {
                    process,
                    host,
                    delivery,
                    failure,
                },
            );
        }
    }

    /// Opens a connection; [`Event::ConnectEnds`] tells how it ended. An unreachable host times out, and one
    /// without a running process refuses after one round trip.
    pub(super) fn connect(&mut self, link_id: usize) {
        let (slot, _) = self.link_ends(link_id);
        let is_running = self.host_slots[slot]
            .process
            .as_ref()
            .is_some_and(|p| !p.model.crashed);
        let link = &mut self.host_links[link_id];
        link.epoch += 1;
        link.state = LinkState::Connecting;
        let epoch = link.epoch;
        let took = match (self.link_delay(link_id), is_running) {
            (Some(delay), true) => CONNECT_LINK_DELAYS * delay + self.faults.slow_connects,
            (Some(delay), false) => REFUSAL_LINK_DELAYS * delay,
            (None, _) => CONNECT_TIMEOUT,
        };
        let fails = took >= CONNECT_TIMEOUT;
        self.schedule(
            took.min(CONNECT_TIMEOUT),
            Event::ConnectEnds {
                link_id,
                epoch,
                fails,
            },
        );
    }

    pub(super) fn on_connect_end(&mut self, link_id: usize, epoch: u32, fails: bool) {
        let link = &self.host_links[link_id];
        if link.epoch != epoch || link.state != LinkState::Connecting {
            return;
        }
        let (slot, router) = self.link_ends(link_id);
        let process = self.host_slots[slot]
            .process
            .as_ref()
            .filter(|p| !p.model.crashed && !fails);
        let (incarnation, began_at) = process.map_or((0, 0), |p| (p.incarnation, p.began_at));
        if process.is_none() || self.link_delay(link_id).is_none() {
            let jitter = self.rng.random_range(0.5..1.0);
            let now = self.now;
            let link = &mut self.host_links[link_id];
            link.not_before = now + backoff(link.failures, jitter);
            link.failures += 1;
            let (unsent, _) = link.close();
            return self.fail_deliveries(
                link_id,
                unsent.into_iter().map(|message| message.delivery),
                TransportFailure::NotConnected,
            );
        }
        let (host, build) = (self.host_slots[slot].host, self.host_slots[slot].build);
        let link = &mut self.host_links[link_id];
        link.state = LinkState::Up;
        link.up_since = self.now;
        link.last_used = self.now;
        link.silent_since = self.now;
        link.is_pinged = false;
        link.has_silence_check = false;
        let waiting = std::mem::take(&mut link.waiting);
        let is_expected = link.incarnation == incarnation;
        let up_us = (self.now - began_at) as u64;
        let router_process = self.routers[router as usize].process;
        // Deliveries that wait were routed to the process that the list named: another one may run another build.
        if is_expected {
            for message in waiting {
                if self.now >= message.send_deadline {
                    self.fail_deliveries(link_id, [message.delivery], TransportFailure::NotSent);
                } else {
                    self.deliver(link_id, message);
                }
            }
        } else {
            self.fail_deliveries(
                link_id,
                waiting.into_iter().map(|message| message.delivery),
                TransportFailure::NotConnected,
            );
        }
        let message = FromHost::Welcome {
            host,
            build,
            incarnation,
            up_us,
        };
        self.dispatch_input(router_process, Input::FromHost { host, message });
    }

    /// Handles a lost connection: deliveries that were sent end with `failure`.
    fn on_connection_lost(&mut self, link_id: usize, failure: TransportFailure) {
        let jitter = self.rng.random_range(0.5..1.0);
        let (unsent, sent) = self.host_links[link_id].on_lost(self.now, jitter);
        self.fail_deliveries(
            link_id,
            unsent.into_iter().map(|message| message.delivery),
            TransportFailure::NotSent,
        );
        self.fail_deliveries(link_id, sent, failure);
    }

    /// Pings a host that has been silent with deliveries in flight for half of [`LINK_TIMEOUT`], and gives the
    /// connection up after all of it.
    pub(super) fn check_silence(&mut self, link_id: usize, epoch: u32) {
        let link = &mut self.host_links[link_id];
        if link.epoch != epoch || link.state != LinkState::Up {
            return;
        }
        if link.is_idle() {
            link.has_silence_check = false;
            return;
        }
        let until = link.silent_since
            + if link.is_pinged {
                LINK_TIMEOUT
            } else {
                LINK_TIMEOUT / 2
            };
        if self.now < until {
            return self.schedule_at(until, Event::SilenceCheck { link_id, epoch });
        }
        if link.is_pinged {
            return self.on_connection_lost(link_id, TransportFailure::Unresponsive);
        }
        link.is_pinged = true;
        link.pings += 1;
        let until = link.silent_since + LINK_TIMEOUT;
        self.send(link_id, HostMessage::Ping);
        self.schedule_at(until, Event::SilenceCheck { link_id, epoch });
    }

    pub(super) fn on_message_at_host(&mut self, link_id: usize, epoch: u32, message: HostMessage) {
        if self.host_links[link_id].epoch != epoch {
            return;
        }
        if self.link_delay(link_id).is_none() {
            return self.blocked.push(Event::MessageAtHost {
                link_id,
                epoch,
                message,
            });
        }
        let (slot, _) = self.link_ends(link_id);
        let Some(process) = self.host_slots[slot]
            .process
            .as_mut()
            .filter(|p| !p.model.crashed)
        else {
            return;
        };
        let from = (link_id as u64) << 32 | u64::from(epoch);
        match message {
            HostMessage::Ping => return self.reply(link_id, epoch, RouterMessage::Pong),
            HostMessage::Cancel(delivery) => process.model.cancel(from, delivery),
            HostMessage::Deliver(message) => {
                let DeliveryMessage {
                    delivery,
                    attempt,
                    command,
                    key,
                    idempotency_key,
                    time_left,
                    ..
                } = message;
                let op = usize::from(message.op).min(self.scenario.ops.len() - 1);
                let expires = self.now + time_left;
                let job = Job {
                    from,
                    delivery,
                    attempt,
                    command,
                    op,
                    key,
                    idempotency_key,
                    expires,
                };
                let is_accepted = process.model.arrive(self.now, job);
                if process.model.crashed {
                    return self.on_host_crashed(slot);
                }
                if !is_accepted {
                    let host = self.host_slots[slot].host;
                    self.observe(Observation::Replied {
                        host,
                        attempt,
                        delivery,
                        kind: ReplyKind::Full,
                    });
                    self.reply(link_id, epoch, RouterMessage::Full(delivery));
                }
            }
        }
        self.run_jobs(slot);
    }

    /// Sends a message from a host to a router.
    pub(super) fn reply(&mut self, link_id: usize, epoch: u32, message: RouterMessage) {
        if self.host_links[link_id].epoch != epoch {
            return;
        }
        let at =
            (self.now + self.draw_message_delay(link_id)).max(self.host_links[link_id].last_from);
        self.host_links[link_id].last_from = at;
        self.schedule_at(
            at,
            Event::MessageAtRouter {
                link_id,
                epoch,
                message,
            },
        );
    }

    pub(super) fn on_message_at_router(
        &mut self,
        link_id: usize,
        epoch: u32,
        message: RouterMessage,
    ) {
        if self.host_links[link_id].epoch != epoch {
            return;
        }
        if self.link_delay(link_id).is_none() {
            return self.blocked.push(Event::MessageAtRouter {
                link_id,
                epoch,
                message,
            });
        }
        let (slot, router) = self.link_ends(link_id);
        let link = &mut self.host_links[link_id];
        link.silent_since = self.now;
        link.is_pinged = false;
        let (delivery, message) = match message {
            RouterMessage::Closed => {
                return self.on_connection_lost(link_id, TransportFailure::Reset)
            }
            RouterMessage::Pong => {
                link.on_pong();
                if link.start_ping() {
                    self.send(link_id, HostMessage::Ping);
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
        link.last_used = self.now;
        if let Some(index) = link.in_flight.iter().position(|sent| *sent == delivery) {
            link.in_flight.remove(index);
        }
        link.cancelled.retain(|c| c.0 != delivery);
        let (host, process) = (
            self.host_slots[slot].host,
            self.routers[router as usize].process,
        );
        self.dispatch_input(process, Input::FromHost { host, message });
    }
}
