//! One node among scripted peers: cases that random faults and the exhaustive search reach too rarely.

mod common;

use common::{config, ELECTION_TIMEOUT};
use spokeflow_core::Micros;
use spokeflow_raft::{
    AppendOutcome, CommittedEntry, Entry, LogIndex, MembershipError, Message, NodeId,
    OutgoingMessage, Output, Payload, PersistentState, RaftNode, Snapshot, Term,
};

const PEER_A: NodeId = NodeId(1);
const PEER_B: NodeId = NodeId(2);

/// Returns node 0 of three voters, started from `saved` at time 0.
fn started(saved: PersistentState) -> RaftNode {
    RaftNode::new(NodeId(0), config(0..3), 7, saved, 0)
}

fn deliver(node: &mut RaftNode, now: Micros, from: NodeId, message: Message) -> Output {
    let mut out = Output::default();
    node.on_message(now, from, message, &mut out);
    out
}

/// Confirms all writes of an output.
fn sync(node: &mut RaftNode, now: Micros, written: &Output) -> Output {
    let mut out = Output::default();
    for write in &written.persist_requests {
        node.on_persisted(now, write.sequence, &mut out);
    }
    out
}

fn heartbeat(term: u64) -> Message {
    Message::AppendEntries {
        term: Term(term),
        prev_log_index: LogIndex(0),
        prev_log_term: Term(0),
        entries: vec![],
        leader_commit: LogIndex(0),
        round: 1,
    }
}

/// Returns the request of a candidate whose log is ahead of any other.
fn request_vote(term: u64) -> Message {
    Message::RequestVote {
        term: Term(term),
        last_log_index: LogIndex(99),
        last_log_term: Term(99),
    }
}

fn vote(term: Term, pre_vote: bool) -> Message {
    Message::VoteResponse {
        term,
        pre_vote,
        granted: true,
    }
}

fn matched(term: Term, index: u64) -> Message {
    Message::AppendEntriesResponse {
        term,
        round: 1,
        outcome: AppendOutcome::Matched(LogIndex(index)),
    }
}

fn mismatched(term: Term, round: u64, index: u64) -> Message {
    Message::AppendEntriesResponse {
        term,
        round,
        outcome: AppendOutcome::Mismatched(LogIndex(index)),
    }
}

fn command(value: u8) -> Entry {
    Entry {
        term: Term(1),
        payload: Payload::Command(vec![value]),
    }
}

/// Has the node elected for the next term. Returns the time and the node's output; its first entry is not synced.
fn elect(node: &mut RaftNode) -> (Micros, Output) {
    let now = node.next_wake();
    let mut out = Output::default();
    node.on_timer(now, &mut out);
    let term = Term(node.term().0 + 1);
    let out = deliver(node, now, PEER_A, vote(term, true));
    let requests = sync(node, now, &out);
    assert!(
        matches!(requests.messages[0].message, Message::RequestVote { .. }),
        "{requests:?}"
    );
    let out = deliver(node, now, PEER_A, vote(term, false));
    assert!(node.is_leader());
    (now, out)
}

#[test]
fn no_vote_is_granted_and_no_later_term_adopted_while_a_leader_may_hold_its_lease() {
    let mut node = started(PersistentState::default());
    let out = deliver(&mut node, ELECTION_TIMEOUT, PEER_A, heartbeat(3));
    sync(&mut node, ELECTION_TIMEOUT, &out);
    deliver(&mut node, 2 * ELECTION_TIMEOUT - 1, PEER_B, request_vote(9));
    assert_eq!(
        node.term(),
        Term(3),
        "a delayed vote request must not end a lease early"
    );
    let out = deliver(&mut node, 2 * ELECTION_TIMEOUT, PEER_B, request_vote(9));
    let out = sync(&mut node, 2 * ELECTION_TIMEOUT, &out);
    assert!(
        matches!(
            out.messages[..],
            [OutgoingMessage {
                to: PEER_B,
                message: Message::VoteResponse { granted: true, .. }
            }]
        ),
        "{out:?}"
    );
}

