//! What people's programs read of the keepers' messages.

use spokeflow_coordination::wire::ClusterStatus;
use spokeflow_coordination::{Rejection, Revision};
use spokeflow_raft::{LogIndex, NodeId, Term};

fn view() -> ClusterStatus {
    ClusterStatus {
        leader: NodeId(1),
        term: Term(2),
        committed: LogIndex(3),
        in_force: Revision::default(),
        pending: None,
        history: Vec::new(),
        voters: vec![NodeId(1)],
        addresses: vec![(NodeId(1), "127.0.0.1:7500".into())],
        leases: 4,
        list: 5,
        list_source: 6,
        hosts: 7,
        list_rejection: Some(Rejection::Forked { version: 8 }),
        up_to_date_leases: 9,
    }
}

/// `spokeflowctl status --json` prints them, whatever the fields are called here.
#[test]
fn json_keys_of_a_view_stay() {
    let json = serde_json::to_value(view()).unwrap();
    let keys: Vec<&str> = json
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    let expected = [
        "acting",
        "announced",
        "committed",
        "history",
        "hosts",
        "in_force",
        "leader",
        "leases",
        "list",
        "list_doubt",
        "list_source",
        "members",
        "seats",
        "term",
    ];
    assert_eq!(keys, expected);
    assert_eq!(
        serde_json::from_value::<ClusterStatus>(json).unwrap(),
        view()
    );
}
