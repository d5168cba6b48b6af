//! Simulated network of a cluster, and fault injection.

use rand::RngExt;
use spokeflow_core::Micros;
use spokeflow_raft::{Message, NodeId};

use super::{Cluster, Event, MS, SECOND};

/// One direction between two nodes in which all messages are lost.
pub(super) struct CutLink {
    /// Id shared by all links that were cut at the same time.
    pub(super) cut: u64,
    from: usize,
    to: usize,
}

/// Which messages of a node are lost while its links are cut.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkFault {
    /// All messages, in both directions.
    Isolated,
    /// All messages that the node sends.
    SendsNothing,
    /// All messages that the node sends to some of the other nodes.
    SendsToSome,
}

impl Cluster {
    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self
            .cut_links
            .iter()
            .any(|link| link.from == from && link.to == to);
        let probability = |when_faulty: f64| if self.faulty { when_faulty } else { 0.0 };
        let lost = probability(0.04);
        let duplicated = probability(0.03);
        let delayed = probability(0.05);
        if is_cut || self.rng.random_bool(lost) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(duplicated));
        for _ in 0..copies {
            // Some messages are delayed by seconds, to arrive in a later term or after a restart.
            let latency = if self.rng.random_bool(delayed) {
                50 * MS..4 * SECOND
            } else {
                MS..15 * MS
            };
            let after = self.rng.random_range(latency);
            let event = Event::Deliver {
                to,
                from: NodeId(from as u32),
                message: message.clone(),
            };
            self.schedule(after, event);
        }
    }

    pub(super) fn inject_fault(&mut self) {
        let next = self.rng.random_range(300 * MS..3 * SECOND);
        self.schedule(next, Event::InjectFault);
        let node = self.rng.random_range(0..self.nodes.len());
        let duration = self.rng.random_range(50 * MS..3 * SECOND);
        match self.rng.random_range(0..5) {
            0 => {
                self.nodes[node].raft = None;
                self.schedule(duration, Event::Restart { node });
            }
            1 => {
                self.nodes[node].paused = true;
                self.schedule(duration, Event::Resume { node });
            }
            2 => self.cut_links(node, duration, LinkFault::Isolated),
            3 => self.cut_links(node, duration, LinkFault::SendsNothing),
            _ => self.cut_links(node, duration, LinkFault::SendsToSome),
        }
    }

    fn cut_links(&mut self, node: usize, duration: Micros, fault: LinkFault) {
        let cut = self.last_event;
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
            if fault != LinkFault::SendsToSome || self.rng.random_bool(0.5) {
                self.cut_links.push(CutLink {
                    cut,
                    from: node,
                    to: peer,
                });
            }
            if fault == LinkFault::Isolated {
                self.cut_links.push(CutLink {
                    cut,
                    from: peer,
                    to: node,
                });
            }
        }
        self.schedule(duration, Event::RestoreLinks { cut });
    }
}
