//! What is learned of how long connections may rest.

use super::*;

fn learn(lifetime: &mut IdleLifetime, rested: Option<u64>, broke: bool) {
    lifetime.learn(ConnectionUse { rested, broke });
}

/// Hosts that close after 200 ms, where the terms say 30 s: once seen, longer rests are not used.
#[test]
fn rests_that_break_are_left_alone_and_tried_again_later() {
    let mut lifetime = IdleLifetime::default();
    assert!(lifetime.allows(5_000_000));
    for _ in 0..20 {
        learn(&mut lifetime, None, false);
        learn(&mut lifetime, Some(50_000), false);
        learn(&mut lifetime, Some(400_000), true);
    }
    assert!(lifetime.allows(50_000) && !lifetime.allows(400_000) && !lifetime.allows(5_000_000));
    (0..2000).for_each(|_| learn(&mut lifetime, None, false));
    assert!(lifetime.allows(400_000));
}

/// Where every connection breaks as often, rested or not, resting is not the cause.
#[test]
fn breaks_that_new_connections_share_leave_rests_alone() {
    let mut lifetime = IdleLifetime::default();
    for n in 0..200 {
        learn(&mut lifetime, None, n % 8 == 0);
        learn(&mut lifetime, Some(400_000), n % 8 == 4);
    }
    assert!(lifetime.allows(400_000));
}
