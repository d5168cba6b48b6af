//! The beginnings of frames as the tap reads them, against the messages that keepers and routers write.

use spokeflow_coordination::wire::{Answer, Ask, Caller, FromKeeper, ToKeeper};
use spokeflow_coordination::{
    Asked, Grant, HostState, Known, ListNo, ListPart, ListedHost, Offer, Revision, RevisionNo,
    Seats, Values, Verdict,
};
use spokeflow_raft::{LogIndex, Message, Snapshot, Term};
use spokeflow_testbed::scale::{from_keeper, to_keeper, FromKeeperHead, ToKeeperHead};

fn up(message: &ToKeeper) -> ToKeeperHead {
    to_keeper(&postcard::to_stdvec(message).unwrap())
}

fn down(message: &FromKeeper) -> FromKeeperHead {
    from_keeper(&postcard::to_stdvec(message).unwrap())
}

fn asked(in_force: u64) -> Asked {
    let knows = [RevisionNo(in_force), RevisionNo(in_force + 1)];
    Asked {
        process: u64::MAX,
        router: 70_000,
        knows,
        acts_on: RevisionNo(9),
        seats: 5,
        list: Some(ListNo(4)),
    }
}

#[test]
fn a_request_for_a_lease_names_its_number_and_the_revision_in_force() {
    for (number, in_force) in [(1, 0), (300, 128), (u64::MAX, 1 << 40)] {
        let message = ToKeeper::Ask {
            number,
            ask: Ask::Lease(asked(in_force)),
        };
        assert_eq!(up(&message), ToKeeperHead::Lease { number, in_force });
    }
}

#[test]
fn only_messages_of_a_leader_tell_who_leads() {
    let (term, before, prev_log_term, committed) = (Term(700), LogIndex(3), Term(2), LogIndex(3));
    let append = Message::AppendEntries {
        term,
        prev_log_index: before,
        prev_log_term,
        entries: Vec::new(),
        leader_commit: committed,
        round: 1,
    };
    let install = Message::InstallSnapshot {
        term,
        snapshot: Snapshot::default(),
        round: 1,
    };
    for message in [append, install] {
        assert_eq!(
            up(&ToKeeper::Quorum(message)),
            ToKeeperHead::Leads { term: 700 }
        );
    }
    let others = [
        Message::PreVote {
            term,
            last_log_index: before,
            last_log_term: prev_log_term,
        },
        Message::RequestVote {
            term,
            last_log_index: before,
            last_log_term: prev_log_term,
        },
        Message::VoteResponse {
            term,
            pre_vote: false,
            granted: true,
        },
        Message::AppendEntriesResponse {
            term,
            round: 1,
            match_index: Ok(before),
        },
    ];
    for message in others {
        assert_eq!(
            up(&ToKeeper::Quorum(message.clone())),
            ToKeeperHead::Other,
            "{message:?}"
        );
    }
}

#[test]
fn a_grant_is_read_without_its_list() {
    let revision = Revision {
        number: RevisionNo(130),
        values: Values::from([("customer".into(), "a=1".into())]),
    };
    let host = ListedHost {
        host: 1,
        address: "127.0.0.1:9".into(),
        build: Some(1),
        cell: 0,
        zone: 3,
        state: HostState::Ready,
        incarnation: 1,
        up_us: None,
    };
    let list = ListPart {
        version: ListNo(2),
        whole: true,
        hosts: vec![host; 1000],
    };
    let seats = Seats {
        mark: 7,
        addresses: vec!["127.0.0.1:7500".into()],
    };
    let whole = Known {
        number: RevisionNo(130),
        revision: Some(revision),
    };
    let known = Known {
        number: RevisionNo(129),
        revision: None,
    };
    let grants = [
        (
            Grant {
                in_force: known.clone(),
                announced: Some(whole.clone()),
                seats: Some(seats),
                list: None,
            },
            129,
            false,
        ),
        (
            Grant {
                in_force: whole,
                announced: None,
                seats: None,
                list: Some(list),
            },
            130,
            true,
        ),
        (
            Grant {
                in_force: known,
                announced: None,
                seats: None,
                list: None,
            },
            129,
            false,
        ),
    ];
    for (grant, in_force, with_list) in grants {
        let message = FromKeeper::Answer {
            number: 200,
            answer: Answer::Granted(Box::new(grant)),
        };
        assert_eq!(
            down(&message),
            FromKeeperHead::Granted {
                number: 200,
                in_force,
                with_list
            }
        );
    }
}

#[test]
fn whatever_else_crosses_is_neither() {
    let offer = Offer {
        token: 1,
        against: RevisionNo(1),
        who: "a".into(),
        why: "b".into(),
        at_s: 0,
        values: Values::new(),
    };
    let ups = [
        ToKeeper::hello(Caller::Person),
        ToKeeper::Ask {
            number: 1,
            ask: Ask::Offer(offer),
        },
        ToKeeper::Ask {
            number: 1,
            ask: Ask::View,
        },
    ];
    ups.iter()
        .for_each(|message| assert_eq!(up(message), ToKeeperHead::Other, "{message:?}"));
    let downs = [
        Answer::NoLeader,
        Answer::Unclear,
        Answer::Offered(Verdict::Announced(RevisionNo(1))),
    ];
    for answer in downs {
        assert_eq!(
            down(&FromKeeper::Answer { number: 1, answer }),
            FromKeeperHead::Other
        );
    }
    for damaged in [&[][..], &[2], &[2, 1], &[2, 1, 0], &[255; 20]] {
        assert_eq!(to_keeper(damaged), ToKeeperHead::Other);
        assert_eq!(from_keeper(damaged), FromKeeperHead::Other);
    }
}
