//! The body of a message while it is read, and the whole message afterwards. A short one is on the heap, within the
//! allowance that each connection has. A longer one is in a mapping of its own, which is as large as the reservation for
//! it and is given back to the operating system at its end: on the heap, blocks of many sizes would leave holes.

use std::io;

use bytes::Bytes;
use memmap2::MmapMut;

use crate::limits::BODY_LIMIT;
use crate::memory_pool::{MemoryPool, Reservation};

/// Memory for the messages of one kind of peer.
#[derive(Clone, Debug)]
pub(crate) struct MessageMemory {
    /// Memory for long messages.
    pub(crate) pool: MemoryPool,
    /// Maximum length of a short message, in bytes.
    pub(crate) short_message: usize,
}

/// A body, as far as it has been read.
#[derive(Debug)]
pub(crate) struct MessageBuffer {
    storage: Storage,
    /// Length of the whole body, if it is known.
    announced: Option<usize>,
    short_message: usize,
    /// Maximum length of what is put in front of the body ([`MessageBuffer::into_bytes`]).
    prefix_limit: usize,
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped(MappedMessage),
}

/// A long message. The body begins after room for the prefix.
#[derive(Debug)]
struct MappedMessage {
    memory: MmapMut,
    start: usize,
    end: usize,
    _reservation: Reservation,
}

impl AsRef<[u8]> for MappedMessage {
    fn as_ref(&self) -> &[u8] {
        &self.memory[self.start..self.end]
    }
}

impl MessageBuffer {
    /// Creates an empty buffer. `announced` is the length of the body, if it is known; at most `prefix_limit` bytes are
    /// put in front of it.
    pub(crate) fn new(
        memory: &MessageMemory,
        announced: Option<usize>,
        prefix_limit: usize,
    ) -> Self {
        MessageBuffer {
            storage: Storage::Heap(Vec::new()),
            announced,
            short_message: memory.short_message,
            prefix_limit,
        }
    }

    /// Returns the maximum length of the body.
    fn max_length(&self) -> usize {
        self.announced.unwrap_or(BODY_LIMIT)
    }

    pub(crate) fn len(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Mapped(message) => message.as_ref().len(),
        }
    }

    /// Returns how many bytes must be reserved ([`MessageBuffer::move_to`]) before `additional` bytes can be added; 0
    /// if there is room for them. What is reserved is enough for the whole message.
    pub(crate) fn missing_room(&self, additional: usize) -> usize {
        let Storage::Heap(bytes) = &self.storage else {
            return 0;
        };
        // A body that is announced as long is not begun on the heap, from where it would have to be moved.
        let announced = self.announced.filter(|_| additional > 0).unwrap_or(0);
        let length = announced.max(bytes.len() + additional);
        if self.prefix_limit + length <= self.short_message {
            return 0;
        }
        self.prefix_limit + self.max_length()
    }

    /// Moves the body to memory of its own, for which [`MessageBuffer::missing_room`] bytes have been reserved.
    ///
    /// # Errors
    ///
    /// The operating system gives no memory.
    pub(crate) fn move_to(&mut self, reservation: Reservation) -> io::Result<()> {
        let start = self.prefix_limit;
        let Storage::Heap(bytes) = &self.storage else {
            return Ok(());
        };
        let mut memory = MmapMut::map_anon(start + self.max_length())?;
        let end = start + bytes.len();
        memory[start..end].copy_from_slice(bytes);
        self.storage = Storage::Mapped(MappedMessage {
            memory,
            start,
            end,
            _reservation: reservation,
        });
        Ok(())
    }

    /// Adds bytes to the body. There must be room for them: [`MessageBuffer::missing_room`] is 0, and the body does not
    /// become longer than announced or allowed.
    pub(crate) fn push(&mut self, data: &[u8]) {
        match &mut self.storage {
            Storage::Heap(bytes) => {
                let length = bytes.len() + data.len();
                if length > bytes.capacity() {
                    // A body of unknown length grows by doubling, as any vector does, but not beyond the allowance.
                    let capacity = self.announced.unwrap_or(2 * length);
                    let capacity = capacity.min(self.short_message).max(length);
                    bytes.reserve_exact(capacity - bytes.len());
                }
                bytes.extend_from_slice(data);
            }
            Storage::Mapped(message) => {
                let end = message.end + data.len();
                message.memory[message.end..end].copy_from_slice(data);
                message.end = end;
            }
        }
    }

    /// Returns the message: `prefix`, which is no longer than the limit for it, and the body. The memory is free again
    /// once the last clone of the result is dropped.
    pub(crate) fn into_bytes(self, prefix: &[u8]) -> Bytes {
        match self.storage {
            Storage::Heap(bytes) if prefix.is_empty() => bytes.into(),
            Storage::Heap(bytes) => {
                let mut whole = Vec::with_capacity(prefix.len() + bytes.len());
                whole.extend_from_slice(prefix);
                whole.extend_from_slice(&bytes);
                whole.into()
            }
            Storage::Mapped(mut message) => {
                let start = message.start - prefix.len();
                message.memory[start..message.start].copy_from_slice(prefix);
                message.start = start;
                Bytes::from_owner(message)
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/message_buffer.rs"]
mod tests;
