//! One member among scripted others: what drawn days and the search meet too seldom.

use spokeflow_core::Micros;
use spokeflow_raft::{
    Entry, LogIndex, Message, NodeId, Output, Payload, PersistentState, RaftConfig, RaftNode,
    Snapshot, Term,
};

const SILENCE: Micros = 300_000;
const A: NodeId = NodeId(1);
const B: NodeId = NodeId(2);

fn started(saved: PersistentState) -> RaftNode {
    let members = (0..3).map(NodeId).collect();
    let terms = RaftConfig {
        voters: members,
        election_timeout: SILENCE,
        heartbeat_interval: 60_000,
        max_clock_drift: 0.01,
    };
    RaftNode::new(NodeId(0), terms, 7, saved, 0)
}

fn hear(member: &mut RaftNode, now: Micros, from: NodeId, message: Message) -> Output {
    let mut out = Output::default();
    member.on_message(now, from, message, &mut out);
    out
}

/// Syncs all that was written.
fn sync(member: &mut RaftNode, now: Micros, written: &Output) -> Output {
    let mut out = Output::default();
    written
        .persist_requests
        .iter()
        .for_each(|w| member.on_persisted(now, w.sequence, &mut out));
    out
}

fn append(term: u64) -> Message {
    let (before, prev_log_term, committed) = (LogIndex(0), Term(0), LogIndex(0));
    Message::AppendEntries {
        term: Term(term),
        prev_log_index: before,
        prev_log_term,
        entries: vec![],
        leader_commit: committed,
        round: 1,
    }
}

fn stand(term: u64) -> Message {
    Message::RequestVote {
        term: Term(term),
        last_log_index: LogIndex(99),
        last_log_term: Term(99),
    }
}

/// Elects it for the next term; answers when, and what it then says, its first entry not synced.
fn elected(member: &mut RaftNode) -> (Micros, Output) {
    let (now, mut out) = (member.next_wake(), Output::default());
    member.on_timer(now, &mut out);
    let term = Term(member.term().0 + 1);
    let out = hear(
        member,
        now,
        A,
        Message::VoteResponse {
            term,
            pre_vote: true,
            granted: true,
        },
    );
    let asked = sync(member, now, &out);
    assert!(
        matches!(asked.messages[0].1, Message::RequestVote { .. }),
        "{asked:?}"
    );
    let out = hear(
        member,
        now,
        A,
        Message::VoteResponse {
            term,
            pre_vote: false,
            granted: true,
        },
    );
    assert!(member.is_leader());
    (now, out)
}

#[test]
fn while_a_leader_may_hold_its_lease_no_vote_is_given_and_no_later_term_heard() {
    let mut member = started(PersistentState::default());
    let out = hear(&mut member, SILENCE, A, append(3));
    sync(&mut member, SILENCE, &out);
    hear(&mut member, 2 * SILENCE - 1, B, stand(9));
    assert_eq!(
        member.term(),
        Term(3),
        "an old message would end a lease early"
    );
    let out = hear(&mut member, 2 * SILENCE, B, stand(9));
    let out = sync(&mut member, 2 * SILENCE, &out);
    assert!(
        matches!(
            out.messages[..],
            [(B, Message::VoteResponse { granted: true, .. })]
        ),
        "{out:?}"
    );
}

#[test]
fn a_member_that_has_just_started_may_have_heard_a_leader_and_votes_for_nobody() {
    let mut member = started(PersistentState::default());
    let out = hear(&mut member, SILENCE - 1, B, stand(9));
    assert!(
        matches!(
            out.messages[..],
            [(B, Message::VoteResponse { granted: false, .. })]
        ),
        "{out:?}"
    );
}

#[test]
fn a_lease_runs_from_the_sending_of_the_round_and_is_shorter_than_the_silence_by_the_drift() {
    let mut member = started(PersistentState::default());
    let (at, out) = elected(&mut member);
    assert!(!member.has_recent_quorum(at), "nobody has answered yet");
    let round = out.messages.iter().find_map(|m| match m.1 {
        Message::AppendEntries { round, .. } => Some(round),
        _ => None,
    });
    let term = member.term();
    let answer = Message::AppendEntriesResponse {
        term,
        round: round.unwrap(),
        match_index: Err(LogIndex(0)),
    };
    hear(&mut member, at + 200_000, B, answer);
    // The voter's clock runs 1% fast, this one 1% slow.
    let lease = (SILENCE as f64 * 0.99 / 1.01) as Micros;
    assert!(member.has_recent_quorum(at + lease - 1) && !member.has_recent_quorum(at + lease + 1));
}

#[test]
fn an_own_entry_counts_once_it_is_synced_and_one_of_an_earlier_term_not_by_itself() {
    let old = Entry {
        term: Term(1),
        body: Payload::Command(b"old".to_vec()),
    };
    let mut member = started(PersistentState {
        term: Term(1),
        log: vec![old.clone()],
        ..PersistentState::default()
    });
    let (at, written) = elected(&mut member);
    let term = member.term();
    let answer = |upto| Message::AppendEntriesResponse {
        term,
        round: 1,
        match_index: Ok(LogIndex(upto)),
    };
    // Most hold the entry of term 1, and yet a later leader without it may be elected.
    assert!(hear(&mut member, at, A, answer(1)).committed.is_empty());
    assert!(
        hear(&mut member, at, A, answer(2)).committed.is_empty(),
        "the own one is not synced"
    );
    let committed = sync(&mut member, at, &written).committed;
    assert_eq!(
        committed.iter().map(|c| c.0).collect::<Vec<_>>(),
        [LogIndex(1), LogIndex(2)]
    );
    assert_eq!(committed[0].1, old);
}

