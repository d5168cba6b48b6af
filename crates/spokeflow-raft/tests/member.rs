//! One member among scripted others: what drawn days and the search meet too seldom.

use spokeflow_core::Micros;
use spokeflow_raft::{
    Body, Entry, KeeperId, Member, Message, Out, Place, QuorumTerms, Saved, Snapshot, Term,
};

const SILENCE: Micros = 300_000;
const A: KeeperId = KeeperId(1);
const B: KeeperId = KeeperId(2);

fn started(saved: Saved) -> Member {
    let members = (0..3).map(KeeperId).collect();
    let terms = QuorumTerms {
        members,
        silence: SILENCE,
        beat: 60_000,
        drift: 0.01,
    };
    Member::new(KeeperId(0), terms, 7, saved, 0)
}

fn hear(member: &mut Member, now: Micros, from: KeeperId, message: Message) -> Out {
    let mut out = Out::default();
    member.heard(now, from, message, &mut out);
    out
}

/// Syncs all that was written.
fn sync(member: &mut Member, now: Micros, written: &Out) -> Out {
    let mut out = Out::default();
    written
        .writes
        .iter()
        .for_each(|w| member.synced(now, w.number, &mut out));
    out
}

fn append(term: u64) -> Message {
    let (before, before_term, committed) = (Place(0), Term(0), Place(0));
    Message::Append {
        term: Term(term),
        before,
        before_term,
        entries: vec![],
        committed,
        round: 1,
    }
}

fn stand(term: u64) -> Message {
    Message::Stand {
        term: Term(term),
        last: Place(99),
        last_term: Term(99),
    }
}

/// Elects it for the next term; answers when, and what it then says, its first entry not synced.
fn elected(member: &mut Member) -> (Micros, Out) {
    let (now, mut out) = (member.next_wake(), Out::default());
    member.woken(now, &mut out);
    let term = Term(member.term().0 + 1);
    let out = hear(
        member,
        now,
        A,
        Message::Vote {
            term,
            sounded: true,
            granted: true,
        },
    );
    let asked = sync(member, now, &out);
    assert!(
        matches!(asked.messages[0].1, Message::Stand { .. }),
        "{asked:?}"
    );
    let out = hear(
        member,
        now,
        A,
        Message::Vote {
            term,
            sounded: false,
            granted: true,
        },
    );
    assert!(member.is_elected());
    (now, out)
}

#[test]
fn while_a_leader_may_hold_its_lease_no_vote_is_given_and_no_later_term_heard() {
    let mut member = started(Saved::default());
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
        matches!(out.messages[..], [(B, Message::Vote { granted: true, .. })]),
        "{out:?}"
    );
}

#[test]
fn a_member_that_has_just_started_may_have_heard_a_leader_and_votes_for_nobody() {
    let mut member = started(Saved::default());
    let out = hear(&mut member, SILENCE - 1, B, stand(9));
    assert!(
        matches!(
            out.messages[..],
            [(B, Message::Vote { granted: false, .. })]
        ),
        "{out:?}"
    );
}

#[test]
fn a_lease_runs_from_the_sending_of_the_round_and_is_shorter_than_the_silence_by_the_drift() {
    let mut member = started(Saved::default());
    let (at, out) = elected(&mut member);
    assert!(!member.leads(at), "nobody has answered yet");
    let round = out.messages.iter().find_map(|m| match m.1 {
        Message::Append { round, .. } => Some(round),
        _ => None,
    });
    let term = member.term();
    let answer = Message::Appended {
        term,
        round: round.unwrap(),
        upto: Err(Place(0)),
    };
    hear(&mut member, at + 200_000, B, answer);
    // The voter's clock runs 1% fast, this one 1% slow.
    let lease = (SILENCE as f64 * 0.99 / 1.01) as Micros;
    assert!(member.leads(at + lease - 1) && !member.leads(at + lease + 1));
}

#[test]
fn an_own_entry_counts_once_it_is_synced_and_one_of_an_earlier_term_not_by_itself() {
    let old = Entry {
        term: Term(1),
        body: Body::Act(b"old".to_vec()),
    };
    let mut member = started(Saved {
        term: Term(1),
        log: vec![old.clone()],
        ..Saved::default()
    });
    let (at, written) = elected(&mut member);
    let term = member.term();
    let answer = |upto| Message::Appended {
        term,
        round: 1,
        upto: Ok(Place(upto)),
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
        [Place(1), Place(2)]
    );
    assert_eq!(committed[0].1, old);
}