#[test]
fn no_vote_is_granted_within_an_election_timeout_of_the_start() {
    let mut node = started(PersistentState::default());
    let out = deliver(&mut node, ELECTION_TIMEOUT - 1, PEER_B, request_vote(9));
    assert!(
        matches!(
            out.messages[..],
            [OutgoingMessage {
                to: PEER_B,
                message: Message::VoteResponse { granted: false, .. }
            }]
        ),
        "{out:?}"
    );
}

#[test]
fn a_leader_lease_starts_when_the_round_is_sent_and_is_shortened_by_the_clock_drift() {
    let mut node = started(PersistentState::default());
    let (elected_at, out) = elect(&mut node);
    assert!(
        !node.has_recent_quorum(elected_at),
        "no voter has answered yet"
    );
    let round = out.messages.iter().find_map(|sent| match sent.message {
        Message::AppendEntries { round, .. } => Some(round),
        _ => None,
    });
    let answer = mismatched(node.term(), round.unwrap(), 0);
    deliver(&mut node, elected_at + 200_000, PEER_B, answer);
    // The voter's clock may run 1% fast, and this node's 1% slow.
    let lease = (ELECTION_TIMEOUT as f64 * 0.99 / 1.01) as Micros;
    assert!(
        node.has_recent_quorum(elected_at + lease - 1)
            && !node.has_recent_quorum(elected_at + lease + 1)
    );
}

#[test]
fn an_entry_is_committed_only_once_synced_and_one_of_an_earlier_term_only_with_a_later_one() {
    let old = Entry {
        term: Term(1),
        payload: Payload::Command(b"old".to_vec()),
    };
    let mut node = started(PersistentState {
        term: Term(1),
        log: vec![old.clone()],
        ..PersistentState::default()
    });
    let (now, written) = elect(&mut node);
    let term = node.term();
    // A majority has the entry of term 1, but a later leader without it may still be elected.
    assert!(deliver(&mut node, now, PEER_A, matched(term, 1))
        .committed
        .is_empty());
    assert!(
        deliver(&mut node, now, PEER_A, matched(term, 2))
            .committed
            .is_empty(),
        "the leader's own entry is not synced yet"
    );
    let committed = sync(&mut node, now, &written).committed;
    assert_eq!(
        committed
            .iter()
            .map(|committed| committed.index)
            .collect::<Vec<_>>(),
        [LogIndex(1), LogIndex(2)]
    );
    let CommittedEntry { entry, .. } = &committed[0];
    assert_eq!(*entry, old);
}

#[test]
fn voters_change_one_at_a_time_and_only_after_an_entry_of_the_own_term_is_committed() {
    let mut node = started(PersistentState::default());
    let (now, written) = elect(&mut node);
    let term = node.term();
    let mut out = Output::default();
    let four: Vec<NodeId> = (0..4).map(NodeId).collect();
    deliver(&mut node, now, PEER_A, mismatched(term, 1, 0));
    assert!(node.has_recent_quorum(now));
    assert_eq!(
        node.propose_membership(now, four.clone(), &mut out),
        Err(MembershipError::NotReady),
        "no entry of the leader's own term is committed"
    );
    sync(&mut node, now, &written);
    deliver(&mut node, now, PEER_A, matched(term, 1));
    let five = (0..5).map(NodeId).collect();
    assert_eq!(
        node.propose_membership(now, five, &mut out),
        Err(MembershipError::NotOneNode),
        "two voters are added at once"
    );
    let mut out = Output::default();
    assert_eq!(
        node.propose_membership(now, four, &mut out),
        Ok(LogIndex(2))
    );
    let three = vec![NodeId(0), PEER_A, PEER_B];
    assert_eq!(
        node.propose_membership(now, three.clone(), &mut out),
        Err(MembershipError::NotReady),
        "a majority is now three of four voters, and only two have answered"
    );
    deliver(&mut node, now, PEER_B, mismatched(term, 1, 0));
    assert_eq!(
        node.propose_membership(now, three, &mut out),
        Err(MembershipError::ChangeInProgress)
    );
    // The change is in effect from its entry on, so committing it needs three of four voters.
    sync(&mut node, now, &out);
    assert!(deliver(&mut node, now, PEER_A, matched(term, 2))
        .committed
        .is_empty());
    assert_eq!(
        deliver(&mut node, now, NodeId(3), matched(term, 2))
            .committed
            .len(),
        1
    );
}

