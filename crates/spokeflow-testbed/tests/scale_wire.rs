//! Checks that the leading fields that the tap decodes from a frame match the messages of control-plane nodes and
//! routers.

use spokeflow_coordination::wire::{Caller, FromNode, Request, Response, ToNode};
use spokeflow_coordination::{
    EndpointListUpdate, HostState, KnownRevisions, LeaseGrant, LeaseRequest, ListVersion,
    ListedHost, Overrides, Proposal, ProposalOutcome, Revision, RevisionNumber, RevisionRef,
    VoterAddresses,
};
use spokeflow_raft::{AppendOutcome, LogIndex, Message, Snapshot, Term};
use spokeflow_testbed::scale::{from_node_head, to_node_head, FromNodeHead, ToNodeHead};

fn decode_to_node(message: &ToNode) -> ToNodeHead {
    to_node_head(&postcard::to_stdvec(message).unwrap())
}

fn decode_from_node(message: &FromNode) -> FromNodeHead {
    from_node_head(&postcard::to_stdvec(message).unwrap())
}

fn lease_request(in_force: u64) -> LeaseRequest {
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
fn lease_request_yields_its_number_and_the_revision_in_force() {
    for (number, in_force) in [(1, 0), (300, 128), (u64::MAX, 1 << 40)] {
        let message = ToNode::Request {
            number,
            request: Request::Lease(lease_request(in_force)),
        };
        assert_eq!(
            decode_to_node(&message),
            ToNodeHead::Lease { number, in_force }
        );
    }
}

#[test]
fn only_messages_of_a_leader_yield_its_term() {
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
            decode_to_node(&ToNode::Raft(message)),
            ToNodeHead::Leads { term: 700 }
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
            outcome: AppendOutcome::Matched(before),
        },
    ];
    for message in others {
        assert_eq!(
            decode_to_node(&ToNode::Raft(message.clone())),
            ToNodeHead::Other,
            "{message:?}"
        );
    }
}

/// Returns a list of a thousand hosts.
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
fn grant_is_decoded_without_its_list() {
    let revision = Revision {
        number: RevisionNumber(130),
        values: Overrides::from([("customer".into(), "a=1".into())]),
    };
    let with_values = RevisionRef {
        number: RevisionNumber(130),
        revision: Some(revision),
    };
    let without_values = RevisionRef {
        number: RevisionNumber(129),
        revision: None,
    };
    let grants = [
        (
            LeaseGrant {
                in_force: without_values.clone(),
                pending: Some(with_values.clone()),
                voters: Some(voter_addresses()),
                list: None,
            },
            129,
            false,
        ),
        (
            LeaseGrant {
                in_force: with_values,
                pending: None,
                voters: None,
                list: Some(long_list()),
            },
            130,
            true,
        ),
        (
            LeaseGrant {
                in_force: without_values,
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
            decode_from_node(&message),
            FromNodeHead::Granted {
                number: 200,
                in_force,
                with_list
            }
        );
    }
}

#[test]
fn other_messages_and_damaged_frames_are_other() {
    let proposal = Proposal {
        token: 1,
        base: RevisionNumber(1),
        who: "a".into(),
        why: "b".into(),
        at_s: 0,
        values: Overrides::new(),
    };
    let to_node = [
        ToNode::hello(Caller::Operator),
        ToNode::Request {
            number: 1,
            request: Request::Propose(proposal),
        },
        ToNode::Request {
            number: 1,
            request: Request::Status,
        },
    ];
    to_node
        .iter()
        .for_each(|message| assert_eq!(decode_to_node(message), ToNodeHead::Other, "{message:?}"));
    let responses = [
        Response::NoLeader,
        Response::Indeterminate,
        Response::Proposed(ProposalOutcome::Pending(RevisionNumber(1))),
    ];
    for response in responses {
        assert_eq!(
            decode_from_node(&FromNode::Response {
                number: 1,
                response
            }),
            FromNodeHead::Other
        );
    }
    for damaged in [&[][..], &[2], &[2, 1], &[2, 1, 0], &[255; 20]] {
        assert_eq!(to_node_head(damaged), ToNodeHead::Other);
        assert_eq!(from_node_head(damaged), FromNodeHead::Other);
    }
}
