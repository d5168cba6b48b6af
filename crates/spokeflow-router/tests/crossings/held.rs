//! A router with one command that its host holds back.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::common::*;

/// A host that answers only when it is told to.
pub(crate) async fn holding() -> (Host, watch::Sender<bool>) {
    let (release, released) = watch::channel(false);
    (
        Host::start(move |_| Deed::SayOnce(released.clone(), ok("held"))).await,
        release,
    )
}

/// A router with one command that its host holds until it is told to answer.
pub(crate) async fn with_one_held() -> (Scene, watch::Sender<bool>, TcpStream) {
    let (host, release) = holding().await;
    let (desk, _) = deployer(vec![]).await;
    let scene = Scene::start(list(1, &[("s-a", &host.address, "Ready", 1)]), &desk, 256).await;
    let mut held = scene.connect().await;
    held.write_all(read("held").as_bytes()).await.unwrap();
    host.heard(1).await;
    (scene, release, held)
}

pub(crate) async fn served_and_ended(scene: &mut Scene, held: &mut TcpStream) {
    assert_eq!(
        status(&timeout(SOON, read_message(held)).await.unwrap().unwrap()),
        Some(200)
    );
    assert!(timeout(SOON, scene.child.wait())
        .await
        .unwrap()
        .unwrap()
        .success());
}

/// SIGTERM, and then until the router has closed a connection that nobody used.
pub(crate) async fn close_idle(scene: &Scene) {
    let mut idle = scene.connect().await;
    assert_eq!(
        status(
            &exchange(&mut idle, "GET /up HTTP/1.1\r\n\r\n")
                .await
                .unwrap()
        ),
        Some(200)
    );
    scene.signal("-TERM");
    closed(&mut idle).await;
}
