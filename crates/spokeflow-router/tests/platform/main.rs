//! The program on the platform, end to end on loopback sockets.

mod clients;
#[path = "../common/mod.rs"]
mod common;
mod control;
mod hosts;
mod request_ids;
mod room_for_clients;
mod wrong_lengths;

use common::{deployer, list, Host, TestRouter};

/// Starts a router with one host and a deployer that gives regular answers.
async fn with_host(host: &Host) -> TestRouter {
    let (controller, _) = deployer(vec![]).await;
    TestRouter::start(
        list(1, &[("s-a", &host.address, "Ready", 1)]),
        &controller,
        256,
    )
    .await
}
