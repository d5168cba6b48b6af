//! The beginnings of frames as the tap reads them, against the messages that keepers and routers write.

use spokeflow_coordination::wire::{Caller, FromNode, Request, Response, ToNode};
use spokeflow_coordination::{
    EndpointListUpdate, HostState, KnownRevisions, LeaseGrant, LeaseRequest, ListVersion,
    ListedHost, Overrides, Proposal, ProposalOutcome, Revision, RevisionNumber, RevisionRef,
    VoterAddresses,
};
use spokeflow_raft::{AppendOutcome, LogIndex, Message, Snapshot, Term};
use spokeflow_testbed::scale::{from_node_head, to_node_head, FromNodeHead, ToNodeHead};

fn up(message: &ToNode) -> ToNodeHead {
    to_node_head(&postcard::to_stdvec(message).unwrap())
}

fn down(message: &FromNode) -> FromNodeHead {
    from_node_head(&postcard::to_stdvec(message).unwrap())
}

fn asked(in_force: u64) -> LeaseRequest {
    LeaseRequest {
        process: u64::MAX,
        router: 70_000,
        known_revisions: KnownRevisions {
            in_force: RevisionNumber(in_force),
            newest: RevisionNumber(in_force + 1),
        },
        applied_revision: RevisionNumber(9),
        voters_fingerprint: 5,
        list: Some(ListVersion(4)),
    }
}

#[test]
fn a_request_for_a_lease_names_its_number_and_the_revision_in_force() {
    for (number, in_force) in [(1, 0), (300, 128), (u64::MAX, 1 << 40)] {
        let message = ToNode::Request {
            number,
            request: Request::Lease(asked(in_force)),
        };
        assert_eq!(up(&message), ToNodeHead::Lease { number, in_force });
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
        assert_eq!(up(&ToNode::Raft(message)), ToNodeHead::Leads { term: 700 });
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
            outcome: AppendOutcome::Matched(before),
        },
    ];
    for message in others {
        assert_eq!(
            up(&ToNode::Raft(message.clone())),
            ToNodeHead::Other,
            "{message:?}"
        );
    }
}

/// A list of a thousand hosts.
fn long_list() -> EndpointListUpdate {
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
    EndpointListUpdate {
        version: ListVersion(2),
        complete: true,
        hosts: vec![host; 1000],
    }
}

fn voter_addresses() -> VoterAddresses {
    VoterAddresses {
        fingerprint: 7,
        addresses: vec!["127.0.0.1:7500".into()],
    }
}

#[test]
fn a_grant_is_read_without_its_list() {
    let revision = Revision {
        number: RevisionNumber(130),
        values: Overrides::from([("customer".into(), "a=1".into())]),
    };
    let whole = RevisionRef {
        number: RevisionNumber(130),
        revision: Some(revision),
    };
    let known = RevisionRef {
        number: RevisionNumber(129),
        revision: None,
    };
    let grants = [
        (
            LeaseGrant {
                in_force: known.clone(),
                pending: Some(whole.clone()),
                voters: Some(voter_addresses()),
                list: None,
            },
            129,
            false,
        ),
        (
            LeaseGrant {
                in_force: whole,
                pending: None,
                voters: None,
                list: Some(long_list()),
            },
            130,
            true,
        ),
        (
            LeaseGrant {
                in_force: known,
                pending: None,
                voters: None,
                list: None,
            },
            129,
            false,
        ),
    ];
    for (grant, in_force, with_list) in grants {
        let message = FromNode::Response {
            number: 200,
            response: Response::Granted(Box::new(grant)),
        };
        assert_eq!(
            down(&message),
            FromNodeHead::Granted {
                number: 200,
                in_force,
                with_list
            }
        );
    }
}

#[test]
fn whatever_else_crosses_is_neither() {
    let offer = Proposal {
        token: 1,
        base: RevisionNumber(1),
        who: "a".into(),
        why: "b".into(),
        at_s: 0,
        values: Overrides::new(),
    };
    let ups = [
        ToNode::hello(Caller::Operator),
        ToNode::Request {
            number: 1,
            request: Request::Propose(offer),
        },
        ToNode::Request {
            number: 1,
            request: Request::Status,
        },
    ];
    ups.iter()
        .for_each(|message| assert_eq!(up(message), ToNodeHead::Other, "{message:?}"));
    let downs = [
        Response::NoLeader,
        Response::Indeterminate,
        Response::Proposed(ProposalOutcome::Pending(RevisionNumber(1))),
    ];
    for answer in downs {
        assert_eq!(
            down(&FromNode::Response {
                number: 1,
                response: answer
            }),
            FromNodeHead::Other
        );
    }
    for damaged in [&[][..], &[2], &[2, 1], &[2, 1, 0], &[255; 20]] {
        assert_eq!(to_node_head(damaged), ToNodeHead::Other);
        assert_eq!(from_node_head(damaged), FromNodeHead::Other);
    }
}
