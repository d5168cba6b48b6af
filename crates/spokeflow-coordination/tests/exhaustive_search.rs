//! Every order of events of a small model, to a depth, from worlds in which something is under way already: a revision
//! that is pending, a leader that was just elected while another's leases are still live. In each world no router that
//! holds a lease contradicts, for longer than a lease, what any control-plane node has known.

mod common;
#[path = "common/model/mod.rs"]
mod model;

use model::{search, Budget, Counts, Message, World, ELECTION_TIMEOUT, LEASE, NODES, ROUTERS};
use spokeflow_coordination::wire::Response;

const ALL: [usize; NODES] = [0, 1, 2];

/// Searches to the depth of `SPOKEFLOW_SEARCH_DEPTH`, or to 5.
fn search_and_print(name: &str, from: World) -> Counts {
    let depth = std::env::var("SPOKEFLOW_SEARCH_DEPTH")
        .ok()
        .and_then(|depth| depth.parse().ok())
        .unwrap_or(5);
    let counts = search(from, depth);
    println!("{name}, to depth {depth}: {counts:?}");
    counts
}

/// A leader that has led for longer than a lease, and both routers with a lease.
fn settled() -> World {
    let mut world = World::new();
    world.run_without_faults(&ALL, |world| world.leader().is_some());
    let elected_at = world.now;
    world.run_without_faults(&ALL, |world| world.now > elected_at + 2 * LEASE);
    let leader = world.leader().unwrap();
    (0..ROUTERS).for_each(|router| world.request_lease(router, leader));
    world.run_without_faults(&ALL, |world| {
        let mut holders = world.holders.iter();
        holders.all(|holder| holder.expires_at().is_some()) && world.in_flight.is_empty()
    });
    world
}

fn nodes_but(node: usize) -> Vec<usize> {
    (0..NODES).filter(|other| *other != node).collect()
}

/// The one of these nodes that was elected, whether it may act yet or not.
fn elected_of(world: &World, nodes: &[usize]) -> Option<usize> {
    let mut nodes = nodes.iter().copied();
    nodes.find(|node| world.nodes[*node].raft().is_leader())
}

#[test]
fn every_order_after_a_proposal_keeps_the_bound() {
    let mut world = settled();
    world.budget = Budget {
        losses: 1,
        kills: 1,
        jumps: 2,
        proposals: 2,
        lease_requests: 2,
        wakes: 1,
    };
    let counts = search_and_print("after a proposal", world);
    assert!(counts.worlds > 10_000, "{counts:?}");
}

/// One revision is pending and one router knows it; what follows decides when it comes into force.
#[test]
fn every_order_while_a_revision_is_pending_keeps_the_bound() {
    let mut world = settled();
    let leader = world.leader().unwrap();
    world.propose(leader);
    world.run_without_faults(&ALL, |world| {
        world.proposed_at.len() == 1 && world.in_flight.is_empty()
    });
    world.request_lease(0, leader);
    world.run_without_faults(&ALL, |world| world.holders[0].newest().0 == 1);
    // The other has not asked since: its lease and the wait for it end a moment from now.
    let almost_expired_at = world.proposed_at[&1] + LEASE - ELECTION_TIMEOUT / 3;
    world.run_without_faults(&ALL, |world| world.now > almost_expired_at);
    world.budget = Budget {
        losses: 1,
        kills: 1,
        jumps: 1,
        proposals: 1,
        lease_requests: 2,
        wakes: 2,
    };
    let counts = search_and_print("while a revision is pending", world);
    assert!(counts.worlds > 10_000 && counts.activated > 0, "{counts:?}");
}

