//! The links of a router: what it sends to clients, hosts, the list, the release controller and other routers.

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

use super::clients::read_body;
use super::event::{Event, HostMessage};
use super::{World, LOCAL_DELAY};
use crate::host_link::{Link, Message, IDLE_TIMEOUT, QUEUE_LIMIT};
use crate::strategy::{HostView, Wiring};

/// Longer times left are taken for this, so that sums of times stay in range.
const MAX_LEFT_US: u64 = 1 << 40;

/// The links of one router, while its strategy decides.
pub(super) struct RouterTransport<'a> {
    pub(super) world: &'a mut World,
    pub(super) router: u32,
}

impl RouterTransport<'_> {
    fn by(&self) -> Process {
        self.world.routers[self.router as usize].process
    }

    fn pair(&self, host: HostId) -> Option<usize> {
        let seat = self.world.slot_of.get(&host.0)?;
        Some(self.world.pair_of(*seat, self.router))
    }
}

impl RouterTransport<'_> {
    /// Returns false where too many messages wait for the connection.
    fn deliver(&mut self, pair: usize, message: Message) -> bool {
        let now = self.world.now;
        let delivery = message.delivery;
        let link = &mut self.world.host_links[pair];
        if link.waiting.len() >= QUEUE_LIMIT {
            return false;
        }
        if !link.open {
            self.world.lose(pair, [delivery], TransportFailure::NotSent);
            return true;
        }
        if link.link == Link::Up && link.idle() && now - link.last_used > IDLE_TIMEOUT {
            link.drop_link();
        }
        match link.link {
            Link::Up => self.world.deliver(pair, message),
            Link::Connecting => link.waiting.push(message),
            Link::Closed if now < link.not_before => {
                self.world
                    .lose(pair, [delivery], TransportFailure::NotConnected);
            }
            Link::Closed => {
                link.waiting.push(message);
                self.world.connect(pair);
            }
        }
        true
    }

    fn cancel(&mut self, pair: usize, delivery: u64) {
        let link = &mut self.world.host_links[pair];
        let waiting = link
            .waiting
            .iter()
            .position(|message| message.delivery == delivery);
        if let Some(index) = waiting {
            link.waiting.remove(index);
            self.world.lose(pair, [delivery], TransportFailure::NotSent);
            return;
        }
        let Some(index) = link.in_flight.iter().position(|sent| *sent == delivery) else {
            return;
        };
        link.in_flight.remove(index);
        link.cancelled.push((delivery, link.pings + 1));
        let pings = link.start_ping();
        self.world.send(pair, HostMessage::Cancel(delivery));
        if pings {
            self.world.send(pair, HostMessage::Ping);
        }
    }
}

