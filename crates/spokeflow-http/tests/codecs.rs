//! Decoding gives the same messages wherever the bytes are split, never panics, and rejects messages that two readers
//! could interpret in two ways.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use spokeflow_http::{
    begins_response, write_response, HttpError, RequestHead, RequestPart, Response, ResponseCodec,
    ResponsePart, ServerCodec,
};
use tokio_util::codec::Decoder;

/// Decodes the bytes, split at `cuts` and followed by the end of the connection. Returns the items and the text of the
/// error, which is empty if there was none.
fn decode_all<Codec: Decoder<Error = HttpError>>(
    mut codec: Codec,
    bytes: &[u8],
    cuts: &[usize],
) -> (Vec<Codec::Item>, String) {
    let mut buffer = BytesMut::new();
    let mut items = Vec::new();
    let mut from = 0;
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    cuts.push(bytes.len());
    for cut in cuts {
        buffer.extend_from_slice(&bytes[from..cut]);
        from = cut;
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(item)) => items.push(item),
                Ok(None) => break,
                Err(error) => return (items, error.to_string()),
            }
        }
    }
    loop {
        match codec.decode_eof(&mut buffer) {
            Ok(Some(item)) => items.push(item),
            Ok(None) => return (items, String::new()),
            Err(error) => return (items, error.to_string()),
        }
    }
}

/// A request that was read whole.
#[derive(Clone, Debug, PartialEq)]
struct Request {
    head: RequestHead,
    body: Vec<u8>,
}

/// Returns the requests that were read whole.
fn whole_requests(parts: Vec<RequestPart>) -> Vec<Request> {
    let mut whole = Vec::new();
    let mut current: Option<Request> = None;
    for part in parts {
        match part {
            RequestPart::Head(head) => {
                assert!(current.is_none(), "a head within a request");
                let body = Vec::new();
                current = Some(Request { head, body });
            }
            RequestPart::Data(data) => current.as_mut().unwrap().body.extend_from_slice(&data),
            RequestPart::End => whole.push(current.take().unwrap()),
        }
    }
    whole
}

/// Decodes requests from the bytes, split at `cuts`.
fn requests_from_parts(bytes: &[u8], cuts: &[usize]) -> (Vec<Request>, String) {
    let (parts, end) = decode_all(ServerCodec::new(1024), bytes, cuts);
    (whole_requests(parts), end)
}

fn requests(bytes: &[u8]) -> (Vec<Request>, String) {
    requests_from_parts(bytes, &[])
}

/// Returns the status, the body and whether the end was read, of each response.
fn responses(parts: &[ResponsePart]) -> Vec<(u16, Vec<u8>, bool)> {
    let mut responses: Vec<(u16, Vec<u8>, bool)> = Vec::new();
    for part in parts {
        match part {
            ResponsePart::Head { status, .. } => responses.push((*status, Vec::new(), false)),
            ResponsePart::Data(data) => responses.last_mut().unwrap().1.extend_from_slice(data),
            ResponsePart::End => responses.last_mut().unwrap().2 = true,
        }
    }
    responses
}

const TWO_REQUESTS: &[u8] = b"POST /a/k HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\
\r\nPOST /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nde\r\n1;x=y\r\nf\r\n0\r\nT: v\r\n\r\n";

#[test]
fn pipelined_requests_are_read_one_by_one() {
    let (read, end) = requests(TWO_REQUESTS);
    let bodies: Vec<&[u8]> = read.iter().map(|request| request.body.as_slice()).collect();
    assert_eq!((bodies, end.as_str()), (vec![&b"abc"[..], b"def"], ""));
    assert_eq!(
        read[0].head.fields.single("host"),
        Some(&Bytes::from_static(b"h"))
    );
    let lengths: Vec<_> = read
        .iter()
        .map(|request| request.head.body_length)
        .collect();
    assert_eq!(lengths, [Some(3), None]);
}

/// Guards against a head that keeps the whole read buffer in memory: the buffer must be reused while the head is held.
#[test]
fn a_held_head_does_not_keep_the_buffer() {
    let mut buffer = BytesMut::with_capacity(4096);
    let block = buffer.as_ptr();
    buffer.extend_from_slice(b"GET /a/k HTTP/1.1\r\nHost: h\r\n\r\n");
    let mut codec = ServerCodec::new(1024);
    let head = codec.decode(&mut buffer).unwrap();
    assert!(matches!(head, Some(RequestPart::Head(_))));
    assert_eq!(codec.decode(&mut buffer).unwrap(), Some(RequestPart::End));
    buffer.reserve(4096);
    assert_eq!(buffer.as_ptr(), block, "the same block is used again");
}

/// Each of these bytes could be interpreted in two ways, or are a message that never ends: none may become a request.
#[test]
fn ambiguous_requests_are_errors() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(9000));
    let fields = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(65));
    let endless = format!("GET / HTTP/1.1\r\na: {}", "x".repeat(9000));
    for bad in [
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nContent-Length: \r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nab",
        "GET / HTTP/1.1\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
        "GET /\r\n\r\n",
        "\x16\x03\x01\x02",
        &long,
        &fields,
        &endless,
    ] {
        let (read, end) = requests(bad.as_bytes());
        let chunk_of_1025 = bad.contains("\r\n401\r\n") && end.contains("within");
        assert!(read.is_empty() && !end.is_empty(), "{bad:?}: {read:?}");
        assert!(chunk_of_1025 || !end.contains("within"), "{bad:?} must be an error before the connection ends, got: {end}");
    }
}

