//! Helpers: a router with one command that its host does not answer until it is released.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::common::*;

/// Starts a host that answers only once it is released.
pub(crate) async fn start_holding_host() -> (Host, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    (
        Host::start(move |_| {
            HostAction::RespondOnceReleased(released.clone(), ok_response("held"))
        })
        .await,
        release,
    )
}

/// Starts a router with one command that its host does not answer until it is released.
pub(crate) async fn start_with_held_command() -> (TestRouter, watch::Sender<bool>, TcpStream) {
    let (host, release) = start_holding_host().await;
    let (controller, _) = deployer(vec![]).await;
    let router = TestRouter::start(
        list(1, &[("s-a", &host.address, "Ready", 1)]),
        &controller,
        256,
    )
    .await;
    let mut held = router.connect().await;
    held.write_all(read_request("held").as_bytes())
        .await
        .unwrap();
    host.wait_for_requests(1).await;
    (router, release, held)
}

/// Asserts that the held command is answered with 200 and that the router then exits successfully.
pub(crate) async fn assert_answered_and_exited(router: &mut TestRouter, held: &mut TcpStream) {
    assert_eq!(
        status(
            &timeout(EVENT_TIMEOUT, read_message(held))
                .await
                .unwrap()
                .unwrap()
        ),
        Some(200)
    );
    assert!(timeout(EVENT_TIMEOUT, router.child.wait())
        .await
        .unwrap()
        .unwrap()
        .success());
}

/// Sends SIGTERM and waits until the router has closed an idle connection.
pub(crate) async fn terminate_and_await_idle_close(router: &TestRouter) {
    let mut idle = router.connect().await;
    assert_eq!(
        status(
            &exchange(&mut idle, "GET /up HTTP/1.1\r\n\r\n")
                .await
                .unwrap()
        ),
        Some(200)
    );
    router.signal("-TERM");
    read_until_closed(&mut idle).await;
}
