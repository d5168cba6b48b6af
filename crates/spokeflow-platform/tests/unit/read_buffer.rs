//! Growth of read buffers.

use super::*;
use crate::memory_pool::PAGE_SIZE;

const LARGE_SIZE: usize = 10 << 10;

/// Fills the free space of the buffer.
fn fill(buffer: &mut ReadBuffer) {
    let spare = buffer.bytes.capacity() - buffer.bytes.len();
    assert!(spare > 0, "a read needs free space");
    buffer.bytes.extend_from_slice(&vec![7; spare]);
}

#[test]
fn a_buffer_is_enlarged_with_room_and_shrinks_when_it_is_empty() {
    let pool = MemoryPool::new(3 * PAGE_SIZE);
    let mut buffer = ReadBuffer::new(pool.clone());
    assert!(buffer.make_space(LARGE_SIZE));
    fill(&mut buffer);
    assert!(!buffer.make_space(SMALL_SIZE), "the small block is full");
    assert!(buffer.make_space(LARGE_SIZE));
    assert_eq!(pool.reserved(), 3 * PAGE_SIZE);
    fill(&mut buffer);
    assert_eq!(buffer.bytes.len(), LARGE_SIZE);
    assert!(!buffer.make_space(LARGE_SIZE), "the large block is full");
    let _ = buffer.bytes.split_to(LARGE_SIZE - 10);
    assert!(buffer.make_space(LARGE_SIZE));
    assert_eq!(pool.reserved(), 0, "the room is free again");
    assert_eq!(buffer.bytes, [7; 10][..]);
}

#[test]
fn a_buffer_without_room_keeps_its_bytes() {
    let pool = MemoryPool::new(0);
    let mut buffer = ReadBuffer::new(pool);
    fill(&mut buffer);
    assert!(!buffer.make_space(LARGE_SIZE));
    assert_eq!(buffer.bytes, [7; SMALL_SIZE][..]);
}

/// Guards against blocks that double while a part of their bytes is taken out again and again.
#[test]
fn a_block_never_grows_beyond_its_size() {
    let pool = MemoryPool::new(0);
    for taken in [1, 300, 1_000, 1_500, SMALL_SIZE] {
        let mut buffer = ReadBuffer::new(pool.clone());
        for _ in 0..100 {
            assert!(buffer.make_space(SMALL_SIZE));
            fill(&mut buffer);
            assert!(buffer.bytes.len() <= SMALL_SIZE, "{taken} bytes taken");
            let piece = buffer
                .bytes
                .split_to(taken.min(buffer.bytes.len()))
                .freeze();
            drop(piece);
        }
    }
}
