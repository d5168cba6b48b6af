//! The transport of a router: the messages that it sends to clients, hosts, the host list, the release controller and
//! other routers.

use std::rc::Rc;

use spokeflow_core::{BuildId, HostId};
use spokeflow_engine::{Transport, TransportFailure};
use spokeflow_proto::{ToClient, ToController, ToHost, ToList, VoteChoice};
use spokeflow_scenario::active_faults::LinkKind;
use spokeflow_scenario::observation::Process;
use spokeflow_scenario::release_controller::ControllerVote;
use spokeflow_scenario::scenario::BuildDefect;
use spokeflow_scenario::traffic::AttemptEnd;
use spokeflow_scenario::Micros;

use super::clients::decode_body;
use super::event::{Event, HostMessage};
use super::{World, LOCAL_DELAY};
use crate::host_link::{DeliveryMessage, LinkState, IDLE_TIMEOUT, QUEUE_LIMIT};
use crate::strategy::{HostView, OracleTransport};

/// Limit for the time left of a command, in microseconds, so that sums of times do not overflow.
const MAX_LEFT_US: u64 = 1 << 40;

/// The transport that a router's strategy uses while it handles one input.
pub(super) struct RouterTransport<'a> {
    pub(super) world: &'a mut World,
    pub(super) router: u32,
}

impl RouterTransport<'_> {
    fn process(&self) -> Process {
        self.world.routers[self.router as usize].process
    }

    fn link_id(&self, host: HostId) -> Option<usize> {
        let slot = self.world.slot_by_host.get(&host.0)?;
        Some(self.world.link_id(*slot, self.router))
    }
}

impl RouterTransport<'_> {
    /// Sends a delivery or queues it for the connection. Returns false if the queue is full.
    fn deliver(&mut self, link_id: usize, message: DeliveryMessage) -> bool {
        let now = self.world.now;
        let delivery = message.delivery;
        let link = &mut self.world.host_links[link_id];
        if link.waiting.len() >= QUEUE_LIMIT {
            return false;
        }
        if !link.is_open {
            self.world
                .fail_deliveries(link_id, [delivery], TransportFailure::NotSent);
            return true;
        }
        if link.state == LinkState::Up && link.is_idle() && now - link.last_used > IDLE_TIMEOUT {
            link.close();
        }
        match link.state {
            LinkState::Up => self.world.deliver(link_id, message),
            LinkState::Connecting => link.waiting.push(message),
            LinkState::Closed if now < link.not_before => {
                self.world
                    .fail_deliveries(link_id, [delivery], TransportFailure::NotConnected);
            }
            LinkState::Closed => {
                link.waiting.push(message);
                self.world.connect(link_id);
            }
        }
        true
    }

    fn cancel(&mut self, link_id: usize, delivery: u64) {
        let link = &mut self.world.host_links[link_id];
        let waiting = link
            .waiting
            .iter()
            .position(|message| message.delivery == delivery);
        if let Some(index) = waiting {
            link.waiting.remove(index);
            self.world
                .fail_deliveries(link_id, [delivery], TransportFailure::NotSent);
            return;
        }
        let Some(index) = link.in_flight.iter().position(|sent| *sent == delivery) else {
            return;
        };
        link.in_flight.remove(index);
        link.cancelled.push((delivery, link.pings + 1));
        let must_ping = link.start_ping();
        self.world.send(link_id, HostMessage::Cancel(delivery));
        if must_ping {
            self.world.send(link_id, HostMessage::Ping);
        }
    }
}

