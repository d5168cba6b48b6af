//! Draws faults from the seed of a run. The order of the draws must not change, so that a seed gives the same faults in
//! every version.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::RngExt;
use spokeflow_control_plane::CRASH_POINTS;

use super::faults::{Disk, Fault};
use super::switchboard::{Link, LinkCondition, Participant};

/// Draws faults among the current nodes and routers.
pub(super) struct FaultPlan<'a> {
    pub(super) rng: &'a mut StdRng,
    /// Numbers of the nodes that are part of the fleet.
    pub(super) nodes: &'a [u32],
    /// Number of routers; they are numbered from 0.
    pub(super) routers: u32,
    /// Lease of a router. Fault durations range from a fraction of it to a small multiple.
    pub(super) lease: Duration,
}

impl FaultPlan<'_> {
    pub(super) fn draw(&mut self) -> Fault {
        let node = self.nodes[self.rng.random_range(0..self.nodes.len())];
        let router = self.rng.random_range(0..self.routers);
        let lease_ms = self.lease.as_millis() as u64;
        match self.rng.random_range(0..100) {
            0..14 => self.kill_node(node, 2500, Disk::Own),
            14..19 => self.kill_node(node, 500, Disk::Stale),
            19..22 => self.kill_node(node, 500, Disk::Truncated),
            22..25 => self.kill_node(node, 500, Disk::Empty),
            25..33 => self.crash_at(node),
            33..36 => Fault::FailWrites {
                node,
                after: self.rng.random_range(1..8),
            },
            36..46 => Fault::PauseNode {
                node,
                lasts: self.draw_duration(200, 2 * lease_ms),
            },
            46..49 => Fault::KillAllNodes {
                lasts: self.draw_duration(lease_ms / 2, 3 * lease_ms),
            },
            49..53 => Fault::ReplaceNode { node },
            53..61 => Fault::KillRouter {
                router,
                down: self.draw_duration(50, 1500),
            },
            61..74 => Fault::PauseRouter {
                router,
                lasts: self.draw_duration(200, 2 * lease_ms),
            },
            74..90 => self.cut(node, router, lease_ms),
            _ => self.degrade(lease_ms),
        }
    }

    fn draw_duration(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn kill_node(&mut self, node: u32, max_down_ms: u64, disk: Disk) -> Fault {
        let down = self.draw_duration(50, max_down_ms);
        Fault::KillNode { node, down, disk }
    }

    fn crash_at(&mut self, node: u32) -> Fault {
        let point = CRASH_POINTS[self.rng.random_range(0..CRASH_POINTS.len())].name();
        let count = self.rng.random_range(1..12);
        Fault::CrashAt {
            node,
            point: format!("{point}:{count}"),
        }
    }

    fn cut(&mut self, node: u32, router: u32, lease_ms: u64) -> Fault {
        let kind = self.rng.random_range(0..6);
        let lasts = self.draw_duration(300, 2 * lease_ms);
        let links = self.cut_links(kind, node, router);
        let reset = self.rng.random_bool(0.5);
        Fault::Cut {
            links,
            lasts,
            reset,
        }
    }

    /// Returns the links of one of six kinds of cut: three between nodes, three between routers and nodes.
    fn cut_links(&mut self, kind: i32, node: u32, router: u32) -> Vec<Link> {
        let node = Participant::Node(node);
        let router = Participant::Router(router);
        let all: Vec<Participant> = self.nodes.iter().copied().map(Participant::Node).collect();
        let others = all.iter().copied().filter(|other| *other != node);
        match kind {
            // The node is isolated from all other nodes.
            0 => others.flat_map(|other| Link::both(node, other)).collect(),
            // Frames from the node reach no other node.
            1 => others.map(|other| Link::new(node, other)).collect(),
            // The node is cut off from some of the other nodes.
            2 => others
                .filter(|_| self.rng.random_bool(0.5))
                .flat_map(|other| Link::both(node, other))
                .collect(),
            // The router is isolated from all nodes.
            3 => all
                .into_iter()
                .flat_map(|other| Link::both(router, other))
                .collect(),
            // Frames from the router reach no node.
            4 => all
                .into_iter()
                .map(|other| Link::new(router, other))
                .collect(),
            // Each router is cut off from some of the nodes.
            _ => (0..self.routers)
                .flat_map(|router| all.iter().map(move |other| (router, *other)))
                .filter(|_| self.rng.random_bool(0.5))
                .flat_map(|(router, other)| Link::both(Participant::Router(router), other))
                .collect(),
        }
    }

    fn degrade(&mut self, lease_ms: u64) -> Fault {
        let mut condition = LinkCondition::HEALTHY;
        match self.rng.random_range(0..4) {
            0 => condition.delay = self.draw_duration(20, 300),
            1 => {
                condition.loss = 0.1;
                condition.duplication = 0.1;
                condition.reordering = 0.1;
            }
            2 => condition.trickle = true,
            _ => condition.truncation = 0.05,
        }
        Fault::Degrade {
            condition,
            lasts: self.draw_duration(500, 2 * lease_ms),
        }
    }
}
