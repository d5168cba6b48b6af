//! The best tests keep their bounds, and tell what hearing all is worth.

use spokeflow_core::Rng;
use spokeflow_experiments::solo_evidence::{rows, BuildQuality, Observed, SoloEvidenceFlags};

fn flags(answers: f64) -> SoloEvidenceFlags {
    SoloEvidenceFlags {
        routers: 300,
        trial_hosts: 35,
        hosts_per_router: 8,
        failing_hosts: 0.125,
        bad_build_failures: 0.25,
        false_rollbacks: 0.02,
        answers: vec![answers],
        draws: 100_000,
        seed: 3,
    }
}

#[test]
fn one_that_hears_all_knows_what_three_hundred_alone_do_not() {
    let few = rows(&flags(0.4))[0];
    assert!(few.alone < 0.6 && few.together > 0.95, "{few:?}");
    let many = rows(&flags(32.0))[0];
    assert!(many.alone > 0.9 && many.together > 0.99, "{many:?}");
}

/// The test keeps what it promises on draws that it was not set by.
#[test]
fn no_more_good_builds_are_sent_back_than_allowed() {
    let flags = flags(8.0);
    let observed = Observed {
        flags: &flags,
        answers: 8.0,
        hosts: 8,
    };
    let draw = |seed| -> Vec<f64> {
        let mut rng = Rng::new(seed);
        (0..50_000)
            .map(|_| observed.draw_log_likelihood_ratio(BuildQuality::Good, &mut rng))
            .collect()
    };
    let mut set = draw(1);
    set.sort_by(|a, b| b.total_cmp(a));
    let line = set[500];
    let above = draw(2).iter().filter(|&&sum| sum > line).count();
    assert!(above < 600, "{above} of 50,000 where 500 were allowed");
}
