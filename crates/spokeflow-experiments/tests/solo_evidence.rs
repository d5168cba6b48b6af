//! The model of solo and shared evidence: the bound on false rollbacks, and the gain from shared evidence.

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
fn shared_evidence_detects_bad_builds_that_single_routers_miss() {
    let few = rows(&flags(0.4))[0];
    assert!(
        few.found_alone < 0.6 && few.found_together > 0.95,
        "{few:?}"
    );
    let many = rows(&flags(32.0))[0];
    assert!(
        many.found_alone > 0.9 && many.found_together > 0.99,
        "{many:?}"
    );
}

/// Guards against a threshold that only fits the draws it was computed from: it is checked on draws of another seed.
#[test]
fn false_rollbacks_stay_within_the_bound_on_fresh_draws() {
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
    let mut calibration = draw(1);
    calibration.sort_by(|a, b| b.total_cmp(a));
    let threshold = calibration[500];
    let above = draw(2).iter().filter(|&&ratio| ratio > threshold).count();
    assert!(
        above < 600,
        "{above} of 50,000 good builds are above the threshold for 500"
    );
}
