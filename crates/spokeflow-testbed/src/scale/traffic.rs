//! Records what the tap observes: bytes and frames of each participant, the leader, lapses of leases, and which router
//! has which revision.

use std::collections::BTreeMap;

use super::propagation::Propagation;
use crate::fleet::Participant;
use crate::Micros;

/// Traffic of one router or voter. Bytes include the four-byte length prefix of each frame, but not the headers of TCP
/// and IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeTraffic {
    pub bytes_sent: u64,
    pub frames_sent: u64,
    pub bytes_received: u64,
    pub frames_received: u64,
    /// Number of connections opened so far, by it or to it.
    pub connections_opened: u64,
    /// Number of connections that are open now.
    pub connections: u64,
}

impl NodeTraffic {
    /// Returns the traffic since the earlier record `before`, with the connections that are open now.
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

    /// Adds the traffic of a further interval; `connections` becomes the larger of both.
    pub fn add(&mut self, more: &NodeTraffic) {
        self.bytes_sent += more.bytes_sent;
        self.frames_sent += more.frames_sent;
        self.bytes_received += more.bytes_received;
        self.frames_received += more.frames_received;
        self.connections_opened += more.connections_opened;
        self.connections = self.connections.max(more.connections);
    }
}

/// The newest leader that the tap has observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    pub term: u64,
    pub voter: u32,
    /// When its first message as the leader was forwarded.
    pub since: Micros,
    /// When the first grant since then was forwarded; `None`: no grant yet.
    pub first_grant: Option<Micros>,
}

/// Lapses: times without a lease at a router, from the expiry of its last lease to the next grant. A lease is counted
/// from the sending of its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lapses {
    /// Number of lapses.
    pub count: u64,
    /// Duration of the longest lapse, in microseconds.
    pub longest: Micros,
}

/// Everything that the tap records.
#[derive(Debug, Default)]
pub struct TapRecord {
    /// Traffic by participant.
    pub traffic: BTreeMap<Participant, NodeTraffic>,
    /// Leader of the newest term.
    pub leadership: Leadership,
    /// Lapses of all routers.
    pub lapses: Lapses,
    /// Propagation of the revisions to the routers.
    pub propagation: Propagation,
    /// When the lease of each router expires or expired.
    lease_until: BTreeMap<u32, Micros>,
}

impl TapRecord {
    /// Records that a connection of a participant was opened.
    pub fn opened(&mut self, node: Participant) {
        let traffic = self.traffic.entry(node).or_default();
        traffic.connections_opened += 1;
        traffic.connections += 1;
    }

    /// Records that a connection of a participant was closed.
    pub fn closed(&mut self, node: Participant) {
        let traffic = self.traffic.entry(node).or_default();
        traffic.connections = traffic.connections.saturating_sub(1);
    }

    /// Records that a frame of `bytes` bytes was forwarded.
    pub fn forwarded(&mut self, from: Participant, to: Participant, bytes: u64) {
        let sender = self.traffic.entry(from).or_default();
        sender.bytes_sent += bytes;
        sender.frames_sent += 1;
        let receiver = self.traffic.entry(to).or_default();
        receiver.bytes_received += bytes;
        receiver.frames_received += 1;
    }

    /// Records a message that only the leader of `term` sends.
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

    /// Records that a router is started. A lease of its earlier process no longer counts.
    pub fn started(&mut self, now: Micros, router: u32) {
        self.lease_until.remove(&router);
        self.propagation.started(now, router);
    }

    /// Records that a grant was forwarded to a router, for a request that it sent at `requested_at`. `holder_duration`
    /// is the duration of the lease by the router's clock.
    pub fn granted(
        &mut self,
        now: Micros,
        router: u32,
        requested_at: Micros,
        holder_duration: Micros,
    ) {
        self.leadership.first_grant.get_or_insert(now);
        let until = self.lease_until.get(&router).copied();
        let was_present = self
            .propagation
            .was_present(router, until.unwrap_or(now), now);
        if let Some(until) = until.filter(|until| *until < now && was_present) {
            self.lapses.count += 1;
            self.lapses.longest = self.lapses.longest.max(now - until);
        }
        self.lease_until.insert(
            router,
            until.unwrap_or(0).max(requested_at + holder_duration),
        );
    }
}
