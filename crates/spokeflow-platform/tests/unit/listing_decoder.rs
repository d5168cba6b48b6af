//! Decoding of listings in any layout and with any split of the bytes.

use super::*;

const LIMITS: ListingLimits = ListingLimits {
    size: 64 << 10,
    hosts: 100,
};
const LISTING: &str =
    r#"{"revision":41,"complete":true,"members":[{"id":"s-{\"a]","phase":"Ready"}]}"#;

fn indented_listing() -> String {
    let value: serde_json::Value = serde_json::from_str(LISTING).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

fn revisions(decoder: &mut ListingDecoder) -> Vec<u64> {
    std::iter::from_fn(|| decoder.next().unwrap())
        .map(|listing| listing.revision)
        .collect()
}

/// Guards against reading listings line by line: an indented one would end the watch, and no change would be received.
#[test]
fn listings_are_decoded_in_any_layout_and_split() {
    let text = format!(
        "\n{LISTING}\n\n{}\n\r\n{LISTING}{}\n",
        indented_listing(),
        indented_listing()
    );
    for part_size in 1..text.len() {
        let mut decoder = ListingDecoder::new(LIMITS);
        let mut decoded = Vec::new();
        for part in text.as_bytes().chunks(part_size) {
            decoder.push(part);
            decoded.extend(revisions(&mut decoder));
        }
        assert_eq!(decoded, [41, 41, 41, 41], "in parts of {part_size} bytes");
    }
}

#[test]
fn an_incomplete_object_followed_by_another_is_an_error() {
    let mut decoder = ListingDecoder::new(LIMITS);
    decoder.push(b"{\"revision\":2,\"complete\":tr");
    assert!(decoder.next().unwrap().is_none());
    decoder.push(format!("\n{LISTING}\n").as_bytes());
    assert!(decoder.next().is_err());
}

#[test]
fn an_object_that_never_ends_is_an_error() {
    let mut decoder = ListingDecoder::new(LIMITS);
    decoder.push(b"{\"members\":[");
    let mut received = 0;
    let error = loop {
        received += 4 << 10;
        decoder.push(&[b' '; 4 << 10]);
        if let Err(error) = decoder.next() {
            break error;
        }
        assert!(received <= LIMITS.size, "{received} bytes are kept");
    };
    assert!(matches!(error, ListingError::TooLong { .. }), "{error}");
}

/// Guards against a listing of very many small entries, each of which takes more memory parsed than as text.
#[test]
fn a_listing_of_too_many_hosts_is_an_error() {
    let listing = |hosts: usize| {
        let members = vec![r#"{"id":"h","phase":"Gone"}"#; hosts].join(",");
        format!(r#"{{"revision":1,"members":[{members}]}}"#)
    };
    let mut decoder = ListingDecoder::new(LIMITS);
    decoder.push(listing(LIMITS.hosts).as_bytes());
    let decoded = decoder.next().unwrap().unwrap();
    assert_eq!(decoded.members.len(), LIMITS.hosts);
    decoder.push(listing(LIMITS.hosts + 1).as_bytes());
    let error = decoder.next().unwrap_err();
    assert!(
        matches!(error, ListingError::TooManyHosts { .. }),
        "{error}"
    );
}

/// Guards against a decoder that keeps the memory of a long listing after it has been taken.
#[test]
fn the_memory_of_a_listing_is_free_once_it_is_taken() {
    let mut decoder = ListingDecoder::new(LIMITS);
    let white_space = " ".repeat(LIMITS.size / 2);
    decoder.push(format!("{{{white_space}\"members\":[]}}\n").as_bytes());
    assert!(decoder.next().unwrap().is_some());
    assert!(decoder.text.capacity() < 1 << 10);
}