#[test]
fn a_chunked_body_that_grows_too_long_is_an_error() {
    let chunk = format!("200\r\n{}\r\n", "x".repeat(512));
    let bad = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}1\r\nx\r\n0\r\n\r\n"
    );
    let mut buffer = bad.as_bytes().into();
    let mut codec = ServerCodec::new(1024);
    let error = loop {
        match codec.decode(&mut buffer) {
            Ok(Some(RequestPart::End) | None) => panic!("the body is too long"),
            Ok(Some(_)) => {}
            Err(error) => break error,
        }
    };
    assert!(matches!(error, HttpError::BodyTooLong { limit: 1024 }));
}

#[test]
fn responses_of_every_framing_are_read_and_interim_responses_skipped() {
    let bytes = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 204 None\r\n\r\n\
HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\nHTTP/1.1 500 No\r\n\r\nrest";
    let (parts, end) = decode_all(ResponseCodec::new(64), bytes, &[]);
    let expected: [(u16, &[u8]); 4] = [(200, b"ab"), (204, b""), (200, b"c"), (500, b"rest")];
    let expected: Vec<_> = expected
        .iter()
        .map(|(status, body)| (*status, body.to_vec(), true))
        .collect();
    assert_eq!((responses(&parts), end.as_str()), (expected, ""));
}

#[test]
fn malformed_responses_are_errors() {
    for bad in [
        "noise that is no answer",
        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 OK\r\n\r\n",
        "HTTP/1.1 999 What\r\n\r\n",
        "HTTP/1.1 101 Switching\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na",
    ] {
        let (parts, end) = decode_all(ResponseCodec::new(64), bad.as_bytes(), &[]);
        assert!(
            !parts.contains(&ResponsePart::End) && !end.is_empty(),
            "{bad:?}: {parts:?}"
        );
    }
}

/// Guards against the rest of a body that is taken for a trailer when a chunk is announced as the last one too early.
#[test]
fn a_trailer_line_that_is_no_field_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    for trailer in [
        "rest\r\n\r\n",
        "{\"a\":1}\r\n\r\n",
        "a: b\r\nrest\r\n\r\n",
        " : x\r\n\r\n",
    ] {
        let bytes = format!("{head}{trailer}");
        let (parts, end) = decode_all(ResponseCodec::new(64), bytes.as_bytes(), &[]);
        assert!(!parts.contains(&ResponsePart::End), "{trailer:?}");
        assert!(end.contains("last chunk"), "{trailer:?}: {end}");
    }
    let bytes = format!("{head}a: b\r\nC-d:\r\n\r\n");
    let (parts, end) = decode_all(ResponseCodec::new(64), bytes.as_bytes(), &[]);
    assert_eq!((parts.last(), end.as_str()), (Some(&ResponsePart::End), ""));
}

#[test]
fn a_response_is_told_by_its_version_and_status() {
    for bytes in ["HTTP/1.1 200 OK\r\n", "HTTP/1.0 503", "HTTP/1.1 100 C"] {
        assert!(begins_response(bytes.as_bytes()), "{bytes:?}");
    }
    for bytes in [
        "",
        "H",
        "HTTP/1.1 20",
        "HTTP/2.0 200",
        "HTTP/1.1 2x0",
        "HTTP/1.1 900",
        " HTTP/1.1 200",
    ] {
        assert!(!begins_response(bytes.as_bytes()), "{bytes:?}");
    }
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_gives_the_same_requests(cuts in prop::collection::vec(0usize..400, 0..8)) {
        prop_assert_eq!(requests_from_parts(TWO_REQUESTS, &cuts), requests(TWO_REQUESTS));
    }

    #[test]
    fn a_written_response_is_read_back_whatever_the_split(
        status in 200u16..600,
        body in prop::collection::vec(any::<u8>(), 0..200),
        cuts in prop::collection::vec(0usize..400, 0..8),
    ) {
        prop_assume!(status != 204 && status != 304);
        let mut buffer = BytesMut::new();
        let response = Response { status, body: body.clone().into(), retry_after: Some(0.25), close: true };
        write_response(&response, &mut buffer);
        let (parts, end) = decode_all(ResponseCodec::new(1024), &buffer, &cuts);
        prop_assert_eq!((responses(&parts), end.as_str()), (vec![(status, body, true)], ""));
    }

    #[test]
    fn no_bytes_make_a_reader_panic(
        noise in prop::collection::vec(any::<u8>(), 0..300),
        at in 0usize..200,
        cuts in prop::collection::vec(0usize..400, 0..4),
    ) {
        let mut bytes = TWO_REQUESTS.to_vec();
        let at = at % bytes.len();
        bytes.splice(at..(at + noise.len() / 8).min(TWO_REQUESTS.len()), noise);
        requests_from_parts(&bytes, &cuts);
        decode_all(ResponseCodec::new(1024), &bytes, &cuts);
    }
}
