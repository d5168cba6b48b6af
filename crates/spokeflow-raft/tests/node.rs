//! One node among scripted peers: cases that random faults and the exhaustive search meet too rarely.

mod common;

use common::{config, ELECTION_TIMEOUT};
use spokeflow_core::Micros;
use spokeflow_raft::{
    AppendOutcome, CommittedEntry, Entry, LogIndex, MembershipError, Message, NodeId,
    OutgoingMessage, Output, Payload, PersistentState, RaftNode, Snapshot, Term,
};

const PEER_A: NodeId = NodeId(1);
const PEER_B: NodeId = NodeId(2);

/// Node 0 of three, started from this state at time 0.
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

/// From a candidate whose log is ahead of any other.
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

/// Elects the node for the next term. Returns when, and its output then; its first entry is not synced.
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
fn while_a_leader_may_hold_its_lease_no_vote_is_given_and_no_later_term_adopted() {
    let mut node = started(PersistentState::default());
    let out = deliver(&mut node, ELECTION_TIMEOUT, PEER_A, heartbeat(3));
    sync(&mut node, ELECTION_TIMEOUT, &out);
    deliver(&mut node, 2 * ELECTION_TIMEOUT - 1, PEER_B, request_vote(9));
    assert_eq!(
        node.term(),
        Term(3),
        "an old message would end a lease early"
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
fn a_node_that_has_just_started_may_have_heard_from_a_leader_and_votes_for_nobody() {
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
fn a_lease_runs_from_the_sending_of_the_round_and_is_shorter_than_the_timeout_by_the_drift() {
    let mut node = started(PersistentState::default());
    let (elected_at, out) = elect(&mut node);
    assert!(
        !node.has_recent_quorum(elected_at),
        "nobody has answered yet"
    );
    let round = out.messages.iter().find_map(|sent| match sent.message {
        Message::AppendEntries { round, .. } => Some(round),
        _ => None,
    });
    let answer = mismatched(node.term(), round.unwrap(), 0);
    deliver(&mut node, elected_at + 200_000, PEER_B, answer);
    // The voter's clock runs 1% fast, this one 1% slow.
    let lease = (ELECTION_TIMEOUT as f64 * 0.99 / 1.01) as Micros;
    assert!(
        node.has_recent_quorum(elected_at + lease - 1)
            && !node.has_recent_quorum(elected_at + lease + 1)
    );
}

#[test]
fn an_own_entry_counts_once_it_is_synced_and_one_of_an_earlier_term_not_by_itself() {
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
    // A majority has the entry of term 1, and yet a later leader without it may be elected.
    assert!(deliver(&mut node, now, PEER_A, matched(term, 1))
        .committed
        .is_empty());
    assert!(
        deliver(&mut node, now, PEER_A, matched(term, 2))
            .committed
            .is_empty(),
        "the own one is not synced"
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
fn voters_change_one_at_a_time_and_not_before_an_own_entry_is_committed() {
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
        "no entry of its own is committed"
    );
    sync(&mut node, now, &written);
    deliver(&mut node, now, PEER_A, matched(term, 1));
    let five = (0..5).map(NodeId).collect();
    assert_eq!(
        node.propose_membership(now, five, &mut out),
        Err(MembershipError::NotOneNode),
        "two at once"
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
        "three of four have to answer"
    );
    deliver(&mut node, now, PEER_B, mismatched(term, 1, 0));
    assert_eq!(
        node.propose_membership(now, three, &mut out),
        Err(MembershipError::ChangeInProgress)
    );
    // Three of four are needed at once: the change counts from its entry on.
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

/// Whether the only message tells `PEER_A` that the log matches up to index 4.
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

/// A leader whose log up to index 4 is a snapshot, when it was elected, and what it sends to a peer that lacks
/// entry 2.
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
fn a_follower_behind_the_snapshot_gets_it_and_an_old_append_into_it_cuts_nothing() {
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
        "no promise before the snapshot is on the disk"
    );
    assert_eq!(
        written
            .restored
            .as_ref()
            .map(|snapshot: &Snapshot| snapshot.state.as_slice()),
        Some(&b"four"[..])
    );
    assert!(answers_matched_4(&sync(&mut follower, now, &written)));
    // Delayed from before: entries 2 and 3, which the snapshot includes.
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
    // If it were refused, its leader would go ever further back, to entries that this node no longer has.
    assert!(answers_matched_4(&out), "{out:?}");
}

#[test]
fn what_waits_for_a_disk_that_hangs_is_bounded() {
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
    assert!(waiting <= 1025, "{waiting}");
}

#[test]
fn a_node_that_is_not_a_voter_never_stands_for_election() {
    let mut spare = RaftNode::new(NodeId(9), config([]), 7, PersistentState::default(), 0);
    for _ in 0..10 {
        let now = spare.next_wake();
        let mut out = Output::default();
        spare.on_timer(now, &mut out);
        assert!(out.messages.is_empty() && !spare.is_leader());
    }
}
