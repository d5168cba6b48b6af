//! Crossings on loopback sockets: a request, an answer, a close or a signal that comes between two steps of the router.
//! A peer, or the system, holds the byte, the accept or the answer until the state is reached that the crossing needs;
//! what is asserted is what the peers saw. `docs/crossings.md` holds the list.

mod clients;
#[path = "../common/mod.rs"]
mod common;
mod held;
mod hosts;
mod late_connections;
mod reload;
mod shutdown;
mod watch;

use common::seal;

/// The configuration where hosts drop what they have had of the second operation, by its key.
fn keyed(text: String) -> String {
    text.replace(
        "\"effect\":\"at_most_once\"",
        "\"effect\":\"deduplicated\",\"dedup_scope\":\"all\",\"dedup_window_s\":0.6",
    )
}

/// A request of the second operation with a key.
fn with_key(id: &str) -> String {
    seal(id).replace(
        "Content-Length",
        &format!("Idempotency-Key: key-{id}\r\nContent-Length"),
    )
}
