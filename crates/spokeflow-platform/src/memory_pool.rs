//! Memory that many connections share. A part of it is reserved before bytes of a peer are read into it, and is free
//! again once the reservation is dropped.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of reservations, in bytes: the operating system gives and takes memory in pages.
pub(crate) const PAGE_SIZE: usize = 4 << 10;

/// A bounded amount of memory.
#[derive(Clone, Debug)]
pub(crate) struct MemoryPool {
    /// Number of pages that are free.
    free_pages: Arc<Semaphore>,
    /// Number of pages in all.
    pages: usize,
}

/// A reserved part of a pool, free again once this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    _pages: OwnedSemaphorePermit,
}

/// Returns the number of pages that hold this many bytes.
fn pages_for(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(PAGE_SIZE)).unwrap_or(u32::MAX)
}

impl MemoryPool {
    /// Creates a pool of as many whole pages as `bytes` holds.
    pub(crate) fn new(bytes: usize) -> Self {
        let pages = (bytes / PAGE_SIZE).min(Semaphore::MAX_PERMITS);
        MemoryPool {
            free_pages: Arc::new(Semaphore::new(pages)),
            pages,
        }
    }

    /// Reserves this many bytes, or returns `None` if they are not free.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let free_pages = self.free_pages.clone();
        let pages = free_pages.try_acquire_many_owned(pages_for(bytes));
        pages.ok().map(|pages| Reservation { _pages: pages })
    }

    /// Waits until this many bytes are free and reserves them; `None` if the pool is smaller. Those who wait are served
    /// in the order of their calls.
    pub(crate) async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let pages = pages_for(bytes);
        if pages as usize > self.pages {
            return None;
        }
        let acquired = self.free_pages.clone().acquire_many_owned(pages).await;
        acquired.ok().map(|pages| Reservation { _pages: pages })
    }

    /// Returns the number of bytes that are reserved.
    pub(crate) fn reserved(&self) -> usize {
        (self.pages - self.free_pages.available_permits()) * PAGE_SIZE
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory_pool.rs"]
mod tests;
