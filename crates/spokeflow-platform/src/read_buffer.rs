//! The read buffer of a connection: a small block that each connection has, which is enlarged only with room in a pool.

use bytes::BytesMut;

use crate::memory_pool::{MemoryPool, Reservation};

/// Size of the block that each connection has, in bytes.
pub(crate) const SMALL_SIZE: usize = 2 << 10;
/// Minimum free space for a read while the block is not full, in bytes.
const MIN_READ: usize = 512;

/// The bytes of a connection that have been read and not decoded.
#[derive(Debug)]
pub(crate) struct ReadBuffer {
    pub(crate) bytes: BytesMut,
    /// Size of the block, in bytes.
    size: usize,
    pool: MemoryPool,
    /// The room of a block larger than [`SMALL_SIZE`].
    reservation: Option<Reservation>,
}

impl ReadBuffer {
    pub(crate) fn new(pool: MemoryPool) -> Self {
        ReadBuffer {
            bytes: BytesMut::with_capacity(SMALL_SIZE),
            size: SMALL_SIZE,
            pool,
            reservation: None,
        }
    }

    /// Makes free space for a read, in a block of at most `max_size` bytes. Returns `false` if there is none: the block
    /// is as large as that, or the pool has no room for a larger one.
    pub(crate) fn make_space(&mut self, max_size: usize) -> bool {
        if self.reservation.is_some() && self.bytes.len() <= SMALL_SIZE / 2 {
            self.replace_block(SMALL_SIZE);
            self.reservation = None;
        }
        let unused = self.size.saturating_sub(self.bytes.len());
        if unused == 0 {
            return self.enlarge(max_size);
        }
        let wanted = if self.bytes.is_empty() {
            unused
        } else {
            unused.min(MIN_READ)
        };
        let spare = self.bytes.capacity() - self.bytes.len();
        if spare < wanted && !self.bytes.try_reclaim(wanted) {
            self.replace_block(self.size);
        }
        true
    }

    /// Moves the bytes to a block of `size` bytes, if it is larger and the pool has room for it.
    fn enlarge(&mut self, size: usize) -> bool {
        if size <= self.size {
            return false;
        }
        let Some(reservation) = self.pool.try_reserve(size) else {
            return false;
        };
        self.replace_block(size);
        self.reservation = Some(reservation);
        true
    }

    fn replace_block(&mut self, size: usize) {
        let mut block = BytesMut::with_capacity(size);
        block.extend_from_slice(&self.bytes);
        self.bytes = block;
        self.size = size;
    }
}

#[cfg(test)]
#[path = "../tests/unit/read_buffer.rs"]
mod tests;
