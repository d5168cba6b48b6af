//! Reading the configuration at the start and again on SIGHUP.

use std::time::Instant;

use tokio::sync::watch;

use crate::common::*;

/// SIGHUP arrives while the router waits for its configuration. Unhandled, it terminated the router.
#[test]
fn sighup_before_the_configuration_is_read_takes_effect_afterwards() {
    run(async {
        let first = Host::start(|_| HostAction::Respond(ok_response("first"))).await;
        let second = Host::start(|_| HostAction::Respond(ok_response("second"))).await;
        let (controller, _) = deployer(vec![]).await;
        let [one, two] = [("s-a", &first), ("s-b", &second)]
            .map(|(id, host)| watch::channel(list(1, &[(id, &host.address, "Ready", 1)])).1);
        let one = discovery(one).await;
        let two = discovery(two).await;
        let mut router = TestRouter::start_with_configuration_pipe().await;
        let text = |discovery: &str| configuration(&router.address, discovery, &controller, 256);
        let before = text(&one);
        let after = text(&two);
        // Each write is consumed by one read: the pipe can be opened only once the router reads.
        let pipe = router.open_configuration_pipe().await;
        router.signal("-HUP");
        router.provide_configuration(pipe, &before);
        router.provide_configuration(router.open_configuration_pipe().await, &after);
        router.wait_until_up().await;
        assert!(router.child.try_wait().unwrap().is_none());
        let started_at = Instant::now();
        let mut n = 0;
        while second.count() == 0 && started_at.elapsed() < EVENT_TIMEOUT {
            n += 1;
            router.status(&read_request(&format!("r{n}"))).await;
        }
        assert!(
            second.count() > 0,
            "the configuration that SIGHUP announced was not read"
        );
    });
}

/// The file is read while it is being written, and must be read again. Without that, the router exited with code 2 at
/// the start, and kept the old addresses for good after SIGHUP.
#[test]
fn a_partially_written_configuration_is_read_again() {
    run(async {
        let first = Host::start(|_| HostAction::Respond(ok_response("first"))).await;
        let second = Host::start(|_| HostAction::Respond(ok_response("second"))).await;
        let (controller, _) = deployer(vec![]).await;
        let [one, two] = [("s-a", &first), ("s-b", &second)]
            .map(|(id, host)| watch::channel(list(1, &[(id, &host.address, "Ready", 1)])).1);
        let one = discovery(one).await;
        let two = discovery(two).await;
        let mut router = TestRouter::start_with_configuration_pipe().await;
        let text = |discovery: &str| configuration(&router.address, discovery, &controller, 256);
        let before = text(&one);
        let after = text(&two);
        for text in [&before[..before.len() / 2], "", &before] {
            router.provide_configuration(router.open_configuration_pipe().await, text);
        }
        router.wait_until_up().await;
        assert_eq!(router.status(&read_request("a")).await, Some(200));
        router.signal("-HUP");
        for text in [&after[..after.len() / 3], &after] {
            router.provide_configuration(router.open_configuration_pipe().await, text);
        }
        let started_at = Instant::now();
        let mut n = 0;
        while second.count() == 0 && started_at.elapsed() < EVENT_TIMEOUT {
            n += 1;
            router.status(&read_request(&format!("r{n}"))).await;
        }
        assert!(
            second.count() > 0,
            "the router did not apply the configuration that was written after SIGHUP"
        );
        assert!(router.child.try_wait().unwrap().is_none());
    });
}
