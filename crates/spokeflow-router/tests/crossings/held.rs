//! A router with one command that its host holds back.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::common::*;

/// A host that answers only when it is released.
pub(crate) async fn holding() -> (Host, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    (
        Host::start(move |_| HostAction::RespondOnceReleased(released.clone(), ok("held"))).await,
        release,
    )
}

/// A router with one command that its host holds until it is released.
pub(crate) async fn with_one_held() -> (TestRouter, watch::Sender<bool>, TcpStream) {
    let (host, release) = holding().await;
    let (controller, _) = deployer(vec![]).await;
    let router = TestRouter::start(
        list(1, &[("s-a", &host.address, "Ready", 1)]),
        &controller,
        256,
    )
    .await;
    let mut held = router.connect().await;
    held.write_all(read("held").as_bytes()).await.unwrap();
    host.wait_for_requests(1).await;
    (router, release, held)
}

pub(crate) async fn served_and_ended(router: &mut TestRouter, held: &mut TcpStream) {
    assert_eq!(
        status(&timeout(SOON, read_message(held)).await.unwrap().unwrap()),
        Some(200)
    );
    assert!(timeout(SOON, router.child.wait())
        .await
        .unwrap()
        .unwrap()
        .success());
}

/// SIGTERM, and then until the router has closed a connection that nobody used.
pub(crate) async fn close_idle(router: &TestRouter) {
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
    closed(&mut idle).await;
}
