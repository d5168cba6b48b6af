//! Numbers and incarnations of hosts.

use super::*;

fn listing(revision: u64, complete: bool, members: &str) -> Listing {
    let text = format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
    serde_json::from_str(&text).unwrap()
}

fn lines(list: FromList) -> Vec<EndpointRecord> {
    match list {
        FromList::Complete {
            endpoints: lines, ..
        }
        | FromList::Changes {
            endpoints: lines, ..
        } => lines,
        _ => unreachable!("a list"),
    }
}

const A: &str =
    r#"{"id":"a","host_port":"127.0.0.1:1","locality":"z","phase":"Ready","revision_no":1}"#;
const A_AGAIN: &str =
    r#"{"id":"a","host_port":"127.0.0.1:1","locality":"z","phase":"Ready","revision_no":2}"#;
const A_GONE: &str = r#"{"id":"a","phase":"Gone"}"#;
const B: &str =
    r#"{"id":"b","host_port":"127.0.0.1:2","locality":"z","phase":"Ready","revision_no":2}"#;

/// An id and an address that come back with another build are another process: what was learned of the one
/// before, and its connections, must not count for it.
#[test]
fn the_same_id_with_another_build_is_another_process() {
    let mut table = EndpointTable::new(vec!["z".into()], 10);
    let first = lines(table.apply(listing(1, true, A), 0, 0).list);
    let same = lines(table.apply(listing(2, false, A), 1, 0).list);
    let other = lines(table.apply(listing(3, false, A_AGAIN), 2, 0).list);
    assert_eq!(
        (first[0].incarnation, first[0].host),
        (same[0].incarnation, same[0].host)
    );
    assert!(other[0].incarnation > first[0].incarnation && other[0].host == first[0].host);
}

/// Ids of hosts that are ever new must not grow the tables; a number must not pass on while what was sent
/// under it may still be out.
#[test]
fn numbers_are_used_again_once_their_host_is_settled() {
    let mut table = EndpointTable::new(vec!["z".into()], 10);
    let a = lines(table.apply(listing(1, true, A), 0, 0).list);
    table.apply(listing(2, false, A_GONE), 5, 0);
    let b = lines(table.apply(listing(3, false, B), 14, 0).list);
    assert_ne!(a[0].host, b[0].host);
    let c = lines(
        table
            .apply(listing(4, false, &B.replace("\"b\"", "\"c\"")), 16, 0)
            .list,
    );
    assert_eq!(a[0].host, c[0].host);
    assert!(c[0].incarnation > a[0].incarnation);
    assert_eq!(table.number("a"), None);
}
