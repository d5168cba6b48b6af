//! The rules about a delivery, checked when the router sends it.

use super::rule_checker::is_rolled_back;
use super::tracking::*;
use super::*;

impl RuleChecker {
    /// Checks rules 1 and 2: no delivery after the final answer, and no repeat that could have a
    /// second effect.
    pub(super) fn check_repeat(&self, command: &TrackedCommand, endpoint: &Endpoint) {
        assert!(
            !command.answered,
            "rule 1: delivery to {:?} after the final answer: {command:?}",
            endpoint.host
        );
        let operation = &self.config.ops[command.operation];
        assert!(
            operation.repeat != Repeat::AtMostOnce || !command.may_have_run(),
            "rule 2: at-most-once command that may have run, sent again to {:?}: {command:?}",
            endpoint.host
        );
        if operation.repeat == Repeat::Deduplicated {
            for delivery in &command.deliveries {
                if delivery.may_have_run {
                    self.check_deduplicated(operation, delivery, endpoint);
                }
            }
        }
        assert!(
            self.config.may_hedge || command.deliveries.iter().all(|delivery| !delivery.open),
            "rule 2: second open delivery to {:?} where hedging is not allowed: {command:?}",
            endpoint.host
        );
    }

    fn check_deduplicated(
        &self,
        operation: &OperationConfig,
        delivery: &SentDelivery,
        endpoint: &Endpoint,
    ) {
        assert!(
            self.now < delivery.at + operation.deduplication_window,
            "rule 2: repeat to {:?} at {} after the deduplication window of {delivery:?}",
            endpoint.host,
            self.now
        );
        let in_scope = operation.deduplication_scope == DeduplicationScope::All
            || self.endpoints[&delivery.host].zone == endpoint.zone;
        assert!(
            in_scope,
            "rule 2: repeat to {:?} outside the deduplication scope of {delivery:?}",
            endpoint.host
        );
    }

    /// Checks rule 4: a cold host has no more deliveries in flight than its acks allow.
    pub(super) fn check_cold_host(&mut self, endpoint: &Endpoint) {
        let fresh = endpoint
            .started_at
            .is_some_and(|at| self.now < at + self.config.warm_up_time);
        let since = self.since_start.get_mut(&endpoint.host).expect("listed");
        since.in_flight += 1;
        assert!(
            !fresh || since.in_flight <= 2 + since.acked,
            "rule 4: {} deliveries in flight at cold {:?}, expected at most 2 + {} acks",
            since.in_flight,
            endpoint.host,
            since.acked
        );
    }

    /// Checks rule 5: a key never goes to a build before the one that answered it, and a build on
    /// trial is sent no more than its cap.
    pub(super) fn check_build(&mut self, operation: usize, key: Key, build: BuildId) {
        let floor = self
            .answered_by
            .get(&key)
            .filter(|_| self.config.forward_only && key.0 != 0);
        assert!(
            floor.is_none_or(|floor| build >= *floor),
            "rule 5: {key:?} sent to {build:?} after an answer from {floor:?}"
        );
        let Some(status) = self.status else { return };
        let announced = build == status.build;
        if build > status.build || (announced && status.state != RolloutState::Released) {
            let stage = if announced { status.stage } else { 0 };
            let guarded = stage < self.config.guarded_stages;
            assert!(
                !guarded || self.config.ops[operation].repeat == Repeat::Idempotent,
                "rule 5: operation {operation} is not idempotent, sent to {build:?} in guarded \
                 stage {stage}"
            );
            let cap = if announced {
                status.exposure_cap
            } else {
                self.config.stage_caps[0]
            };
            self.check_cap(operation, build, cap);
        }
    }

    fn check_cap(&mut self, operation: usize, build: BuildId, cap: f64) {
        let slot = self.slot(operation);
        let from = self.now - self.config.exposure_window;
        let exposed = Exposed {
            at: self.now,
            slot,
            build,
        };
        self.exposed.push(exposed);
        let sent = self
            .exposed
            .iter()
            .filter(|exposed| exposed.at > from && exposed.slot == slot && exposed.build == build)
            .count() as f64;
        let received = self
            .received
            .iter()
            .filter(|received| received.at > from && received.slot == slot)
            .count() as f64;
        assert!(
            cap > 0.0 && sent <= self.config.exposure_allowance + cap * received + 1e-9,
            "rule 5: {sent} of {received} commands sent to {build:?} within the window, cap {cap}"
        );
    }
}
