//! Recordings: replay, and reading of truncated and corrupt ones.

use spokeflow_engine::{Input, NotARecordingError, RecordedInput, Recording, TornEntryError};
use spokeflow_proto::EndpointPhase;

use crate::common::*;

#[test]
fn replaying_a_recording_gives_the_same_output_byte_for_byte() {
    let mut harness = Harness::new(12, 77);
    harness.list_ready(&[1, 2, 3], 7);
    for id in 0..300 {
        harness.command(10 + id % 3, id, (id % 3) as u16, id % 17);
        harness.answer_all_but_four();
        if id == 100 {
            harness.change_endpoint(4, 8, EndpointPhase::Ready, 5);
        }
        harness.advance(7_000);
    }
    let recording = Recording::read(&harness.recording).unwrap();
    assert_eq!((recording.seed, &recording.error), (77, &None));
    let replayed = Harness::replay(&recording);
    assert!(harness.transport.text.len() > 10_000);
    assert_eq!(harness.transport.text, replayed);
}

#[test]
fn a_torn_recording_is_read_up_to_its_last_complete_entry() {
    let mut bytes = Recording::head(1, 5);
    let first = Recording::entry(6, &Input::Timer);
    bytes.extend(&first);
    bytes.extend(Recording::entry(7, &Input::Close));
    let torn_offset = 24 + first.len();
    let torn = || TornEntryError {
        complete: 1,
        offset: torn_offset,
    };
    for cut in torn_offset + 1..bytes.len() {
        let recording = Recording::read(&bytes[..cut]).unwrap();
        let read = RecordedInput {
            at: 6,
            input: Input::Timer,
        };
        assert_eq!(recording.inputs, [read]);
        assert_eq!(recording.error, Some(torn()));
    }
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    assert_eq!(Recording::read(&bytes).unwrap().error, Some(torn()));
    let other = b"something else entirely, long enough";
    assert_eq!(
        Recording::read(other),
        Err(NotARecordingError {
            length: other.len(),
            beginning: "somethin".into(),
        })
    );
}
