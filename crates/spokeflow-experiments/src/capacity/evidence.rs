//! How much evidence about a canary build a router gets from its own answers. The constants are copied from the
//! decision module (`crates/spokeflow-core/src/router/`); a test compares them with its source.
//!
//! Evidence has no unit: a failed answer that is certainly due to the build counts about 1. Slowness is the natural
//! logarithm of the ratio of an answer's latency to the usual latency of its operation, so it has no unit either.

use super::service_assignment::ServiceAssignment;
use super::target::Target;

/// Answers that a router needs from a build before it votes to roll it back (`MIN_ANSWERS_TO_VOTE`). The
/// page prints the name of this constant.
pub const ENOUGH_ANSWERS: f64 = 3.0;
/// Sum of the evidence against a build at which a router votes to roll it back.
pub const ROLLBACK_EVIDENCE: f64 = 4.0;
/// Evidence of one unit of slowness above `SLOWNESS_MARGIN`.
pub const SLOWNESS_WEIGHT: f64 = 0.4;
/// Slowness below which an answer counts as no evidence.
pub const SLOWNESS_MARGIN: f64 = 0.6;
/// Upper bound of the slowness of one answer.
pub const MAX_SLOWNESS: f64 = 2.0;
/// Fewest answers that give enough evidence for a rollback vote when every answer has the greatest slowness and none
/// fails. The page prints the name of this constant.
pub const CONVICTS: f64 = ROLLBACK_EVIDENCE / (SLOWNESS_WEIGHT * (MAX_SLOWNESS - SLOWNESS_MARGIN));
/// Canary fraction as a part of the exposure cap.
pub const CANARY_FRACTION_OF_CAP: f64 = 0.7;
/// Part of the exposure cap up to which the canary fraction follows the fraction of canary hosts.
pub const PROPORTIONAL_FRACTION_OF_CAP: f64 = 0.9;
/// Factor by which the canary fraction may exceed the fraction of canary hosts.
pub const CANARY_LEAD: f64 = 1.25;
/// Seconds after the bake time before a router votes to promote the build.
pub const SECONDS_AFTER_BAKE: f64 = 1.0;
/// Factor by which a router extends its wait when it has too few answers.
const EXTENDED_WAIT_FACTOR: f64 = 3.0;

/// Evidence that routers collect in one stage of a release under one service assignment. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageEvidence {
    /// Index of the stage, from 0.
    pub stage: usize,
    /// Fraction of the service's traffic that goes to the canary build.
    pub canary_traffic: f64,
    /// Answers per second of the canary build at one router.
    pub answers_per_second: f64,
    /// Answers per second of the canary build at all routers of the service.
    pub fleet_answers_per_second: f64,
    /// Duration of the stage before a router votes to promote the build.
    pub duration: f64,
    /// Answers of the canary build at one router during the stage.
    pub answers: f64,
    /// Time until a router has enough answers to vote.
    pub enough_answers_after: f64,
    /// Time until a router has `CONVICTS` answers.
    pub rollback_evidence_after: f64,
    /// Expected number of routers of the service with enough answers to vote by the end of the stage.
    pub routers_with_enough_answers: f64,
    /// Expected number of routers of the service with at least `CONVICTS` answers by the end of the stage.
    pub routers_with_rollback_evidence: f64,
}

/// Returns the evidence of every stage of a release of one service, with `fleet_requests` requests per second in the
/// whole fleet.
pub fn stages(
    target: &Target,
    assignment: &ServiceAssignment,
    fleet_requests: f64,
) -> Vec<StageEvidence> {
    (0..target.terms.stage_fractions.len())
        .map(|stage| stage_evidence(target, assignment, fleet_requests, stage))
        .collect()
}

fn stage_evidence(
    target: &Target,
    assignment: &ServiceAssignment,
    fleet_requests: f64,
    stage: usize,
) -> StageEvidence {
    let terms = &target.terms;
    let canary_traffic = canary_traffic(terms.stage_fractions[stage], terms.stage_caps[stage]);
    let answers_per_second =
        assignment.service_requests_per_second(fleet_requests) * canary_traffic;
    let duration = stage_duration(target, assignment, fleet_requests, stage);
    let answers = answers_per_second * duration;
    let routers = assignment.routers_per_service;
    StageEvidence {
        stage,
        canary_traffic,
        answers_per_second,
        fleet_answers_per_second: answers_per_second * routers,
        duration,
        answers,
        enough_answers_after: ENOUGH_ANSWERS / answers_per_second,
        rollback_evidence_after: CONVICTS / answers_per_second,
        routers_with_enough_answers: routers * probability_of_at_least(ENOUGH_ANSWERS, answers),
        routers_with_rollback_evidence: routers * probability_of_at_least(CONVICTS.ceil(), answers),
    }
}

/// Returns the seconds for which the decision module waits in a stage if one promote vote is enough. It waits longer
/// if a router with mean traffic has too few answers for the fraction of hosts that the next stage adds, and in the
/// last stage, before the build is released, if the service has many routers.
fn stage_duration(
    target: &Target,
    assignment: &ServiceAssignment,
    fleet_requests: f64,
    stage: usize,
) -> f64 {
    let terms = &target.terms;
    let fraction = terms.stage_fractions[stage];
    let shortest = terms.stage_bake_seconds + SECONDS_AFTER_BAKE;
    let Some(next) = terms.stage_fractions.get(stage + 1) else {
        let has_many_routers = assignment.routers_per_service > spokeflow_core::ROUTERS_PER_HOST;
        return if has_many_routers {
            EXTENDED_WAIT_FACTOR * shortest
        } else {
            shortest
        };
    };
    let enough_answers_after = CONVICTS * (next - fraction)
        / (assignment.service_requests_per_second(fleet_requests) * fraction);
    enough_answers_after.clamp(shortest, EXTENDED_WAIT_FACTOR * shortest)
}

/// Returns the canary fraction that the decision module chooses in a rolling release if the fraction of canary hosts
/// is the one of the stage.
fn canary_traffic(host_fraction: f64, cap: f64) -> f64 {
    let following_hosts = host_fraction.min(if cap < 1.0 {
        PROPORTIONAL_FRACTION_OF_CAP * cap
    } else {
        1.0
    });
    (CANARY_FRACTION_OF_CAP * cap)
        .min(CANARY_LEAD * host_fraction)
        .max(following_hosts)
        .min(cap)
}

/// Returns the probability of at least `count` events in a Poisson distribution with this mean.
pub fn probability_of_at_least(count: f64, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for n in 0..count as u32 {
        below += term;
        term *= mean / f64::from(n + 1);
    }
    (1.0 - below).clamp(0.0, 1.0)
}

impl StageEvidence {
    /// Describes which vote routers can give by the end of the stage, from their own answers alone.
    pub fn verdict(&self) -> &'static str {
        if self.routers_with_rollback_evidence >= 1.0 {
            "back, where every answer speaks against it"
        } else if self.routers_with_enough_answers >= 1.0 {
            "back only where answers fail outright"
        } else {
            "none by own answers: counts of the whole fleet are needed"
        }
    }
}
