//! Listings of a watch, however they are laid out and cut.

use super::*;

const PLAIN: &str =
    r#"{"revision":41,"complete":true,"members":[{"id":"s-{\"a]","phase":"Ready"}]}"#;

fn indented() -> String {
    let value: serde_json::Value = serde_json::from_str(PLAIN).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

fn revisions(decoder: &mut ListingDecoder) -> Vec<u64> {
    std::iter::from_fn(|| decoder.next().unwrap())
        .map(|listing| listing.revision)
        .collect()
}

/// Lists may come indented: read line by line, each broke the watch, and no change was ever heard.
#[test]
fn objects_are_read_however_they_are_laid_out_and_cut() {
    let text = format!("\n{PLAIN}\n\n{}\n\r\n{PLAIN}{}\n", indented(), indented());
    for cut in 1..text.len() {
        let mut decoder = ListingDecoder::default();
        let mut all = Vec::new();
        for part in text.as_bytes().chunks(cut) {
            decoder.push(part);
            all.extend(revisions(&mut decoder));
        }
        assert_eq!(all, [41, 41, 41, 41], "in parts of {cut}");
    }
}

#[test]
fn half_an_object_with_another_behind_it_is_found_out() {
    let mut decoder = ListingDecoder::default();
    decoder.push(b"{\"revision\":2,\"complete\":tr");
    assert!(decoder.next().unwrap().is_none());
    decoder.push(format!("\n{PLAIN}\n").as_bytes());
    assert!(decoder.next().is_err());
}

#[test]
fn an_object_without_an_end_is_given_up() {
    let mut decoder = ListingDecoder::default();
    decoder.push(b"{\"members\":[");
    let error = (0..MAX_LISTING).step_by(1 << 20).find_map(|_| {
        decoder.push(&vec![b' '; 2 << 20]);
        decoder.next().err()
    });
    assert!(error.is_some());
}
