//! The ids of clients' requests. Each id is new on the platform, so a second request with the id of an earlier one is a
//! copy, whether the earlier one is pending, has been answered or was left by its client. A copy is refused, since the
//! earlier request may have run.
//!
//! Ids that have been used are remembered in two windows of a bounded number of ids each: those of requests that were
//! delivered to a host, and the others. A full window forgets its oldest id. Requests that reach no host, of which a
//! client can send any number, therefore never displace the id of one that may have run.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

use bytes::Bytes;
use tracing::debug;

/// Part of the memory that the window of delivered requests gets, in parts of [`WHOLE`].
const DELIVERED_SHARE: usize = 3;
/// Part of the memory that the window of the other requests gets.
const UNDELIVERED_SHARE: usize = 1;
const WHOLE: usize = DELIVERED_SHARE + UNDELIVERED_SHARE;

/// The ids of pending requests and of earlier ones.
pub(crate) struct RequestIds {
    pending: HashMap<Bytes, PendingId>,
    delivered: IdWindow,
    undelivered: IdWindow,
    /// Hashes ids with a key that peers do not know, so that they cannot make two ids collide.
    hasher: RandomState,
}

/// What is known of a pending request.
#[derive(Debug, Default)]
struct PendingId {
    /// Whether a delivery to a host has begun.
    is_delivered: bool,
}

impl RequestIds {
    /// Creates a memory of at most `size` bytes, without what pending requests take.
    pub(crate) fn new(size: usize) -> Self {
        RequestIds {
            pending: HashMap::new(),
            delivered: IdWindow::new(size / WHOLE * DELIVERED_SHARE),
            undelivered: IdWindow::new(size / WHOLE * UNDELIVERED_SHARE),
            hasher: RandomState::new(),
        }
    }

    /// Notes a new request. Returns `false` if the id is that of another one, pending or remembered.
    pub(crate) fn begin(&mut self, id: &Bytes) -> bool {
        let hash = self.hasher.hash_one(id);
        let is_used = self.pending.contains_key(id)
            || self.delivered.contains(hash)
            || self.undelivered.contains(hash);
        if !is_used {
            self.pending.insert(id.clone(), PendingId::default());
        }
        !is_used
    }

    /// Notes that a delivery of a pending request begins.
    pub(crate) fn deliver(&mut self, id: &[u8]) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.is_delivered = true;
        }
    }

    /// Notes that a pending request has been answered, or that its client has gone.
    pub(crate) fn end(&mut self, id: &Bytes) {
        let Some(pending) = self.pending.remove(id) else {
            return;
        };
        let hash = self.hasher.hash_one(id);
        let window = if pending.is_delivered {
            &mut self.delivered
        } else {
            &mut self.undelivered
        };
        if window.insert(hash) {
            let is_delivered = pending.is_delivered;
            let kept = window.capacity;
            debug!(is_delivered, kept, "oldest request id forgotten");
        }
    }
}

/// The latest ids, as their hashes.
struct IdWindow {
    hashes: HashSet<u64>,
    /// The same hashes, oldest first.
    order: VecDeque<u64>,
    capacity: usize,
}

impl IdWindow {
    /// Bytes of a bucket of the hash set (a hash and a control byte).
    const BUCKET_SIZE: usize = size_of::<u64>() + 1;

    /// Creates a window of the largest capacity that takes at most `size` bytes. All of it is allocated here.
    fn new(size: usize) -> Self {
        // A hash set has a power of two of buckets and fills seven in eight of them.
        let buckets = size / (Self::BUCKET_SIZE + size_of::<u64>());
        let buckets = 1 << buckets.max(8).ilog2();
        let capacity = buckets / 8 * 7;
        IdWindow {
            hashes: HashSet::with_capacity(capacity),
            order: VecDeque::with_capacity(capacity),
            capacity,
        }
    }

    fn contains(&self, hash: u64) -> bool {
        self.hashes.contains(&hash)
    }

    /// Adds a hash. Returns whether the oldest one was forgotten for it.
    fn insert(&mut self, hash: u64) -> bool {
        let is_full = self.order.len() >= self.capacity;
        if is_full {
            if let Some(oldest) = self.order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
        if self.hashes.insert(hash) {
            self.order.push_back(hash);
        }
        is_full
    }
}

#[cfg(test)]
#[path = "../tests/unit/request_ids.rs"]
mod tests;
