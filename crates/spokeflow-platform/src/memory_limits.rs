//! Division of the router's memory between the places where bytes of its peers wait. Decided once, at the start, from
//! the limits that the platform tells.

use spokeflow_http::HEAD_LIMIT;

use crate::limits::BODY_LIMIT;
use crate::memory_pool::PAGE_SIZE;

/// Number of bytes in a megabyte of the platform's limit. A mebibyte is larger, so the limit holds in either reading.
const MEGABYTE: usize = 1_000_000;
/// Maximum length of a message with what belongs to it, in bytes.
const MESSAGE_LIMIT: usize = BODY_LIMIT + HEAD_LIMIT + PAGE_SIZE;
/// Memory of a connection without its messages, in bytes: its task, the small read buffer, a head and timers.
const CONNECTION_SIZE: usize = 6 << 10;
/// Memory of a listed host in the endpoint table, the engine and the decision module, in bytes.
const HOST_SIZE: usize = 768;
/// Memory of a host that has gone and whose number cannot be used again yet, in bytes.
const GONE_HOST_SIZE: usize = 256;
/// Memory of a key that is assigned to a build, in bytes.
const STICKY_KEY_SIZE: usize = 64;
/// Longest listing that is read with any amount of memory, in bytes.
const MAX_LISTING_SIZE: usize = 4 << 20;
/// Largest memory for the ids of earlier requests, in bytes: it is allocated at the start.
const MAX_REQUEST_IDS_SIZE: usize = 8 << 20;

/// The shares are in parts of this number. What they leave is for the program itself.
const WHOLE: usize = 32;
/// Share of the connections without their messages.
const CONNECTIONS_SHARE: usize = 8;
/// Share of the short messages, of which each connection may hold one.
const SHORT_MESSAGES_SHARE: usize = 3;
/// Share of the long requests of all clients.
const REQUESTS_SHARE: usize = 3;
/// Share of the long answers of all hosts.
const ANSWERS_SHARE: usize = 3;
/// Share of the enlarged read buffers of all connections.
const READ_BUFFERS_SHARE: usize = 1;
/// Share of the text of a listing. Its parsed form takes up to as much again.
const LISTING_SHARE: usize = 2;
/// Share of the listed hosts, and of as many that have gone.
const HOSTS_SHARE: usize = 4;
/// Share of the remembered ids of requests.
const REQUEST_IDS_SHARE: usize = 1;
/// Share of the keys that are assigned to builds.
const STICKY_KEYS_SHARE: usize = 1;

/// Maximum sizes of what the router holds for its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryLimits {
    /// Maximum number of connections, of clients and to hosts together.
    pub(crate) connections: usize,
    /// Memory for the short messages of all connections, in bytes.
    short_messages: usize,
    /// Memory for the long requests of all clients, in bytes.
    pub(crate) requests: usize,
    /// Memory for the long answers of all hosts, in bytes.
    pub(crate) answers: usize,
    /// Memory for the enlarged read buffers of all connections, in bytes.
    pub(crate) read_buffers: usize,
    /// Memory for the ids of earlier requests, in bytes.
    pub(crate) request_ids: usize,
    /// Maximum number of keys that are assigned to builds.
    pub(crate) sticky_keys: usize,
    /// Maximum length of a listing, in bytes.
    pub(crate) listing: usize,
    /// Maximum number of hosts in a listing.
    pub(crate) hosts: usize,
    /// Maximum number of hosts that are known: those listed, and as many that have gone lately.
    pub(crate) known_hosts: usize,
}

impl MemoryLimits {
    /// Divides `memory_mb` megabytes. Each pool holds at least one message, however little memory there is.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX);
        let part = memory.saturating_mul(MEGABYTE) / WHOLE;
        let share = |parts: usize| part.saturating_mul(parts);
        let hosts = share(HOSTS_SHARE) / (HOST_SIZE + GONE_HOST_SIZE);
        MemoryLimits {
            connections: share(CONNECTIONS_SHARE) / CONNECTION_SIZE,
            short_messages: share(SHORT_MESSAGES_SHARE),
            requests: share(REQUESTS_SHARE).max(MESSAGE_LIMIT),
            answers: share(ANSWERS_SHARE).max(MESSAGE_LIMIT),
            read_buffers: share(READ_BUFFERS_SHARE).max(MESSAGE_LIMIT),
            request_ids: share(REQUEST_IDS_SHARE).min(MAX_REQUEST_IDS_SIZE),
            sticky_keys: share(STICKY_KEYS_SHARE) / STICKY_KEY_SIZE,
            listing: share(LISTING_SHARE).min(MAX_LISTING_SIZE),
            hosts,
            known_hosts: hosts.saturating_mul(2),
        }
    }

    /// Returns the maximum length of a short message, in bytes, if there are `connections` connections. A longer one
    /// needs room in a pool.
    pub(crate) fn short_message(&self, connections: usize) -> usize {
        (self.short_messages / connections.max(1)).min(BODY_LIMIT)
    }
}

#[cfg(test)]
#[path = "../tests/unit/memory_limits.rs"]
mod tests;