impl Transport for RouterTransport<'_> {
    fn to_client(&mut self, _conn: u64, message: ToClient) {
        let (attempt, end, receipt) = match message {
            ToClient::Acked {
                id,
                build,
                receipt,
                body,
            } => (
                id,
                AttemptEnd::Acked {
                    build,
                    wrong: &body[..] == b"wrong",
                },
                receipt,
            ),
            ToClient::Nacked { id, retry_after_us } => (
                id,
                AttemptEnd::Nacked(retry_after_us.map(|after| after as Micros)),
                0,
            ),
            ToClient::Failed { id } => (id, AttemptEnd::Failed, 0),
            _ => return,
        };
        self.world.schedule(
            LOCAL_DELAY,
            Event::AnswerAtClient {
                attempt,
                end,
                receipt,
            },
        );
    }

    fn to_host(&mut self, host: HostId, message: ToHost, send_deadline: Micros) -> bool {
        let process = self.process();
        let Some(link_id) = self.link_id(host) else {
            // The host left so long ago that its slot has been freed.
            if let ToHost::Deliver { delivery, .. } = message {
                self.world.schedule(
                    0,
                    Event::DeliveryFailed {
                        process,
                        host: host.0,
                        delivery,
                        failure: TransportFailure::NotConnected,
                    },
                );
            }
            return true;
        };
        match message {
            ToHost::Deliver {
                delivery,
                op,
                key,
                idempotency_key,
                left_us,
                body,
                ..
            } => {
                let (attempt, command) = decode_body(&body);
                let message = DeliveryMessage {
                    delivery,
                    attempt,
                    command,
                    op,
                    key,
                    idempotency_key,
                    time_left: left_us.min(MAX_LEFT_US) as Micros,
                    send_deadline,
                };
                return self.deliver(link_id, message);
            }
            ToHost::Cancel { delivery } => self.cancel(link_id, delivery),
            _ => {}
        }
        true
    }

    fn to_list(&mut self, message: ToList) -> bool {
        let process = self.process();
        let slot = &self.world.routers[self.router as usize];
        if !slot.is_list_connected {
            return false;
        }
        let connection = slot.list_connection;
        let have = if let ToList::Watch { have } = message {
            have
        } else {
            None
        };
        self.world
            .send_to_control_site(process, |process| Event::ListRequest {
                process,
                connection,
                have,
            });
        true
    }

    fn to_controller(&mut self, message: ToController) -> bool {
        let process = self.process();
        if let ToController::Vote {
            ballot,
            build,
            stage,
            choice,
        } = message
        {
            let vote = match choice {
                VoteChoice::Abstain => ControllerVote::None,
                VoteChoice::Promote => ControllerVote::On,
                VoteChoice::Hold => ControllerVote::Hold,
                VoteChoice::RollBack => ControllerVote::Back,
            };
            self.world
                .send_to_control_site(process, |process| Event::VoteAtController {
                    process,
                    ballot,
                    build,
                    stage,
                    vote,
                });
        }
        true
    }

    fn to_routers(&mut self, router: Option<u32>, text: &[u8]) {
        let from = self.router;
        let own_site = self.world.routers[from as usize].site;
        let text = Rc::new(text.to_vec());
        let targets = match router {
            Some(router) => router..router + 1,
            None => 0..self.world.scenario.routers,
        };
        for router in targets.filter(|r| *r != from) {
            let Some(slot) = self.world.routers.get(router as usize) else {
                continue;
            };
            let (process, site) = (slot.process, slot.site);
            // A gossip message that meets a cut link is dropped and not blocked: old evidence is of no use.
            if let Some(delay) = self.world.faults.delay(own_site, site, LinkKind::Hosts) {
                let text = text.clone();
                self.world.schedule(
                    delay.max(LOCAL_DELAY),
                    Event::GossipAtRouter {
                        process,
                        from,
                        text,
                    },
                );
            }
        }
    }

    fn host_open(&mut self, host: HostId, _address: &str, incarnation: u64) {
        if let Some(link_id) = self.link_id(host) {
            let link = &mut self.world.host_links[link_id];
            link.is_open = true;
            link.incarnation = incarnation;
        }
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        let Some(link_id) = self.link_id(host) else {
            return;
        };
        let link = &mut self.world.host_links[link_id];
        link.is_open = false;
        let unsent = std::mem::take(&mut link.waiting);
        if gone && link.is_idle() && link.state == LinkState::Up {
            link.close();
        }
        self.world.fail_deliveries(
            link_id,
            unsent.into_iter().map(|message| message.delivery),
            TransportFailure::NotSent,
        );
    }
}

impl OracleTransport for RouterTransport<'_> {
    fn host_view(&self, host: HostId) -> HostView {
        let unreachable = HostView {
            is_up: false,
            work_before: 0.0,
            delay: None,
            speed: 0.0,
            failure_rate: 0.0,
            has_headroom: false,
        };
        let Some(link_id) = self.link_id(host) else {
            return unreachable;
        };
        let (slot, _) = self.world.link_ends(link_id);
        let slot = &self.world.host_slots[slot];
        let Some(process) = slot.process.as_ref().filter(|p| !p.model.crashed) else {
            return unreachable;
        };
        let (model, now) = (&process.model, self.world.now);
        HostView {
            is_up: !model.fault.hangs,
            work_before: model.work_before(now),
            delay: self.world.link_delay(link_id),
            speed: model.speed * model.warm_up_fraction(now)
                / (model.fault.slowdown * model.fault.shared_slowdown),
            failure_rate: model.fault.failure_probability,
            has_headroom: model.has_headroom(now),
        }
    }

    fn is_defective(&self, build: BuildId) -> bool {
        self.world
            .scenario
            .builds
            .iter()
            .any(|b| b.number == build.0 && b.defect != BuildDefect::None)
    }
}