impl Transport for RouterTransport<'_> {
    fn to_client(&mut self, _conn: u64, message: ToClient) {
        let (tried, end, receipt) = match message {
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
            ToClient::Nacked {
                id,
                retry_after_us: come_back_us,
            } => (id, AttemptEnd::Nacked(come_back_us.map(|t| t as Micros)), 0),
            ToClient::Failed { id } => (id, AttemptEnd::Failed, 0),
            _ => return,
        };
        self.world.plan(
            LOCAL_DELAY,
            Event::AnswerAtClient {
                tried,
                end,
                receipt,
            },
        );
    }

    fn to_host(&mut self, host: HostId, message: ToHost, leave_by: Micros) -> bool {
        let by = self.by();
        let Some(pair) = self.pair(host) else {
            // Gone for long: nothing answers there.
            if let ToHost::Deliver { delivery, .. } = message {
                let end = TransportFailure::NotConnected;
                self.world.plan(
                    0,
                    Event::DeliveryFailed {
                        by,
                        host: host.0,
                        delivery,
                        end,
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
                let (attempt, command) = read_body(&body);
                let message = Message {
                    delivery,
                    attempt,
                    command,
                    op,
                    key,
                    idempotency_key,
                    left: left_us.min(MAX_LEFT_US) as Micros,
                    leave_by,
                };
                return self.deliver(pair, message);
            }
            ToHost::Cancel { delivery } => self.cancel(pair, delivery),
            _ => {}
        }
        true
    }

    fn to_list(&mut self, message: ToList) -> bool {
        let by = self.by();
        let seat = &self.world.routers[self.router as usize];
        if !seat.list_up {
            return false;
        }
        let link = seat.list_link;
        let have = if let ToList::Watch { have } = message {
            have
        } else {
            None
        };
        self.world
            .ask_office(by, |by| Event::ListRequest { by, link, have });
        true
    }

    fn to_controller(&mut self, message: ToController) -> bool {
        let by = self.by();
        if let ToController::Vote {
            ballot,
            build,
            stage,
            choice: verdict,
        } = message
        {
            let verdict = match verdict {
                VoteChoice::Abstain => ControllerVote::None,
                VoteChoice::Promote => ControllerVote::On,
                VoteChoice::Hold => ControllerVote::Hold,
                VoteChoice::RollBack => ControllerVote::Back,
            };
            self.world.ask_office(by, |by| Event::VoteAtController {
                by,
                ballot,
                build,
                stage,
                verdict,
            });
        }
        true
    }

    fn to_routers(&mut self, router: Option<u32>, text: &[u8]) {
        let from = self.router;
        let own = self.world.routers[from as usize].site;
        let text = Rc::new(text.to_vec());
        let to = match router {
            Some(router) => router..router + 1,
            None => 0..self.world.day.routers,
        };
        for router in to.filter(|r| *r != from) {
            let Some(seat) = self.world.routers.get(router as usize) else {
                continue;
            };
            let (by, site) = (seat.process, seat.site);
            // Event meets a cut is not kept: old evidence is no evidence.
            if let Some(way) = self.world.faults.delay(own, site, LinkKind::Hosts) {
                let text = text.clone();
                self.world.plan(
                    way.max(LOCAL_DELAY),
                    Event::GossipAtRouter { by, from, text },
                );
            }
        }
    }

    fn host_open(&mut self, host: HostId, _address: &str, incarnation: u64) {
        if let Some(pair) = self.pair(host) {
            let p = &mut self.world.host_links[pair];
            p.open = true;
            p.incarnation = incarnation;
        }
    }

    fn host_closed(&mut self, host: HostId, gone: bool) {
        let Some(pair) = self.pair(host) else { return };
        let p = &mut self.world.host_links[pair];
        p.open = false;
        let unsent = std::mem::take(&mut p.waiting);
        if gone && p.idle() && p.link == Link::Up {
            p.drop_link();
        }
        self.world.lose(
            pair,
            unsent.into_iter().map(|w| w.delivery),
            TransportFailure::NotSent,
        );
    }
}

impl Wiring for RouterTransport<'_> {
    fn look(&self, host: HostId) -> HostView {
        let none = HostView {
            up: false,
            work_before: 0.0,
            delay: None,
            speed: 0.0,
            failure_rate: 0.0,
            has_headroom: false,
        };
        let Some(pair) = self.pair(host) else {
            return none;
        };
        let (seat, _) = self.world.ends_of(pair);
        let seat = &self.world.host_slots[seat];
        let Some(process) = seat.process.as_ref().filter(|p| !p.model.crashed) else {
            return none;
        };
        let (model, now) = (&process.model, self.world.now);
        HostView {
            up: !model.fault.hangs,
            work_before: model.work_before(now),
            delay: self.world.way(pair),
            speed: model.speed * model.warm_up_fraction(now)
                / (model.fault.slowdown * model.fault.shared_slowdown),
            failure_rate: model.fault.failure_probability,
            has_headroom: model.has_headroom(now),
        }
    }

    fn is_bad(&self, build: BuildId) -> bool {
        self.world
            .day
            .builds
            .iter()
            .any(|b| b.number == build.0 && b.defect != BuildDefect::None)
    }
}
