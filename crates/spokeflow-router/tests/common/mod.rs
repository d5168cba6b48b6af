//! The platform's parties as scripted peers on loopback around the real program.

// Each test file uses a part of it.
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
pub(crate) use http::{body, closed, exchange, ok, read, read_message, seal, status};
pub(crate) use late_host::{sockets_to, LateHost};
pub(crate) use peers::{deployer, discovery, list};
pub(crate) use router::{configuration, TestRouter};

/// What is awaited comes within this time, also on a busy machine.
pub(crate) const SOON: Duration = Duration::from_secs(10);
/// A test ends within this time.
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