/// Whether the only message answers `PEER_A` that the log matches up to index 4.
fn answers_matched_4(out: &Output) -> bool {
    matches!(
        out.messages[..],
        [OutgoingMessage {
            to: PEER_A,
            message: Message::AppendEntriesResponse {
                outcome: AppendOutcome::Matched(LogIndex(4)),
                ..
            }
        }]
    )
}

/// Returns a leader whose log up to index 4 is compacted into a snapshot, the time of its election, and its output for
/// a peer that lacks entry 2.
fn compacted_leader() -> (RaftNode, Micros, Output) {
    let mut node = started(PersistentState {
        term: Term(1),
        log: (1..5).map(command).collect(),
        ..PersistentState::default()
    });
    let (now, written) = elect(&mut node);
    let term = node.term();
    deliver(&mut node, now, PEER_A, matched(term, 5));
    sync(&mut node, now, &written);
    let mut out = Output::default();
    node.compact(LogIndex(4), b"four".to_vec(), &mut out);
    assert_eq!((node.log_len(), out.persist_requests.len()), (1, 1));
    sync(&mut node, now, &out);
    let out = deliver(&mut node, now, PEER_B, mismatched(term, 1, 1));
    (node, now, out)
}

#[test]
fn a_follower_behind_the_snapshot_gets_it_and_a_delayed_append_does_not_truncate_it() {
    let (leader, now, out) = compacted_leader();
    let term = leader.term();
    let Message::InstallSnapshot { snapshot, .. } = &out.messages[0].message else {
        panic!("{out:?}")
    };
    let mut follower = started(PersistentState::default());
    let install = Message::InstallSnapshot {
        term,
        snapshot: snapshot.clone(),
        round: 2,
    };
    let written = deliver(&mut follower, now, PEER_A, install);
    assert!(
        written.messages.is_empty(),
        "no response before the snapshot is synced"
    );
    assert_eq!(
        written
            .restored
            .as_ref()
            .map(|snapshot: &Snapshot| snapshot.state.as_slice()),
        Some(&b"four"[..])
    );
    assert!(answers_matched_4(&sync(&mut follower, now, &written)));
    // A delayed message with entries 2 and 3, which the snapshot includes.
    let old = Message::AppendEntries {
        term,
        prev_log_index: LogIndex(1),
        prev_log_term: Term(1),
        entries: vec![command(2), command(3)],
        leader_commit: LogIndex(2),
        round: 1,
    };
    let out = deliver(&mut follower, now, PEER_A, old);
    assert!(
        out.persist_requests.is_empty() && out.committed.is_empty(),
        "{out:?}"
    );
    // A mismatch would make the leader go back to ever earlier entries, which this node no longer has.
    assert!(answers_matched_4(&out), "{out:?}");
}

#[test]
fn the_number_of_unsynced_writes_is_bounded_while_the_disk_hangs() {
    let mut node = started(PersistentState::default());
    let mut waiting = 0;
    for index in 0..5000 {
        let append = Message::AppendEntries {
            term: Term(1),
            prev_log_index: LogIndex(index),
            prev_log_term: Term(u64::from(index > 0)),
            entries: vec![Entry {
                term: Term(1),
                payload: Payload::Noop,
            }],
            leader_commit: LogIndex(0),
            round: index,
        };
        waiting += deliver(&mut node, ELECTION_TIMEOUT, PEER_A, append)
            .persist_requests
            .len();
    }
    assert!(waiting <= 1025, "{waiting} writes wait for the disk");
}

#[test]
fn a_node_that_is_not_a_voter_never_starts_an_election() {
    let mut spare = RaftNode::new(NodeId(9), config([]), 7, PersistentState::default(), 0);
    for _ in 0..10 {
        let now = spare.next_wake();
        let mut out = Output::default();
        spare.on_timer(now, &mut out);
        assert!(out.messages.is_empty() && !spare.is_leader());
    }
}
