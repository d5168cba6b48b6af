//! Assignment of numbers and incarnations to hosts.

use super::*;

fn listing(revision: u64, complete: bool, members: &str) -> Listing {
    let text = format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
    serde_json::from_str(&text).unwrap()
}

fn records(list: FromList) -> Vec<EndpointRecord> {
    match list {
        FromList::Complete {
            endpoints: records, ..
        }
        | FromList::Changes {
            endpoints: records, ..
        } => records,
        _ => unreachable!("a listing must give a complete list or changes"),
    }
}

const A: &str =
    r#"{"id":"a","host_port":"127.0.0.1:1","locality":"z","phase":"Ready","revision_no":1}"#;
const A_WITH_OTHER_BUILD: &str =
    r#"{"id":"a","host_port":"127.0.0.1:1","locality":"z","phase":"Ready","revision_no":2}"#;
const A_GONE: &str = r#"{"id":"a","phase":"Gone"}"#;
const B: &str =
    r#"{"id":"b","host_port":"127.0.0.1:2","locality":"z","phase":"Ready","revision_no":2}"#;

/// A host that is listed with the same id and address and another build is another process. Guards against using what
/// was learned of the previous process, and its connections, for the new one.
#[test]
fn the_same_id_with_another_build_is_another_process() {
    let mut table = EndpointTable::new(vec!["z".into()], 10, 100);
    let first = records(table.apply(listing(1, true, A), 0, 0).list);
    let same = records(table.apply(listing(2, false, A), 1, 0).list);
    let other = records(
        table
            .apply(listing(3, false, A_WITH_OTHER_BUILD), 2, 0)
            .list,
    );
    assert_eq!(
        (first[0].incarnation, first[0].host),
        (same[0].incarnation, same[0].host)
    );
    assert!(other[0].incarnation > first[0].incarnation && other[0].host == first[0].host);
}

/// Guards against a table that grows with every new id, and against giving a number to another host while a delivery to
/// the previous one may still be open.
#[test]
fn numbers_are_reused_once_no_delivery_to_their_host_can_be_open() {
    let mut table = EndpointTable::new(vec!["z".into()], 10, 100);
    let a = records(table.apply(listing(1, true, A), 0, 0).list);
    table.apply(listing(2, false, A_GONE), 5, 0);
    let b = records(table.apply(listing(3, false, B), 14, 0).list);
    assert_ne!(a[0].host, b[0].host);
    let c = records(
        table
            .apply(listing(4, false, &B.replace("\"b\"", "\"c\"")), 16, 0)
            .list,
    );
    assert_eq!(a[0].host, c[0].host);
    assert!(c[0].incarnation > a[0].incarnation);
    assert_eq!(table.number("a"), None);
}

/// Guards against a table that grows with every host that discovery ever names: at the bound a new host is not known until
/// another one has been gone for long enough, and known hosts are still updated.
#[test]
fn a_full_table_keeps_the_hosts_it_knows() {
    let mut table = EndpointTable::new(vec!["z".into()], 10, 1);
    let first = records(table.apply(listing(1, false, A), 0, 0).list);
    let beyond = table.apply(listing(2, false, B), 1, 0);
    assert_eq!(beyond.without_room, 1);
    let beyond = records(beyond.list);
    let changed = records(
        table
            .apply(listing(3, false, A_WITH_OTHER_BUILD), 2, 0)
            .list,
    );
    assert_eq!((first.len(), beyond.len(), changed.len()), (1, 0, 1));
    table.apply(listing(4, false, A_GONE), 3, 0);
    let after_gone = records(table.apply(listing(5, false, B), 20, 0).list);
    assert_eq!(after_gone.len(), 1);
    assert_eq!((table.number("a"), table.number("b")), (None, Some(0)));
}

/// Guards against names without a bound, which the table would keep.
#[test]
fn an_overlong_name_is_an_error() {
    let text = format!(
        r#"{{"members":[{{"id":"{}","phase":"Ready"}}]}}"#,
        "h".repeat(257)
    );
    assert!(serde_json::from_str::<Listing>(&text).is_err());
}
