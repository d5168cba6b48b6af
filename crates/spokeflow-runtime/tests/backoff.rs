//! Delays between connection attempts: repeatable by seed, bounded and spread by jitter.

use std::time::Duration;

use spokeflow_runtime::Backoff;

const FIRST: Duration = Duration::from_millis(50);
const LONGEST: Duration = Duration::from_secs(1);

fn delays(seed: u64, peer: u64) -> Vec<Duration> {
    let mut backoff = Backoff::new(seed, peer, FIRST, LONGEST);
    (0..20).map(|failures| backoff.delay(failures)).collect()
}

/// A run that is repeated with the same seed must wait for the same delays.
#[test]
fn equal_seeds_give_equal_delays_and_other_seeds_or_peers_do_not() {
    assert_eq!(delays(7, 1), delays(7, 1));
    assert_ne!(delays(7, 1), delays(8, 1));
    assert_ne!(delays(7, 1), delays(7, 2));
}

#[test]
fn delays_grow_to_the_longest_and_spread_over_its_upper_half() {
    for (failures, delay) in delays(3, 0).into_iter().enumerate() {
        let full = FIRST.saturating_mul(1 << failures.min(16)).min(LONGEST);
        assert!(
            delay >= full / 2 && delay <= full,
            "delay of {delay:?} after {failures} failures, expected half of {full:?} to {full:?}"
        );
    }
    // If 300 routers lose the same peer, fewer than a fifth of them may reconnect within the same 50 ms.
    let mut slots: Vec<u32> = (0..300)
        .map(|seed| delays(seed, 1)[8].as_millis() as u32 / 50)
        .collect();
    slots.sort_unstable();
    let most = slots
        .chunk_by(|slot, next| slot == next)
        .map(<[u32]>::len)
        .max()
        .unwrap_or(0);
    assert!(
        most < 60,
        "{most} of 300 routers reconnect within the same 50 ms, expected fewer than 60"
    );
}
