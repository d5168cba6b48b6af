//! JSON output that operators' programs read: its keys must not change when fields are renamed.

use spokeflow_coordination::wire::ClusterStatus;
use spokeflow_coordination::{Rejection, Revision, RevisionRecord};
use spokeflow_raft::{LogIndex, NodeId, Term};

fn status() -> ClusterStatus {
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

/// The output of `spokeflowctl status --json`.
#[test]
fn json_keys_of_a_status_are_unchanged() {
    let json = serde_json::to_value(status()).unwrap();
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
        status()
    );
}

/// `spokeflowctl history --json` prints revision records, and `status --json` why a list update was rejected.
#[test]
fn json_keys_of_records_and_rejections_are_unchanged() {
    let record = RevisionRecord {
        revision: Revision::default(),
        who: "operator".into(),
        why: "test".into(),
        proposed_s: 1,
        in_force_s: Some(2),
    };
    let expected = serde_json::json!({
        "revision": { "number": 0, "values": {} },
        "who": "operator",
        "why": "test",
        "offered_s": 1,
        "in_force_s": 2,
    });
    assert_eq!(serde_json::to_value(record).unwrap(), expected);
    let backwards = Rejection::Backwards {
        received: 3,
        before: 4,
    };
    let expected = serde_json::json!({ "Backwards": { "told": 3, "before": 4 } });
    assert_eq!(serde_json::to_value(backwards).unwrap(), expected);
}
