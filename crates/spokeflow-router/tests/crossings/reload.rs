//! The start, and configurations that are read again.

use std::time::Instant;

use tokio::sync::watch;

use crate::common::*;

/// The router waits for its configuration when SIGHUP comes. It ended.
#[test]
fn sighup_before_the_configuration_is_read_is_kept_for_after() {
    run(async {
        let first = Host::start(|_| Deed::Say(ok("first"))).await;
        let second = Host::start(|_| Deed::Say(ok("second"))).await;
        let (desk, _) = deployer(vec![]).await;
        let [one, two] = [("s-a", &first), ("s-b", &second)]
            .map(|(id, host)| watch::channel(list(1, &[(id, &host.address, "Ready", 1)])).1);
        let (one, two) = (discovery(one).await, discovery(two).await);
        let mut scene = Scene::waiting().await;
        let told = |discovery: &str| configuration(&scene.address, discovery, &desk, 256);
        let (before, after) = (told(&one), told(&two));
        // Each writing is taken by one reading: the pipe opens only once the router reads.
        let pipe = scene.pipe().await;
        scene.signal("-HUP");
        scene.tell(pipe, &before);
        scene.tell(scene.pipe().await, &after);
        scene.up().await;
        assert!(scene.child.try_wait().unwrap().is_none());
        let begun = Instant::now();
        let mut n = 0;
        while second.count() == 0 && begun.elapsed() < SOON {
            n += 1;
            scene.status(&read(&format!("r{n}"))).await;
        }
        assert!(
            second.count() > 0,
            "the configuration that SIGHUP told of was not read"
        );
    });
}

/// The file is being written when it is read. The start ended with code 2; after SIGHUP the old addresses stood for good.
#[test]
fn a_configuration_that_is_being_written_is_read_again() {
    run(async {
        let first = Host::start(|_| Deed::Say(ok("first"))).await;
        let second = Host::start(|_| Deed::Say(ok("second"))).await;
        let (desk, _) = deployer(vec![]).await;
        let [one, two] = [("s-a", &first), ("s-b", &second)]
            .map(|(id, host)| watch::channel(list(1, &[(id, &host.address, "Ready", 1)])).1);
        let (one, two) = (discovery(one).await, discovery(two).await);
        let mut scene = Scene::waiting().await;
        let told = |discovery: &str| configuration(&scene.address, discovery, &desk, 256);
        let (before, after) = (told(&one), told(&two));
        for text in [&before[..before.len() / 2], "", &before] {
            scene.tell(scene.pipe().await, text);
        }
        scene.up().await;
        assert_eq!(scene.status(&read("a")).await, Some(200));
        scene.signal("-HUP");
        for text in [&after[..after.len() / 3], &after] {
            scene.tell(scene.pipe().await, text);
        }
        let begun = Instant::now();
        let mut n = 0;
        while second.count() == 0 && begun.elapsed() < SOON {
            n += 1;
            scene.status(&read(&format!("r{n}"))).await;
        }
        assert!(second.count() > 0, "the old configuration stands");
        assert!(scene.child.try_wait().unwrap().is_none());
    });
}
