//! Rule 5: a build's exposure stays within its cap, and a key goes to no build before the newest that answered it.

use super::state::{KeyAnswer, Rollout, RouterView};
use super::{attempt_name, router_name, Checker, RuleConfig};
use crate::observation::{Process, RolloutState};
use crate::Micros;

/// Far below what rounding adds to a count of deliveries, far above a rounding error.
const ROUNDING: f64 = 1e-6;

impl Checker {
    /// A build has answered a key.
    pub(super) fn bind_key(&mut self, at: Micros, by: Process, key: u64, build: u16) {
        if !self.config.forward_only {
            return;
        }
        let slack = self.config.slack;
        let router = self.router(by);
        // What a build still answers after it was sent back or another was announced binds no key.
        if router.unbound(at, slack, build) {
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
        let over = exposure_excess(&self.config, router, at, build);
        let newer = newer_key_build(&self.config, router, at, key, build);
        let concerned = || vec![attempt_name(number), router_name(from.router)];
        if let Some(what) = over {
            self.report(
                5,
                at,
                format!("router {}: {what}", from.router),
                concerned(),
            );
        }
        if let Some(newer) = newer {
            let what =
                format!("key {key} went to build {build} after build {newer} had answered it");
            self.report(5, at, what, concerned());
        }
    }
}

/// The later build that this key is bound to.
fn newer_key_build(
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
    let known = answer.build > build && at - answer.at > config.slack;
    (known && !router.unbound(at, config.slack, answer.build)).then_some(answer.build)
}

/// What is wrong with the deliveries to `build` in the window that ends at `at`, if anything is.
fn exposure_excess(
    config: &RuleConfig,
    router: &RouterView,
    at: Micros,
    build: u16,
) -> Option<String> {
    let uncapped = |rollout: &Rollout| {
        rollout.build > build
            || rollout.build == build && rollout.standing == RolloutState::Released
    };
    let mut recent = router.rollouts_within(at, config.slack).peekable();
    recent.peek()?;
    if recent.any(uncapped) {
        return None;
    }
    let cap = cap_in_force(config, router, at, build);
    if cap <= 0.0 {
        return Some(format!("a delivery at build {build} at cap 0"));
    }
    let start = (at - config.exposure_span).max(last_cap_drop(config, router, at, build));
    let observed_by = config.slack + config.connecting;
    let sent = router
        .sent
        .get(&build)
        .map_or(0, |sent| count_after(sent, start + observed_by));
    let accepted = count_after(&router.accepted, start - config.slack);
    let allowed = config.exposure_free + cap * accepted as f64;
    (sent as f64 > allowed + ROUNDING).then(|| {
        let percent = cap * 100.0;
        format!(
            "{sent} deliveries at build {build} in the window, {allowed:.1} allowed ({percent:.1}% of {accepted} taken)"
        )
    })
}

/// How many of these times, in order, are later than `start`.
fn count_after(times: &std::collections::VecDeque<Micros>, start: Micros) -> usize {
    times.len() - times.partition_point(|time| *time <= start)
}

/// The cap of `build` by a state of the rollout.
fn cap_of(config: &RuleConfig, rollout: &Rollout, build: u16) -> f64 {
    if rollout.build == build {
        rollout.cap
    } else {
        config.first_cap
    }
}

/// The highest cap that the router may go by: a lower one binds after the grace.
fn cap_in_force(config: &RuleConfig, router: &RouterView, at: Micros, build: u16) -> f64 {
    let span = config.drain_grace + config.slack;
    let cap = router
        .rollouts_within(at, span)
        .map(|rollout| cap_of(config, rollout, build))
        .fold(0.0, f64::max);
    // Until its first news a router goes by stage 0, and what lowers that binds after the grace as well.
    let first = router.rollouts.front();
    if first.is_some_and(|rollout| rollout.at > at - span) {
        cap.max(config.first_cap)
    } else {
        cap
    }
}

/// When a lower cap last began to bind: deliveries are counted anew from then.
fn last_cap_drop(config: &RuleConfig, router: &RouterView, at: Micros, build: u16) -> Micros {
    let end = router.rollouts.partition_point(|rollout| rollout.at <= at);
    let known = router.rollouts.range(..end);
    known
        .clone()
        .zip(known.skip(1))
        .filter(|(before, after)| cap_of(config, after, build) < cap_of(config, before, build))
        .map(|(_, after)| after.at + config.drain_grace)
        .filter(|binds| *binds <= at)
        .max()
        .unwrap_or(Micros::MIN / 2)
}
