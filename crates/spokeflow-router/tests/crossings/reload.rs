//! The start, and configurations that are read again.

use std::time::Instant;

use tokio::sync::watch;

use crate::common::*;

/// The router waits for its configuration when SIGHUP comes. It ended.
#[test]
fn sighup_before_the_configuration_is_read_is_kept_for_after() {
    run(async {
        let first = Host::start(|_| HostAction::Respond(ok("first"))).await;
        let second = Host::start(|_| HostAction::Respond(ok("second"))).await;
        let (controller, _) = deployer(vec![]).await;
        let [one, two] = [("s-a", &first), ("s-b", &second)]
            .map(|(id, host)| watch::channel(list(1, &[(id, &host.address, "Ready", 1)])).1);
        let one = discovery(one).await;
        let two = discovery(two).await;
        let mut router = TestRouter::waiting().await;
        let text = |discovery: &str| configuration(&router.address, discovery, &controller, 256);
        let before = text(&one);
        let after = text(&two);
        // Each writing is taken by one reading: the pipe opens only once the router reads.
        let pipe = router.pipe().await;
        router.signal("-HUP");
        router.tell(pipe, &before);
        router.tell(router.pipe().await, &after);
        router.wait_until_up().await;
        assert!(router.child.try_wait().unwrap().is_none());
        let begun = Instant::now();
        let mut n = 0;
        while second.count() == 0 && begun.elapsed() < SOON {
            n += 1;
            router.status(&read(&format!("r{n}"))).await;
        }
        assert!(
            second.count() > 0,
            "the configuration that SIGHUP announced was not read"
        );
    });
}

/// The file is being written when it is read. The start ended with code 2; after SIGHUP the old addresses stood for good.
#[test]
fn a_configuration_that_is_being_written_is_read_again() {
    run(async {
        let first = Host::start(|_| HostAction::Respond(ok("first"))).await;
        let second = Host::start(|_| HostAction::Respond(ok("second"))).await;
        let (controller, _) = deployer(vec![]).await;
        let [one, two] = [("s-a", &first), ("s-b", &second)]
            .map(|(id, host)| watch::channel(list(1, &[(id, &host.address, "Ready", 1)])).1);
        let one = discovery(one).await;
        let two = discovery(two).await;
        let mut router = TestRouter::waiting().await;
        let text = |discovery: &str| configuration(&router.address, discovery, &controller, 256);
        let before = text(&one);
        let after = text(&two);
        for text in [&before[..before.len() / 2], "", &before] {
            router.tell(router.pipe().await, text);
        }
        router.wait_until_up().await;
        assert_eq!(router.status(&read("a")).await, Some(200));
        router.signal("-HUP");
        for text in [&after[..after.len() / 3], &after] {
            router.tell(router.pipe().await, text);
        }
        let begun = Instant::now();
        let mut n = 0;
        while second.count() == 0 && begun.elapsed() < SOON {
            n += 1;
            router.status(&read(&format!("r{n}"))).await;
        }
        assert!(second.count() > 0, "the old configuration stands");
        assert!(router.child.try_wait().unwrap().is_none());
    });
}
