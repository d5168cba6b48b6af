//! Race conditions on loopback sockets: a request, an answer, a close or a signal arrives between two steps of the router.
//! A peer, or the system, holds back a byte, an accept or an answer until the router has reached the required state. The
//! tests assert what the peers saw. `docs/crossings.md` has the list of cases.

mod clients;
#[path = "../common/mod.rs"]
mod common;
mod held;
mod hosts;
mod late_connections;
mod left_clients;
mod reload;
mod shutdown;
mod watch;

use common::seal_request;

/// Edits a configuration so that hosts deduplicate the second operation by idempotency key.
fn with_deduplication(text: String) -> String {
    text.replace(
        "\"effect\":\"at_most_once\"",
        "\"effect\":\"deduplicated\",\"dedup_scope\":\"all\",\"dedup_window_s\":0.6",
    )
}

/// A request of the second operation with an idempotency key.
fn seal_request_with_key(id: &str) -> String {
    seal_request(id).replace(
        "Content-Length",
        &format!("Idempotency-Key: key-{id}\r\nContent-Length"),
    )
}