fn appended(term: Term, round: u64, upto: u64) -> Message {
    Message::AppendEntriesResponse {
        term,
        round,
        match_index: Ok(LogIndex(upto)),
    }
}

#[test]
fn members_change_one_at_a_time_and_not_before_an_own_entry_is_committed() {
    let mut member = started(PersistentState::default());
    let (at, written) = elected(&mut member);
    let (term, mut out) = (member.term(), Output::default());
    let four: Vec<NodeId> = (0..4).map(NodeId).collect();
    hear(
        &mut member,
        at,
        A,
        Message::AppendEntriesResponse {
            term,
            round: 1,
            match_index: Err(LogIndex(0)),
        },
    );
    assert!(
        member.has_recent_quorum(at)
            && member
                .propose_membership(at, four.clone(), &mut out)
                .is_none(),
        "nothing of its own stands"
    );
    sync(&mut member, at, &written);
    hear(&mut member, at, A, appended(term, 1, 1));
    assert!(
        member
            .propose_membership(at, (0..5).map(NodeId).collect(), &mut out)
            .is_none(),
        "two at once"
    );
    let mut out = Output::default();
    assert_eq!(
        member.propose_membership(at, four, &mut out),
        Some(LogIndex(2))
    );
    assert!(
        member
            .propose_membership(at, vec![NodeId(0), A, B], &mut out)
            .is_none(),
        "one is under way"
    );
    // Three of four are needed at once: the change counts from its entry on.
    sync(&mut member, at, &out);
    assert!(hear(&mut member, at, A, appended(term, 1, 2))
        .committed
        .is_empty());
    assert_eq!(
        hear(&mut member, at, NodeId(3), appended(term, 1, 2))
            .committed
            .len(),
        1
    );
}

#[test]
fn a_follower_behind_the_snapshot_gets_it_and_an_old_append_into_it_cuts_nothing() {
    let act = |n: u8| Entry {
        term: Term(1),
        body: Payload::Command(vec![n]),
    };
    let mut member = started(PersistentState {
        term: Term(1),
        log: (1..5).map(act).collect(),
        ..PersistentState::default()
    });
    let (at, written) = elected(&mut member);
    let term = member.term();
    hear(&mut member, at, A, appended(term, 1, 5));
    sync(&mut member, at, &written);
    let mut out = Output::default();
    member.compact(LogIndex(4), b"four".to_vec(), &mut out);
    assert_eq!((member.log_len(), out.persist_requests.len()), (1, 1));
    sync(&mut member, at, &out);
    let asks = Message::AppendEntriesResponse {
        term,
        round: 1,
        match_index: Err(LogIndex(1)),
    };
    let out = hear(&mut member, at, B, asks);
    let Message::InstallSnapshot { snapshot, .. } = &out.messages[0].1 else {
        panic!("{out:?}")
    };
    let mut other = started(PersistentState::default());
    let install = Message::InstallSnapshot {
        term,
        snapshot: snapshot.clone(),
        round: 2,
    };
    let written = hear(&mut other, at, A, install);
    assert!(
        written.messages.is_empty(),
        "no promise before the snapshot is on the disk"
    );
    assert_eq!(
        written
            .restored
            .as_ref()
            .map(|s: &Snapshot| s.state.as_slice()),
        Some(&b"four"[..])
    );
    assert!(matches!(
        sync(&mut other, at, &written).messages[..],
        [(
            A,
            Message::AppendEntriesResponse {
                match_index: Ok(LogIndex(4)),
                ..
            }
        )]
    ));
    // Held by the network from before: places 2 to 4, of which the last two are held as state.
    let old = Message::AppendEntries {
        term,
        prev_log_index: LogIndex(1),
        prev_log_term: Term(1),
        entries: vec![act(2), act(3)],
        leader_commit: LogIndex(2),
        round: 1,
    };
    let out = hear(&mut other, at, A, old);
    assert!(
        out.persist_requests.is_empty() && out.committed.is_empty(),
        "{out:?}"
    );
    // Refused, its leader would begin ever further back, at places that this one no longer has.
    assert!(
        matches!(
            out.messages[..],
            [(
                A,
                Message::AppendEntriesResponse {
                    match_index: Ok(LogIndex(4)),
                    ..
                }
            )]
        ),
        "{out:?}"
    );
}

#[test]
fn what_waits_for_a_disk_that_hangs_is_bounded() {
    let mut member = started(PersistentState::default());
    let mut waits = 0;
    for n in 0..5000 {
        let (before, prev_log_term) = (LogIndex(n), Term(u64::from(n > 0)));
        let entries = vec![Entry {
            term: Term(1),
            body: Payload::Noop,
        }];
        let message = Message::AppendEntries {
            term: Term(1),
            prev_log_index: before,
            prev_log_term,
            entries,
            leader_commit: LogIndex(0),
            round: n,
        };
        waits += hear(&mut member, SILENCE, A, message)
            .persist_requests
            .len();
    }
    assert!(waits <= 1025, "{waits}");
}

#[test]
fn one_that_is_not_among_those_who_vote_never_stands() {
    let terms = RaftConfig {
        voters: vec![],
        election_timeout: SILENCE,
        heartbeat_interval: 60_000,
        max_clock_drift: 0.01,
    };
    let mut spare = RaftNode::new(NodeId(9), terms, 7, PersistentState::default(), 0);
    for _ in 0..10 {
        let (at, mut out) = (spare.next_wake(), Output::default());
        spare.on_timer(at, &mut out);
        assert!(out.messages.is_empty() && !spare.is_leader());
    }
}
