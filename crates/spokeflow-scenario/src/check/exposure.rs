//! Rule 5: the exposure of a build stays within its cap, and a key goes to no build earlier than the newest one that
//! has answered it.

use super::state::{KeyAnswer, Rollout, RouterView};
use super::{attempt_name, router_name, Checker, RuleConfig};
use crate::observation::{Process, RolloutState};
use crate::Micros;

/// Tolerance in the comparison with the allowed deliveries: far below one delivery and far above a rounding error.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Checker {
    /// Records that a build has answered a key, which binds the key to builds from this one on.
    pub(super) fn bind_key(&mut self, at: Micros, by: Process, key: u64, build: u16) {
        if !self.config.forward_only {
            return;
        }
        let slack = self.config.slack;
        let router = self.router(by);
        // Answers of a build that is rolled back or is no longer the newest bind no key.
        if router.may_be_superseded(at, slack, build) {
            return;
        }
        let answer = KeyAnswer { build, at };
        let newest = router.key_answers.entry(key).or_insert(answer);
        if build > newest.build {
            *newest = answer;
        }
    }

    pub(super) fn check_exposure(
        &mut self,
        at: Micros,
        from: Process,
        host: u32,
        build: u16,
        number: u64,
    ) {
        let key = self.attempts.get(&number).map_or(0, |attempt| attempt.key);
        let router = self.routers.entry(from).or_default();
        let build = router.hosts.get(&host).map_or(build, |known| known.build);
        router.sent.entry(build).or_default().push_back(at);
        let excess = exposure_excess(&self.config, router, at, build);
        let bound_build = later_bound_build(&self.config, router, at, key, build);
        let concerned = || vec![attempt_name(number), router_name(from.router)];
        if let Some(what) = excess {
            self.report(
                5,
                at,
                format!("router {}: {what}", from.router),
                concerned(),
            );
        }
        if let Some(bound_build) = bound_build {
            let what = format!(
                "key {key} went to build {build} after build {bound_build} had answered it"
            );
            self.report(5, at, what, concerned());
        }
    }
}

/// Returns the build that this key is bound to, if it is later than `build`.
fn later_bound_build(
    config: &RuleConfig,
    router: &RouterView,
    at: Micros,
    key: u64,
    build: u16,
) -> Option<u16> {
    if !config.forward_only || key == 0 {
        return None;
    }
    let answer = router.key_answers.get(&key)?;
    let is_bound = answer.build > build && at - answer.at > config.slack;
    (is_bound && !router.may_be_superseded(at, config.slack, answer.build)).then_some(answer.build)
}

/// Describes by how much the deliveries to `build` in the window that ends at `at` exceed the cap; `None` if they do
/// not.
fn exposure_excess(
    config: &RuleConfig,
    router: &RouterView,
    at: Micros,
    build: u16,
) -> Option<String> {
    let lifts_cap = |rollout: &Rollout| {
        rollout.build > build || rollout.build == build && rollout.state == RolloutState::Released
    };
    let mut recent = router.rollouts_within(at, config.slack).peekable();
    recent.peek()?;
    if recent.any(lifts_cap) {
        return None;
    }
    let cap = cap_in_force(config, router, at, build);
    if cap <= 0.0 {
        return Some(format!(
            "delivery to build {build}, whose exposure cap is 0"
        ));
    }
    let start = (at - config.exposure_span).max(last_cap_drop(config, router, at, build));
    let max_delay = config.slack + config.connecting;
    let sent = router
        .sent
        .get(&build)
        .map_or(0, |sent| count_after(sent, start + max_delay));
    let accepted = count_after(&router.accepted, start - config.slack);
    let allowed = config.exposure_free + cap * accepted as f64;
    (sent as f64 > allowed + ROUNDING_TOLERANCE).then(|| {
        let percent = cap * 100.0;
        format!(
            "{sent} deliveries to build {build} in the window, {allowed:.1} allowed ({percent:.1}% of {accepted} accepted attempts)"
        )
    })
}

/// Counts the times later than `start`; `times` must be in ascending order.
fn count_after(times: &std::collections::VecDeque<Micros>, start: Micros) -> usize {
    times.len() - times.partition_point(|time| *time <= start)
}

/// Returns the exposure cap of `build` in a state of the rollout.
fn cap_of(config: &RuleConfig, rollout: &Rollout, build: u16) -> f64 {
    if rollout.build == build {
        rollout.cap
    } else {
        config.first_cap
    }
}

/// Returns the highest cap that the router may apply. A lowered cap must be applied after the drain grace.
fn cap_in_force(config: &RuleConfig, router: &RouterView, at: Micros, build: u16) -> f64 {
    let span = config.drain_grace + config.slack;
    let cap = router
        .rollouts_within(at, span)
        .map(|rollout| cap_of(config, rollout, build))
        .fold(0.0, f64::max);
    // Until its first rollout update a router applies the cap of stage 0, and the grace holds for the first update as
    // well.
    let first = router.rollouts.front();
    if first.is_some_and(|rollout| rollout.at > at - span) {
        cap.max(config.first_cap)
    } else {
        cap
    }
}

/// Returns the time from which the last lowered cap has to be applied. Earlier deliveries do not count against it.
fn last_cap_drop(config: &RuleConfig, router: &RouterView, at: Micros, build: u16) -> Micros {
    let end = router.rollouts.partition_point(|rollout| rollout.at <= at);
    let known = router.rollouts.range(..end);
    known
        .clone()
        .zip(known.skip(1))
        .filter(|(before, after)| cap_of(config, after, build) < cap_of(config, before, build))
        .map(|(_, after)| after.at + config.drain_grace)
        .filter(|applies_from| *applies_from <= at)
        .max()
        .unwrap_or(Micros::MIN / 2)
}