/// The leader is gone with what it has granted; another has been elected while those leases are still live.
#[test]
fn every_order_after_a_change_of_leader_keeps_the_bound() {
    let mut world = settled();
    let first = world.leader().unwrap();
    let others = nodes_but(first);
    // Renewed as late as it can be: the leases are fresh when the next leader is elected.
    (0..ROUTERS).for_each(|router| world.request_lease(router, first));
    world.run_without_faults(&[first], |world| world.in_flight.is_empty());
    world.run_without_faults(&others, |world| {
        world.leader().is_some_and(|leader| leader != first)
    });
    let second = world.leader().unwrap();
    world.propose(second);
    world.run_without_faults(&others, |world| {
        world.proposed_at.len() == 1 && world.in_flight.is_empty()
    });
    world.budget = Budget {
        losses: 1,
        kills: 1,
        jumps: 2,
        proposals: 1,
        lease_requests: 2,
        wakes: 2,
    };
    let counts = search_and_print("after a change of leader", world);
    assert!(counts.worlds > 10_000, "{counts:?}");
}

/// A leader that has just been elected and has an entry of the one before: it grants nothing until that is committed.
#[test]
fn every_order_in_which_an_earlier_leaders_proposal_is_committed_keeps_the_bound() {
    let mut world = settled();
    let first = world.leader().unwrap();
    let others = nodes_but(first);
    // Proposed by the first, known to be committed by itself alone; it has granted on it, and is gone.
    world.propose(first);
    world.run_without_faults(&ALL, |world| world.proposed_at.len() == 1);
    world.request_lease(0, first);
    world.run_without_faults(&[first], |world| world.holders[0].newest().0 == 1);
    world.in_flight.clear();
    world.run_without_faults(&others, |world| elected_of(world, &others).is_some());
    world.budget = Budget {
        losses: 1,
        kills: 0,
        jumps: 1,
        proposals: 1,
        lease_requests: 2,
        wakes: 1,
    };
    let counts = search_and_print("an earlier leader's proposal", world);
    assert!(counts.worlds > 10_000, "{counts:?}");
}

/// A leader that has just been elected may have a committed revision that its state does not show yet: others have been
/// granted leases on it.
#[test]
fn a_leader_whose_own_entry_is_not_committed_yet_grants_nothing() {
    let mut world = settled();
    let first = world.leader().unwrap();
    let others = nodes_but(first);
    world.propose(first);
    world.run_without_faults(&ALL, |world| world.proposed_at.len() == 1);
    // Known to be committed by the first alone, which is gone.
    world.in_flight.clear();
    world.run_without_faults(&others, |world| elected_of(world, &others).is_some());
    let second = elected_of(&world, &others).unwrap();
    let third = others.into_iter().find(|node| *node != second).unwrap();
    assert!(
        world.nodes[second].config().pending.is_none(),
        "the state does not show it yet"
    );
    answer_without_syncing(&mut world, first, third);
    assert!(
        world.nodes[second].raft().has_recent_quorum(world.now),
        "its leader lease holds"
    );
    world.in_flight.clear();
    world.request_lease(1, second);
    world.deliver(0);
    assert!(
        matches!(
            world.in_flight[..],
            [Message::Response {
                router: 1,
                response: Response::NoLeader,
                ..
            }]
        ),
        "{:?}",
        world.in_flight
    );
    while !world.unsynced[second].is_empty() {
        world.sync(second);
    }
    world.in_flight.clear();
    world.request_lease(1, second);
    world.deliver(0);
    let Message::Response {
        router: 1,
        response: Response::Granted(grant),
        ..
    } = &world.in_flight[0]
    else {
        panic!("{:?}", world.in_flight)
    };
    assert!(grant.pending.is_some(), "{:?}", world.in_flight);
}

/// The third node answers the leader, so that it has its lease; the leader's own write is not on the disk, so that
/// nothing is committed.
fn answer_without_syncing(world: &mut World, first: usize, third: usize) {
    for _ in 0..20 {
        let is_to_other =
            |message: &Message| matches!(message, Message::BetweenNodes { to, .. } if *to != first);
        let Some(position) = world.in_flight.iter().position(is_to_other) else {
            break;
        };
        world.deliver(position);
        while !world.unsynced[third].is_empty() {
            world.sync(third);
        }
    }
}
