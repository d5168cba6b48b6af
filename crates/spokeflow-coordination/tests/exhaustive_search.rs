//! Exhaustive search of a small model to a given depth, from worlds such as one with a pending revision, or one in
//! which a leader was just elected while an earlier leader's leases are still live. In each world it is checked that no
//! router with a lease acts, for longer than one lease, on a revision that contradicts one known to a control-plane
//! node.

mod common;
#[path = "common/model/mod.rs"]
mod model;

use model::{search, Budget, Counts, Message, World, ELECTION_TIMEOUT, LEASE, NODES, ROUTERS};
use spokeflow_coordination::wire::Response;

const ALL: [usize; NODES] = [0, 1, 2];

/// Searches to the depth given by `SPOKEFLOW_SEARCH_DEPTH`, or to depth 5, and prints the totals.
fn search_and_print(name: &str, from: World) -> Counts {
    let depth = std::env::var("SPOKEFLOW_SEARCH_DEPTH")
        .ok()
        .and_then(|depth| depth.parse().ok())
        .unwrap_or(5);
    let counts = search(from, depth);
    println!("{name}, to depth {depth}: {counts:?}");
    counts
}

/// Returns a world whose leader was elected more than a lease ago, and in which both routers hold a lease.
fn stable_world() -> World {
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

/// Returns the node among `nodes` that was elected leader, whether or not it may act as leader yet.
fn elected_of(world: &World, nodes: &[usize]) -> Option<usize> {
    let mut nodes = nodes.iter().copied();
    nodes.find(|node| world.nodes[*node].raft().is_leader())
}

#[test]
fn every_order_of_events_after_a_proposal_keeps_the_contradiction_bound() {
    let mut world = stable_world();
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

/// One revision is pending and known to one router of two. Guards against putting it in force too early.
#[test]
fn every_order_of_events_while_a_revision_is_pending_keeps_the_contradiction_bound() {
    let mut world = stable_world();
    let leader = world.leader().unwrap();
    world.propose(leader);
    world.run_without_faults(&ALL, |world| {
        world.proposed_at.len() == 1 && world.in_flight.is_empty()
    });
    world.request_lease(0, leader);
    world.run_without_faults(&ALL, |world| world.holders[0].newest().0 == 1);
    // The other router has not renewed since. Its lease, and the leader's wait for it, are about to expire.
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

/// The leader stopped after granting leases, and another was elected while they are live. Guards against a new leader
/// that does not wait for leases it does not know.
#[test]
fn every_order_of_events_after_a_change_of_leader_keeps_the_contradiction_bound() {
    let mut world = stable_world();
    let first = world.leader().unwrap();
    let others = nodes_but(first);
    // Renewed just before the leader stops, so that the leases are still live when the next leader is elected.
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

/// A new leader has a proposal of the earlier leader in its log that it does not know to be committed. Guards against
/// granting leases before it is.
#[test]
fn every_order_of_events_with_an_earlier_leaders_proposal_keeps_the_contradiction_bound() {
    let mut world = stable_world();
    let first = world.leader().unwrap();
    let others = nodes_but(first);
    // Only the first leader knows that its proposal is committed. It grants a lease with it, then stops.
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

/// A new leader may have a committed revision in its log that it has not applied, while routers hold leases on that
/// revision. Guards against granting leases on the state without it.
#[test]
fn a_leader_grants_no_lease_before_an_entry_of_its_own_term_is_committed() {
    let mut world = stable_world();
    let first = world.leader().unwrap();
    let others = nodes_but(first);
    world.propose(first);
    world.run_without_faults(&ALL, |world| world.proposed_at.len() == 1);
    // Only the first leader, which then stops, knows that its proposal is committed.
    world.in_flight.clear();
    world.run_without_faults(&others, |world| elected_of(world, &others).is_some());
    let second = elected_of(&world, &others).unwrap();
    let third = others.into_iter().find(|node| *node != second).unwrap();
    assert!(
        world.nodes[second].config().pending.is_none(),
        "the second leader has applied the proposal already"
    );
    answer_without_leader_sync(&mut world, first, third);
    assert!(
        world.nodes[second].raft().has_recent_quorum(world.now),
        "the second leader has no recent quorum"
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

/// Delivers messages between the second leader and the third node, so that the leader has a recent quorum. The leader's
/// own write is not synced, so that it commits nothing.
fn answer_without_leader_sync(world: &mut World, first: usize, third: usize) {
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
