//! What a router can know of a build on trial by its own answers. The constants are the decision module's
//! (`crates/spokeflow-core/src/router/`); a test holds them against its source.

use super::ends::End;
use super::target::Target;

/// Answers that a router needs from a build before it votes it back.
pub const ENOUGH_ANSWERS: f64 = 3.0;
/// Evidence against a build at which a router votes it back.
pub const SEND_BACK_AT: f64 = 4.0;
/// Weight of a late answer over that of a failed one.
pub const LATE_WEIGHT: f64 = 0.4;
/// Lateness below which an answer weighs nothing.
pub const LATE_MARGIN: f64 = 0.6;
/// Answers that convict at the least.
pub const CONVICTS: f64 = SEND_BACK_AT / (LATE_WEIGHT * (2.0 - LATE_MARGIN));
/// Part of the exposure cap that the canary fraction takes.
pub const CANARY_OF_CAP: f64 = 0.7;
/// Part of the exposure cap up to which the canary fraction follows the trial hosts.
pub const REPIN_OF_CAP: f64 = 0.9;
/// How far the canary fraction may go ahead of the trial hosts, as a factor.
pub const AHEAD: f64 = 1.25;
/// Seconds after the bake time before a router votes to go on.
pub const AFTER_BAKE: f64 = 1.0;
/// How many times that it waits where it knows too little.
const LONGER: f64 = 3.0;

/// One stage of a release at one end of the assumption.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageEvidence {
    /// From 0.
    pub stage: usize,
    /// Part of the service's traffic that goes to the build on trial.
    pub trial_traffic: f64,
    /// Answers of the trial build a second, at one router.
    pub answers_per_second: f64,
    /// The same at all routers of the service.
    pub fleet_answers_per_second: f64,
    /// Seconds of the stage before a router votes to go on.
    pub lasts: f64,
    /// Answers at one router while it lasts.
    pub answers: f64,
    /// Seconds until a router has enough answers to vote.
    pub enough_after: f64,
    /// Seconds until it has as many as convict.
    pub convicts_after: f64,
    /// Routers of the service that have enough by the end of the stage, on the average.
    pub routers_with_enough: f64,
    /// Routers that have as many as convict by then, on the average.
    pub routers_that_convict: f64,
}

/// Every stage of a release of one service at the mean traffic.
pub fn stages(target: &Target, end: &End, fleet_requests: f64) -> Vec<StageEvidence> {
    (0..target.terms.stage_fractions.len())
        .map(|stage| of_stage(target, end, fleet_requests, stage))
        .collect()
}

fn of_stage(target: &Target, end: &End, fleet_requests: f64, stage: usize) -> StageEvidence {
    let terms = &target.terms;
    let trial_traffic = trial_traffic(terms.stage_fractions[stage], terms.stage_caps[stage]);
    let answers_per_second = end.service_requests(fleet_requests) * trial_traffic;
    let lasts = lasts(target, end, fleet_requests, stage);
    let answers = answers_per_second * lasts;
    let routers = end.routers_per_service;
    StageEvidence {
        stage,
        trial_traffic,
        answers_per_second,
        fleet_answers_per_second: answers_per_second * routers,
        lasts,
        answers,
        enough_after: ENOUGH_ANSWERS / answers_per_second,
        convicts_after: CONVICTS / answers_per_second,
        routers_with_enough: routers * at_least(ENOUGH_ANSWERS, answers),
        routers_that_convict: routers * at_least(CONVICTS.ceil(), answers),
    }
}

/// As the module waits where one vote moves a stage: longer where a router of mean traffic has had too few answers for
/// the part of the fleet that follows, and before the release of a large fleet.
fn lasts(target: &Target, end: &End, fleet_requests: f64, stage: usize) -> f64 {
    let terms = &target.terms;
    let fraction = terms.stage_fractions[stage];
    let shortest = terms.stage_bake_seconds + AFTER_BAKE;
    let Some(next) = terms.stage_fractions.get(stage + 1) else {
        let large = end.routers_per_service > spokeflow_core::ROUTERS_PER_HOST;
        return if large { LONGER * shortest } else { shortest };
    };
    let enough_after =
        CONVICTS * (next - fraction) / (end.service_requests(fleet_requests) * fraction);
    enough_after.clamp(shortest, LONGER * shortest)
}

/// As the module grows its lane in a rolling release, with as many trial hosts as the stage asks for.
fn trial_traffic(share: f64, cap: f64) -> f64 {
    let follow = share.min(if cap < 1.0 { REPIN_OF_CAP * cap } else { 1.0 });
    (CANARY_OF_CAP * cap)
        .min(AHEAD * share)
        .max(follow)
        .min(cap)
}

/// The chance of at least `count` events where `mean` come on the average (Poisson).
pub fn at_least(count: f64, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for n in 0..count as u32 {
        below += term;
        term *= mean / f64::from(n + 1);
    }
    (1.0 - below).clamp(0.0, 1.0)
}

impl StageEvidence {
    /// What routers can say of the build by the end of the stage, by their own answers.
    pub fn verdict(&self) -> &'static str {
        if self.routers_that_convict >= 1.0 {
            "back, where every answer speaks against it"
        } else if self.routers_with_enough >= 1.0 {
            "back only where answers fail outright"
        } else {
            "none by own answers: counts of the whole fleet are needed"
        }
    }
}
