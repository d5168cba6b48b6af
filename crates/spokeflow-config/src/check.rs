//! Checks of the service flags: each value by itself, and how the values fit together.

use spokeflow_core::Repeat;

use crate::{ConfigErrors, ServiceFlags};

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Whether each value is a fraction and none is below the one before it.
fn are_rising_fractions(values: &[f64]) -> bool {
    values.iter().all(|value| is_fraction(*value)) && values.is_sorted()
}

impl ServiceFlags {
    /// Adds to `errors` each value that cannot be used and each conflict between flags.
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
                errors.add_if(wrong, "op", format!("operation '{}': {fault}", op.name));
            };
            check(op.target.is_zero(), "target= is missing or 0");
            let short_timeout = format!(
                "timeout= must not be shorter than target= {:?}, got {:?}",
                op.target, op.timeout
            );
            check(op.timeout < op.target, &short_timeout);
            let bad_importance = op.importance.is_nan() || op.importance <= 0.0;
            let fault = format!("importance= must be above 0, got {}", op.importance);
            check(bad_importance, &fault);
            let deduplicated = op.repeat == Repeat::Deduplicated;
            let lacks_memory = deduplicated && op.memory.is_zero();
            check(lacks_memory, "memory= is required with deduplicated");
            let needless_memory = !deduplicated && !op.memory.is_zero();
            check(needless_memory, "memory= is allowed with deduplicated only");
            let same_name = self.ops.iter().filter(|other| other.name == op.name);
            check(same_name.count() > 1, "the name is given twice");
        }
    }

    fn check_customers(&self, errors: &mut ConfigErrors) {
        for customer in &self.customers {
            let wrong = customer.quota.is_nan() || customer.quota <= 0.0;
            let fault = format!(
                "'{}': the quota must be above 0, got {}",
                customer.name, customer.quota
            );
            errors.add_if(wrong, "customer", fault);
        }
    }

    fn check_fleet(&self, errors: &mut ConfigErrors) {
        errors.add_if(self.fleet_size == 0, "fleet-size", "must be at least 1");
        errors.add_if(self.delivery_cap == 0, "delivery-cap", "must be at least 1");
    }

    fn check_hosts(&self, errors: &mut ConfigErrors) {
        let bad_start = !is_fraction(self.cold_from) || self.cold_from == 0.0;
        let fault = format!("must be above 0 and at most 1, got {}", self.cold_from);
        errors.add_if(bad_start, "cold-from", fault);
        let bad_multiple = self.fall_multiple.is_nan() || self.fall_multiple < 1.0;
        let fault = format!("must be at least 1, got {}", self.fall_multiple);
        errors.add_if(bad_multiple, "fall-multiple", fault);
        errors.add_if(self.fall_span.is_zero(), "fall-span", "must be above 0s");
    }

    fn check_exposure(&self, errors: &mut ConfigErrors) {
        let bad_span = self.exposure_span.is_zero();
        errors.add_if(bad_span, "exposure-span", "must be above 0s");
        let bad_free = !self.exposure_free.is_finite() || self.exposure_free < 0.0;
        let fault = format!("must be 0 or more, got {}", self.exposure_free);
        errors.add_if(bad_free, "exposure-free", fault);
        let bad_fraction = !is_fraction(self.complaint_share);
        let fault = format!("must be 0 to 1, got {}", self.complaint_share);
        errors.add_if(bad_fraction, "complaint-share", fault);
    }

    fn check_stages(&self, errors: &mut ConfigErrors) {
        const RISING: &str = "each value must be 0 to 1, and none below the one before it";
        let bad_shares = !are_rising_fractions(&self.stage_shares);
        errors.add_if(bad_shares, "stage-share", RISING);
        let bad_caps = !are_rising_fractions(&self.stage_caps);
        errors.add_if(bad_caps, "stage-cap", RISING);
        let caps = self.stage_caps.len();
        let shares = self.stage_shares.len();
        let unequal = format!("has {caps} stages, but --stage-share has {shares}");
        errors.add_if(caps != shares, "stage-cap", unequal);
        let guarded = usize::from(self.guarded_stages);
        let beyond = format!("{guarded} guarded stages, but --stage-cap has {caps} stages");
        errors.add_if(guarded > caps, "guarded-stages", beyond);
    }

    fn check_votes(&self, errors: &mut ConfigErrors) {
        let votes = self.back_votes;
        let beyond = format!(
            "{votes} votes, but the fleet has {} routers",
            self.fleet_size
        );
        errors.add_if(votes > self.fleet_size, "back-votes", beyond);
        let bad_rate = self.votes_a_second.is_nan() || self.votes_a_second <= 0.0;
        let fault = format!("must be above 0, got {}", self.votes_a_second);
        errors.add_if(bad_rate, "votes-a-second", fault);
        let too_long = format!(
            "must be shorter than --vote-lifetime {:?}, got {:?}",
            self.vote_lifetime, self.vote_wait
        );
        errors.add_if(self.vote_wait >= self.vote_lifetime, "vote-wait", too_long);
    }
}
