//! Faults of one day, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::RngExt;
use spokeflow_control_plane::CRASH_POINTS;

use super::switchboard::{Node, Way};

#[derive(Clone, Debug, PartialEq)]
pub enum Disk {
    Own,
    /// As it was when the keeper was last killed before.
    Old,
    /// Its last part is missing.
    Torn,
    Empty,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    KillKeeper {
        keeper: u32,
        down: Duration,
        disk: Disk,
    },
    /// Whichever leads then.
    KillLeader {
        down: Duration,
    },
    /// Started so that it dies at a step of its own.
    DieAt {
        keeper: u32,
        place: String,
    },
    /// Started on a disk that fails after some writes.
    DiskFails {
        keeper: u32,
        after: u64,
    },
    StopKeeper {
        keeper: u32,
        lasts: Duration,
    },
    AllKeepersDown {
        lasts: Duration,
    },
    /// Another takes its place, by a change of those who vote.
    Replace {
        keeper: u32,
    },
    KillRouter {
        router: u32,
        down: Duration,
    },
    StopRouter {
        router: u32,
        lasts: Duration,
    },
    /// Ways that pass nothing; with `reset` the connections over them end as well.
    Cut {
        ways: Vec<(Node, Node)>,
        lasts: Duration,
        reset: bool,
    },
    /// All ways between all processes.
    Rough {
        way: Way,
        lasts: Duration,
    },
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Fault::Cut { ways, lasts, reset } => {
                let first = ways.first();
                write!(
                    f,
                    "{} ways cut for {lasts:?}, reset {reset}, first {first:?}",
                    ways.len()
                )
            }
            other => write!(f, "{other:?}"),
        }
    }
}

fn span(rng: &mut StdRng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(from_ms..to_ms))
}

/// One fault among so many keepers, numbered `keepers`, and routers.
pub fn draw(rng: &mut StdRng, keepers: &[u32], routers: u32, lease: Duration) -> Fault {
    let keeper = keepers[rng.random_range(0..keepers.len())];
    let router = rng.random_range(0..routers);
    let lease = lease.as_millis() as u64;
    match rng.random_range(0..100) {
        0..14 => Fault::KillKeeper {
            keeper,
            down: span(rng, 50, 2500),
            disk: Disk::Own,
        },
        14..19 => Fault::KillKeeper {
            keeper,
            down: span(rng, 50, 500),
            disk: Disk::Old,
        },
        19..22 => Fault::KillKeeper {
            keeper,
            down: span(rng, 50, 500),
            disk: Disk::Torn,
        },
        22..25 => Fault::KillKeeper {
            keeper,
            down: span(rng, 50, 500),
            disk: Disk::Empty,
        },
        25..33 => {
            let place = CRASH_POINTS[rng.random_range(0..CRASH_POINTS.len())].name();
            Fault::DieAt {
                keeper,
                place: format!("{place}:{}", rng.random_range(1..12)),
            }
        }
        33..36 => Fault::DiskFails {
            keeper,
            after: rng.random_range(1..8),
        },
        36..46 => Fault::StopKeeper {
            keeper,
            lasts: span(rng, 200, 2 * lease),
        },
        46..49 => Fault::AllKeepersDown {
            lasts: span(rng, lease / 2, 3 * lease),
        },
        49..53 => Fault::Replace { keeper },
        53..61 => Fault::KillRouter {
            router,
            down: span(rng, 50, 1500),
        },
        61..74 => Fault::StopRouter {
            router,
            lasts: span(rng, 200, 2 * lease),
        },
        74..90 => {
            let (kind, lasts) = (rng.random_range(0..6), span(rng, 300, 2 * lease));
            let mut ways = Vec::new();
            let one = Node::Keeper(keeper);
            let others = || {
                keepers
                    .iter()
                    .map(|k| Node::Keeper(*k))
                    .filter(|k| *k != one)
            };
            match kind {
                // One keeper: alone; not heard; heard by some only.
                0 => others().for_each(|o| ways.extend([(one, o), (o, one)])),
                1 => others().for_each(|o| ways.push((one, o))),
                2 => others()
                    .filter(|_| rng.random_bool(0.5))
                    .for_each(|o| ways.extend([(one, o), (o, one)])),
                // One router: from all; hears and is not heard; some routers from some keepers.
                3 => keepers.iter().for_each(|k| {
                    ways.extend([
                        (Node::Router(router), Node::Keeper(*k)),
                        (Node::Keeper(*k), Node::Router(router)),
                    ]);
                }),
                4 => keepers
                    .iter()
                    .for_each(|k| ways.push((Node::Router(router), Node::Keeper(*k)))),
                _ => (0..routers).for_each(|r| {
                    for k in keepers.iter().filter(|_| rng.random_bool(0.5)) {
                        ways.extend([
                            (Node::Router(r), Node::Keeper(*k)),
                            (Node::Keeper(*k), Node::Router(r)),
                        ]);
                    }
                }),
            }
            Fault::Cut {
                ways,
                lasts,
                reset: rng.random_bool(0.5),
            }
        }
        _ => {
            let mut way = Way::SOUND;
            match rng.random_range(0..4) {
                0 => way.delay = span(rng, 20, 300),
                1 => (way.lost, way.twice, way.late) = (0.1, 0.1, 0.1),
                2 => way.trickles = true,
                _ => way.torn = 0.05,
            }
            Fault::Rough {
                way,
                lasts: span(rng, 500, 2 * lease),
            }
        }
    }
}
