//! The real program on the platform, with scripted peers on loopback: hosts, discovery, the deployer and clients.

// No test target uses all of this module.
#![allow(dead_code, unused_imports)]

mod host;
mod http;
mod late_host;
mod peers;
mod router;

use std::future::Future;
use std::time::Duration;

use tokio::time::timeout;

pub(crate) use host::{Host, HostAction};
pub(crate) use http::{
    body, exchange, ok_response, read_message, read_request, read_until_closed, seal_request,
    status,
};
pub(crate) use late_host::{sockets_to, LateHost};
pub(crate) use peers::{deployer, discovery, list};
pub(crate) use router::{configuration, TestRouter};

/// Time within which an awaited event must happen, also on a busy machine.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a test must end.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a test on a runtime of its own.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime
        .block_on(async { timeout(TEST_TIMEOUT, test).await })
        .expect("the test ends in time");
}
