//! Encoding and decoding of frames: complete, fragmented, truncated, oversized and malformed ones, and random bytes.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use spokeflow_proto::*;
use tokio_util::codec::Decoder;

type Codec = FrameCodec<FromClient, FromClient>;

fn command(body: Vec<u8>) -> FromClient {
    FromClient::Command(Command {
        id: u64::MAX,
        op: 3,
        tenant: 1,
        key: 99,
        idempotency_key: 7,
        left_us: 1_000_000,
        body: Bytes::from(body),
    })
}

fn bytes_of(message: &FromClient) -> BytesMut {
    let mut bytes = BytesMut::new();
    Codec::new(WORK_LIMIT).write(message, &mut bytes).unwrap();
    bytes
}

#[test]
fn the_encoding_is_the_documented_one() {
    // docs/protocol.md shows these bytes; changing them requires a new protocol version.
    let hello = bytes_of(&FromClient::Hello(Hello::new(Role::Client, 5, 2)));
    assert_eq!(
        &hello[..],
        &[0, 0, 0, 9, 0, b'S', b'P', b'K', b'F', 1, 0, 5, 2]
    );
    let abandon = bytes_of(&FromClient::Abandon { id: 300 });
    assert_eq!(&abandon[..], &[0, 0, 0, 3, 2, 0xac, 0x02]);
}

#[test]
fn a_frame_that_arrives_byte_by_byte_is_decoded() {
    let sent = command(vec![1, 2, 3]);
    let mut codec = Codec::new(WORK_LIMIT);
    let mut decoded = Vec::new();
    let mut arrived = BytesMut::new();
    for byte in bytes_of(&sent).iter().chain(bytes_of(&sent).iter()) {
        arrived.extend_from_slice(&[*byte]);
        decoded.extend(codec.decode(&mut arrived).unwrap());
    }
    assert_eq!(decoded, vec![sent.clone(), sent]);
    assert!(codec.decode_eof(&mut arrived).unwrap().is_none());
}

#[test]
fn a_frame_cut_by_the_end_of_the_connection_is_truncated_and_yields_no_message() {
    let whole = bytes_of(&command(vec![9; 50]));
    for cut in 1..whole.len() {
        let mut codec = Codec::new(WORK_LIMIT);
        let mut part = BytesMut::from(&whole[..cut]);
        assert!(codec.decode(&mut part).unwrap().is_none());
        assert!(
            matches!(codec.decode_eof(&mut part), Err(FrameError::Truncated { have }) if have == cut)
        );
    }
}

#[test]
fn an_oversized_frame_is_refused_by_its_length_alone_and_not_encoded() {
    let mut from = BytesMut::from(&((WORK_LIMIT as u32 + 1).to_be_bytes())[..]);
    let error = Codec::new(WORK_LIMIT).decode(&mut from).unwrap_err();
    assert!(matches!(error, FrameError::Oversized { .. }), "{error}");
    let mut to = BytesMut::from(&b"before"[..]);
    assert!(Codec::new(WORK_LIMIT)
        .write(&command(vec![0; WORK_LIMIT]), &mut to)
        .is_err());
    assert_eq!(&to[..], b"before");
}

#[test]
fn unknown_kinds_and_malformed_bodies_are_distinguished() {
    let decode = |bytes: &[u8]| {
        let mut from = BytesMut::from(&(bytes.len() as u32).to_be_bytes()[..]);
        from.extend_from_slice(bytes);
        Codec::new(WORK_LIMIT).decode(&mut from).unwrap_err()
    };
    assert!(matches!(decode(&[77]), FrameError::UnknownKind(77)));
    assert!(matches!(decode(&[2]), FrameError::Malformed(_)));
    assert!(matches!(
        decode(&[2, 1, 1]),
        FrameError::Malformed("bytes follow the message")
    ));
    assert!(matches!(decode(&[]), FrameError::Malformed(_)));
}

#[test]
fn a_hello_is_checked_field_by_field() {
    let good = Hello::new(Role::Client, 0, 0);
    assert!(good.check(&[Role::Client]).is_ok());
    assert!(matches!(
        good.check(&[Role::Router]),
        Err(FrameError::WrongRole)
    ));
    let newer = Hello {
        version: VERSION + 1,
        ..good.clone()
    };
    assert!(
        good.clone()
            .with_newest_version()
            .check(&[Role::Client])
            .is_ok()
            && !good.has_newest_version()
    );
    assert!(matches!(
        newer.check(&[Role::Client]),
        Err(FrameError::WrongVersion(3))
    ));
    let other = Hello {
        magic: *b"HTTP",
        ..good
    };
    assert!(matches!(
        other.check(&[Role::Client]),
        Err(FrameError::NotSpokeflow)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_give_messages_or_an_error_and_reserve_memory_for_one_frame_only(
        bytes in prop::collection::vec(any::<u8>(), 0..200)
    ) {
        let mut from = BytesMut::from(&bytes[..]);
        let mut codec = Codec::new(256);
        while let Ok(Some(_)) = codec.decode(&mut from) {}
        prop_assert!(from.capacity() <= 1024);
    }

    #[test]
    fn an_encoded_message_is_decoded_unchanged(body in prop::collection::vec(any::<u8>(), 0..300), id: u64, key: u64) {
        let sent = FromClient::Command(Command {
            id, op: 1, tenant: 2, key, idempotency_key: id ^ key, left_us: 5, body: Bytes::from(body),
        });
        let mut from = bytes_of(&sent);
        prop_assert_eq!(Codec::new(WORK_LIMIT).decode(&mut from).unwrap(), Some(sent));
    }
}
