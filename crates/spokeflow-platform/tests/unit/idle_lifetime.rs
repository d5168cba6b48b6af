//! Learning of how long connections may be idle.

use super::*;

fn learn(lifetime: &mut IdleLifetime, idle_us: Option<u64>, broke: bool) {
    lifetime.learn(ConnectionUse { idle_us, broke });
}

/// Hosts close after 200 ms of idle time instead of the documented 30 s: after some connections have broken, none that
/// was idle for longer is reused, until the evidence is old.
#[test]
fn idle_times_that_break_are_not_allowed_and_later_tried_again() {
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

/// Guards against blaming idle time for breaks that have another cause: new connections break as often as reused ones.
#[test]
fn breaks_that_are_as_frequent_on_new_connections_allow_reuse() {
    let mut lifetime = IdleLifetime::default();
    for n in 0..200 {
        learn(&mut lifetime, None, n % 8 == 0);
        learn(&mut lifetime, Some(400_000), n % 8 == 4);
    }
    assert!(lifetime.allows(400_000));
}
