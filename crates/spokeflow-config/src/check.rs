//! The check of the service flags: each value by itself, and how they fit together.

use spokeflow_core::Repeat;

use crate::{ConfigErrors, ServiceFlags};

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Whether each value is a fraction and none is below the one before.
fn rises_within_fractions(values: &[f64]) -> bool {
    values.iter().all(|value| is_fraction(*value)) && values.is_sorted()
}

impl ServiceFlags {
    /// Notes in `errors` what of these flags cannot be used, or does not fit together.
    pub fn check(&self, errors: &mut ConfigErrors) {
        self.check_operations(errors);
        self.check_customers(errors);
        self.check_fleet(errors);
        self.check_hosts(errors);
        self.check_exposure(errors);
        self.check_stages(errors);
        self.check_votes(errors);
    }

    fn check_operations(&self, errors: &mut ConfigErrors) {
        for op in &self.ops {
            let mut check = |wrong: bool, fault: &str| {
                errors.add_if(wrong, "op", format!("op type '{}': {fault}", op.name));
            };
            check(op.target.is_zero(), "target= is missing or nothing");
            check(op.timeout < op.target, "timeout= is shorter than target=");
            let bad_importance = op.importance.is_nan() || op.importance <= 0.0;
            check(bad_importance, "importance= must be above 0");
            let deduplicated = op.repeat == Repeat::Deduplicated;
            let lacks_memory = deduplicated && op.memory.is_zero();
            check(lacks_memory, "deduplicated needs memory=");
            let needless_memory = !deduplicated && !op.memory.is_zero();
            check(needless_memory, "memory= goes with deduplicated only");
            let same_name = self.ops.iter().filter(|other| other.name == op.name);
            check(same_name.count() > 1, "named twice");
        }
    }

    fn check_customers(&self, errors: &mut ConfigErrors) {
        for customer in &self.customers {
            let wrong = customer.quota.is_nan() || customer.quota <= 0.0;
            let fault = format!("'{}': the share must be above 0", customer.name);
            errors.add_if(wrong, "customer", fault);
        }
    }

    fn check_fleet(&self, errors: &mut ConfigErrors) {
        errors.add_if(self.fleet_size == 0, "fleet-size", "at least 1");
        errors.add_if(self.delivery_cap == 0, "delivery-cap", "at least 1");
    }

    fn check_hosts(&self, errors: &mut ConfigErrors) {
        let bad_start = !is_fraction(self.cold_from) || self.cold_from == 0.0;
        errors.add_if(bad_start, "cold-from", "above 0 and at most 1");
        let bad_multiple = self.fall_multiple.is_nan() || self.fall_multiple < 1.0;
        errors.add_if(bad_multiple, "fall-multiple", "at least 1");
        errors.add_if(self.fall_span.is_zero(), "fall-span", "above 0s");
    }

    fn check_exposure(&self, errors: &mut ConfigErrors) {
        errors.add_if(self.exposure_span.is_zero(), "exposure-span", "above 0s");
        let bad_free = !self.exposure_free.is_finite() || self.exposure_free < 0.0;
        errors.add_if(bad_free, "exposure-free", "0 or more");
        let bad_fraction = !is_fraction(self.complaint_share);
        errors.add_if(bad_fraction, "complaint-share", "0 to 1");
    }

    fn check_stages(&self, errors: &mut ConfigErrors) {
        const RISING: &str = "each 0 to 1, none below the one before";
        let bad_sizes = !rises_within_fractions(&self.stage_shares);
        errors.add_if(bad_sizes, "stage-share", RISING);
        let bad_caps = !rises_within_fractions(&self.stage_caps);
        errors.add_if(bad_caps, "stage-cap", RISING);
        let caps = self.stage_caps.len();
        let sizes = self.stage_shares.len();
        let unequal = format!("{caps} stages, but --stage-share has {sizes}");
        errors.add_if(caps != sizes, "stage-cap", unequal);
        let guarded = usize::from(self.guarded_stages);
        let beyond = format!("{guarded} of {caps} stages");
        errors.add_if(guarded > caps, "guarded-stages", beyond);
    }

    fn check_votes(&self, errors: &mut ConfigErrors) {
        let votes = self.back_votes;
        let beyond = format!("{votes} of {} routers", self.fleet_size);
        errors.add_if(votes > self.fleet_size, "back-votes", beyond);
        let bad_rate = self.votes_a_second.is_nan() || self.votes_a_second <= 0.0;
        errors.add_if(bad_rate, "votes-a-second", "above 0");
        let too_long = format!("shorter than --vote-lifetime {:?}", self.vote_lifetime);
        errors.add_if(self.vote_wait >= self.vote_lifetime, "vote-wait", too_long);
    }
}