fn appended(term: Term, round: u64, upto: u64) -> Message {
    Message::Appended {
        term,
        round,
        upto: Ok(Place(upto)),
    }
}

#[test]
fn members_change_one_at_a_time_and_not_before_an_own_entry_is_committed() {
    let mut member = started(Saved::default());
    let (at, written) = elected(&mut member);
    let (term, mut out) = (member.term(), Out::default());
    let four: Vec<KeeperId> = (0..4).map(KeeperId).collect();
    hear(
        &mut member,
        at,
        A,
        Message::Appended {
            term,
            round: 1,
            upto: Err(Place(0)),
        },
    );
    assert!(
        member.leads(at) && member.change(at, four.clone(), &mut out).is_none(),
        "nothing of its own stands"
    );
    sync(&mut member, at, &written);
    hear(&mut member, at, A, appended(term, 1, 1));
    assert!(
        member
            .change(at, (0..5).map(KeeperId).collect(), &mut out)
            .is_none(),
        "two at once"
    );
    let mut out = Out::default();
    assert_eq!(member.change(at, four, &mut out), Some(Place(2)));
    assert!(
        member
            .change(at, vec![KeeperId(0), A, B], &mut out)
            .is_none(),
        "one is under way"
    );
    // Three of four are needed at once: the change counts from its entry on.
    sync(&mut member, at, &out);
    assert!(hear(&mut member, at, A, appended(term, 1, 2))
        .committed
        .is_empty());
    assert_eq!(
        hear(&mut member, at, KeeperId(3), appended(term, 1, 2))
            .committed
            .len(),
        1
    );
}

#[test]
fn a_follower_behind_the_snapshot_gets_it_and_an_old_append_into_it_cuts_nothing() {
    let act = |n: u8| Entry {
        term: Term(1),
        body: Body::Act(vec![n]),
    };
    let mut member = started(Saved {
        term: Term(1),
        log: (1..5).map(act).collect(),
        ..Saved::default()
    });
    let (at, written) = elected(&mut member);
    let term = member.term();
    hear(&mut member, at, A, appended(term, 1, 5));
    sync(&mut member, at, &written);
    let mut out = Out::default();
    member.compact(Place(4), b"four".to_vec(), &mut out);
    assert_eq!((member.kept(), out.writes.len()), (1, 1));
    sync(&mut member, at, &out);
    let asks = Message::Appended {
        term,
        round: 1,
        upto: Err(Place(1)),
    };
    let out = hear(&mut member, at, B, asks);
    let Message::Install { snapshot, .. } = &out.messages[0].1 else {
        panic!("{out:?}")
    };
    let mut other = started(Saved::default());
    let install = Message::Install {
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
            Message::Appended {
                upto: Ok(Place(4)),
                ..
            }
        )]
    ));
    // Held by the network from before: places 2 to 4, of which the last two are held as state.
    let old = Message::Append {
        term,
        before: Place(1),
        before_term: Term(1),
        entries: vec![act(2), act(3)],
        committed: Place(2),
        round: 1,
    };
    let out = hear(&mut other, at, A, old);
    assert!(out.writes.is_empty() && out.committed.is_empty(), "{out:?}");
    // Refused, its leader would begin ever further back, at places that this one no longer has.
    assert!(
        matches!(
            out.messages[..],
            [(
                A,
                Message::Appended {
                    upto: Ok(Place(4)),
                    ..
                }
            )]
        ),
        "{out:?}"
    );
}

#[test]
fn what_waits_for_a_disk_that_hangs_is_bounded() {
    let mut member = started(Saved::default());
    let mut waits = 0;
    for n in 0..5000 {
        let (before, before_term) = (Place(n), Term(u64::from(n > 0)));
        let entries = vec![Entry {
            term: Term(1),
            body: Body::Begin,
        }];
        let message = Message::Append {
            term: Term(1),
            before,
            before_term,
            entries,
            committed: Place(0),
            round: n,
        };
        waits += hear(&mut member, SILENCE, A, message).writes.len();
    }
    assert!(waits <= 1025, "{waits}");
}

#[test]
fn one_that_is_not_among_those_who_vote_never_stands() {
    let terms = QuorumTerms {
        members: vec![],
        silence: SILENCE,
        beat: 60_000,
        drift: 0.01,
    };
    let mut spare = Member::new(KeeperId(9), terms, 7, Saved::default(), 0);
    for _ in 0..10 {
        let (at, mut out) = (spare.next_wake(), Out::default());
        spare.woken(at, &mut out);
        assert!(out.messages.is_empty() && !spare.is_elected());
    }
}
