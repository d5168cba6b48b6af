//! Bodies on the heap and in mappings of their own.

use super::*;
use crate::memory_pool::PAGE_SIZE;

const SHORT_MESSAGE: usize = 150;
const PREFIX_LIMIT: usize = 50;

fn memory(pages: usize) -> MessageMemory {
    MessageMemory {
        pool: MemoryPool::new(pages * PAGE_SIZE),
        short_message: SHORT_MESSAGE,
    }
}

/// Adds the bytes in pieces of `size`, with room from the pool where it is needed.
fn fill(buffer: &mut MessageBuffer, memory: &MessageMemory, body: &[u8], size: usize) {
    for piece in body.chunks(size) {
        let missing = buffer.missing_room(piece.len());
        if missing > 0 {
            let reservation = memory.pool.try_reserve(missing).unwrap();
            buffer.move_to(reservation).unwrap();
        }
        assert_eq!(buffer.missing_room(piece.len()), 0);
        buffer.push(piece);
    }
}

#[test]
fn a_message_is_its_prefix_and_its_body_wherever_it_is_kept() {
    let memory = memory(20);
    for length in [0, 1, 100, 101, 5_000, BODY_LIMIT] {
        for announced in [Some(length), None] {
            for prefix in ["", "head", &"x".repeat(PREFIX_LIMIT)] {
                let body: Vec<u8> = (0..length).map(|n| n as u8).collect();
                let mut buffer = MessageBuffer::new(&memory, announced, PREFIX_LIMIT);
                fill(&mut buffer, &memory, &body, 37);
                assert_eq!(buffer.len(), length);
                let bytes = buffer.into_bytes(prefix.as_bytes());
                let whole = [prefix.as_bytes(), &body].concat();
                assert_eq!(bytes, whole, "{length} bytes, announced {announced:?}");
                let is_long = PREFIX_LIMIT + length > SHORT_MESSAGE;
                assert_eq!(memory.pool.reserved() > 0, is_long);
                // The room is held as long as any part of the message is.
                let part = bytes.slice(bytes.len() / 2..);
                drop(bytes);
                assert_eq!(memory.pool.reserved() > 0, is_long);
                drop(part);
                assert_eq!(memory.pool.reserved(), 0);
            }
        }
    }
}

/// Guards against buffers on the heap that grow beyond the allowance of a connection.
#[test]
fn a_short_message_takes_no_more_than_the_allowance() {
    let memory = memory(0);
    for announced in [Some(SHORT_MESSAGE - PREFIX_LIMIT), None] {
        let mut buffer = MessageBuffer::new(&memory, announced, PREFIX_LIMIT);
        fill(&mut buffer, &memory, &[1; SHORT_MESSAGE - PREFIX_LIMIT], 7);
        assert!(buffer.missing_room(1) > 0);
        let Storage::Heap(bytes) = &buffer.storage else {
            panic!("a short message is on the heap");
        };
        assert!(bytes.capacity() <= SHORT_MESSAGE);
    }
    let announced_long = MessageBuffer::new(&memory, Some(BODY_LIMIT), PREFIX_LIMIT);
    assert_eq!(announced_long.missing_room(0), 0, "none of it has arrived");
    assert_eq!(announced_long.missing_room(1), PREFIX_LIMIT + BODY_LIMIT);
    let too_long = MessageBuffer::new(&memory, Some(0), SHORT_MESSAGE + 1);
    assert!(too_long.missing_room(0) > 0, "the prefix alone is too long");
}
