//! Decoding of listings in any layout and with any split of the bytes.

use super::*;

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
        let mut decoder = ListingDecoder::default();
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
    let mut decoder = ListingDecoder::default();
    decoder.push(b"{\"revision\":2,\"complete\":tr");
    assert!(decoder.next().unwrap().is_none());
    decoder.push(format!("\n{LISTING}\n").as_bytes());
    assert!(decoder.next().is_err());
}

#[test]
fn an_object_that_never_ends_is_an_error() {
    let mut decoder = ListingDecoder::default();
    decoder.push(b"{\"members\":[");
    let error = (0..MAX_LISTING_SIZE).step_by(1 << 20).find_map(|_| {
        decoder.push(&vec![b' '; 2 << 20]);
        decoder.next().err()
    });
    assert!(error.is_some());
}
