//! What has crossed the tap: bytes and frames by process, who leads, leases, and which router has which revision.

use std::collections::BTreeMap;

use super::propagation::Propagation;
use crate::fleet::Participant;
use crate::Micros;

/// What one router or voter sent and received, counted in frames with their four bytes of length; headers of TCP and IP
/// are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeTraffic {
    pub bytes_sent: u64,
    pub frames_sent: u64,
    pub bytes_received: u64,
    pub frames_received: u64,
    /// Connections that it made or took, so far.
    pub connections_opened: u64,
    /// Those that are open now.
    pub connections: u64,
}

impl NodeTraffic {
    /// What came since `before`; the connections that are open are those of now.
    pub fn since(&self, before: &NodeTraffic) -> NodeTraffic {
        NodeTraffic {
            bytes_sent: self.bytes_sent - before.bytes_sent,
            frames_sent: self.frames_sent - before.frames_sent,
            bytes_received: self.bytes_received - before.bytes_received,
            frames_received: self.frames_received - before.frames_received,
            connections_opened: self.connections_opened - before.connections_opened,
            connections: self.connections,
        }
    }

    pub fn add(&mut self, more: &NodeTraffic) {
        self.bytes_sent += more.bytes_sent;
        self.frames_sent += more.frames_sent;
        self.bytes_received += more.bytes_received;
        self.frames_received += more.frames_received;
        self.connections_opened += more.connections_opened;
        self.connections = self.connections.max(more.connections);
    }
}

/// The voter that led last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    pub term: u64,
    pub voter: u32,
    /// When its first message as a leader crossed.
    pub since: Micros,
    /// When the first grant crossed since then.
    pub first_grant: Option<Micros>,
}

/// How often and how long routers were without a lease, by the sending of the request that the last grant answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lapses {
    /// How often.
    pub count: u64,
    /// The longest, in microseconds.
    pub longest: Micros,
}

/// All that the tap records.
#[derive(Debug, Default)]
pub struct TapRecord {
    /// By participant.
    pub traffic: BTreeMap<Participant, NodeTraffic>,
    /// Of the newest term.
    pub leadership: Leadership,
    /// Of all routers.
    pub lapses: Lapses,
    /// Of the revisions to the routers.
    pub propagation: Propagation,
    lease_until: BTreeMap<u32, Micros>,
}

impl TapRecord {
    /// A connection of a participant was opened.
    pub fn opened(&mut self, node: Participant) {
        let traffic = self.traffic.entry(node).or_default();
        traffic.connections_opened += 1;
        traffic.connections += 1;
    }

    /// A connection of a participant was closed.
    pub fn closed(&mut self, node: Participant) {
        let traffic = self.traffic.entry(node).or_default();
        traffic.connections = traffic.connections.saturating_sub(1);
    }

    /// A frame of so many bytes was forwarded.
    pub fn passed(&mut self, from: Participant, to: Participant, bytes: u64) {
        let sender = self.traffic.entry(from).or_default();
        sender.bytes_sent += bytes;
        sender.frames_sent += 1;
        let receiver = self.traffic.entry(to).or_default();
        receiver.bytes_received += bytes;
        receiver.frames_received += 1;
    }

    /// A message that only the leader of `term` sends.
    pub fn led(&mut self, now: Micros, voter: u32, term: u64) {
        if term > self.leadership.term {
            self.leadership = Leadership {
                term,
                voter,
                since: now,
                first_grant: None,
            };
        }
    }

    /// A router is started now: no earlier lease is its own.
    pub fn started(&mut self, now: Micros, router: u32) {
        self.lease_until.remove(&router);
        self.propagation.started(now, router);
    }

    /// A grant has been handed on to a router, for a request that it sent at `asked`; `held` is the lease.
    pub fn granted(&mut self, now: Micros, router: u32, asked: Micros, held: Micros) {
        self.leadership.first_grant.get_or_insert(now);
        let until = self.lease_until.get(&router).copied();
        let present = self
            .propagation
            .was_present(router, until.unwrap_or(now), now);
        if let Some(until) = until.filter(|until| *until < now && present) {
            self.lapses.count += 1;
            self.lapses.longest = self.lapses.longest.max(now - until);
        }
        self.lease_until
            .insert(router, until.unwrap_or(0).max(asked + held));
    }
}
